package settings

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/ledger/window"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// maxHistory is the number of changes kept for catch-up and for operators.
	maxHistory = 1000
	// maxOperations is the number of operation IDs remembered: at 6,100 changes a day,
	// more than two weeks of resends, in about 5 MB.
	maxOperations = 100_000
)

// Machine is the replicated state machine of the settings tree.
type Machine struct {
	view       *View
	history    []*pb.ConfigChange
	operations map[window.Key]operation
	order      []window.Key // keys of operations, oldest first
}

// operation is the remembered answer to one operation ID.
type operation struct {
	// fingerprint distinguishes a resend from another change under the same ID.
	fingerprint uint64
	revision    uint64 // 0: rejected with a version conflict
	version     uint64 // of the subtree: after the change, or the current one at the conflict
}

// New returns a machine with an empty tree.
func New() *Machine {
	return &Machine{view: NewView(), operations: make(map[window.Key]operation)}
}

// View returns the current tree; it is immutable.
func (m *Machine) View() *View { return m.view }

// Set applies one change of an operator. now is in Unix milliseconds. If several
// operators expect the same version, exactly one succeeds; the others get a
// VersionConflict with the current version. A resent operation ID gets the first
// answer, and resend is then true.
func (m *Machine) Set(c *pb.SetConfig, opID, actor string, now int64) (result *pb.SetConfigResult, resend bool, err error) {
	if opID == "" {
		return nil, false, errkind.New(errkind.BadRequest, "a change of settings needs an operation ID, so that a resend can be detected")
	}
	key, asked := window.KeyOf(opID), fingerprint(c)
	if o, ok := m.operations[key]; ok {
		result, err = o.firstAnswer(asked, opID, c.Path)
		return result, err == nil || errkind.Is(err, errkind.VersionConflict), err
	}
	p, err := parsePath(c.Path)
	if err != nil {
		return nil, false, err
	}
	present := m.view.versions[p.subtree()]
	if !c.AnyVersion && c.ExpectedVersion != present {
		m.remember(key, operation{fingerprint: asked, version: present})
		return nil, false, conflict(c.Path, present)
	}
	change, err := m.commit(p, c, present+1)
	if err != nil {
		return nil, false, err
	}
	change.OpId, change.Actor, change.TimeMs = opID, actor, now
	m.remember(key, operation{fingerprint: asked, revision: change.Revision, version: change.Version})
	return &pb.SetConfigResult{Revision: change.Revision, Version: change.Version}, false, nil
}

// commit validates the change and adds it to the tree and the history.
func (m *Machine) commit(p treePath, c *pb.SetConfig, version uint64) (*pb.ConfigChange, error) {
	path := strings.TrimSuffix(c.Path, "/")
	change := &pb.ConfigChange{Revision: m.view.revision + 1, Version: version, Path: path, Delete: c.Delete}
	value := bytes.TrimSpace(c.ValueJson)
	switch {
	case c.Delete || isNull(value):
		change.Delete = true
	case len(value) == 0:
		return nil, invalidAt(c.Path, "the change has no value")
	default:
		var compact bytes.Buffer
		if err := json.Compact(&compact, value); err != nil {
			return nil, invalidAt(c.Path, "invalid JSON: %v", err)
		}
		change.ValueJson = compact.Bytes()
	}
	next, err := m.view.withChange(change)
	if err != nil {
		return nil, err
	}
	if p.kind != fleetPart {
		if err := next.tree.validateReferences(); err != nil {
			return nil, err
		}
	}
	m.view = next
	m.history = append(m.history, change)
	if len(m.history) > maxHistory {
		m.history = slices.Clone(m.history[len(m.history)-maxHistory:])
	}
	return change, nil
}

func conflict(path string, present uint64) *errkind.Error {
	e := errkind.New(errkind.VersionConflict, "the subtree has version %d", present).At(path)
	e.PresentVersion = present
	return e
}

func (o operation) firstAnswer(asked uint64, opID, path string) (*pb.SetConfigResult, error) {
	if o.fingerprint != asked {
		return nil, errkind.New(errkind.KeyConflict, "operation ID %q was used for another change", opID)
	}
	if o.revision == 0 {
		return nil, conflict(path, o.version)
	}
	return &pb.SetConfigResult{Revision: o.revision, Version: o.version}, nil
}

func (m *Machine) remember(key window.Key, o operation) {
	m.operations[key] = o
	m.order = append(m.order, key)
	if len(m.order) > maxOperations {
		delete(m.operations, m.order[0])
		m.order = m.order[1:]
	}
}

// fingerprint returns a hash of the path that a change concerns. Value and version
// don't count: when a host resends an operator's request, it may generate part of the
// value anew (a new key's hash) or read the version again.
func fingerprint(c *pb.SetConfig) uint64 {
	key := window.KeyOf(strings.TrimSuffix(c.Path, "/"))
	return binary.BigEndian.Uint64(key[:])
}

// ChangesSince returns the changes after revision rev. ok is false if they are no
// longer kept, or if rev is newer than the tree; the caller then needs a snapshot.
func (m *Machine) ChangesSince(rev uint64) (changes []*pb.ConfigChange, ok bool) {
	behind := m.view.revision - rev
	if rev > m.view.revision || behind > uint64(len(m.history)) {
		return nil, false
	}
	return slices.Clone(m.history[uint64(len(m.history))-behind:]), true
}

// History returns the last changes at or below a path, oldest first; limit 0 returns
// all kept changes.
func (m *Machine) History(path string, limit int) []*pb.ConfigChange {
	var out []*pb.ConfigChange
	prefix := strings.TrimSuffix(path, "/")
	for _, c := range m.history {
		if c.Path == prefix || strings.HasPrefix(c.Path, prefix+"/") {
			out = append(out, c)
		}
	}
	if limit > 0 && limit < len(out) {
		out = out[len(out)-limit:]
	}
	return out
}

// Image holds the whole machine in a fixed order, for snapshots.
type Image struct {
	View       json.RawMessage    `json:"view"`
	History    []*pb.ConfigChange `json:"history"`
	Operations []operationImage   `json:"operations"`
}

type operationImage struct {
	Key         []byte `json:"key"`
	Fingerprint uint64 `json:"print"`
	Revision    uint64 `json:"revision"`
	Version     uint64 `json:"version"`
}

// Image returns the machine's content.
func (m *Machine) Image() (Image, error) {
	view, err := m.view.SnapshotJSON()
	if err != nil {
		return Image{}, err
	}
	im := Image{View: view, History: m.history}
	for _, key := range m.order {
		o := m.operations[key]
		im.Operations = append(im.Operations, operationImage{Key: key[:], Fingerprint: o.fingerprint, Revision: o.revision, Version: o.version})
	}
	return im, nil
}

// Restore replaces the machine's content with im.
func (m *Machine) Restore(im Image) error {
	view, err := ViewFromSnapshot(im.View)
	if err != nil {
		return err
	}
	fresh := New()
	fresh.view, fresh.history = view, im.History
	for _, o := range im.Operations {
		if len(o.Key) != window.KeySize {
			return errors.Errorf("settings: snapshot: the key of an operation has %d bytes, want %d", len(o.Key), window.KeySize)
		}
		fresh.remember(window.Key(o.Key), operation{fingerprint: o.Fingerprint, revision: o.Revision, version: o.Version})
	}
	*m = *fresh
	return nil
}
