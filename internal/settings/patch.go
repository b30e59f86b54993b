package settings

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// patchJSON returns doc, a JSON object, with the value at the path rest set, or deleted
// when value is nil. It descends into objects only: a list is replaced as a whole.
func patchJSON(path string, doc []byte, rest []string, value []byte) ([]byte, error) {
	var root map[string]any
	if err := decodeKeepingNumbers(doc, &root); err != nil {
		return nil, errors.Wrap(err, path)
	}
	at, err := parentOf(path, root, rest, value != nil)
	if err != nil {
		return nil, err
	}
	last := rest[len(rest)-1]
	if value == nil {
		if _, ok := at[last]; !ok {
			return nil, errkind.New(errkind.NotFound, "no value is set at this path").At(path)
		}
		delete(at, last)
		return json.Marshal(root)
	}
	at[last] = json.RawMessage(value)
	return json.Marshal(root)
}

// parentOf returns the object that holds the last part of rest.
func parentOf(path string, root map[string]any, rest []string, create bool) (map[string]any, error) {
	at := root
	for _, part := range rest[:len(rest)-1] {
		child, ok := at[part]
		if !ok && create {
			child = map[string]any{}
			at[part] = child
		}
		if !ok && !create {
			return nil, errkind.New(errkind.NotFound, "no value is set at this path").At(path)
		}
		object, isObject := child.(map[string]any)
		if !isObject {
			return nil, invalidAt(path, "%q is not an object; a list or scalar value can only be replaced as a whole", part)
		}
		at = object
	}
	return at, nil
}

// lookupJSON returns the value at the path rest inside doc.
func lookupJSON(path string, doc []byte, rest []string) ([]byte, error) {
	for _, part := range rest {
		var object map[string]json.RawMessage
		if err := json.Unmarshal(doc, &object); err != nil {
			return nil, errkind.New(errkind.NotFound, "no value is set at this path").At(path)
		}
		value, ok := object[part]
		if !ok {
			return nil, errkind.New(errkind.NotFound, "no value is set at this path").At(path)
		}
		doc = value
	}
	return doc, nil
}

// decodeKeepingNumbers decodes doc without converting numbers to floats.
func decodeKeepingNumbers(doc []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(doc))
	d.UseNumber()
	return d.Decode(v)
}
