package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

func benchServer(b *testing.B, h http.HandlerFunc) *Server {
	b.Helper()
	catchLog(b) // keeps log lines out of the benchmark's output
	s := New(Config{Address: "127.0.0.1:0", Handler: h})
	testutil.NoError(b, s.Start())
	b.Cleanup(s.stop)
	return s
}

// processorTime returns the processor time that this process has used, in nanoseconds. Under
// other load it is more meaningful than elapsed time.
func processorTime(b *testing.B) int64 {
	b.Helper()
	var u syscall.Rusage
	testutil.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return u.Utime.Nano() + u.Stime.Nano()
}

// reportProcessor reports the processor time per operation since before.
func reportProcessor(b *testing.B, before int64) {
	b.Helper()
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// exchange sends a request on a connection and reads the answer.
func exchange(c net.Conn, r *bufio.Reader, request string) error {
	if _, err := io.WriteString(c, request); err != nil {
		return err
	}
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// BenchmarkReusedConnection measures a small request and answer on a reused connection,
// including the caller's work.
func BenchmarkReusedConnection(b *testing.B) {
	s := benchServer(b, text("ran"))
	body := strings.Repeat("x", 1000)
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	b.ReportAllocs()
	before := processorTime(b)
	b.RunParallel(func(pb *testing.PB) {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			b.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		for r := bufio.NewReader(c); pb.Next(); {
			if err := exchange(c, r, request); err != nil {
				b.Error(err)
				return
			}
		}
	})
	reportProcessor(b, before)
}

// BenchmarkStreamedAnswer measures an answer of 100 events, each flushed separately.
func BenchmarkStreamedAnswer(b *testing.B) {
	const events = 100
	s := benchServer(b, func(w http.ResponseWriter, _ *http.Request) {
		for range events {
			_, _ = io.WriteString(w, "data: a token of an answer\n\n")
			w.(http.Flusher).Flush()
		}
	})
	c, err := net.Dial("tcp", s.Address())
	testutil.NoError(b, err)
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	b.ReportAllocs()
	before := processorTime(b)
	for b.Loop() {
		testutil.NoError(b, exchange(c, r, plainRequest))
	}
	reportProcessor(b, before)
}
