package engineclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const (
	// testUnacknowledged is the bound that hosts use.
	testUnacknowledged = 2250 * time.Millisecond
	// longSilence is how long a sound server may be silent.
	longSilence = 1500 * time.Millisecond
	// partitionBound is the time after the beginning of a partition by which its connections must be
	// given up.
	partitionBound = 3 * time.Second
)

// setSilent makes the kernel drop everything that arrives at a socket, so that nothing that its peer
// sends is acknowledged, or makes it accept packets again.
func setSilent(t *testing.T, socket syscall.Conn, silent bool) {
	raw, err := socket.SyscallConn()
	testutil.NoError(t, err)
	var setErr error
	testutil.NoError(t, raw.Control(func(fd uintptr) {
		if !silent {
			setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	}))
	testutil.NoError(t, setErr)
}

// beSilent makes c silent for d.
func beSilent(t *testing.T, c syscall.Conn, d time.Duration) {
	setSilent(t, c, true)
	time.Sleep(d)
	setSilent(t, c, false)
}

func boundedClient(t *testing.T) *Client {
	c := New(Config{DialTimeout: 400 * time.Millisecond, Unacknowledged: testUnacknowledged})
	t.Cleanup(c.Close)
	return c
}

func plainRequest(address string) *Forward {
	return &Forward{Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("x")}
}

// answerEach answers each request of a connection.
func answerEach(c net.Conn, r *bufio.Reader) {
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = r.ReadByte() // the body
		_, _ = c.Write([]byte(wholeAnswer))
	}
}

// Guards against a server that is silent for a moment while it works, and whose answer is given up:
// TCP_USER_TIMEOUT ends a connection after the first keepalive probe without an acknowledgment.
func TestPendingAnswerOutlastsASilence(t *testing.T) {
	for name, first := range map[string]string{
		"before the answer": "",
		"in the answer":     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := first + wholeAnswer[len(first):]
			address := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				_, _ = c.Write([]byte(answer[:len(first)]))
				time.Sleep(50 * time.Millisecond)
				beSilent(t, c.(*net.TCPConn), longSilence)
				time.Sleep(time.Second) // goes on with its work
				_, _ = c.Write([]byte(answer[len(first):]))
			})
			if _, body, err := forward(t, boundedClient(t), plainRequest(address)); err != nil || body != "ok" {
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
}

// Guards against a request that was sent while its server was silent and is given up before the
// server goes on.
func TestRequestSentInASilenceIsAnswered(t *testing.T) {
	t.Parallel()
	accepted := make(chan net.Conn, 2)
	address := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		accepted <- c
		answerEach(c, r)
	})
	client := boundedClient(t)
	if _, _, err := forward(t, client, plainRequest(address)); err != nil {
		t.Fatal(err)
	}
	go beSilent(t, (<-accepted).(*net.TCPConn), longSilence)
	time.Sleep(200 * time.Millisecond)
	if _, body, err := forward(t, client, plainRequest(address)); err != nil || body != "ok" {
		t.Errorf("got %q, %v", body, err)
	}
	if len(accepted) > 0 {
		t.Error("the request went over another connection")
	}
}

// Guards against idle connections from before a partition: requests on them wait although a new
// connection would have been answered, or refused, at once.
func TestIdleConnectionOfSilentServerIsNotUsed(t *testing.T) {
	t.Parallel()
	address := startRawServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			answerEach(c, r)
			return
		}
		_, _ = http.ReadRequest(r)
		_, _ = r.ReadByte()
		_, _ = c.Write([]byte(wholeAnswer))
		time.Sleep(50 * time.Millisecond)
		setSilent(t, c.(*net.TCPConn), true)
		<-t.Context().Done()
	})
	client := boundedClient(t)
	if _, _, err := forward(t, client, plainRequest(address)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(longSilence)
	if _, body, err := forward(t, client, plainRequest(address)); err != nil || body != "ok" {
		t.Errorf("got %q, %v", body, err)
	}
}

