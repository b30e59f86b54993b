// Package jsonobject takes a JSON object apart without losing what encoding/json
// passes over: the order of its keys, and keys that stand twice.
package jsonobject

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// Member is one key of an object, with its value as written.
type Member struct {
	Key   string
	Value json.RawMessage
}

// Members returns the members of the object raw in the order in which they stand,
// repeated keys included.
func Members(raw json.RawMessage) ([]Member, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	start, err := d.Token()
	if err != nil || start != json.Delim('{') {
		return nil, errors.New("must be an object")
	}
	var out []Member
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return nil, errors.Wrap(err, "not JSON")
		}
		m := Member{Key: key.(string)}
		if err := d.Decode(&m.Value); err != nil {
			return nil, errors.Wrap(err, "not JSON")
		}
		out = append(out, m)
	}
	return out, nil
}
