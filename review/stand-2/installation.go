package main

import (
	"encoding/json"
	"time"
)

// state is a desired state with one route to one service. Zero fields are left out or take the values of a
// plain service.
type state struct {
	tenants []string
	// prepaid is what each tenant has prepaid, in tokens; 0: no limit.
	prepaid int
	// kind is the route's kind; the route of an engine is streaming and resumable.
	kind   string
	engine bool
	// homes are the areas to which the route is restricted.
	homes []string
	// coldPerS is what a cold server bears.
	coldPerS float64
}

func (s state) document(version int) []byte {
	route := map[string]any{
		"name": "r-1", "host": clientHost, "pathPrefix": "/jobs/", "routeKind": s.kind, "timeoutMs": 2000, "goalMs": 100, "priority": 0,
		"service": "pool", "maxAttempts": 2, "anonymous": false, "sticky": false, "resumable": false,
	}
	if len(s.homes) > 0 {
		route["allowedRegions"] = s.homes
	}
	service := map[string]any{"name": "pool", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": s.coldPerS}
	if s.engine {
		route["routeKind"], route["sticky"], route["resumable"] = "streaming", true, true
		route["timeoutMs"], route["goalMs"], route["gapGoalMs"] = 6000, 800, 500
		service["engine"] = map[string]any{
			"slots": 64, "kvCapacityTokens": 473530, "kvTokenBytes": 18432, "linkMbps": 370000.0, "moves": true, "backups": true,
			"stride": stride, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "models": []any{map[string]any{"name": "m"}},
		}
	}
	var accounts []any
	for _, t := range s.tenants {
		a := map[string]any{"name": t, "apiKeys": []string{keyOf(t)}}
		if s.prepaid > 0 {
			a["prepaid"] = s.prepaid
		}
		accounts = append(accounts, a)
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": []any{route}, "services": []any{service}, "tenants": accounts,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return b
}

// installation is a running system with its servers and the operator.
type installation struct {
	*fleet
	operator *operator
	servers  []*server
}

// start starts a system with servers in each zone and its first desired state, and waits until it serves.
func (p *play) start(cores, fronts, perZone int, s state) (*installation, error) {
	in, err := p.startMachines(1, cores, fronts)
	if err != nil {
		return nil, err
	}
	for _, zone := range in.zones {
		for range perZone {
			if err := in.add(in.newServer(len(in.servers), "pool", zone, 64)); err != nil {
				in.end()
				return nil, err
			}
		}
	}
	if err := in.serve(s); err != nil {
		in.end()
		return nil, err
	}
	return in, nil
}

// startMachines starts the machines of a system whose zones are in one area or two.
func (p *play) startMachines(areas, cores, fronts int) (*installation, error) {
	f, err := newFleet(p.rec, p.root, p.dir, []string{"zone-a", "zone-b", "zone-c"}, areas, cores, fronts)
	if err != nil {
		return nil, err
	}
	p.onStop(f.close)
	in := &installation{fleet: f, operator: &operator{f, p.rec}}
	if err := f.startAll(); err != nil {
		in.end()
		return nil, err
	}
	return in, nil
}

// add starts a server.
func (in *installation) add(s *server) error {
	if err := s.start(); err != nil {
		return err
	}
	in.servers = append(in.servers, s)
	return nil
}

// serve sends the first desired state and waits until the system serves.
func (in *installation) serve(s state) error {
	if _, _, err := in.operator.order("PUT", "/bluebellsail/config", s.document(1), in.cores()...); err != nil {
		return err
	}
	if err := in.awaitReady(in.fronts(), 20*time.Second); err != nil {
		return err
	}
	in.rec.note("the system serves: %d core machines, %d frontend machines, %d servers", len(in.cores()), len(in.fronts()), len(in.servers))
	return nil
}

func (in *installation) end() {
	in.fleet.close()
	for _, s := range in.servers {
		s.close()
	}
}

func (in *installation) serversIn(zone string) (out []*server) {
	for _, s := range in.servers {
		if s.zone == zone {
			out = append(out, s)
		}
	}
	return out
}
