package main

import (
	"context"
	"fmt"
	"time"
)

// playHomes has requests on a route that is restricted to the clients' own area, while the servers' queues
// of new channels are full for a moment again and again.
func playHomes(p *play) (broken bool, err error) {
	in, err := p.startBusy()
	if err != nil {
		return false, err
	}
	defer in.end()
	c := &clients{
		fleet: in.fleet, rec: p.rec, tenants: tenants, path: "/jobs/", timeout: 2 * time.Second, region: region1, zone: in.zones[0], post: true,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.run(ctx, 40) }()
	time.Sleep(30 * time.Second)
	cancel()
	<-done

	elsewhere, all, served := 0, 0, 0
	for _, s := range in.servers {
		for _, a := range s.arrivalsSince(time.Time{}) {
			all++
			r, from := c.find(a.attempt), in.machineAt(a.from)
			if r == nil || from == nil {
				return false, fmt.Errorf("%w: request %s from %s is unknown", errCannotRun, a.attempt, a.from)
			}
			if from.region() != region1 && from != r.machine {
				elsewhere++
				p.rec.line("the body of %s, which its client sent to %s in %s, came from %s in %s", a.attempt, r.machine.name, r.machine.region(), from.name, from.region())
			}
		}
	}
	for _, r := range c.sentBetween(time.Time{}, time.Now()) {
		if r.served() {
			served++
		}
	}
	p.rec.note("%d requests served, %d arrivals; the bodies of %d were sent to a machine in another area than the route's and the client's", served, all, elsewhere)
	if served < 500 {
		return false, fmt.Errorf("%w: too few requests were served", errCannotRun)
	}
	return elsewhere > 0, nil
}

// startBusy starts a system in two areas, whose servers are all in the first one.
func (p *play) startBusy() (*installation, error) {
	in, err := p.startMachines(2, 3, 3)
	if err != nil {
		return nil, err
	}
	for range 3 {
		s := in.newServer(len(in.servers), "pool", in.zones[0], 64)
		s.closeOneIn, s.busy = 5, p.trouble
		if err := in.add(s); err != nil {
			in.end()
			return nil, err
		}
	}
	if err := in.serve(state{tenants: tenants, kind: "idempotent", homes: []string{region1}}); err != nil {
		in.end()
		return nil, err
	}
	return in, nil
}

// machineAt returns the machine with an address.
func (f *fleet) machineAt(ip string) *machine {
	for _, m := range f.machines {
		if m.ip == ip {
			return m
		}
	}
	return nil
}
