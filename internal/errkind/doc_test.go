package errkind

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"testing"
)

// rowPattern matches a row of the page's table of kinds: five cells, the first formatted as code.
var rowPattern = regexp.MustCompile("(?m)^\\| `[^`|]+` \\|.*\\|$")

// TestErrorsPageMatchesTable checks docs/ERRORS.md in both directions: each row of Table is on the
// page unchanged and in order, and the page has no other rows.
func TestErrorsPageMatchesTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/ERRORS.md")
	if err != nil {
		t.Fatal(err)
	}
	got := rowPattern.FindAllString(string(page), -1)
	var want []string
	for _, a := range Table {
		want = append(want, fmt.Sprintf("| `%s` | %d | %s | %s | %s |", a.Kind, a.Status, a.Ran, a.Retry, a.Means))
	}
	for _, row := range want {
		if !slices.Contains(got, row) {
			t.Errorf("not on the page: %s", row)
		}
	}
	for _, row := range got {
		if !slices.Contains(want, row) {
			t.Errorf("only on the page: %s", row)
		}
	}
	if !t.Failed() && !slices.Equal(got, want) {
		t.Error("the page has the rows in another order, or has a row twice")
	}
}
