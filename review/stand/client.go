package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	routeHost  = "ficu95.example"
	tenantName = "hule930"
	tenantKey  = "n2ctnfzs989anu6wsjnb"
	plainPath  = "/cufi504/"
	oncePath   = "/puxa403/"
	streamPath = "/lohu930/"
)

// config returns a desired state with one plain service, routes to it and, if engine is set, a model service.
func config(version int, prepaid int64, engine bool) []byte {
	routes := []map[string]any{
		{"name": "r-safe", "host": routeHost, "pathPrefix": plainPath, "routeKind": "idempotent", "timeoutMs": 600, "goalMs": 100, "priority": 2, "service": "wuno96b", "maxAttempts": 2, "anonymous": false, "sticky": false, "resumable": false},
		{"name": "r-once", "host": routeHost, "pathPrefix": oncePath, "routeKind": "non_idempotent", "timeoutMs": 600, "goalMs": 100, "priority": 2, "service": "wuno96b", "maxAttempts": 2, "anonymous": false, "sticky": false, "resumable": false},
	}
	services := []map[string]any{{"name": "wuno96b", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false}}
	if engine {
		routes = append(routes, map[string]any{"name": "r-stream", "host": routeHost, "pathPrefix": streamPath, "routeKind": "streaming", "timeoutMs": 10000, "goalMs": 1000, "priority": 1, "service": "huvo11a", "maxAttempts": 2, "anonymous": false, "sticky": true, "resumable": false, "gapGoalMs": 500})
		services = append(services, map[string]any{"name": "huvo11a", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacityTokens": 473530, "kvTokenBytes": 18432, "linkMbps": 370000.0, "moves": true, "backups": true, "stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "models": []any{map[string]any{"name": "m"}}}})
	}
	tenant := map[string]any{"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 1}
	if prepaid > 0 {
		tenant["prepaid"] = prepaid
	}
	doc, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{tenant},
	})
	return doc
}

// try is one client attempt.
type try struct {
	id, gateway string
	sent, ended time.Time
	status      int
	err         error
	body        string
}

// clients sends requests and keeps what became of them.
type clients struct {
	fleet *fleet
	mu    sync.Mutex
	tries map[string]*try
	wg    sync.WaitGroup
}

func newClients(f *fleet) *clients { return &clients{fleet: f, tries: map[string]*try{}} }

// resolve asks a node for the addresses of gateways.
func (c *clients) resolve() []string {
	gateways := c.fleet.byRole(false)
	for range 3 {
		h := gateways[rand.Intn(len(gateways))]
		url := "http://" + h.address(portDirectory) + "/bluebellsail/resolve?name=" + routeHost + "&region=recife&zone=" + h.zone
		_, body, err := call(time.Second, http.MethodGet, url, nil)
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		if err == nil && json.Unmarshal(body, &answer) == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// send makes one attempt at a gateway's address and waits for its end.
func (c *clients) send(address, method, path, body string, deadline time.Duration, headers map[string]string) *try {
	t := &try{id: fmt.Sprintf("%016x", rand.Uint64()), gateway: address, sent: time.Now()}
	c.mu.Lock()
	c.tries[t.id] = t
	c.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.err = err
		return t
	}
	req.Host = routeHost
	req.Header.Set("Bluebellsail-Attempt-Id", t.id)
	req.Header.Set("Bluebellsail-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+tenantKey)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	status, answer, err := do(req, deadline)
	t.ended, t.status, t.err, t.body = time.Now(), status, err, string(answer)
	c.fleet.rec.logf("client %s %s %s at %s: status %d err %v", t.id, method, path, address, status, err)
	return t
}

func (c *clients) find(id string) *try {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tries[id]
}
