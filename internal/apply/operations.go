package apply

import (
	"encoding/binary"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/ledger/window"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// defaultOperations is the number of operators' operations, rejections included, that
// are remembered with their full answer: more than two days at the target of 6,100
// changes a day. After that, accepted changes of funds are remembered permanently in
// the ledger, and changes of settings are remembered for longer in package settings.
const defaultOperations = 16_384

// operations remembers answers by operation ID and evicts the oldest first.
type operations struct {
	max     int
	answers map[window.Key]firstAnswer
	order   []window.Key
}

// firstAnswer is the first answer to an operation.
type firstAnswer struct {
	fingerprint uint64
	// call identifies the operator's call that received the answer; empty if unknown.
	call   string
	result []byte // a CommandResult
}

func newOperations(limit int) *operations {
	return &operations{max: limit, answers: make(map[window.Key]firstAnswer)}
}

// remembersAnswer reports whether answers to a command are remembered by operation ID:
// those to operators' commands, and those to orders for backend servers. The commands
// of hosts carry sequence numbers of their own, and after a rejection the same command
// may succeed.
func remembersAnswer(cmd *pb.Command) bool {
	if cmd.GetOpId() == "" {
		return false
	}
	switch cmd.GetBody().(type) {
	case *pb.Command_CreateBudget, *pb.Command_TopUp, *pb.Command_SetConfig, *pb.Command_RemoveHost, *pb.Command_PlaceOrder,
		*pb.Command_SetEvacuation:
		return true
	}
	return false
}

// answer returns the first answer to a resent operation, or an error if the ID was used
// for another operation. ok is false if the ID is unknown.
func (o *operations) answer(cmd *pb.Command) (*pb.CommandResult, bool) {
	r, ok := o.answers[window.KeyOf(cmd.OpId)]
	if !ok {
		return nil, false
	}
	result := new(pb.CommandResult)
	if err := proto.Unmarshal(r.result, result); err != nil {
		panic(errors.Wrap(err, "apply: decode a remembered answer"))
	}
	if r.fingerprint != fingerprint(cmd) {
		e := errkind.New(errkind.KeyConflict, "operation id %q was used for another operation", cmd.OpId)
		return &pb.CommandResult{Index: result.Index, Error: wire.EncodeError(e)}, true
	}
	// A host whose first attempt was not answered proposes the command again within the
	// same call. If that counted as a resend, the operator would be told of an earlier
	// request that was never made.
	result.Resend = r.call == "" || r.call != cmd.GetCallId()
	return result, true
}

func (o *operations) remember(cmd *pb.Command, result *pb.CommandResult) {
	o.put(window.KeyOf(cmd.OpId), firstAnswer{fingerprint: fingerprint(cmd), call: cmd.GetCallId(), result: encode(result)})
}

func (o *operations) put(key window.Key, r firstAnswer) {
	o.answers[key] = r
	o.order = append(o.order, key)
	if len(o.order) > o.max {
		delete(o.answers, o.order[0])
		o.order = o.order[1:]
	}
}

// fingerprint hashes the body of a command, without actor, time and what the operator expected to find, which
// may be another state when the operation is resent. For a change of settings it hashes only the path, as the
// fingerprint of package settings does.
func fingerprint(cmd *pb.Command) uint64 {
	asked := &pb.Command{Body: cmd.Body}
	if set := cmd.GetSetConfig(); set != nil {
		asked.Body = &pb.Command_SetConfig{SetConfig: &pb.SetConfig{Path: set.Path}}
	}
	if set := cmd.GetSetEvacuation(); set != nil {
		asked.Body = &pb.Command_SetEvacuation{SetEvacuation: &pb.SetEvacuation{Zone: set.Zone, Evacuated: set.Evacuated}}
	}
	if remove := cmd.GetRemoveHost(); remove != nil {
		asked.Body = &pb.Command_RemoveHost{RemoveHost: &pb.RemoveHost{Host: remove.Host}}
	}
	key := window.KeyOf(string(encode(asked)))
	return binary.BigEndian.Uint64(key[:])
}

// encode returns the wire form of m. The schema has no maps, so equal messages encode
// equally on all replicas.
func encode(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(errors.Wrap(err, "apply: encode message"))
	}
	return data
}

type operationImage struct {
	Key         []byte `json:"key"`
	Fingerprint uint64 `json:"print"`
	Call        string `json:"call,omitempty"`
	Result      []byte `json:"result"`
}

func (o *operations) image() []operationImage {
	out := make([]operationImage, 0, len(o.order))
	for _, key := range o.order {
		r := o.answers[key]
		out = append(out, operationImage{Key: key[:], Fingerprint: r.fingerprint, Call: r.call, Result: r.result})
	}
	return out
}

func (o *operations) restore(images []operationImage) error {
	for _, im := range images {
		if len(im.Key) != window.KeySize {
			return errors.Errorf("apply: snapshot: the key of an operation has %d bytes, want %d", len(im.Key), window.KeySize)
		}
		o.put(window.Key(im.Key), firstAnswer{fingerprint: im.Fingerprint, call: im.Call, result: im.Result})
	}
	return nil
}
