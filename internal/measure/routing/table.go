package routing

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/sched"
)

// policy is a router with its name in the table.
type policy struct {
	name string
	make func(m *sim, seed int64) router
}

// oracleName is the policy with which all others are compared.
const oracleName = "oracle"

func withAblation(p sched.Ablation) func(*sim, int64) router {
	return func(m *sim, seed int64) router { return newScheduler(m, seed, sched.Config{Ablation: p}) }
}

var policies = []policy{
	{"round robin", roundRobin},
	{"least reported", leastReported},
	{"+admission, queues", withAblation(sched.Ablation{NoCorrection: true, NoPrefix: true, NoDistance: true})},
	{"+corrected load", withAblation(sched.Ablation{NoPrefix: true, NoDistance: true})},
	{"+zone distance", withAblation(sched.Ablation{NoPrefix: true})},
	{"+prefix cache = ours", withAblation(sched.Ablation{})},
	{oracleName, newOracle},
}

var loads = []float64{0.7, 1.0, 1.3, 2.0}

// row holds the measurements of one run.
type row struct {
	site, fault, policy string
	load                float64

	requests, inTime, refused, late, failed int
	urgent, urgentRefused                   int
	services, servicesInTime                int
	work                                    float64 // output tokens in time
	firstMedian, firstP95                   time.Duration
	hits                                    float64 // cached share of the prompt blocks of dispatched jobs
	excess                                  float64 // busiest server's mean load relative to the mean, minus 1
	jain                                    float64
	wasted                                  float64
	busy                                    float64 // share of slots in use while requests arrive
}

// Run prints the table of all policies, loads and faults.
func Run(w io.Writer, seed int64) error {
	rows := measure(sites, loads, faults, policies, seed)
	return printRows(w, rows)
}

func measure(ss []site, ls []float64, fs []fault, ps []policy, seed int64) []row {
	rows := make([]row, len(ss)*len(ls)*len(fs)*len(ps))
	var wg sync.WaitGroup
	next := make(chan func())
	// Use half of the CPUs, since the machine is shared.
	for range max(runtime.GOMAXPROCS(0)/2, 1) {
		wg.Go(func() {
			for f := range next {
				f()
			}
		})
	}
	i := 0
	for _, s := range ss {
		for _, f := range fs {
			for _, l := range ls {
				for _, p := range ps {
					at := i
					i++
					next <- func() { rows[at] = measureOne(s, l, f, p, seed) }
				}
			}
		}
	}
	close(next)
	wg.Wait()
	return rows
}

func measureOne(s site, load float64, f fault, p policy, seed int64) row {
	jobs := generate(s, load, seed)
	m := newSim(s, f, jobs, seed+1)
	m.run(p.make(m, seed+2))
	r := row{site: s.name, fault: f.name, policy: p.name, load: load, wasted: m.wasted}
	r.count(jobs, s.accounts)
	r.excess, r.busy = m.loadExcess(), m.utilization()
	return r
}

func (r *row) count(jobs []*job, accounts int) {
	served := make([]float64, accounts)
	asked := make([]float64, accounts)
	var firsts []time.Duration
	blocks, hits := 0, 0
	for _, j := range jobs {
		if j.arrive < countFrom || j.arrive >= countUntil {
			continue
		}
		if j.target == serviceTarget {
			r.services++
			if j.result == inTime {
				r.servicesInTime++
			}
			continue
		}
		r.requests++
		asked[j.account] += float64(j.output)
		if j.class == sched.Urgent {
			r.urgent++
		}
		if j.attempts > 0 {
			blocks += len(j.hashes)
			hits += j.cached
		}
		switch j.result {
		case inTime:
			r.inTime++
			r.work += float64(j.output)
			served[j.account] += float64(j.output)
			firsts = append(firsts, j.firstAt-j.arrive)
		case refused:
			r.refused++
			if j.class == sched.Urgent {
				r.urgentRefused++
			}
		case failed:
			r.failed++
		default:
			r.late++
		}
	}
	slices.Sort(firsts)
	if n := len(firsts); n > 0 {
		r.firstMedian, r.firstP95 = firsts[n/2], firsts[n*95/100]
	}
	r.hits = float64(hits) / float64(max(blocks, 1))
	r.jain = jain(served, asked)
}

// jain returns Jain's fairness index of the ratio between what each account was served and its
// max-min fair share of all that was served in time.
func jain(served, asked []float64) float64 {
	total := 0.0
	for _, v := range served {
		total += v
	}
	fair := maxMinShares(asked, total)
	sum, squares, n := 0.0, 0.0, 0.0
	for i := range served {
		if fair[i] <= 0 {
			continue
		}
		x := served[i] / fair[i]
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// maxMinShares returns the max-min fair allocation of total: no account gets more than it asked
// for, and the smallest share is as large as possible.
func maxMinShares(asked []float64, total float64) []float64 {
	out := make([]float64, len(asked))
	left := len(asked)
	sorted := slices.Clone(asked)
	slices.Sort(sorted)
	level := 0.0
	for _, a := range sorted {
		level = total / float64(left)
		if a >= level {
			break
		}
		total -= a
		left--
		level = a
	}
	for i, a := range asked {
		out[i] = min(a, level)
	}
	return out
}

// loadExcess returns by what share the busiest model server's mean load exceeds the mean of all.
func (m *sim) loadExcess() float64 {
	sum, most, n := 0.0, 0.0, 0.0
	for _, s := range m.servers {
		if s.model && !s.dead {
			sum += s.loadSum
			most = max(most, s.loadSum)
			n++
		}
	}
	if sum == 0 {
		return 0
	}
	return most/(sum/n) - 1
}

// utilization returns the share of the model servers' slots that were in use from countFrom to
// countUntil.
func (m *sim) utilization() float64 {
	sum := 0.0
	for _, s := range m.servers {
		if s.model {
			sum += s.busySum
		}
	}
	return sum / float64(m.site.models*modelSlots) / float64((countUntil-countFrom)/tick)
}

func printRows(w io.Writer, rows []row) error {
	head := ""
	oracle := make(map[string]float64)
	for _, r := range rows {
		if r.policy == oracleName {
			oracle[r.group()] = r.work
		}
	}
	for _, r := range rows {
		if g := r.group(); g != head {
			head = g
			if _, err := fmt.Fprintf(w, "\n%s\n%-21s %6s %6s %5s %5s %7s %7s %7s %5s %6s %5s %7s %5s %6s %6s\n", g,
				"policy", "in t.", "refus.", "late", "fail", "urg.ref", "ttft50", "ttft95", "hits", "excess", "Jain", "wasted", "busy", "oracle", "serv."); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(w, r.line(oracle[r.group()])); err != nil {
			return err
		}
	}
	return nil
}

func (r row) group() string {
	return fmt.Sprintf("%s, load %.1f, fault: %s (%d requests, %d of them urgent)", r.site, r.load, r.fault, r.requests, r.urgent)
}

func (r row) line(oracle float64) string {
	return fmt.Sprintf("%-21s %6d %6d %5d %5d %6.2f%% %7s %7s %4.0f%% %5.0f%% %5.3f %7.0f %4.0f%% %5.1f%% %5.1f%%",
		r.policy, r.inTime, r.refused, r.late, r.failed, 100*float64(r.urgentRefused)/float64(max(r.urgent, 1)),
		r.firstMedian.Round(time.Millisecond), r.firstP95.Round(time.Millisecond), 100*r.hits, 100*r.excess, r.jain, r.wasted, 100*r.busy,
		100*r.work/max(oracle, 1), 100*float64(r.servicesInTime)/float64(max(r.services, 1)))
}
