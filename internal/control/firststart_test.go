package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/wal/memfs"
)

// foundingDisk is one disk of a host of the bootstrap list.
type foundingDisk struct {
	id        *identity
	formation *formation // nil once the replica participates, or if it only waits to be added
	since     int        // step of the model at which its process started
}

// founding is a model of the formation of a group, in which hosts lose their disks and messages come late, twice or
// never. The replicas' decisions are those of formation.
type founding struct {
	t     *rapid.T
	now   int
	disks []*foundingDisk
	// participated has the nonces of the disks that have participated under each ID.
	participated map[uint64]map[uint64]bool
	lost         int
}

// patienceSteps is firstStartPatience in steps of the model.
const patienceSteps = 10

func newFounding(t *rapid.T, hosts int) *founding {
	f := &founding{t: t, participated: make(map[uint64]map[uint64]bool)}
	for i := range hosts {
		cfg := foundingConfig(hosts, i)
		id := newIdentity(&cfg)
		f.disks = append(f.disks, &foundingDisk{id: id, formation: newFormation(id)})
	}
	return f
}

func foundingConfig(hosts, i int) Config {
	var addresses []string
	for n := range hosts {
		addresses = append(addresses, fmt.Sprint("host", n))
	}
	return Config{Fleet: "test", Host: fmt.Sprint("host", i), ReplicaAddress: fmt.Sprint("host", i), Members: members(addresses...), FirstStart: true}
}

// step has a disk act on what it has heard.
func (f *founding) step(d *foundingDisk) {
	if d.formation == nil {
		return
	}
	asking := time.Duration(f.now-d.since) * firstStartPatience / patienceSteps
	switch d.formation.state(asking) {
	case formationDone:
		d.id.Nonces, d.id.Formed, d.formation = d.formation.nonces, true, nil
		if f.participated[d.id.ID] == nil {
			f.participated[d.id.ID] = make(map[uint64]bool)
		}
		f.participated[d.id.ID][d.id.Nonce] = true
	case formationLost:
		d.id, d.formation = identityAfterLostDisk(), nil
	}
}

// ask has a disk ask another one; the answer arrives at once or never.
func (f *founding) ask(from, to *foundingDisk, answered bool) {
	if from.formation == nil || to.id.ID == from.id.ID || to.id.Joined {
		return // a replica that waits to be added answers nothing for its predecessor
	}
	request := from.formation.request(to.id.ID)
	to.id.recordLateFounder(request)
	if answer := formationReply(to.id, request); answered {
		from.formation.handleReply(answer)
	}
}

// lose replaces a host's disk by an empty one, which declares no first start.
func (f *founding) lose(i int) {
	f.disks[i] = &foundingDisk{id: identityAfterLostDisk(), since: f.now}
	f.lost++
}

// founders returns the number of disks that participate in the group that was founded.
func (f *founding) founders() (n int) {
	for _, d := range f.disks {
		if d.id.Formed && !d.id.Joined {
			n++
		}
	}
	return n
}

// Guards against two groups from one founding, and against a group that never forms because a host lost its disk before
// all had met: each ID is used by one disk, and unless a majority is lost a majority participates.
func TestGroupFormsOnceDespiteLostDisks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{3, 5, 7}).Draw(t, "hosts")
		f := newFounding(t, hosts)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			f.now++
			i := rapid.IntRange(0, hosts-1).Draw(t, "host")
			switch rapid.SampledFrom([]string{"ask", "ask", "ask", "step", "step", "restart", "lose"}).Draw(t, "action") {
			case "ask":
				f.ask(f.disks[i], f.disks[rapid.IntRange(0, hosts-1).Draw(t, "asked")], rapid.Bool().Draw(t, "answered"))
			case "step":
				f.step(f.disks[i])
			case "restart":
				if d := f.disks[i]; d.formation != nil {
					d.formation, d.since = newFormation(d.id), f.now
				}
			case "lose":
				if 2*(f.lost+1) < hosts {
					f.lose(i)
				}
			}
		}
		for range 3 * patienceSteps { // all hosts run and reach each other
			f.now++
			for _, d := range f.disks {
				for _, other := range f.disks {
					f.ask(d, other, true)
				}
				f.step(d)
			}
		}
		for id, nonces := range f.participated {
			if len(nonces) > 1 {
				t.Fatalf("%d disks have participated as %d", len(nonces), id)
			}
		}
		if 2*f.founders() <= hosts {
			t.Fatalf("%d of %d founders participate after %d lost disks", f.founders(), hosts, f.lost)
		}
	})
}

// Guards against a group that never forms because a host lost its disk at the first start, before it had met the others,
// or for good.
func TestGroupFormsWithoutAHostThatLostItsDisk(t *testing.T) {
	for name, back := range map[string]bool{"comes back": true, "gone for good": false} {
		for _, after := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					joins := false
					c := newCluster(t, 3, func(cfg *Config) { cfg.FirstStart, cfg.Join = !joins, joins })
					time.Sleep(after)
					lost := c.hosts[1]
					_ = lost.r.Close()
					joins, lost.fs = true, memfs.New()
					time.Sleep(time.Second)
					if back {
						c.start(lost)
					}
					if l := c.leader(); l == lost {
						t.Errorf("the replica on the empty disk leads")
					}
				})
			})
		}
	}
}
