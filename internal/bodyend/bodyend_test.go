package bodyend

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// value draws a JSON value whose end shows.
func value(t *rapid.T, depth int) any {
	kinds := 2
	if depth > 0 {
		kinds = 4
	}
	inner := func() any {
		if rapid.Bool().Draw(t, "number") {
			return rapid.Float64Range(-1e9, 1e9).Draw(t, "f")
		}
		return value(t, depth-1)
	}
	switch rapid.IntRange(0, kinds-1).Draw(t, "kind") {
	case 0:
		return rapid.String().Draw(t, "s")
	case 1:
		return rapid.SampledFrom([]any{true, false, nil}).Draw(t, "literal")
	case 2:
		return []any{inner(), inner()}
	}
	return map[string]any{rapid.String().Draw(t, "key"): inner(), "k": inner()}
}

// Guards against a part of a JSON body that is taken for the whole, and the reverse.
func TestEveryPrefixOfJSONIsTruncated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body, err := json.Marshal(value(t, 3))
		if err != nil {
			t.Fatal(err)
		}
		for n := range body {
			if got := Of("application/json; charset=utf-8", body[:n]); got != Truncated {
				t.Fatalf("%q of %q: verdict %d", body[:n], body, got)
			}
		}
		if got := Of("application/problem+json", append(body, '\n')); got != Whole {
			t.Fatalf("%q: verdict %d", body, got)
		}
	})
}

// Guards against refusing a body of which nothing shows that it is truncated.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		kind, body string
		want       Verdict
	}{
		{"application/json", "12", Unknown},
		{"application/json", "{}\n{\"a\"", Truncated},
		{"application/json", "{}\n{}", Whole},
		{"Application/JSON; charset", "{", Truncated},
		{"application/json", "ok", Unknown},
		{"application/json", "{}}", Unknown},
		{"application/json", " ", Truncated},
		{"text/plain", "{", Unknown},
		{"", "{", Unknown},
		{"text/event-stream", "id: 1\ndata: a\n\n", Unknown},
		{"text/event-stream; charset=utf-8", "id: 1\ndata: a\n", Truncated},
		{"text/event-stream", "", Unknown},
	} {
		if got := Of(c.kind, []byte(c.body)); got != c.want {
			t.Errorf("%q of type %q: verdict %d, want %d", c.body, c.kind, got, c.want)
		}
	}
}
