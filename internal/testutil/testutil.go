// Package testutil has what tests of several packages share.
package testutil

import "testing"

// NoError ends the test if err is not nil.
func NoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
