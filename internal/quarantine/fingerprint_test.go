package quarantine

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against rejecting a request for the crashes of a different one: the same bytes divided
// differently into parts must have different fingerprints.
func TestFingerprintSeparatesParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.SliceOfN(rapid.StringN(0, 4, 8), 4, 4).Draw(t, "a")
		b := rapid.SliceOfN(rapid.StringN(0, 4, 8), 4, 4).Draw(t, "b")
		same := a[0] == b[0] && a[1] == b[1] && a[2] == b[2] && a[3] == b[3]
		first := FingerprintOf(a[0], a[1], a[2], []byte(a[3]))
		second := FingerprintOf(b[0], b[1], b[2], []byte(b[3]))
		if (first == second) != same {
			t.Fatalf("%q and %q: %v, %v", a, b, first, second)
		}
		back, err := ParseFingerprint(first.String())
		if err != nil || back != first {
			t.Fatalf("%v reads as %v: %v", first, back, err)
		}
	})
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 18<<10)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		FingerprintOf("account", "host.example", "/path/x", body)
	}
}
