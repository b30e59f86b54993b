package framing

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

var roomy = Limits{Header: 4 << 10, Body: 1 << 10}

// check passes text to a Checker in pieces of the given size.
func check(text string, piece int) (int, *errkind.Error) {
	var c Checker
	done := 0
	for done < len(text) {
		next := text[done:min(done+piece, len(text))]
		n, err := c.Check([]byte(next), roomy)
		if err != nil {
			return done + n, err
		}
		done += len(next)
	}
	return done, nil
}

const get = "GET /a/b?c=d HTTP/1.1\r\nHost: h\r\n\r\n"

func TestValidRequestsPass(t *testing.T) {
	for name, text := range map[string]string{
		"no body":            get,
		"two in a row":       get + get,
		"length":             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello" + get,
		"length zero":        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + get,
		"length with spaces": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: \t5 \r\n\r\nhello",
		"chunks":             "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\n3;a=\"b\"\r\nabc\r\n0\r\n\r\n" + get,
		"version 1.0":        "GET / HTTP/1.0\r\n\r\n",
		"other letters":      "GET / HTTP/1.1\r\nHost: h\r\nX-Name: caf\xc3\xa9\r\n\r\n",
		"line breaks in it":  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\na\nb\r\nc",
	} {
		for _, piece := range []int{1, 2, 3, 7, 1 << 10} {
			if n, err := check(text, piece); err != nil {
				t.Errorf("%s, in pieces of %d: rejected at byte %d: %v", name, piece, n, err)
			}
		}
	}
}

func TestAmbiguousRequestsAreRejected(t *testing.T) {
	// Guards against request smuggling: bytes that one reader takes for the body of a request
	// and another for a separate request, which then runs under another caller's key. RFC 9112
	// forbids such framing, but many parsers accept it.
	post := "POST / HTTP/1.1\r\nHost: h\r\n"
	for name, text := range map[string]string{
		"two lengths":              post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
		"the same length twice":    post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
		"list of lengths":          post + "Content-Length: 5, 5\r\n\r\n",
		"signed length":            post + "Content-Length: +5\r\n\r\n",
		"empty length":             post + "Content-Length: \r\n\r\n",
		"huge length":              post + "Content-Length: 99999999999999999999\r\n\r\n",
		"length and chunks":        post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
		"chunks and length":        post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
		"two codings":              post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"coding list":              post + "Transfer-Encoding: gzip, chunked\r\n\r\n",
		"unknown coding":           post + "Transfer-Encoding: xchunked\r\n\r\n",
		"chunks in 1.0":            "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
		"space before the colon":   post + "Content-Length : 5\r\n\r\n",
		"space in a name":          post + "Content Length: 5\r\n\r\n",
		"folded line":              post + "X: a\r\n Content-Length: 5\r\n\r\n",
		"folded first line":        "POST / HTTP/1.1\r\n Host: h\r\n\r\n",
		"header without a name":    post + ": 5\r\n\r\n",
		"header without a colon":   post + "Content-Length\r\n\r\n",
		"bare line feed":           "POST / HTTP/1.1\r\nHost: h\nContent-Length: 5\r\n\r\n",
		"bare carriage return":     post + "X: a\rContent-Length: 5\r\n\r\n",
		"zero byte":                post + "X: a\x00b\r\n\r\n",
		"chunk size 0x5":           post + "Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n",
		"signed chunk size":        post + "Transfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n",
		"chunk size with a space":  post + "Transfer-Encoding: chunked\r\n\r\n5 \r\nhello\r\n0\r\n\r\n",
		"empty chunk size":         post + "Transfer-Encoding: chunked\r\n\r\n\r\nhello\r\n0\r\n\r\n",
		"huge chunk size":          post + "Transfer-Encoding: chunked\r\n\r\n100000005\r\nhello\r\n0\r\n\r\n",
		"line feed in extension":   post + "Transfer-Encoding: chunked\r\n\r\n5;\nxy\r\nhello\r\n0\r\n\r\n",
		"chunk longer than told":   post + "Transfer-Encoding: chunked\r\n\r\n4\r\nhello\r\n0\r\n\r\n",
		"trailer":                  post + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\n",
		"announced trailer":        post + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\nX: y\r\n\r\n",
		"no host":                  "GET / HTTP/1.1\r\n\r\n",
		"two hosts":                "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"method in small letters":  "get / HTTP/1.1\r\nHost: h\r\n\r\n",
		"unknown method":           "FETCH / HTTP/1.1\r\nHost: h\r\n\r\n",
		"two spaces":               "GET  / HTTP/1.1\r\nHost: h\r\n\r\n",
		"space in the target":      "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
		"something behind":         "GET / HTTP/1.1 x\r\nHost: h\r\n\r\n",
		"absolute target":          "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"broken escape":            "GET /a%zz HTTP/1.1\r\nHost: h\r\n\r\n",
		"fragment":                 "GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n",
		"letters beyond ASCII":     "GET /caf\xc3\xa9 HTTP/1.1\r\nHost: h\r\n\r\n",
		"version 1.2":              "GET / HTTP/1.2\r\nHost: h\r\n\r\n",
		"version 2":                "PRI * HTTP/2.0\r\n\r\n",
		"empty line first":         "\r\n" + get,
		"bytes behind a length":    post + "Content-Length: 2\r\n\r\nhello\r\n\r\n",
		"tab between the fields":   "GET\t/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"tab before the colon":     post + "Content-Length\t: 5\r\n\r\n",
		"colon in the first line":  "GET: / HTTP/1.1\r\nHost: h\r\n\r\n",
		"chunk data without break": post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello0\r\n\r\n",
	} {
		for _, piece := range []int{1, 5, 1 << 10} {
			if _, err := check(text, piece); err == nil || err.Kind != errkind.BadRequest {
				t.Errorf("%s, in pieces of %d: got %v", name, piece, err)
			}
		}
	}
}

