package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	server, id string
	at         time.Time
}

// server is a stand-in of a server.
type server struct {
	id, service, zone, address string
	slots                      int
	fleet                      *fleet
	http                       *http.Server
	stopBeats                  chan struct{}
	once                       sync.Once
	sequence                   atomic.Int64
	next                       atomic.Pointer[string]

	mu       sync.Mutex
	arrivals []arrival
	// stream, if set, answers requests instead of a short body.
	answer func(w http.ResponseWriter, r *http.Request, id string)
}

// startServer starts a server and its heartbeats.
func startServer(f *fleet, n int, service string, slots int) (*server, error) {
	ip := fmt.Sprintf("127.92.%d.%d", f.subnet, n)
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: fmt.Sprintf("i-%08x%02d", rand.Uint32(), n), service: service, zone: zones[n%len(zones)], address: l.Addr().String(),
		slots: slots, fleet: f, stopBeats: make(chan struct{}),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(l) }()
	go s.sendBeats()
	return s, nil
}

func (s *server) sendBeats() {
	for {
		s.beat("ready")
		select {
		case <-s.stopBeats:
			return
		case <-time.After(heartbeatMs * time.Millisecond):
		}
	}
}

// stopBeating ends the heartbeats, as before a planned end.
func (s *server) stopBeating() { s.once.Do(func() { close(s.stopBeats) }) }

// registry returns the address for the next heartbeat: the one that was named last, or any node.
func (s *server) registry() string {
	if next := s.next.Load(); next != nil {
		return *next
	}
	return s.fleet.hosts[rand.Intn(len(s.fleet.hosts))].address(portRegistry)
}

func (s *server) beat(state string) bool {
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"coldLeftMs": 0, "sequence": s.sequence.Add(1),
	})
	for range 3 {
		to := s.registry()
		status, answer, err := call(time.Second, http.MethodPut, "http://"+to+"/bluebellsail/instances/"+s.id, body)
		if err == nil && status/100 == 2 {
			var named struct {
				HeartbeatAddr string `json:"heartbeatAddr"`
			}
			s.next.Store(nil)
			if json.Unmarshal(answer, &named) == nil && named.HeartbeatAddr != "" {
				s.next.Store(&named.HeartbeatAddr)
			}
			return true
		}
		s.next.Store(nil)
	}
	return false
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("Bluebellsail-Server-Load", fmt.Sprintf("0,0,%d", s.slots))
	if r.URL.Path == "/healthz" {
		h.Set("Bluebellsail-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Bluebellsail-Attempt-Id")
	h.Set("Bluebellsail-Attempt-Id", id)
	if r.Header.Get("Bluebellsail-Expect-Instance") != s.id {
		h.Set("Bluebellsail-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{s.id, id, time.Now()})
	s.mu.Unlock()
	s.fleet.rec.logf("server %s runs %s (%s %s, %d bytes, tenant %q)", s.id, id, r.Method, r.URL.Path, len(body), r.Header.Get("Bluebellsail-Tenant"))
	h.Set("Bluebellsail-Server-Seal", "seal."+s.id+"."+id)
	if s.answer != nil {
		s.answer(w, r, id)
		return
	}
	time.Sleep(15 * time.Millisecond)
	_, _ = io.WriteString(w, "answer to "+id)
}

// arrived returns the requests that reached the server.
func (s *server) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func (s *server) stop() {
	s.stopBeating()
	_ = s.http.Close()
}
