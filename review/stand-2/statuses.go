package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// Failing servers: one of six fails two requests of five for failFor in each failEvery.
const (
	failEvery = 8 * time.Second
	failFor   = 6500 * time.Millisecond
	failShare = 0.4
)

// failures are statuses of servers' own that many servers give, and that no standard text belongs to.
var failures = []int{500, 499, 520, 529}

// playStatuses has a server fail some of its requests with statuses of its own.
func playStatuses(p *play) (broken bool, err error) {
	in, err := p.start(3, 3, 2, state{tenants: tenants, kind: "non_idempotent"})
	if err != nil {
		return false, err
	}
	defer in.end()
	c := &clients{fleet: in.fleet, rec: p.rec, tenants: tenants, path: "/jobs/", timeout: 2 * time.Second, post: true}
	began := time.Now()
	if p.trouble {
		s := in.servers[0]
		s.mu.Lock()
		s.failing = func() int {
			if time.Since(began)%failEvery > failFor || rand.Float64() > failShare {
				return 0
			}
			return failures[rand.IntN(len(failures))]
		}
		s.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c.run(ctx, 40)
	given := map[string]int{}
	for _, s := range in.servers {
		for _, a := range s.arrivalsSince(time.Time{}) {
			if a.status > 0 {
				given[s.seal(a.attempt)] = a.status
			}
		}
	}
	wrong := map[string]int{}
	all := c.sentBetween(time.Time{}, time.Now())
	for _, r := range all {
		if status := given[r.seal]; status > 0 && r.status != status {
			broken = true
			wrong[fmt.Sprintf("%d as %d", status, r.status)]++
			p.rec.line("%s: the server's answer with seal %s has status %d, the client gets %d", r.attempt, r.seal, status, r.status)
		}
	}
	p.rec.note("%d requests, statuses %v; the servers failed %d; with another status in the server's name: %v", len(all), statuses(all), len(given), wrong)
	if len(all) < 500 {
		return false, fmt.Errorf("%w: too few requests were sent", errCannotRun)
	}
	return broken, nil
}
