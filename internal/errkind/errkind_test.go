package errkind

import (
	"testing"

	"github.com/pkg/errors"
)

func TestTableHasEachKindOnce(t *testing.T) {
	seen := map[Kind]bool{}
	for _, a := range Table {
		if seen[a.Kind] {
			t.Errorf("%s is in the table twice", a.Kind)
		}
		seen[a.Kind] = true
		if a.Status < 400 || a.Status > 599 || a.Means == "" {
			t.Errorf("%s: row is incomplete: %+v", a.Kind, a)
		}
	}
}

func TestFromKeepsKindThroughWrapping(t *testing.T) {
	err := errors.Wrap(New(BudgetExhausted, "empty"), "reserve")
	if got := From(err).Kind; got != BudgetExhausted {
		t.Fatalf("got %s", got)
	}
	if got := From(errors.New("x")).Kind; got != Internal {
		t.Fatalf("got %s", got)
	}
}
