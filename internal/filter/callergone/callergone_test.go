package callergone

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/log"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const testTimeout = 5 * time.Second

func TestCallEndsWithTheSideThatClosed(t *testing.T) {
	// Guards against logging a connection that the host itself closed below a call as closed by the
	// caller.
	for name, test := range map[string]struct {
		end  func(c net.Conn, w http.ResponseWriter)
		want errkind.Kind
	}{
		"caller": {func(c net.Conn, _ http.ResponseWriter) { _ = c.Close() }, errkind.CallerGone},
		"host":   {func(_ net.Conn, w http.ResponseWriter) { httpserver.Abort(w) }, errkind.Internal},
	} {
		t.Run(name, func(t *testing.T) {
			var logged bytes.Buffer
			before := log.Logger
			log.Logger = zerolog.New(zerolog.SyncWriter(&logged))
			t.Cleanup(func() { log.Logger = before })
			begun, ended := make(chan http.ResponseWriter), make(chan error, 1)
			f := &Filter{Interval: time.Millisecond, ID: func(context.Context) string { return "call-1" }}
			chain := filter.Chain(filter.HandlerFunc(func(w http.ResponseWriter, r *http.Request) error {
				begun <- w
				<-r.Context().Done()
				ended <- context.Cause(r.Context())
				return nil
			}), f)
			s := httpserver.New(httpserver.Config{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_ = chain.ServeHTTP(w, r)
			})})
			testutil.NoError(t, s.Start())
			c, err := net.Dial("tcp", s.Address())
			testutil.NoError(t, err)
			t.Cleanup(func() { _ = c.Close() })
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			test.end(c, <-begun)
			select {
			case err := <-ended:
				if e := errkind.From(err); e.Kind != test.want {
					t.Errorf("the call's context ended with %v", e)
				}
			case <-time.After(testTimeout):
				t.Fatal("the call's context was not canceled")
			}
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			testutil.NoError(t, s.Drain(ctx))
			if !strings.Contains(logged.String(), `"request":"call-1"`) {
				t.Errorf("no log line has the call's ID: %s", &logged)
			}
		})
	}
}
