package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// crossingServer is a backend server that answers on its channels one request after the other. If it is faulty,
// it sends a second copy of a 421 late, where the answer to the next request on the channel is due.
type crossingServer struct {
	*server
	// faulty reports whether the server's answers are spoiled at the moment.
	faulty   func() bool
	listener net.Listener

	connMu sync.Mutex
	conns  map[net.Conn]bool
	ended  bool
	extras int
}

func (f *fleet) newCrossingServer(n int, zone string, faulty func() bool) *crossingServer {
	return &crossingServer{server: f.newServer(n, "pool", zone, 64), faulty: faulty, conns: map[net.Conn]bool{}}
}

func (s *crossingServer) start() (err error) {
	if s.listener, err = net.Listen("tcp", s.address); err != nil {
		return err
	}
	s.done.Add(2)
	go func() { defer s.done.Done(); s.accept() }()
	go func() { defer s.done.Done(); s.beat() }()
	return nil
}

// crash ends the server without a word.
func (s *crossingServer) crash() {
	close(s.stop)
	_ = s.listener.Close()
	s.connMu.Lock()
	s.ended = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.connMu.Unlock()
	s.done.Wait()
}

func (s *crossingServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connMu.Lock()
		s.conns[c] = true
		ended := s.ended
		s.connMu.Unlock()
		if ended {
			_ = c.Close()
			return
		}
		s.done.Add(1)
		go func() { defer s.done.Done(); s.serveConn(c) }()
	}
}

func (s *crossingServer) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.connMu.Lock()
		delete(s.conns, c)
		s.connMu.Unlock()
	}()
	r := bufio.NewReader(c)
	var extra string
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if extra != "" {
			s.rec.line("server %s: sends its answer 421 a second time", s.id)
			s.connMu.Lock()
			s.extras++
			s.connMu.Unlock()
			if _, err := io.WriteString(c, extra); err != nil {
				return
			}
			extra = ""
		}
		answer, misdirected := s.answerTo(req)
		if misdirected && s.faulty() {
			extra = answer
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// answerTo runs a request, or says that another instance was meant.
func (s *crossingServer) answerTo(req *http.Request) (answer string, misdirected bool) {
	if req.URL.Path == "/healthz" {
		return "HTTP/1.1 200 OK\r\nBluebellsail-Instance-Id: " + s.id + "\r\nContent-Length: 0\r\n\r\n", false
	}
	attempt := req.Header.Get("Bluebellsail-Attempt-Id")
	head := fmt.Sprintf("Bluebellsail-Instance-Id: %s\r\nBluebellsail-Attempt-Id: %s\r\n", s.id, attempt)
	if want := req.Header.Get("Bluebellsail-Expect-Instance"); want != "" && want != s.id {
		s.rec.line("server %s: %s expects %s: 421", s.id, attempt, want)
		return "HTTP/1.1 421 Misdirected Request\r\n" + head + "Content-Length: 0\r\n\r\n", true
	}
	s.rec.line("server %s (%s): runs %s", s.id, s.zone, attempt)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), attempt: attempt})
	s.mu.Unlock()
	time.Sleep(s.work)
	body := "answer to " + attempt
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sBluebellsail-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", head, s.seal(attempt), len(body), body), false
}

// Times of the case.
const (
	restartEvery = 2 * time.Second
	crossedFor   = 50 * time.Second
	// Answers are spoiled for spoiledFor in each spoiledEvery, at three servers of five.
	spoiledEvery = 8 * time.Second
	spoiledFor   = 5 * time.Second
	crossedCount = 5
	spoiledCount = 3
)

// playCrossed has servers crash and start again at once, each with a new id, under requests that are not
// idempotent. A new incarnation answers 421 to what was meant for the former one, and a faulty one does so
// twice, the second time late.
func playCrossed(p *play) (broken bool, err error) {
	in, err := p.startMachines(1, 3, 3)
	if err != nil {
		return false, err
	}
	defer in.end()
	var now, all []*crossingServer
	began := time.Now()
	faulty := func(n int) func() bool {
		return func() bool { return n < spoiledCount && time.Since(began)%spoiledEvery < spoiledFor }
	}
	for n := range crossedCount {
		s := in.newCrossingServer(n, in.zones[n%len(in.zones)], faulty(n))
		if err := s.start(); err != nil {
			return false, err
		}
		now, all = append(now, s), append(all, s)
	}
	defer func() {
		for _, s := range now {
			s.crash()
		}
	}()
	if err := in.serve(state{tenants: tenants, kind: "non_idempotent"}); err != nil {
		return false, err
	}
	c := &clients{fleet: in.fleet, rec: p.rec, tenants: tenants, path: "/jobs/", timeout: 2 * time.Second, post: true}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.run(ctx, 40) }()
	defer func() { cancel(); <-done }()
	began = time.Now()
	for time.Since(began) < crossedFor {
		time.Sleep(restartEvery)
		if !p.trouble {
			continue
		}
		n := rand.IntN(len(now))
		old := now[n]
		old.crash()
		next := in.newCrossingServer(n, old.zone, faulty(n))
		p.rec.note("server %s crashes, %s starts at its address", old.id, next.id)
		if err := next.start(); err != nil {
			return false, err
		}
		now[n], all = next, append(all, next)
	}
	cancel()
	<-done
	return judgeTwice(p, c, all)
}

// judgeTwice counts the requests that more than one server ran.
func judgeTwice(p *play, c *clients, servers []*crossingServer) (broken bool, err error) {
	runs, extras := map[string]int{}, 0
	for _, s := range servers {
		for _, a := range s.arrivalsSince(time.Time{}) {
			runs[a.attempt]++
		}
		extras += s.extras
	}
	twice := 0
	for attempt, n := range runs {
		if n > 1 {
			twice++
			p.rec.note("request %s, which is not idempotent, ran %d times", attempt, n)
		}
	}
	requests := c.sentBetween(time.Time{}, time.Now())
	p.rec.note("%d requests, statuses %v; %d answers 421 came a second time; %d requests ran more than once", len(requests), statuses(requests), extras, twice)
	if statuses(requests)[http.StatusOK] < len(requests)/2 {
		return false, fmt.Errorf("%w: too few requests were served", errCannotRun)
	}
	return twice > 0, nil
}
