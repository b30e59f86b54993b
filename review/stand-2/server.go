package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// portServer is the port of all servers; each has an address of its own.
const portServer = 8120

// beatEvery is the time between two heartbeats, as in the sites' settings.
const beatEvery = 1200 * time.Millisecond

// arrival is a request that reached a server and was run.
type arrival struct {
	at      time.Time
	attempt string
	cold    bool
	// status is what the server answered, if it failed the request.
	status int
	// from is the address of the machine from which its channel came.
	from string
}

// server is one incarnation of a sound backend server.
type server struct {
	fleet             *fleet
	rec               *record
	id, service, zone string
	address           string
	slots             int
	// work is how long a plain request takes, gap the time between two events of a stream.
	work, gap time.Duration
	http      *http.Server
	stop      chan struct{}
	done      sync.WaitGroup
	// closeOneIn has one in so many answers close its channel; 0: none.
	closeOneIn int
	// busy has the server accept no channels for short times.
	busy bool
	// failing returns the status with which the server fails a request; 0: it runs well.
	failing func() int

	mu        sync.Mutex
	sequence  int
	next      string
	arrivals  []arrival
	running   int
	coldUntil time.Time
}

func (f *fleet) newServer(n int, service, zone string, slots int) *server {
	return &server{
		fleet: f, rec: f.rec, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone,
		address: net.JoinHostPort(fmt.Sprintf("%s.%d", f.subnet, 20+n), strconv.Itoa(portServer)),
		slots:   slots, work: 15 * time.Millisecond, gap: 20 * time.Millisecond, stop: make(chan struct{}),
	}
}

func (s *server) start() error {
	l, err := s.listen()
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.done.Add(2)
	go func() { defer s.done.Done(); _ = s.http.Serve(l) }()
	go func() { defer s.done.Done(); s.beat() }()
	return nil
}

func (s *server) close() {
	close(s.stop)
	_ = s.http.Close()
	s.done.Wait()
}

func (s *server) beat() {
	time.Sleep(time.Duration(rand.Int64N(int64(beatEvery))))
	for {
		s.sendBeat()
		select {
		case <-s.stop:
			return
		case <-time.After(beatEvery):
		}
	}
}

// sendBeat sends one heartbeat to the named node, or else to others until one acknowledges it.
func (s *server) sendBeat() {
	s.mu.Lock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"coldLeftMs": max(time.Until(s.coldUntil).Milliseconds(), 0), "sequence": s.sequence,
	})
	next := s.next
	s.mu.Unlock()
	var targets []string
	if next != "" {
		targets = append(targets, next)
	}
	for _, i := range rand.Perm(len(s.fleet.machines)) {
		targets = append(targets, s.fleet.machines[i].address(portControl))
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, target := range targets[:min(len(targets), 4)] {
		select {
		case <-s.stop:
			return
		default:
		}
		req, err := http.NewRequest(http.MethodPut, "http://"+target+"/bluebellsail/instances/"+s.id, bytes.NewReader(body))
		if err != nil {
			return
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := client.Do(req)
		if err != nil {
			continue
		}
		var answer struct {
			HeartbeatAddr string `json:"heartbeatAddr"`
		}
		_ = json.NewDecoder(io.LimitReader(res.Body, 4096)).Decode(&answer)
		_ = res.Body.Close()
		if res.StatusCode/100 == 2 {
			s.mu.Lock()
			s.next = answer.HeartbeatAddr
			s.mu.Unlock()
			return
		}
	}
	s.mu.Lock()
	s.next = ""
	s.mu.Unlock()
}

// becomeCold makes the server cold for d.
func (s *server) becomeCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
}

// seal returns what the server's answers to an attempt bear.
func (s *server) seal(attempt string) string { return "seal-" + s.id + "-" + attempt }

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Bluebellsail-Instance-Id", s.id)
	if r.URL.Path == "/healthz" {
		s.mu.Lock()
		h.Set("Bluebellsail-Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.slots))
		h.Set("Bluebellsail-Cold-Ms", strconv.FormatInt(max(time.Until(s.coldUntil).Milliseconds(), 0), 10))
		s.mu.Unlock()
		return
	}
	attempt := r.Header.Get("Bluebellsail-Attempt-Id")
	h.Set("Bluebellsail-Attempt-Id", attempt)
	if want := r.Header.Get("Bluebellsail-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	if s.running >= s.slots {
		s.mu.Unlock()
		h.Set("Bluebellsail-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	now := time.Now()
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	a := arrival{at: now, attempt: attempt, cold: now.Before(s.coldUntil), from: from}
	if s.failing != nil {
		a.status = s.failing()
	}
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	s.rec.line("server %s (%s, %s): runs %s for tenant %q from %s cold %v", s.id, s.service, s.zone, attempt, r.Header.Get("Bluebellsail-Tenant"), from, a.cold)
	if s.closeOneIn > 0 && rand.IntN(s.closeOneIn) == 0 {
		h.Set("Connection", "close")
	}
	h.Set("Bluebellsail-Server-Seal", s.seal(attempt))
	if count := r.Header.Get("Bluebellsail-Token-Count"); count != "" {
		s.stream(w, r)
		return
	}
	time.Sleep(s.work)
	body := "answer to " + attempt
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if a.status > 0 {
		w.WriteHeader(a.status)
	}
	_, _ = io.WriteString(w, body)
}

// stream sends the events of a generation, each of stride tokens.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flusher, _ := w.(http.Flusher)
	for n := after + 1; n <= streamEvents; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n, n); err != nil {
			return
		}
		flusher.Flush()
	}
}

// arrivalsSince returns the requests that the server ran from a time on.
func (s *server) arrivalsSince(t time.Time) (out []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if !a.at.Before(t) {
			out = append(out, a)
		}
	}
	return out
}
