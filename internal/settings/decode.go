package settings

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/jsonobject"
)

// maxDepth bounds the nesting of a value, so that a malicious one cannot exhaust the
// stack.
const maxDepth = 16

// A field with this tag must not be set to zero, because zero means that the default
// applies.
const (
	zeroTag     = "settings"
	nonzeroOnly = "nonzero"
)

// decodeStrict decodes raw into the value that v points to. Unknown and repeated keys,
// nulls and values of a wrong type are rejected with the path of the error. The lenient
// decoder of encoding/json would accept a misspelt key, such as "max_atempts", without
// any effect, and the operator would notice only under load.
func decodeStrict(path string, raw []byte, v any) error {
	if err := checkSyntax(path, raw); err != nil {
		return err
	}
	return decodeValue(path, raw, reflect.ValueOf(v).Elem(), 0)
}

// isNull reports whether raw is the JSON value null, which deletes the value at a path.
func isNull(raw []byte) bool { return string(bytes.TrimSpace(raw)) == "null" }

func checkSyntax(path string, raw []byte) error {
	var value json.RawMessage
	if err := json.Unmarshal(raw, &value); err != nil {
		return invalidAt(path, "invalid JSON: %v", err)
	}
	return nil
}

func decodeValue(path string, raw json.RawMessage, v reflect.Value, depth int) error {
	if depth > maxDepth {
		return invalidAt(path, "the value is nested too deeply")
	}
	if isNull(raw) {
		return invalidAt(path, "null is not allowed here; delete the key to apply its default")
	}
	switch {
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		return decodeValue(path, raw, v.Elem(), depth)
	case v.Kind() == reflect.Struct:
		return decodeStruct(path, raw, v, depth)
	case v.Kind() == reflect.Slice:
		return decodeSlice(path, raw, v, depth)
	}
	if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil {
		return invalidAt(path, "%s", typeErrorText(err, v.Type()))
	}
	return nil
}

func decodeStruct(path string, raw json.RawMessage, v reflect.Value, depth int) error {
	members, err := jsonobject.Members(raw)
	if err != nil {
		return invalidAt(path, "%v", err)
	}
	fields := fieldsByKey(v.Type())
	seen := make(map[string]bool, len(members))
	for _, m := range members {
		at := path + "/" + m.Key
		index, ok := fields[m.Key]
		if !ok {
			return invalidAt(at, "unknown key")
		}
		if seen[m.Key] {
			return invalidAt(at, "the key occurs twice")
		}
		seen[m.Key] = true
		if err := decodeValue(at, m.Value, v.Field(index), depth+1); err != nil {
			return err
		}
		if v.Type().Field(index).Tag.Get(zeroTag) == nonzeroOnly && v.Field(index).IsZero() {
			return invalidAt(at, "0 would mean the default; see this key's description for how to set none")
		}
	}
	return nil
}

func decodeSlice(path string, raw json.RawMessage, v reflect.Value, depth int) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil {
		return invalidAt(path, "must be a list")
	}
	out := reflect.MakeSlice(v.Type(), len(elements), len(elements))
	for i, e := range elements {
		if err := decodeValue(path+"/"+strconv.Itoa(i), e, out.Index(i), depth+1); err != nil {
			return err
		}
	}
	v.Set(out)
	return nil
}

// fieldsByKey maps the JSON keys of a struct type to its field indexes.
func fieldsByKey(t reflect.Type) map[string]int {
	out := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		out[key] = i
	}
	return out
}

// typeErrorText returns a decoding error in terms of the settings rather than of Go
// types.
func typeErrorText(err error, t reflect.Type) string {
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		return err.Error()
	}
	switch t.Kind() {
	case reflect.Uint64:
		return "must be a whole number that is not negative"
	case reflect.Int, reflect.Int64:
		return "must be a whole number"
	case reflect.Float64:
		return "must be a number"
	case reflect.Bool:
		return "must be true or false"
	}
	return "must be a string"
}