// Guards against requests that wait one after the other on connections to a server that has just become
// silent: after the first of them, the others are suspect as well.
func TestIdleConnectionBesideAnUnacknowledgedRequestIsNotUsed(t *testing.T) {
	t.Parallel()
	const idle = 3
	var begun sync.WaitGroup
	begun.Add(idle)
	silent := make(chan struct{})
	address := startRawServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > idle {
			answerEach(c, r)
			return
		}
		_, _ = http.ReadRequest(r)
		_, _ = r.ReadByte()
		begun.Done()
		begun.Wait() // so that the others are not idle yet
		_, _ = c.Write([]byte(wholeAnswer))
		time.Sleep(50 * time.Millisecond)
		setSilent(t, c.(*net.TCPConn), true)
		<-silent
	})
	defer close(silent)
	client := boundedClient(t)
	var answered sync.WaitGroup
	for range idle {
		answered.Go(func() {
			if _, _, err := forward(t, client, plainRequest(address)); err != nil {
				t.Error(err)
			}
		})
	}
	answered.Wait()
	time.Sleep(100 * time.Millisecond)
	answered.Go(func() { _, _, _ = forward(t, client, plainRequest(address)) }) // is left unacknowledged
	defer answered.Wait()
	time.Sleep(2 * ackCheckInterval)
	if _, body, err := forward(t, client, plainRequest(address)); err != nil || body != "ok" {
		t.Errorf("got %q, %v", body, err)
	}
}

// Guards against a long request that is given up because its server does not read it for a while.
func TestServerThatDoesNotReadIsNotSilent(t *testing.T) {
	t.Parallel()
	address := startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		time.Sleep(requestAckTimeout + ackCheckInterval)
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = c.Write([]byte(wholeAnswer))
	})
	long := plainRequest(address)
	long.Body = make([]byte, 32<<20)
	if _, body, err := forward(t, boundedClient(t), long); err != nil || body != "ok" {
		t.Errorf("got %q, %v", body, err)
	}
}

// Guards against new connections for each request to a server that is asked now and then.
func TestIdleConnectionOfSoundServerIsUsedAgain(t *testing.T) {
	t.Parallel()
	connections := make(chan int, 10)
	address := startRawServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		connections <- n
		answerEach(c, r)
	})
	client := boundedClient(t)
	for range 3 {
		if _, _, err := forward(t, client, plainRequest(address)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2700 * time.Millisecond)
	}
	if len(connections) != 1 {
		t.Errorf("%d connections were opened", len(connections))
	}
}

// silentAfterRequest starts a server that answers a number of requests, or reads one if that is 0, and
// is then silent. The channel receives when its silence began.
func silentAfterRequest(t *testing.T, answered int) (address string, began <-chan time.Time) {
	silentSince := make(chan time.Time, 1)
	address = startRawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for range max(answered, 1) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = r.ReadByte() // the body
			if answered > 0 {
				_, _ = c.Write([]byte(wholeAnswer))
			}
		}
		time.Sleep(50 * time.Millisecond)
		setSilent(t, c.(*net.TCPConn), true)
		silentSince <- time.Now()
		<-t.Context().Done()
	})
	return address, silentSince
}

// checkGivenUp sends a request that no server answers and checks that it is given up by the
// bound, with some slack for a busy machine.
func checkGivenUp(t *testing.T, client *Client, address string, slack time.Duration, began func() time.Time) {
	t.Helper()
	_, _, err := forward(t, client, plainRequest(address))
	if e, ok := err.(*Error); !ok || e.Cause != CauseSilent || e.Ran != errkind.RanUnknown {
		t.Errorf("got %v", err)
	}
	if took := time.Since(began()); took > partitionBound+slack {
		t.Errorf("the request was held until %v after the partition began", took)
	}
}

// Guards against a request that waits until its deadline for the answer of a server that a partition
// has taken away.
func TestPartitionEndsPendingAnswer(t *testing.T) {
	t.Parallel()
	address, began := silentAfterRequest(t, 0)
	checkGivenUp(t, boundedClient(t), address, 500*time.Millisecond, func() time.Time { return <-began })
}

// Guards against a request that waits until its deadline on a connection whose other end a partition
// has taken away a second before.
func TestPartitionEndsRequestSentIntoIt(t *testing.T) {
	t.Parallel()
	address, began := silentAfterRequest(t, 1)
	client := boundedClient(t)
	if _, _, err := forward(t, client, plainRequest(address)); err != nil {
		t.Fatal(err)
	}
	silentSince := <-began
	time.Sleep(900 * time.Millisecond)
	checkGivenUp(t, client, address, 200*time.Millisecond, func() time.Time { return silentSince })
}
