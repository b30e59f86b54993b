package settings

import (
	"encoding/json"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// subtreeJSON returns the subtree of p as set by operators, or a NotFound error.
func (t *Tree) subtreeJSON(p treePath) ([]byte, error) {
	var found any
	switch p.kind {
	case teamsPart:
		if team, ok := t.Teams[p.name]; ok {
			found = team
		}
	case accountsPart:
		if account, ok := t.Accounts[p.name]; ok {
			found = account
		}
	case fleetPart:
		if t.Fleet != nil {
			found = t.Fleet
		}
	}
	if found == nil {
		return nil, errkind.New(errkind.NotFound, "no value is set at this path").At(p.subtree())
	}
	return json.Marshal(found)
}

// change sets or (value nil) deletes what is at p. path is p as the operator wrote it.
// The subtree is replaced, never changed in place, because views share subtrees.
func (t *Tree) change(path string, p treePath, value []byte) error {
	if len(p.rest) == 0 {
		return t.replace(p, value)
	}
	doc, err := t.subtreeJSON(p)
	if err != nil && p.kind == fleetPart && value != nil {
		doc, err = []byte("{}"), nil // the fleet's settings always exist, possibly empty
	}
	if err != nil {
		return err
	}
	if value != nil {
		if err := checkSyntax(path, value); err != nil {
			return err
		}
	}
	doc, err = patchJSON(path, doc, p.rest, value)
	if err != nil {
		return err
	}
	return t.replace(p, doc)
}

// replace sets or (doc nil) deletes a whole subtree.
func (t *Tree) replace(p treePath, doc []byte) error {
	if doc == nil {
		return t.remove(p)
	}
	switch p.kind {
	case teamsPart:
		team := new(Team)
		if err := decodeAndValidate(p.subtree(), doc, team); err != nil {
			return err
		}
		t.Teams[p.name] = team
	case accountsPart:
		account := new(Account)
		if err := decodeAndValidate(p.subtree(), doc, account); err != nil {
			return err
		}
		t.Accounts[p.name] = account
	case fleetPart:
		fleet := new(Fleet)
		if err := decodeAndValidate(p.subtree(), doc, fleet); err != nil {
			return err
		}
		t.Fleet = fleet
	}
	return nil
}

type validator interface{ validate(path string) error }

func decodeAndValidate(path string, doc []byte, v validator) error {
	if err := decodeStrict(path, doc, v); err != nil {
		return err
	}
	return v.validate(path)
}

// remove deletes a whole subtree.
func (t *Tree) remove(p treePath) error {
	if _, err := t.subtreeJSON(p); err != nil {
		return err
	}
	switch p.kind {
	case teamsPart:
		if account := t.firstAccountOf(p.name); account != "" {
			return invalidAt(p.subtree(), "the team is in use by account %q", account)
		}
		delete(t.Teams, p.name)
	case accountsPart:
		delete(t.Accounts, p.name)
	case fleetPart:
		t.Fleet = nil
	}
	return nil
}

// firstAccountOf returns the name of the first account of a team, by name, or "".
func (t *Tree) firstAccountOf(team string) string {
	first := ""
	for name, a := range t.Accounts {
		if a.Team == team && (first == "" || name < first) {
			first = name
		}
	}
	return first
}
