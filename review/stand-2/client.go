package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Sizes of a generation.
const (
	promptTokens = 1000
	streamEvents = 15
	stride       = 4
	outputCap    = streamEvents * stride
	clientHost   = "books.example"
)

// request is what a client sends, and how it ended.
type request struct {
	attempt, tenant, path string
	stream                bool
	machine               *machine
	sent                  time.Time
	status                int
	seal                  string
	complete              bool
	events                int
}

// served reports whether the client has the whole answer.
func (r *request) served() bool { return r.status == http.StatusOK && r.complete }

// tokens returns what the request consumed of its tenant's prepaid tokens.
func (r *request) tokens() int {
	if !r.stream || r.events == 0 {
		return 0
	}
	return promptTokens + r.events*stride
}

// clients send requests at a steady rate, each over a new channel.
type clients struct {
	fleet   *fleet
	rec     *record
	tenants []string
	path    string
	stream  bool
	timeout time.Duration
	// region and zone are where the clients are; empty: near the machine that they ask.
	region, zone string
	// post has plain requests carry a body.
	post bool

	mu        sync.Mutex
	requests  []*request
	addresses []string
	resolved  time.Time
}

func keyOf(tenant string) string { return "key-" + tenant }

// resolve asks the directory where to connect, at most every two seconds.
func (c *clients) resolve() []string {
	c.mu.Lock()
	addresses, at := c.addresses, c.resolved
	c.mu.Unlock()
	if len(addresses) > 0 && time.Since(at) < 2*time.Second {
		return addresses
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	fronts := c.fleet.fronts()
	for _, i := range rand.Perm(len(fronts))[:min(3, len(fronts))] {
		region, zone := fronts[i].region(), fronts[i].zone
		if c.zone != "" {
			region, zone = c.region, c.zone
		}
		res, err := client.Get("http://" + fronts[i].address(portDirectory) + "/bluebellsail/resolve?name=" + clientHost + "&region=" + region + "&zone=" + zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(res.Body).Decode(&answer)
		_ = res.Body.Close()
		if err == nil && res.StatusCode == http.StatusOK && len(answer.Addresses) > 0 {
			c.mu.Lock()
			c.addresses, c.resolved = answer.Addresses, time.Now()
			c.mu.Unlock()
			return answer.Addresses
		}
	}
	return addresses
}

// run sends requests until ctx ends, and waits for their answers.
func (c *clients) run(ctx context.Context, perSecond float64) {
	var open sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-ctx.Done():
		case <-tick.C:
			open.Add(1)
			go func() {
				defer open.Done()
				c.send(c.tenants[n%len(c.tenants)])
			}()
		}
	}
	open.Wait()
}

// send sends one request to one of the machines that the directory names. One that can't be connected
// to is left out for another one.
func (c *clients) send(tenant string) {
	addresses := c.resolve()
	for _, i := range rand.Perm(len(addresses))[:min(2, len(addresses))] {
		conn, err := net.DialTimeout("tcp", addresses[i], time.Second)
		if err != nil {
			continue
		}
		c.exchange(conn, addresses[i], tenant)
		_ = conn.Close()
		return
	}
	r := &request{attempt: newAttempt(), tenant: tenant, path: c.path, stream: c.stream, sent: time.Now()}
	c.add(r)
	c.rec.line("client: %s finds no machine", r.attempt)
}

func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *clients) add(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
}

func (c *clients) machineAt(address string) *machine {
	for _, m := range c.fleet.fronts() {
		if m.address(portFrontend) == address {
			return m
		}
	}
	return nil
}

func (c *clients) exchange(conn net.Conn, address, tenant string) {
	r := &request{attempt: newAttempt(), tenant: tenant, path: c.path, stream: c.stream, machine: c.machineAt(address), sent: time.Now()}
	var text strings.Builder
	method, body := "GET", ""
	if r.stream || c.post {
		method, body = "POST", "body of "+r.attempt
	}
	fmt.Fprintf(&text, "%s %sx HTTP/1.1\r\nHost: %s\r\nBluebellsail-Attempt-Id: %s\r\nBluebellsail-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, r.path, clientHost, r.attempt, c.timeout.Milliseconds(), keyOf(tenant))
	if body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	if r.stream {
		fmt.Fprintf(&text, "Bluebellsail-Model: m\r\nBluebellsail-Token-Count: %d,%d\r\nBluebellsail-Prompt-Prefix: %x:%d,%s:%d\r\n",
			promptTokens, outputCap, 0xabc0+len(tenant), promptTokens/2, r.attempt, promptTokens/2)
	}
	text.WriteString("\r\n" + body)
	_ = conn.SetDeadline(time.Now().Add(c.timeout))
	if _, err := io.WriteString(conn, text.String()); err == nil {
		c.read(conn, r)
	}
	c.add(r)
	name := address
	if r.machine != nil {
		name = r.machine.name
	}
	c.rec.line("client: %s of %s sent at %.3f to %s: status %d complete %v events %d", r.attempt, tenant, r.sent.Sub(c.rec.began).Seconds(), name, r.status, r.complete, r.events)
}

func (c *clients) read(conn net.Conn, r *request) {
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	r.status, r.seal = res.StatusCode, res.Header.Get("Bluebellsail-Server-Seal")
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: event ") {
			r.events++
		}
	}
	r.complete = lines.Err() == nil && (!r.stream || res.StatusCode != http.StatusOK || r.events == streamEvents)
}

// sentBetween returns the requests that were sent in a span.
func (c *clients) sentBetween(from, to time.Time) (out []*request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if !r.sent.Before(from) && r.sent.Before(to) {
			out = append(out, r)
		}
	}
	return out
}

// find returns the request of an attempt.
func (c *clients) find(attempt string) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.attempt == attempt {
			return r
		}
	}
	return nil
}

// statuses counts requests by their last status; 0 is no answer.
func statuses(requests []*request) map[int]int {
	out := map[int]int{}
	for _, r := range requests {
		out[r.status]++
	}
	return out
}
