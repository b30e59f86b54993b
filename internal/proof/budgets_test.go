package proof

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"
)

// callers sends requests to hosts and records them with their answers.
type callers struct {
	f    *fleet
	wg   sync.WaitGroup
	mu   sync.Mutex
	sent []sentRequest
}

// send submits a request to hosts one after another until it is answered, as a caller who
// retries with the same idempotency key.
func (c *callers) send(key string, idempotent bool, pause time.Duration, hosts ...string) {
	c.wg.Go(func() {
		for _, host := range hosts {
			a := c.f.submit(host, key, idempotent)
			c.mu.Lock()
			c.sent = append(c.sent, a)
			c.mu.Unlock()
			if a.ok && !c.f.occurs("answer to "+key, 300) {
				return
			}
			time.Sleep(pause)
		}
	})
}

// TestBudgetsAcrossPartitions sends requests to six hosts. Calls and answers are lost, delayed
// and duplicated; hosts are cut off from the ledger, transfer tokens to each other and serve
// callers that were already served on the other side, while operators top up and resend. Then
// all partitions end and all hosts drain.
//
// If tokens were held twice, a resend counted twice, or a bill dropped or not recognized as a
// duplicate, a budget would be overspent, a request billed twice or never, or a refusal untrue.
func TestBudgetsAcrossPartitions(t *testing.T) {
	for seed := range int64(10) {
		withFleet(t, seed, 6, 3000, func(f *fleet) {
			rng := rand.New(rand.NewSource(seed))
			c := &callers{f: f}
			f.faults = badNetwork
			for i := range 150 {
				time.Sleep(time.Duration(rng.Intn(150)) * time.Millisecond)
				key := fmt.Sprint("k", i)
				first, second := rng.Intn(6), rng.Intn(6)
				pause := time.Duration(rng.Intn(4000)) * time.Millisecond
				if rng.Intn(3) == 0 { // the caller sends to both hosts concurrently
					c.send(key, true, 0, f.names[second])
				}
				c.send(key, true, pause, f.names[first], f.names[second])
				switch i % 50 {
				case 10:
					cutHosts := rng.Perm(6)[:1+rng.Intn(4)]
					hosts := make([]string, 0, len(cutHosts))
					for _, h := range cutHosts {
						hosts = append(hosts, f.names[h])
					}
					f.cutOff(hosts...)
				case 25:
					f.topUp(fmt.Sprint("op", i), 700)
				case 40:
					f.cutOff()
				}
			}
			c.wg.Wait()
			f.healAndDrain()
			f.check()
			served, notRun := f.checkAnswers(c.sent)
			twice := 0
			for _, runs := range f.engine.byIdentity {
				if len(runs) > 1 {
					twice++
				}
			}
			f.t.Logf("seed %d: %d answered, %d refused as not run, %d ran twice, %d of %d tokens billed",
				seed, served, notRun, twice, f.budget().GetBilled(), f.budget().GetFunded())
			if served == 0 || notRun == 0 {
				f.t.Error("the run did not contain both answers and refusals")
			}
		})
	}
}

// TestRetryUsesExistingRun sends each request to other hosts while it runs and again afterwards.
// If the host that holds the copy of its record treated the retry's record as that of a
// takeover, the retry would run a second time even without any fault.
func TestRetryUsesExistingRun(t *testing.T) {
	withFleet(t, 1, 6, 100_000, func(f *fleet) {
		c := &callers{f: f}
		for i := range 40 {
			key := fmt.Sprint("k", i)
			c.send(key, i%2 == 0, 0, f.names[i%6])
			time.Sleep(20 * time.Millisecond)
			for j := range 4 {
				c.send(key, i%2 == 0, time.Duration(j)*time.Second, f.names[(i+1+j)%6], f.names[(i+2+j)%6])
			}
		}
		c.wg.Wait()
		f.healAndDrain()
		f.check()
		f.checkAnswers(c.sent)
		for identity, runs := range f.engine.byIdentity {
			if len(runs) != 1 {
				f.t.Errorf("identity %s ran %d times", identity, len(runs))
			}
		}
	})
}
