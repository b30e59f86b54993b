package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// A generation of each tenant every tenth of a second, and what the tenants have prepaid: a tenth more than
// all their requests of the whole day may consume at their most.
const (
	perTenant   = 10
	dayLength   = 49 * time.Second
	prepaidMore = 1.1
)

// Times of the day, from its first request.
const (
	firstKill  = 4 * time.Second
	killEvery  = 3 * time.Second
	lastKill   = 25 * time.Second
	finalFault = 27 * time.Second
	downFor    = 500 * time.Millisecond
	measureFor = 10 * time.Second
	// killedAtOnce of five machines is the share of the sites.
	killedAtOnce = 3
)

// playStranded kills most of the machines that clients reach again and again, and all processes at the end.
// Then it looks whether the tenants are served from what they have prepaid.
func playStranded(p *play) (broken bool, err error) {
	tenants := []string{"t1", "t2", "t3"}
	prepaid := int(prepaidMore * dayLength.Seconds() * perTenant * (promptTokens + outputCap))
	in, err := p.start(3, 5, 2, state{tenants: tenants, prepaid: prepaid, engine: true})
	if err != nil {
		return false, err
	}
	defer in.end()
	c := &clients{fleet: in.fleet, rec: p.rec, tenants: tenants, path: "/jobs/", stream: true, timeout: 6 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	began := time.Now()
	go func() { defer close(done); c.run(ctx, float64(perTenant*len(tenants))) }()
	defer func() { cancel(); <-done }()

	if p.trouble {
		if err := in.killAgainAndAgain(p, began); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(began.Add(finalFault)))
	back := time.Now()
	if p.trouble {
		if back, err = in.killAll(p); err != nil {
			return false, err
		}
	}
	from := back.Add(recoverBound)
	to := from.Add(measureFor)
	time.Sleep(time.Until(to))
	cancel()
	<-done
	return judgeRecovery(p, c, tenants, prepaid, c.sentBetween(began, began.Add(firstKill)), c.sentBetween(from, to)), nil
}

// killAgainAndAgain kills three of the five machines that clients reach, in turn, every three seconds.
func (in *installation) killAgainAndAgain(p *play, began time.Time) error {
	fronts := in.fronts()
	for n, at := 0, firstKill; at <= lastKill; n, at = n+1, at+killEvery {
		time.Sleep(time.Until(began.Add(at)))
		var killed []*machine
		for i := range killedAtOnce {
			killed = append(killed, fronts[(n+i)%len(fronts)])
		}
		p.rec.note("%s, %s and %s are killed", killed[0].name, killed[1].name, killed[2].name)
		if err := restart(killed...); err != nil {
			return err
		}
	}
	return nil
}

// restart kills machines at the same moment and starts them again.
func restart(machines ...*machine) error {
	var killed sync.WaitGroup
	for _, m := range machines {
		killed.Add(1)
		go func() { defer killed.Done(); m.kill() }()
	}
	killed.Wait()
	time.Sleep(downFor)
	for _, m := range machines {
		if err := m.start(false); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all processes and returns when the machines are back.
func (in *installation) killAll(p *play) (back time.Time, err error) {
	p.rec.note("all processes are killed")
	err = restart(in.machines...)
	p.rec.note("the machines are back")
	return time.Now(), err
}

// judgeRecovery compares the share that was served before and after, and tells what the tenants had left.
func judgeRecovery(p *play, c *clients, tenants []string, prepaid int, before, after []*request) (broken bool) {
	servedBefore, servedAfter := 0, 0
	for _, r := range before {
		if r.served() {
			servedBefore++
		}
	}
	for _, r := range after {
		if r.served() {
			servedAfter++
		}
	}
	used := map[string]int{}
	for _, r := range c.sentBetween(time.Time{}, time.Now()) {
		used[r.tenant] += r.tokens()
	}
	for _, t := range tenants {
		p.rec.note("tenant %s: %d of %d prepaid tokens were consumed in the whole run", t, used[t], prepaid)
	}
	p.rec.note("before: %d of %d served; from %v after the machines were back: %d of %d served, statuses %v",
		servedBefore, len(before), recoverBound, servedAfter, len(after), statuses(after))
	if len(before) == 0 || len(after) == 0 || servedBefore*4 < len(before) {
		p.rec.note("%v", fmt.Errorf("%w as it should before the final fault", errCannotRun))
		return false
	}
	return servedAfter*4 < len(after)
}
