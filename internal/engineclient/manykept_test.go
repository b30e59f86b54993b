package engineclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// Guards against rejecting a request for a healthy server that has closed all its idle
// connections. This host, short of processor time, has not noticed any of the closes when the
// next request comes. With at most eight attempts on ended connections, the request failed
// without an attempt on a new one.
func TestRequestAfterAllIdleConnectionsClosed(t *testing.T) {
	const kept = 40
	l := testutil.Listen(t)
	t.Cleanup(func() { _ = l.Close() })
	var mu sync.Mutex
	var conns []net.Conn
	arrived, hold := make(chan struct{}, kept), make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			go answerAll(c, arrived, hold)
		}
	}()
	client := New(Config{})
	t.Cleanup(client.Close)
	ask := func(path string) error {
		res, err := client.Forward(t.Context(), &Forward{
			Address: l.Addr().String(), Method: http.MethodPost, Target: path, Host: "h", Header: http.Header{}, Body: []byte("b"),
		})
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, res.Body)
		return res.Body.Close()
	}
	var asked sync.WaitGroup
	for range kept {
		asked.Go(func() {
			if err := ask("/held"); err != nil {
				t.Error(err)
			}
		})
	}
	for range kept {
		<-arrived // each request has its own connection
	}
	close(hold)
	asked.Wait()
	// With one processor, no other goroutine runs between the closes and the request.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	mu.Lock()
	for _, c := range conns {
		_ = c.Close()
	}
	mu.Unlock()
	testutil.NoError(t, ask("/next"))
}

// answerAll answers the requests of a connection; requests to /held wait until hold is closed.
func answerAll(c net.Conn, arrived chan<- struct{}, hold <-chan struct{}) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == "/held" {
			arrived <- struct{}{}
			<-hold
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}
