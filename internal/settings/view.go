package settings

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// View is the settings tree at one revision. It is immutable: Apply returns a newer
// one. Control replicas and entry hosts compute it with the same code, so that a host
// that watched every change has the same tree as a replica.
type View struct {
	revision uint64
	versions map[string]uint64 // by subtree; kept after a deletion
	tree     Tree              // as set by operators
	teams    map[string]*Team  // with defaults filled in
	accounts map[string]*Account
	fleet    Fleet
	byKey    map[string]string // key hash -> account
	byBudget map[string]string // budget -> the first account, by name, that uses it
}

// NewView returns the empty tree at revision 0.
func NewView() *View {
	v := &View{versions: map[string]uint64{}, tree: Tree{Teams: map[string]*Team{}, Accounts: map[string]*Account{}}}
	v.index()
	return v
}

// snapshot is the JSON form of a View: the tree, its revision and its subtrees'
// versions.
type snapshot struct {
	Revision uint64            `json:"revision"`
	Versions map[string]uint64 `json:"versions"`
	Tree
}

// ViewFromSnapshot returns the view that SnapshotJSON encoded.
func ViewFromSnapshot(data []byte) (*View, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrap(err, "settings: decode snapshot")
	}
	if s.Versions == nil {
		return nil, errors.New("settings: decode snapshot: the versions of subtrees are missing")
	}
	v := NewView()
	v.revision, v.tree.Fleet = s.Revision, s.Tree.Fleet
	maps.Copy(v.versions, s.Versions)
	maps.Copy(v.tree.Teams, s.Tree.Teams)
	maps.Copy(v.tree.Accounts, s.Tree.Accounts)
	v.index()
	return v, nil
}

// SnapshotJSON encodes the whole view; equal views have equal snapshots.
func (v *View) SnapshotJSON() ([]byte, error) {
	data, err := json.Marshal(snapshot{Revision: v.revision, Versions: v.versions, Tree: v.tree})
	return data, errors.Wrap(err, "settings: encode snapshot")
}

// index builds the maps for lookups.
func (v *View) index() {
	v.teams = make(map[string]*Team, len(v.tree.Teams))
	for name, t := range v.tree.Teams {
		filled := t.WithDefaults()
		v.teams[name] = &filled
	}
	v.accounts = make(map[string]*Account, len(v.tree.Accounts))
	v.byKey = make(map[string]string, len(v.tree.Accounts))
	v.byBudget = make(map[string]string, len(v.tree.Accounts))
	for name, a := range v.tree.Accounts {
		filled := a.WithDefaults()
		v.accounts[name] = &filled
		for _, h := range a.KeyHashes {
			v.byKey[h] = name
		}
		if first, ok := v.byBudget[a.Budget]; !ok || name < first {
			v.byBudget[a.Budget] = name
		}
	}
	v.fleet = Fleet{}.WithDefaults()
	if v.tree.Fleet != nil {
		v.fleet = v.tree.Fleet.WithDefaults()
	}
}

// Revision returns the revision of the last committed change in the view.
func (v *View) Revision() uint64 { return v.revision }

// AccountByKey returns the client account that has the key hash (see HashKey).
func (v *View) AccountByKey(hash string) (name string, a *Account, ok bool) {
	name, ok = v.byKey[hash]
	if !ok {
		return "", nil, false
	}
	return name, v.accounts[name], true
}

// Account returns a client account with defaults filled in. The caller must not change
// it.
func (v *View) Account(name string) (*Account, bool) {
	a, ok := v.accounts[name]
	return a, ok
}

// TeamOfBudget returns the team of the client account that uses a budget; of several
// accounts, that of the first by name.
func (v *View) TeamOfBudget(budget string) (*Team, bool) {
	account, ok := v.accounts[v.byBudget[budget]]
	if !ok {
		return nil, false
	}
	return v.Team(account.Team)
}

// Team returns a team with defaults filled in. The caller must not change it.
func (v *View) Team(name string) (*Team, bool) {
	t, ok := v.teams[name]
	return t, ok
}

// LongestTimeout returns the longest timeout that any team allows.
func (v *View) LongestTimeout() time.Duration {
	longest := DefaultMaxTimeout
	for _, t := range v.teams {
		longest = max(longest, t.MaxTimeout.Std())
	}
	return longest
}

// Fleet returns the fleet's settings with defaults filled in.
func (v *View) Fleet() Fleet { return v.fleet }

// Value returns what operators set at a path ("/" is the whole tree, in the form of
// SnapshotJSON) and the version of the subtree that contains it. For a path without a
// value it returns a NotFound error that carries the subtree's current version.
func (v *View) Value(path string) (value []byte, version uint64, err error) {
	switch path {
	case "", "/":
		value, err = v.SnapshotJSON()
		return value, 0, err
	case "/" + teamsPart:
		value, err = json.Marshal(v.tree.Teams)
		return value, 0, err
	case "/" + accountsPart:
		value, err = json.Marshal(v.tree.Accounts)
		return value, 0, err
	}
	p, err := parsePath(path)
	if err != nil {
		return nil, 0, err
	}
	version = v.versions[p.subtree()]
	doc, err := v.tree.subtreeJSON(p)
	if err == nil {
		value, err = lookupJSON(path, doc, p.rest)
	}
	if e := errkind.From(err); e != nil {
		e.PresentVersion = version
		return nil, version, e
	}
	return value, version, nil
}

// Apply returns the view after the changes, which must be in revision order. Changes
// that the view already contains are skipped, so that it never goes back. A gap is an
// error, after which the view must be rebuilt from a snapshot.
func (v *View) Apply(changes []*pb.ConfigChange) (*View, error) {
	next := v
	for _, c := range changes {
		if c.Revision <= next.revision {
			continue
		}
		if c.Revision != next.revision+1 {
			return nil, errors.Errorf("settings: change %d does not follow revision %d", c.Revision, next.revision)
		}
		var err error
		if next, err = next.withChange(c); err != nil {
			return nil, errors.Wrapf(err, "settings: change %d", c.Revision)
		}
	}
	return next, nil
}

// withChange returns the view after one change.
func (v *View) withChange(c *pb.ConfigChange) (*View, error) {
	p, err := parsePath(c.Path)
	if err != nil {
		return nil, err
	}
	next := &View{
		revision: c.Revision,
		versions: maps.Clone(v.versions),
		tree:     Tree{Teams: maps.Clone(v.tree.Teams), Accounts: maps.Clone(v.tree.Accounts), Fleet: v.tree.Fleet},
	}
	next.versions[p.subtree()] = c.Version
	value := c.ValueJson
	if c.Delete || isNull(value) {
		value = nil
	}
	if err := next.tree.change(c.Path, p, value); err != nil {
		return nil, err
	}
	next.index()
	return next, nil
}
