package admincli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"reflect"
	"slices"
	"strconv"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
)

// keyHashes is the JSON key of an account's key hashes, which settings files omit.
const keyHashes = "key_hashes"

// treeFile is the content of a file with subtrees of the settings tree.
type treeFile struct {
	Teams    map[string]map[string]any `json:"teams"`
	Accounts map[string]map[string]any `json:"accounts"`
	Fleet    map[string]any            `json:"fleet"`
}

// appliedSubtree is one subtree in the output of config apply.
type appliedSubtree struct {
	Path    string `json:"path"`
	Version uint64 `json:"version"`
	Changed bool   `json:"changed"`
}

// applied is the output of config apply.
type applied struct {
	OpID     string           `json:"op_id"`
	Subtrees []appliedSubtree `json:"subtrees"`
}

// configApply sets those subtrees of a file that differ from the settings tree, one change
// each, and leaves all others unchanged. After an error, a second run continues where the
// first one stopped.
func (a *app) configApply(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "FILE")
	if err != nil {
		return err
	}
	file, err := readTree(args[0])
	if err != nil {
		return err
	}
	cl, err := a.client(cmd)
	if err != nil {
		return err
	}
	out := applied{OpID: operationID(cmd)}
	for _, s := range file.subtrees() {
		done, err := cl.applySubtree(ctx, out.OpID, s)
		if err != nil {
			return &exitError{code: exitCode(err), err: errors.Wrapf(err, "%s, after %d subtrees", s.path, len(out.Subtrees))}
		}
		out.Subtrees = append(out.Subtrees, done)
	}
	return a.print(cmd, out, func(w io.Writer) {
		for _, s := range out.Subtrees {
			fmt.Fprintf(w, "%s\tversion %d\tchanged %t\n", s.Path, s.Version, s.Changed)
		}
		printOperation(w, out.OpID, false)
	})
}

func readTree(file string) (*treeFile, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, usage("read the settings: %v", err)
	}
	tree := new(treeFile)
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(tree); err != nil {
		return nil, usage("%s is not an object with teams, accounts and fleet: %v", file, err)
	}
	return tree, nil
}

// subtree is one value to set.
type subtree struct {
	path  string
	value map[string]any
}

// subtrees returns teams before the accounts that refer to them.
func (t *treeFile) subtrees() []subtree {
	var list []subtree
	for _, name := range slices.Sorted(maps.Keys(t.Teams)) {
		list = append(list, subtree{teamPath(name), t.Teams[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(t.Accounts)) {
		list = append(list, subtree{"/accounts/" + name, t.Accounts[name]})
	}
	if t.Fleet != nil {
		list = append(list, subtree{"/fleet", t.Fleet})
	}
	return list
}

func (cl *client) applySubtree(ctx context.Context, opID string, s subtree) (appliedSubtree, error) {
	present, err := cl.readObject(ctx, s.path)
	if err != nil {
		return appliedSubtree{}, err
	}
	// Keys are created one by one and are in no file. Without this, applying a file would
	// remove the keys of all callers.
	if hashes, ok := present.value[keyHashes]; ok && s.value[keyHashes] == nil {
		s.value[keyHashes] = hashes
	}
	if present.found && reflect.DeepEqual(present.value, s.value) {
		return appliedSubtree{Path: s.path, Version: present.version}, nil
	}
	body, err := encode(s.value)
	if err != nil {
		return appliedSubtree{}, err
	}
	var out adminapi.ChangeAnswer
	err = cl.do(ctx, call{method: http.MethodPut, path: configPath(s.path), body: body,
		ifMatch: strconv.FormatUint(present.version, 10), opID: opID + s.path}, &out)
	return appliedSubtree{Path: s.path, Version: out.Version, Changed: true}, err
}
