package httpserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// eventDelay is longer than it takes the loopback interface to make bytes or a close readable,
// and the server to register an accepted connection. Without the wait the test would not
// reproduce the fault; it asserts nothing about time.
const eventDelay = 20 * time.Millisecond

// poller lets a test block the goroutine that reads connections, which calls limits for each
// piece of a request that it has read.
type poller struct {
	mu   sync.Mutex
	next chan struct{}
	held chan struct{}
}

// hold blocks the poller at the next bytes that it reads, until the channel is closed.
func (p *poller) hold() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = make(chan struct{})
	return p.next
}

func (p *poller) limits() Limits {
	p.mu.Lock()
	next := p.next
	p.next = nil
	p.mu.Unlock()
	if next != nil {
		p.held <- struct{}{}
		<-next
	}
	return Limits{}
}

// descriptor returns the descriptor number of the server's end of w's connection.
func descriptor(w http.ResponseWriter) int { return connOf(w).Hash() }

// Guards against the event of a closed connection that closes another one. The poller fetches
// a batch of events, among them that a caller has closed its connection. Before it reaches
// that event, a write of that caller's answer fails and nbio closes the connection, which
// frees its descriptor number. A new connection is accepted and gets the number; its request
// has already arrived. The poller reaches the old event, finds the new connection under the
// number, reads its request and closes it as the event says. Several requests were handed to
// handlers and sent on within a moment and then closed without an answer, on a host that had
// paused for some ten milliseconds while callers left.
func TestEventOfAClosedConnectionDoesNotCloseTheNextOne(t *testing.T) {
	p := &poller{held: make(chan struct{})}
	numbers := make(chan int, 1)
	leave, left, end := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var s *Server
	s = start(t, Config{Limits: p.limits, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/open":
			numbers <- descriptor(w)
			<-end // no answer, after which the server would call limits too
		case "/left":
			numbers <- descriptor(w)
			<-leave
			// As nbio does when a write fails; closes by this package are left to the poller.
			_, _ = s.writes.write(func() (int, error) { return 0, errors.Join(connOf(w).Conn.Close(), net.ErrClosed) })
			close(left)
		case "/next":
			time.Sleep(eventDelay)
		}
	})})
	t.Cleanup(func() { close(end) })
	spare := openFiles(t, 2)
	first, second, gone, number := connections(t, s, numbers)
	fillNumbersBelow(t, number)

	// Blocked at the first connection's bytes, the poller then fetches the events of the other
	// two together, and is blocked at those of the second.
	releaseFirst := p.hold()
	send(t, first, "G")
	<-p.held
	releaseSecond := p.hold()
	send(t, second, "G")
	time.Sleep(eventDelay)
	testutil.NoError(t, gone.(*net.TCPConn).CloseWrite())
	time.Sleep(eventDelay)
	close(releaseFirst)
	<-p.held

	close(leave)
	<-left
	// Accepting needs a number for a moment and so does the caller's end. The next free one,
	// which the server's end keeps, is that of the closed connection.
	for _, f := range spare {
		testutil.NoError(t, f.Close())
	}
	next := dial(t, s)
	request(t, next, "/next")
	awaitNumber(t, number)
	time.Sleep(eventDelay)
	close(releaseSecond)
	res, err := http.ReadResponse(bufio.NewReader(next), nil)
	if err != nil {
		t.Fatalf("the request was accepted but got no answer: %v", err)
	}
	testutil.NoError(t, res.Body.Close())
}

func request(t *testing.T, c net.Conn, path string) {
	t.Helper()
	send(t, c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
}

func send(t *testing.T, c net.Conn, bytes string) {
	t.Helper()
	_, err := io.WriteString(c, bytes)
	testutil.NoError(t, err)
}

// connections opens three connections whose events one poller handles, each with a request
// that stays open. number is the last one's descriptor number at the server.
func connections(t *testing.T, s *Server, numbers <-chan int) (first, second, gone net.Conn, number int) {
	t.Helper()
	gone = dial(t, s)
	request(t, gone, "/left")
	number = <-numbers
	var same []net.Conn
	for len(same) < 2 {
		c := dial(t, s)
		request(t, c, "/open")
		if of := <-numbers; of%s.engine.NPoller == number%s.engine.NPoller {
			same = append(same, c)
		}
	}
	return same[0], same[1], gone, number
}

func openFiles(t *testing.T, n int) []*os.File {
	t.Helper()
	var out []*os.File
	for range n {
		f, err := os.Open(os.DevNull)
		testutil.NoError(t, err)
		t.Cleanup(func() { _ = f.Close() })
		out = append(out, f)
	}
	return out
}

// fillNumbersBelow uses up all free descriptor numbers below the given one.
func fillNumbersBelow(t *testing.T, number int) {
	t.Helper()
	for openFiles(t, 1)[0].Fd() < uintptr(number) {
	}
}

// awaitNumber waits until a socket has the descriptor number.
func awaitNumber(t *testing.T, number int) {
	t.Helper()
	await(t, "a socket has the number", func() bool {
		kind, err := os.Readlink("/proc/self/fd/" + strconv.Itoa(number))
		return err == nil && strings.HasPrefix(kind, "socket:")
	})
}
