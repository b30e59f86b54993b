// Package routing measures the decisions under load: the same arrivals and faults,
// in virtual time, against the usual baselines, each step of the scheduler and an
// oracle that knows everything. Servers are small fakes that batch continuously,
// hold a limited prefix cache and report load late.
package routing

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/sched"
)

// blockTokens is the size of a prefix block.
const blockTokens = 128

// Requests arrive for the time arrivals. Those from countFrom to countUntil are in
// the figures, and the run ends when all of them have ended: so queues are filled
// before, and the load holds for as long as any of them may wait.
const (
	arrivals   = 75 * time.Second
	countFrom  = 20 * time.Second
	countUntil = 45 * time.Second
)

// site is one deployment.
type site struct {
	name     string
	zones    []string
	delay    time.Duration // one way between zones
	models   int
	services int
	hosts    int
	accounts int
}

var sites = []site{
	{"Recife", []string{"boa-vista", "imbiribeira", "olinda"}, 1200 * time.Microsecond, 18, 3, 7, 10},
	{"Santiago", []string{"quilicura", "renca", "maipu", "ñuñoa"}, time.Millisecond, 18, 4, 7, 10},
}

var (
	modelTarget   = backend.Target{Kind: backend.Model, Name: "m"}
	serviceTarget = backend.Target{Kind: backend.Service, Name: "s"}
)

// shape is the form of one class's requests.
type shape struct {
	class          sched.Class
	share          float64 // of all model requests
	prompt, output [2]int  // least and most tokens
	slack          [2]time.Duration
}

// deadlineFactor times the time of the whole output cap at a full batch, plus the
// slack of the class, is a request's deadline.
const deadlineFactor = 1.5

var shapes = []shape{
	{sched.Urgent, 0.15, [2]int{200, 500}, [2]int{30, 100}, [2]time.Duration{500 * time.Millisecond, 1500 * time.Millisecond}},
	{sched.Normal, 0.60, [2]int{800, 3000}, [2]int{80, 300}, [2]time.Duration{500 * time.Millisecond, 4 * time.Second}},
	{sched.Batch, 0.25, [2]int{3000, 9000}, [2]int{300, 800}, [2]time.Duration{5 * time.Second, 20 * time.Second}},
}

// Real outputs are this share of the cap, evenly distributed.
const leastOutput, mostOutput = 0.3, 1.0

// families of prompts per account, and the share of a prompt that its family has in common.
const (
	families    = 6
	commonShare = 0.6
)

// job is one request with what became of it.
type job struct {
	id       int
	host     int
	account  int
	target   backend.Target
	class    sched.Class
	prompt   int
	hashes   []uint64
	limit    int // output cap
	output   int // what it will really be
	arrive   time.Duration
	deadline time.Duration

	server   int
	attempts int
	exclude  []string
	ticket   uint64
	place    int // in the list of running jobs
	running  bool
	result   result
	firstAt  time.Duration
	toFill   float64 // prompt tokens still to be computed
	made     float64 // output tokens made
	cached   int
}

// result of a job.
type result int

const (
	open result = iota
	inTime
	refused // told before it ran that it will not be
	late    // ran or waited past its deadline
	failed  // its server was lost and it was told at once
)

// generate makes the arrivals of a run at a load, the share of the capacity.
func generate(s site, load float64, seed int64) []*job {
	rng := rand.New(rand.NewSource(seed))
	weights := accountWeights(s.accounts)
	hosts := hostWeights(s.hosts)
	var jobs []*job
	rate := load * modelCapacity(s.models)
	for t := 0.0; ; {
		t += rng.ExpFloat64() / rate
		at := time.Duration(t * float64(time.Second))
		if at >= arrivals {
			break
		}
		j := modelJob(rng, pick(rng, weights))
		j.host, j.arrive = pick(rng, hosts), at
		j.deadline += at
		jobs = append(jobs, j)
	}
	rate = load * serviceCapacity(s.services)
	for t := 0.0; ; {
		t += rng.ExpFloat64() / rate
		at := time.Duration(t * float64(time.Second))
		if at >= arrivals {
			break
		}
		jobs = append(jobs, &job{
			account: pick(rng, weights), host: pick(rng, hosts), target: serviceTarget, class: sched.Normal,
			output: 4 + rng.Intn(13), arrive: at, deadline: at + time.Second,
		})
	}
	sortByArrival(jobs)
	return jobs
}

func modelJob(rng *rand.Rand, account int) *job {
	s := shapes[pick(rng, []float64{shapes[0].share, shapes[1].share, shapes[2].share})]
	j := &job{account: account, target: modelTarget, class: s.class}
	j.prompt = between(rng, s.prompt)
	j.limit = between(rng, s.output)
	j.output = max(2, int(float64(j.limit)*(leastOutput+rng.Float64()*(mostOutput-leastOutput))))
	slack := s.slack[0] + time.Duration(rng.Int63n(int64(s.slack[1]-s.slack[0])))
	j.deadline = slack + time.Duration(deadlineFactor*float64(j.limit)*fullTokenTime*float64(time.Second))
	family := rng.Intn(families)
	common := int(commonShare * float64(s.prompt[0]+s.prompt[1]) / 2)
	for at := 0; at+blockTokens <= j.prompt; at += blockTokens {
		h := rng.Uint64()
		if at+blockTokens <= common {
			h = uint64(account)<<40 | uint64(s.class)<<36 | uint64(family)<<32 | uint64(at+1)
		}
		j.hashes = append(j.hashes, h*0x9e3779b97f4a7c15)
	}
	return j
}

// accountWeights: three large accounts send most of the work.
func accountWeights(n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 1
		if i < 3 {
			w[i] = 6
		}
	}
	return w
}

// hostWeights: callers keep addresses for a while, so hosts get unequal work.
func hostWeights(n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 1 + 0.15*float64(i)
	}
	return w
}

func pick(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x < w {
			return i
		}
		x -= w
	}
	return len(weights) - 1
}

func between(rng *rand.Rand, b [2]int) int { return b[0] + rng.Intn(b[1]-b[0]+1) }

func (j *job) accountName() string { return fmt.Sprintf("account-%02d", j.account) }
