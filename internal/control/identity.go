package control

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wal"
)

const identityFile = "replica.json"

// identity is the content of the identity file on a replica's disk. See the package
// comment.
type identity struct {
	ID uint64 `json:"id"`
	// Nonce identifies this disk.
	Nonce uint64 `json:"nonce"`
	// Joined is set for a replica that is added as a learner rather than by the
	// bootstrap list.
	Joined bool `json:"joined"`
	// FirstStart is set if this disk was first used when the whole fleet started for the
	// first time.
	FirstStart bool `json:"first_start,omitempty"`
	// Formed is set once the replica participates in consensus.
	Formed bool `json:"formed"`
	// Members is the bootstrap list at the first start; later changes of the
	// configuration don't change the membership from which the log starts.
	Members []*pb.Member `json:"members,omitempty"`
	// Nonces are the nonces of the other replicas' disks at the formation, by replica
	// ID.
	Nonces map[uint64]uint64 `json:"nonces,omitempty"`
}

// baseMembers returns the membership before the first log entry.
func (id *identity) baseMembers() *pb.Members {
	if id.Joined {
		return &pb.Members{}
	}
	return &pb.Members{Members: id.Members}
}

// randomID draws an ID or nonce, never 0. It doesn't use the replica's seeded source:
// with the same seed after a restart, a new disk would draw the nonce of the lost one,
// be taken for it, and vote under its ID.
func randomID() uint64 {
	for {
		var b [8]byte
		_, _ = rand.Read(b[:]) // never fails
		if id := binary.BigEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}

// loadIdentity reads the identity file; it returns nil if there is none.
func loadIdentity(fs wal.FS, dir string) (*identity, error) {
	names, err := fs.List(dir)
	if err != nil {
		return nil, errors.Wrap(err, "control: list data directory")
	}
	for _, name := range names {
		if name == identityFile {
			return readIdentity(fs, filepath.Join(dir, name))
		}
	}
	return nil, nil
}

func readIdentity(fs wal.FS, path string) (*identity, error) {
	data, err := fs.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "control: read identity")
	}
	id, err := decodeIdentity(data)
	return id, errors.Wrapf(err, "control: %s is damaged; this replica's disk must be replaced", path)
}

// checksumDigits is the number of hex digits of the checksum at the end of the file.
const checksumDigits = 8

func encodeIdentity(id *identity) ([]byte, error) {
	data, err := json.Marshal(id)
	return fmt.Appendf(data, "\n%0*x", checksumDigits, crc32.ChecksumIEEE(data)), err
}

func decodeIdentity(data []byte) (*identity, error) {
	end := len(data) - checksumDigits - 1
	if end < 0 {
		return nil, errors.New("the identity file is too short")
	}
	// Without the checksum, a corrupted digit of the ID or a nonce would be read as
	// another identity.
	if sum := fmt.Sprintf("\n%0*x", checksumDigits, crc32.ChecksumIEEE(data[:end])); sum != string(data[end:]) {
		return nil, errors.New("the checksum does not match")
	}
	var id identity
	return &id, json.Unmarshal(data[:end], &id)
}

// saveIdentity makes the identity durable atomically.
func saveIdentity(fs wal.FS, dir string, id *identity) error {
	data, err := encodeIdentity(id)
	if err != nil {
		return errors.Wrap(err, "control: encode identity")
	}
	path := filepath.Join(dir, identityFile)
	temporary := path + ".tmp"
	if err := wal.WriteFile(fs, temporary, data); err != nil {
		return errors.Wrap(err, "control: identity")
	}
	if err := fs.Rename(temporary, path); err != nil {
		return errors.Wrap(err, "control: rename identity")
	}
	return errors.Wrap(fs.SyncDir(dir), "control: sync data directory")
}

// newIdentity returns the identity for an empty disk.
func newIdentity(cfg *Config) *identity {
	id := &identity{Nonce: randomID()}
	own := cfg.ownMember()
	if cfg.Join || own == nil {
		id.ID = randomID()
		id.Joined = true
		return id
	}
	id.ID = own.Id
	id.FirstStart = cfg.FirstStart
	id.Members = cfg.bootstrapMembers()
	return id
}

// identityAfterLostDisk returns the identity that replaces the one of a lost disk.
func identityAfterLostDisk() *identity {
	return &identity{ID: randomID(), Nonce: randomID(), Joined: true}
}
