package control

import (
	"encoding/json"
	"math/rand"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wal"
)

const identityFile = "replica.json"

// identity is what a replica's disk says of itself. See the package comment.
type identity struct {
	ID uint64 `json:"id"`
	// Nonce marks this disk.
	Nonce uint64 `json:"nonce"`
	// Joined is true for a replica that is added as a learner rather than by the
	// bootstrap list.
	Joined bool `json:"joined"`
	// Formed is true once the replica takes part in consensus.
	Formed bool `json:"formed"`
	// Members is the bootstrap list at the first start; later changes of the
	// settings don't change the membership from which the log starts.
	Members []*pb.Member `json:"members,omitempty"`
	// Nonces of the other replicas' disks at the formation, by id.
	Nonces map[uint64]uint64 `json:"nonces,omitempty"`
}

// baseMembers is the membership before the first log entry.
func (id *identity) baseMembers() *pb.Members {
	if id.Joined {
		return &pb.Members{}
	}
	return &pb.Members{Members: id.Members}
}

// randomID draws an id or nonce; never 0.
func randomID(rnd *rand.Rand) uint64 {
	for {
		if id := rnd.Uint64(); id != 0 {
			return id
		}
	}
}

// loadIdentity reads the identity file; nil if there is none.
func loadIdentity(fs wal.FS, dir string) (*identity, error) {
	names, err := fs.List(dir)
	if err != nil {
		return nil, errors.Wrap(err, "control: list data folder")
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
	var id identity
	if err := json.Unmarshal(data, &id); err != nil {
		return nil, errors.Wrapf(err, "control: %s is damaged; this replica's disk must be replaced", path)
	}
	return &id, nil
}

// saveIdentity makes the identity durable: whole or not at all.
func saveIdentity(fs wal.FS, dir string, id *identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return errors.Wrap(err, "control: encode identity")
	}
	path := filepath.Join(dir, identityFile)
	f, err := fs.Create(path + ".tmp")
	if err != nil {
		return errors.Wrap(err, "control: make identity file")
	}
	defer f.Close()
	if _, err := f.Write(data); err != nil {
		return errors.Wrap(err, "control: write identity")
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "control: sync identity")
	}
	if err := fs.Rename(path+".tmp", path); err != nil {
		return errors.Wrap(err, "control: rename identity")
	}
	return errors.Wrap(fs.SyncDir(dir), "control: sync data folder")
}

// newIdentity is the identity of an empty disk.
func newIdentity(cfg *Config, rnd *rand.Rand) *identity {
	id := &identity{Nonce: randomID(rnd)}
	own := cfg.ownMember()
	if cfg.Join || own == nil {
		id.ID = randomID(rnd)
		id.Joined = true
		return id
	}
	id.ID = own.Id
	id.Members = cfg.bootstrapMembers()
	return id
}

// afterLostDisk is the identity that takes the place of one whose disk was lost.
func afterLostDisk(rnd *rand.Rand) *identity {
	return &identity{ID: randomID(rnd), Nonce: randomID(rnd), Joined: true}
}
