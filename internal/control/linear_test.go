package control

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
)

const (
	clients  = 5
	duration = 60 * time.Second
)

type registerInput struct {
	write bool
	key   string
	value string
}

// registerModel models one register per key.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(registerInput).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.value
		}
		return output == state, state
	},
}

// history records operations with their start and end times.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
	reads int
}

func (h *history) add(client int, in registerInput, call, end time.Time, out any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	op := porcupine.Operation{ClientId: client, Input: in, Call: int64(call.Sub(h.start)), Output: out}
	op.Return = int64(end.Sub(h.start))
	h.ops = append(h.ops, op)
	if !in.write {
		h.reads++
	}
}

// client writes and reads at random replicas, so that stale leaders are asked too.
func (h *history) client(c *cluster, id int, rnd *rand.Rand, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		in := registerInput{write: rnd.Intn(2) == 0, key: fmt.Sprint("/k", rnd.Intn(2)), value: fmt.Sprint(id, "-", n)}
		h.operate(c, id, in, rnd)
		time.Sleep(time.Duration(rnd.Intn(300)) * time.Millisecond)
	}
}

func (h *history) operate(c *cluster, id int, in registerInput, rnd *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	replicas := c.running()
	r := replicas[rnd.Intn(len(replicas))]
	call := time.Now()
	if !in.write {
		if res, err := r.Read(ctx, get(in.key)); err == nil {
			h.add(id, in, call, time.Now(), string(res.ValueJson))
		}
		return
	}
	_, err := r.Propose(ctx, set(in.value, in.key, in.value))
	var nl *NotLeaderError
	switch {
	case err == nil:
		h.add(id, in, call, time.Now(), nil)
	case errors.As(err, &nl): // certainly not done
	default: // may take effect at any later time
		h.add(id, in, call, h.start.Add(24*time.Hour), nil)
	}
}

// injectFaults causes one fault after another.
func injectFaults(c *cluster, rnd *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		h := c.hosts[rnd.Intn(len(c.hosts))]
		if rnd.Intn(2) == 0 {
			h = c.leader()
		}
		length := time.Duration(rnd.Intn(4000)) * time.Millisecond
		switch rnd.Intn(5) {
		case 0:
			c.isolate(h, true)
			time.Sleep(length)
			c.isolate(h, false)
		case 1: // it receives nothing, but its messages arrive
			c.blockLinks(h, false, true)
			time.Sleep(length)
			c.isolate(h, false)
		case 2: // its disk hangs, and with it the loop
			wake := time.Now().Add(length)
			h.fs.SetOnSync(func(string) error { time.Sleep(time.Until(wake)); return nil })
			time.Sleep(length)
			h.fs.SetOnSync(nil)
		case 3:
			c.crash(h)
			time.Sleep(length)
			c.start(h)
		case 4:
			c.mu.Lock()
			c.drop = 200
			c.mu.Unlock()
			time.Sleep(length)
			c.mu.Lock()
			c.drop = 0
			c.mu.Unlock()
		}
	}
}

// TestLinearizable checks histories of concurrent clients under partitions, hanging
// disks, crashes and message loss.
func TestLinearizable(t *testing.T) {
	for seed := range int64(4) {
		withCluster(t, func(cfg *Config) { cfg.SnapshotEntries = 40 }, func(t *testing.T, c *cluster) {
			h := &history{start: time.Now()}
			until := h.start.Add(duration)
			var wg sync.WaitGroup
			for id := range clients {
				wg.Go(func() { h.client(c, id, rand.New(rand.NewSource(seed*100+int64(id))), until) })
			}
			injectFaults(c, rand.New(rand.NewSource(seed)), until)
			wg.Wait()
			result := porcupine.CheckOperations(registerModel, h.ops)
			t.Logf("seed %d: %d operations, %d of them reads", seed, len(h.ops), h.reads)
			if !result || h.reads < 50 || len(h.ops)-h.reads < 50 {
				t.Fatalf("linearizable: %v", result)
			}
		})
	}
}
