package settings

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Kinds of subtrees, which are the first part of a path.
const (
	teamsPart    = "teams"
	accountsPart = "accounts"
	fleetPart    = "fleet"
)

// maxNameBytes bounds the names of teams and accounts.
const maxNameBytes = 64

// treePath is a path into the settings tree, split after the versioned subtree.
type treePath struct {
	kind string   // teams, accounts or fleet
	name string   // name of the team or account
	rest []string // inside the subtree
}

// subtree returns the path of the subtree, such as "/teams/x".
func (p treePath) subtree() string {
	if p.kind == fleetPart {
		return "/" + fleetPart
	}
	return "/" + p.kind + "/" + p.name
}

// parsePath parses the path of a subtree or of a value inside one.
func parsePath(path string) (treePath, error) {
	if !strings.HasPrefix(path, "/") {
		return treePath{}, invalidAt(path, "a path must begin with /")
	}
	parts := strings.Split(strings.TrimSuffix(path[1:], "/"), "/")
	if parts[0] == fleetPart {
		return newTreePath(path, treePath{kind: fleetPart, rest: parts[1:]})
	}
	if parts[0] != teamsPart && parts[0] != accountsPart {
		return treePath{}, invalidAt(path, "a path must begin with /teams/<name>, /accounts/<name> or /fleet")
	}
	if len(parts) < 2 {
		return treePath{}, invalidAt(path, "a change must name one subtree, as in /%s/<name>", parts[0])
	}
	if !validName(parts[1]) {
		return treePath{}, invalidAt(path, "a name must have 1 to %d bytes: letters and digits, and . _ - after the first character", maxNameBytes)
	}
	return newTreePath(path, treePath{kind: parts[0], name: parts[1], rest: parts[2:]})
}

func newTreePath(path string, p treePath) (treePath, error) {
	for _, part := range p.rest {
		if part == "" {
			return treePath{}, invalidAt(path, "a part of the path is empty")
		}
	}
	return p, nil
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes || !utf8.ValidString(name) {
		return false
	}
	for i, r := range name {
		if unicode.IsLetter(r) || unicode.IsDigit(r) {
			continue
		}
		if i == 0 || !strings.ContainsRune("._-", r) {
			return false
		}
	}
	return true
}

// invalidAt returns an error for invalid settings at a path.
func invalidAt(path, format string, args ...any) *errkind.Error {
	return errkind.New(errkind.InvalidSettings, format, args...).At(path)
}
