package answerhead

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const (
	wellFormed = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: y\r\n\r\n"
	lineFeeds  = "HTTP/1.1 200 OK\nContent-Length: 5\n\n"
	interim    = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	switching  = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
	// anyBody is no head.
	anyBody = "no head: \x00\n at all\r\n\n"
)

// malformedHeads are heads that break off the answer.
var malformedHeads = map[string]string{
	"blank in a name":               "HTTP/1.1 200 OK\r\nContent Length: 5\r\n\r\n",
	"blank after a name":            "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n",
	"blank before the first name":   "HTTP/1.1 200 OK\r\n Content-Length: 5\r\n\r\n",
	"blank before a later name":     "HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 5\r\n\r\n",
	"tab before a later name":       "HTTP/1.1 200 OK\r\nX: y\r\n\tContent-Length: 5\r\n\r\n",
	"line feed before a name":       "HTTP/1.1 200 OK\r\nX: y\r\n\nContent-Length: 5\r\n\r\n",
	"carriage return before a name": "HTTP/1.1 200 OK\r\nX: y\r\n\rContent-Length: 5\r\n\r\n",
	"no name":                       "HTTP/1.1 200 OK\r\n: 5\r\n\r\n",
	"no colon":                      "HTTP/1.1 200 OK\r\nContent-Length\r\n\r\n",
	"lines end differently":         "HTTP/1.1 200 OK\nX: y\r\n\n",
	"in an interim answer":          "HTTP/1.1 103 Early Hints\r\nLi nk: x\r\n\r\n" + wellFormed,
	"status 000":                    "HTTP/1.1 000 OK\r\n\r\n",
	"status 099":                    "HTTP/1.1 099 OK\r\n\r\n",
	"status 600":                    "HTTP/1.1 600 OK\r\n\r\n",
	"signed status":                 "HTTP/1.1 +20 OK\r\n\r\n",
	"status of four digits":         "HTTP/1.1 2000 OK\r\n\r\n",
	"no status":                     "HTTP/1.1\r\n\r\n",
	"empty status line":             "\r\nHTTP/1.1 200 OK\r\n\r\n",
	"status 000 after an interim":   interim + "HTTP/1.1 000 OK\r\n\r\n",
	"after an interim answer":       interim + "HTTP/1.1 200 OK\r\nX : y\r\n\r\n",
}

// Guards against a damaged head that net/http accepts, and against a whole one that is rejected.
func TestHeads(t *testing.T) {
	for _, head := range []string{wellFormed, lineFeeds, interim + wellFormed, interim + lineFeeds, switching, ""} {
		var c Checker
		if err := c.Check([]byte(head + anyBody)); head != "" && err != nil {
			t.Errorf("%q: %v", head, err)
		}
	}
	for name, head := range malformedHeads {
		var c Checker
		if err := c.Check([]byte(head)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against taking the body of an answer for the next head, and the next head for the body of the answer before it.
func TestEachAnswerHasAHead(t *testing.T) {
	var c Checker
	for range 3 {
		c.Expect()
		if err := c.Check([]byte(wellFormed + anyBody)); err != nil {
			t.Fatal(err)
		}
		if err := c.Check([]byte(anyBody)); err != nil {
			t.Fatal(err)
		}
	}
	c.Expect()
	if err := c.Check([]byte(malformedHeads["no name"])); err == nil {
		t.Error("a malformed head after whole answers is accepted")
	}
}

// Guards against a verdict that depends on how the bytes of a head are split among reads.
func TestVerdictIsTheSameHoweverHeadsAreSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.StringMatching(`[ -~\t]{0,12}(\r\n|\n|\r)`)
		head := "HTTP/1.1 " + rapid.SampledFrom([]string{"200 OK", "103", "101 x"}).Draw(t, "status") + "\r\n" + strings.Join(rapid.SliceOfN(line, 0, 5).Draw(t, "lines"), "")
		var whole, split Checker
		want := whole.Check([]byte(head))
		var got error
		for rest := []byte(head); len(rest) > 0 && got == nil; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "bytes")
			got = split.Check(rest[:n])
			rest = rest[n:]
		}
		if (want == nil) != (got == nil) {
			t.Fatalf("%q: as a whole %v, split %v", head, want, got)
		}
	})
}

// FuzzHeads checks that no head is accepted in which net/http finds a field whose name is no token.
func FuzzHeads(f *testing.F) {
	for _, head := range malformedHeads {
		f.Add(head)
	}
	f.Add(wellFormed)
	f.Fuzz(func(t *testing.T, head string) {
		var c Checker
		if c.Check([]byte(head)) != nil {
			return
		}
		res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
		if err != nil {
			return
		}
		for name := range res.Header {
			if strings.ContainsAny(name, " \t\r\n\x00") {
				t.Errorf("the field %q of %q is accepted", name, head)
			}
		}
	})
}
