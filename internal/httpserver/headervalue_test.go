package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// Guards against header values that differ by the white space around them (RFC 9110, section 5.5): a value of white space
// alone counted as one that is given, and a key with a blank after it as another key.
func TestHeaderValuesHaveNoWhiteSpaceAround(t *testing.T) {
	s := New(Config{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, "%s %q", r.Host, r.Header.Values("Given"))
	})})
	testutil.NoError(t, s.Start())
	defer func() { _ = s.Drain(t.Context()) }()
	for value, want := range map[string]string{
		"": `[""]`, " ": `[""]`, "   \t ": `[""]`, "\t": `[""]`, " a": `["a"]`, "a": `["a"]`, "a \t": `["a"]`, " \ta b \t ": `["a b"]`,
		" a\r\nGiven: \r\nGiven: b ": `["a" "" "b"]`,
	} {
		c, err := net.Dial("tcp", s.Address())
		testutil.NoError(t, err)
		_, err = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h \t\r\nGiven:%s\r\nConnection: close\r\n\r\n", value)
		testutil.NoError(t, err)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		testutil.NoError(t, err)
		if got, _ := io.ReadAll(res.Body); string(got) != "h "+want {
			t.Errorf("%q: got %s, want %s", value, got, want)
		}
		_ = c.Close()
	}
}
