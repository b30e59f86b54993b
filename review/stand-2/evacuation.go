package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// tenants of the cases in which it does not matter who sends.
var tenants = []string{"t1", "t2"}

// freeze is how long a machine stands still.
const freeze = 3500 * time.Millisecond

// playEvacuation has an operator end the evacuation of a zone and begin it anew. The machine that is asked
// first to end it stands still at that moment, so that the operator moves on to another one.
func playEvacuation(p *play) (broken bool, err error) {
	const zone = "zone-c"
	in, err := p.start(3, 4, 2, state{tenants: tenants, kind: "idempotent"})
	if err != nil {
		return false, err
	}
	defer in.end()
	c := &clients{fleet: in.fleet, rec: p.rec, tenants: tenants, path: "/jobs/", timeout: 2 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.run(ctx, 60) }()
	defer func() { cancel(); <-done }()
	time.Sleep(4 * time.Second)

	path := "/bluebellsail/evacuations/" + zone
	a, b := in.fronts()[0], in.fronts()[1]
	if _, _, err := in.operator.order("POST", path, nil, b); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	thawed := make(chan struct{})
	if p.trouble {
		p.rec.note("%s stands still for %v", a.name, freeze)
		a.signal(syscall.SIGSTOP, false)
		go func() {
			defer close(thawed)
			time.Sleep(freeze)
			a.signal(syscall.SIGCONT, false)
			p.rec.note("%s goes on", a.name)
		}()
	} else {
		close(thawed)
	}
	time.Sleep(200 * time.Millisecond)
	m, _, err := in.operator.order("DELETE", path, nil, a, b)
	if err != nil {
		return false, err
	}
	p.rec.note("the end of the evacuation of %s is acknowledged by %s", zone, m.name)
	time.Sleep(600 * time.Millisecond)
	m, acked, err := in.operator.order("POST", path, nil, b)
	if err != nil {
		return false, err
	}
	p.rec.note("the evacuation of %s is acknowledged by %s", zone, m.name)
	<-thawed
	from, to := acked.Add(evacuateBound), acked.Add(evacuateBound+8*time.Second)
	time.Sleep(time.Until(to))

	// The machine that stood still counts from contact after it went on.
	var others, outOfTouch int
	for _, s := range in.serversIn(zone) {
		for _, arrived := range s.arrivalsSince(from) {
			r := c.find(arrived.attempt)
			if r == nil || r.machine == a && r.sent.Before(from.Add(contact)) {
				outOfTouch++
				continue
			}
			others++
		}
	}
	all := c.sentBetween(from, to)
	served := 0
	for _, r := range all {
		if r.served() {
			served++
		}
	}
	p.rec.note("from %.1f s to %.1f s after the acknowledgement: %d requests, %d served; %d reached servers of %s from machines in touch (%d from others)",
		evacuateBound.Seconds(), to.Sub(acked).Seconds(), len(all), served, others, zone, outOfTouch)
	if len(all) < 100 || served < len(all)/2 {
		return false, fmt.Errorf("%w: too few requests were served", errCannotRun)
	}
	return others > 0, nil
}
