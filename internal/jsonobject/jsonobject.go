// Package jsonobject splits a JSON object into its members. Unlike encoding/json, it keeps the
// order of the keys and repeated keys.
package jsonobject

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// Member is one key of an object with its raw value.
type Member struct {
	Key   string
	Value json.RawMessage
}

// Members returns the members of the object raw in their order, including repeated keys.
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
			return nil, errors.Wrap(err, "invalid JSON")
		}
		m := Member{Key: key.(string)}
		if err := d.Decode(&m.Value); err != nil {
			return nil, errors.Wrap(err, "invalid JSON")
		}
		out = append(out, m)
	}
	return out, nil
}
