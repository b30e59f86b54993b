package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// startSpread: all machines start within 0.3 s of each other.
	startSpread = 250 * time.Millisecond
	// lossAt is when the machine is lost, lossTime how long it is down: the site file's after_ack_wipe has for_s = 1.0 to 3.0.
	lossAt   = 200 * time.Millisecond
	lossTime = time.Second
	// watched is how long the fleet has to get ready after the machine is back; recoverS is 12.
	watched = 75 * time.Second
)

// firstStart has one core machine lose its disk during the first start of the whole system.
func firstStart(rec *recorder, trouble bool) int {
	f, err := newFleet(rec)
	if err != nil {
		fmt.Println(err)
		return cantRun
	}
	defer f.close()
	lost := f.byRole(true)[1]
	if err := lost.start(true); err != nil {
		return cantRun
	}
	time.Sleep(lossAt)
	if trouble {
		lost.signal(syscall.SIGKILL)
		lost.reap()
		if err := os.RemoveAll(lost.dataDir()); err != nil {
			return cantRun
		}
		rec.logf("%s is stopped and has lost its disk", lost.name)
	}
	time.Sleep(startSpread - lossAt)
	for _, h := range f.hosts {
		if h == lost {
			continue
		}
		if err := h.start(true); err != nil {
			return cantRun
		}
	}
	rec.logf("all other machines have started")
	time.Sleep(lossTime - (startSpread - lossAt))
	if trouble {
		if err := lost.start(false); err != nil {
			return cantRun
		}
		rec.logf("%s is back at its address, with an empty data folder and bootstrapEnabled=false", lost.name)
	}
	for n := range 4 {
		s, err := startServer(f, n+1, "wuno96b", 6)
		if err != nil {
			return cantRun
		}
		defer s.stop()
	}
	began := time.Now()
	by, ok := f.putConfig(config(7, 0, false), watched)
	rec.logf("result: desired state confirmed: %v %s, after %v", ok, by, time.Since(began).Round(time.Millisecond))
	fmt.Println("desired state confirmed:", ok, by, "after", time.Since(began).Round(time.Millisecond))
	ready := f.waitReady(5 * time.Second)
	served := 0
	c := newClients(f)
	for _, h := range f.byRole(false) {
		t := c.send(h.address(portRequests), http.MethodGet, plainPath+"2f", "", 600*time.Millisecond, nil)
		if t.status == http.StatusOK {
			served++
		}
	}
	rec.logf("result: all gateways ready: %v; of %d requests %d were served", ready, len(f.byRole(false)), served)
	fmt.Println("all gateways ready:", ready, "served:", served)
	if served == 0 {
		return broken
	}
	return held
}