func TestLimits(t *testing.T) {
	post := "POST / HTTP/1.1\r\nHost: h\r\n"
	for name, c := range map[string]struct {
		text string
		want errkind.Kind
	}{
		"long header":        {post + "X: " + strings.Repeat("x", 5<<10) + "\r\n\r\n", errkind.HeadersTooLarge},
		"endless header":     {post + "X: " + strings.Repeat("x", 5<<10), errkind.HeadersTooLarge},
		"many headers":       {post + strings.Repeat("X: y\r\n", 1<<10) + "\r\n", errkind.HeadersTooLarge},
		"long target":        {"GET /" + strings.Repeat("x", 5<<10), errkind.HeadersTooLarge},
		"long body":          {post + "Content-Length: 1025\r\n\r\n", errkind.BodyTooLarge},
		"long chunk":         {post + "Transfer-Encoding: chunked\r\n\r\n401\r\n", errkind.BodyTooLarge},
		"many chunks":        {post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("2\r\nab\r\n", 513), errkind.BodyTooLarge},
		"long chunk's line":  {post + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 300), errkind.BadRequest},
		"head just in":       {post + "X: " + strings.Repeat("x", 4<<10-len(post)-len("X: \r\n\r\n")) + "\r\n\r\n", ""},
		"body just in":       {post + "Content-Length: 1024\r\n\r\n" + strings.Repeat("x", 1024), ""},
		"second head counts": {get + post + "X: " + strings.Repeat("x", 4<<10-len(post)-len("X: \r\n\r\n")) + "\r\n\r\n", ""},
	} {
		_, err := check(c.text, 100)
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: rejected: %v", name, err)
		case c.want != "" && (err == nil || err.Kind != c.want):
			t.Errorf("%s: got %v, want %s", name, err, c.want)
		}
	}
}

func TestRequestsBeforeTheFaultPass(t *testing.T) {
	text := get + "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"
	n, err := check(text, len(text))
	if err == nil || n < len(get) {
		t.Fatalf("passed %d of %d bytes, %v", n, len(get), err)
	}
	if strings.HasSuffix(text[len(get):n], "\r\n\r\n") {
		t.Fatal("the invalid request passed completely")
	}
}

func TestPhases(t *testing.T) {
	var c Checker
	feed := func(text string) {
		if _, err := c.Check([]byte(text), roomy); err != nil {
			t.Fatal(err)
		}
	}
	want := func(p Phase, begun uint64) {
		t.Helper()
		if c.Phase() != p || c.Begun() != begun {
			t.Fatalf("phase %d, begun %d; want %d, %d", c.Phase(), c.Begun(), p, begun)
		}
	}
	want(Idle, 0)
	feed("P")
	want(Head, 1)
	feed("OST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n")
	want(Body, 1)
	feed("ab")
	want(Idle, 1)
	feed(get)
	want(Idle, 2)
}

// FuzzSameAsNetHTTP checks that net/http reads the same number of requests from the bytes that
// the checker accepts.
func FuzzSameAsNetHTTP(f *testing.F) {
	for _, s := range []string{
		get, get + get,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello" + get,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + get,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n" + get,
		"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var c Checker
		if _, err := c.Check(data, roomy); err != nil || c.Phase() != Idle {
			return
		}
		r := bufio.NewReader(bytes.NewReader(data))
		for n := range c.Begun() {
			req, err := http.ReadRequest(r)
			if err != nil {
				t.Fatalf("request %d of %d: net/http says %v: %q", n+1, c.Begun(), err, data)
			}
			if _, err := io.ReadAll(req.Body); err != nil {
				t.Fatalf("body %d of %d: net/http says %v: %q", n+1, c.Begun(), err, data)
			}
		}
		if _, err := r.ReadByte(); err != io.EOF {
			t.Fatalf("net/http has bytes left after %d requests: %q", c.Begun(), data)
		}
	})
}
