package procconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/jsonobject"
)

// maxFileBytes bounds a settings file, so that a wrong path (a log, a device) is
// rejected instead of read into memory.
const maxFileBytes = 1 << 20

// Load reads and checks the settings file at path. The error is Faults if the
// file was read and has faults.
func Load(path string) (*Config, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open settings file")
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read settings file %s", path)
	}
	if len(b) > maxFileBytes {
		return nil, errors.Errorf("settings file %s is longer than %d bytes", path, maxFileBytes)
	}
	return Decode(b)
}

// Decode parses b, fills in the defaults and checks the result. It returns all faults in the
// form of the file (keys and types). If there are none, it returns all faults in the values.
func Decode(b []byte) (*Config, error) {
	if faults := checkSyntax(b); len(faults) > 0 {
		return nil, faults
	}
	if faults := checkForm(b, reflect.TypeFor[Config](), ""); len(faults) > 0 {
		return nil, faults
	}
	c := Default()
	if err := json.Unmarshal(b, c); err != nil {
		return nil, Faults{{Message: err.Error()}}
	}
	if c.Routed != nil {
		defaults.Set(&c.Routed.AddressTTL, defaultRoutedTTL)
		defaults.Set(&c.Routed.RequestsPerConnection, defaultRequestsPerConnection)
	}
	if faults := c.Check(); len(faults) > 0 {
		return nil, Faults(faults)
	}
	return c, nil
}

func checkSyntax(b []byte) Faults {
	if !utf8.Valid(b) {
		return Faults{{Message: "the file is not UTF-8 text"}}
	}
	var v any
	err := json.Unmarshal(b, &v)
	if err == nil {
		return nil
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(b[:min(int(syntax.Offset), len(b))], []byte("\n"))
		return Faults{{Message: fmt.Sprintf("line %d: %v", line, err)}}
	}
	return Faults{{Message: err.Error()}}
}

// checkForm compares the JSON value raw with the Go type t and returns a fault for
// each unknown or repeated key and each value of the wrong type. encoding/json is not
// enough for this: it stops at the first fault, reports no path, accepts repeated keys and
// ignores the case of keys.
func checkForm(raw json.RawMessage, t reflect.Type, path string) Faults {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if string(bytes.TrimSpace(raw)) == "null" {
		return Faults{{path, "null is not allowed here; delete the key to apply its default"}}
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		return checkLeaf(raw, t, path)
	}
	switch t.Kind() {
	case reflect.Struct:
		return checkObject(raw, t, path)
	case reflect.Slice:
		return checkArray(raw, t, path)
	default:
		return checkLeaf(raw, t, path)
	}
}

func checkObject(raw json.RawMessage, t reflect.Type, path string) Faults {
	members, err := jsonobject.Members(raw)
	if err != nil {
		return Faults{{path, "must be an object"}}
	}
	fields := fieldTypes(t)
	seen := map[string]bool{}
	var faults Faults
	for _, m := range members {
		at := path + "/" + m.Key
		field, known := fields[m.Key]
		switch {
		case !known:
			faults = append(faults, Fault{at, "unknown key"})
		case seen[m.Key]:
			faults = append(faults, Fault{at, "the key occurs twice"})
		default:
			faults = append(faults, checkForm(m.Value, field, at)...)
		}
		seen[m.Key] = true
	}
	return faults
}

func checkArray(raw json.RawMessage, t reflect.Type, path string) Faults {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		return Faults{{path, "must be a list"}}
	}
	var faults Faults
	for i, item := range items {
		faults = append(faults, checkForm(item, t.Elem(), path+"/"+strconv.Itoa(i))...)
	}
	return faults
}

func checkLeaf(raw json.RawMessage, t reflect.Type, path string) Faults {
	err := json.Unmarshal(raw, reflect.New(t).Interface())
	if err == nil {
		return nil
	}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return Faults{{path, fmt.Sprintf("must be %s, got %s", typeName(t), wrong.Value)}}
	}
	return Faults{{path, err.Error()}}
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint64:
		return "a whole number that is not negative"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// fieldTypes returns the type of each JSON key of the struct type t.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		fields[key] = f.Type
	}
	return fields
}
