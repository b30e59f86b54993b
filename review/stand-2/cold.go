package main

import (
	"context"
	"fmt"
	"sort"
	"time"
)

// What a cold server of the service bears, as in the site with cold servers.
const (
	coldPerS    = 5.2
	coldOverage = 1.5
	coldExtra   = 5
	coldFor     = 3 * time.Second
)

// playCold ends the evacuation of a zone whose servers have become cold shortly before, which they tell in
// their health answers at once and in their next heartbeat.
func playCold(p *play) (broken bool, err error) {
	const zone = "zone-c"
	in, err := p.start(3, 3, 3, state{tenants: tenants, kind: "idempotent", coldPerS: coldPerS})
	if err != nil {
		return false, err
	}
	defer in.end()
	c := &clients{fleet: in.fleet, rec: p.rec, tenants: tenants, path: "/jobs/", timeout: 2 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.run(ctx, 240) }()
	defer func() { cancel(); <-done }()
	time.Sleep(4 * time.Second)
	path := "/bluebellsail/evacuations/" + zone
	if _, _, err := in.operator.order("POST", path, nil, in.fronts()...); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if p.trouble {
		for _, s := range in.serversIn(zone) {
			s.becomeCold(coldFor)
		}
		p.rec.note("the servers of %s are cold for %v", zone, coldFor)
	}
	time.Sleep(100 * time.Millisecond)
	from := time.Now()
	if _, _, err := in.operator.order("DELETE", path, nil, in.fronts()...); err != nil {
		return false, err
	}
	p.rec.note("the end of the evacuation of %s is acknowledged", zone)
	time.Sleep(5 * time.Second)
	bound := coldPerS*coldOverage + coldExtra
	for _, s := range in.serversIn(zone) {
		var at []time.Time
		arrived := s.arrivalsSince(from)
		for _, a := range arrived {
			if a.cold {
				at = append(at, a.at)
			}
		}
		most := busiestSecond(at)
		p.rec.note("server %s: %d requests after that, %d while cold, %d in the busiest second while cold (at most %.1f)", s.id, len(arrived), len(at), most, bound)
		broken = broken || float64(most) > bound
		if len(arrived) == 0 {
			return false, fmt.Errorf("%w: the zone gets no requests", errCannotRun)
		}
	}
	return broken, nil
}

func busiestSecond(at []time.Time) (most int) {
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	from := 0
	for to := range at {
		for at[to].Sub(at[from]) > time.Second {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}
