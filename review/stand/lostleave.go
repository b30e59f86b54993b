package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// serverCount and leavingCount: the site has 18 servers of a service, and scale_in takes up to 0.135 of them, 2, away
	// at once.
	serverCount  = 18
	leavingCount = 2
	// leaveGap is the time between the DELETE calls of the servers that leave together.
	leaveGap = 5 * time.Millisecond
	// downTime is how long the killed gateway is down: the largest for_s of node_kill in the site file.
	downTime = 3300 * time.Millisecond
	// servesOn is how long the servers go on serving after the confirmation: drainMs and some seconds.
	servesOn = 7 * time.Second
)

// lostLeave has two servers announce their end by DELETE at the same gateway, and kills that gateway after it
// has confirmed them.
func lostLeave(rec *recorder, trouble bool) int {
	f, err := newFleet(rec)
	if err != nil {
		fmt.Println(err)
		return cantRun
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		fmt.Println(err)
		return cantRun
	}
	var servers []*server
	for n := range serverCount {
		s, err := startServer(f, n+1, "wuno96b", 6)
		if err != nil {
			fmt.Println(err)
			return cantRun
		}
		defer s.stop()
		servers = append(servers, s)
	}
	if _, ok := f.putConfig(config(7, 0, false), 15*time.Second); !ok || !f.waitReady(15*time.Second) {
		fmt.Println("the fleet does not get ready")
		return cantRun
	}
	time.Sleep(contactMs*time.Millisecond + 2*time.Second) // all machines are in touch

	c := newClients(f)
	stop := make(chan struct{})
	go c.traffic(stop)
	time.Sleep(3 * time.Second)

	confirmer, leaving := f.sharedReceiver(servers)
	if confirmer == nil {
		fmt.Println("no gateway receives the heartbeats of enough servers")
		return cantRun
	}
	acked := map[*server]time.Time{}
	for _, s := range leaving {
		s.stopBeating()
	}
	for i, s := range leaving {
		if i > 0 {
			time.Sleep(leaveGap)
		}
		status, _, err := call(time.Second, http.MethodDelete, "http://"+confirmer.address(portRegistry)+"/bluebellsail/instances/"+s.id, nil)
		if err != nil || status/100 != 2 {
			fmt.Println("the leave was not confirmed:", status, err)
			return cantRun
		}
		acked[s] = time.Now()
		if trouble && i == len(leaving)-1 {
			confirmer.signal(syscall.SIGKILL)
		}
		rec.logf("server %s: DELETE confirmed by %s with %d", s.id, confirmer.name, status)
	}
	if trouble {
		rec.logf("%s was killed", confirmer.name)
		go func() {
			confirmer.reap()
			time.Sleep(downTime)
			_ = confirmer.start(false)
		}()
	}
	time.Sleep(servesOn)
	close(stop)
	c.wg.Wait()
	late := 0
	for _, s := range leaving {
		late += f.judgeLeave(c, s, confirmer, acked[s])
	}
	if late > 0 {
		return broken
	}
	return held
}

// sharedReceiver returns a gateway to which several servers were told to send their heartbeats, and these.
func (f *fleet) sharedReceiver(servers []*server) (*host, []*server) {
	for _, h := range f.byRole(false) {
		var at []*server
		for _, s := range servers {
			if next := s.next.Load(); next != nil && *next == h.address(portRegistry) && len(at) < leavingCount {
				at = append(at, s)
			}
		}
		if len(at) == leavingCount {
			return h, at
		}
	}
	return nil, nil
}

// judgeLeave counts the requests that reached a server later than drainMs after the confirmation of its end, sent
// on by other gateways than the one that was killed.
func (f *fleet) judgeLeave(c *clients, s *server, confirmer *host, acked time.Time) int {
	late, total := 0, 0
	for _, a := range s.arrived() {
		after := a.at.Sub(acked)
		if after <= 0 {
			continue
		}
		total++
		t := c.find(a.id)
		if after <= drainMs*time.Millisecond || t == nil || strings.HasPrefix(t.gateway, confirmer.ip+":") {
			continue
		}
		late++
		f.rec.logf("LATE: %s reached %s %v after the confirmation, by %s", a.id, s.id, after.Round(time.Millisecond), t.gateway)
	}
	f.rec.logf("result: %s got %d requests after the confirmation, %d of them later than %d ms", s.id, total, late, drainMs)
	fmt.Printf("%s got %d requests after the confirmation, %d of them later than %d ms\n", s.id, total, late, drainMs)
	return late
}

// traffic sends 100 idempotent requests a second to the gateways that the directory names.
func (c *clients) traffic(stop chan struct{}) {
	addresses, asked := c.resolve(), time.Now()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if time.Since(asked) > time.Second {
			if got := c.resolve(); got != nil {
				addresses = got
			}
			asked = time.Now()
		}
		if len(addresses) == 0 {
			continue
		}
		address := addresses[rand.Intn(len(addresses))]
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.send(address, http.MethodGet, plainPath+"2f", "", 600*time.Millisecond, nil)
		}()
	}
}
