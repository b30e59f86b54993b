// Package docs checks that pages which name code name code that exists.
package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// namedTest finds tests, fuzz targets and benchmarks named in a page as `TestX` or `TestX/script`.
var namedTest = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z]\\w*)(?:/[\\w-]+)?`")

// declared finds their declarations.
var declared = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)

// Symptom: a page says that a promise is proved, and no such proof is there.
// Sequence: a test is renamed or dropped and the page stays.
// Cause: nothing compares the pages with the tests.
func TestPagesNameTestsThatExist(t *testing.T) {
	exists := declaredTests(t)
	for _, page := range []string{"PROOFS.md", "CAPACITY.md"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		named := namedTest.FindAllStringSubmatch(string(text), -1)
		if len(named) == 0 {
			t.Errorf("%s names no test at all", page)
		}
		for _, m := range named {
			if !exists[m[1]] {
				t.Errorf("%s names %s, which does not exist", page, m[1])
			}
		}
	}
}

func declaredTests(t *testing.T) map[string]bool {
	out := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		src, err := os.ReadFile(path)
		for _, m := range declared.FindAllSubmatch(src, -1) {
			out[string(m[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}
