// Package routing measures routing decisions under load. In virtual time, with the same arrivals
// and faults, it compares common baselines, the scheduler with more and more of its parts, and an
// oracle with perfect information. The simulated servers have continuous batching and a limited
// prefix cache, and report their load with a delay.
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

// Requests arrive until the time arrivals. Only those that arrive from countFrom to countUntil
// are counted, and the run ends when all of these have ended. So the queues are filled before,
// and the load persists for as long as any of the counted requests may wait.
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

// classShape describes the requests of one class.
type classShape struct {
	class          sched.Class
	share          float64 // of all model requests
	prompt, output [2]int  // minimum and maximum number of tokens
	slack          [2]time.Duration
}

// deadlineFactor determines the deadline of a request: deadlineFactor times the time to generate
// the whole output cap in a full batch, plus the slack of the class.
const deadlineFactor = 1.5

var classShapes = []classShape{
	{sched.Urgent, 0.15, [2]int{200, 500}, [2]int{30, 100}, [2]time.Duration{500 * time.Millisecond, 1500 * time.Millisecond}},
	{sched.Normal, 0.60, [2]int{800, 3000}, [2]int{80, 300}, [2]time.Duration{500 * time.Millisecond, 4 * time.Second}},
	{sched.Batch, 0.25, [2]int{3000, 9000}, [2]int{300, 800}, [2]time.Duration{5 * time.Second, 20 * time.Second}},
}

// minOutputShare and maxOutputShare bound the actual output as a share of the cap. It is uniformly
// distributed.
const minOutputShare, maxOutputShare = 0.3, 1.0

// families is the number of prompt families per account. The prompts of a family share a prefix
// whose length is commonShare of the class's mean prompt.
const (
	families    = 6
	commonShare = 0.6
)

// job is one request and its outcome.
type job struct {
	id       int
	host     int
	account  int
	target   backend.Target
	class    sched.Class
	prompt   int
	hashes   []uint64
	limit    int // output cap
	output   int // actual number of output tokens
	arrive   time.Duration
	deadline time.Duration

	server       int
	attempts     int
	exclude      []string
	ticket       uint64
	runningIndex int // index in sim.running
	running      bool
	result       result
	firstAt      time.Duration
	prefillLeft  float64 // prompt tokens still to be processed
	produced     float64 // output tokens generated
	cached       int
}

// result is the outcome of a job.
type result int

const (
	pending result = iota
	inTime
	refused // rejected before it ran
	late    // ran or waited past its deadline
	failed  // refused after its server was lost
)

// generate returns the requests of a run. load is relative to the capacity.
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
		j := modelJob(rng, weightedPick(rng, weights))
		j.host, j.arrive = weightedPick(rng, hosts), at
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
			account: weightedPick(rng, weights), host: weightedPick(rng, hosts), target: serviceTarget, class: sched.Normal,
			output: 4 + rng.Intn(13), arrive: at, deadline: at + time.Second,
		})
	}
	sortByArrival(jobs)
	return jobs
}

func modelJob(rng *rand.Rand, account int) *job {
	s := classShapes[weightedPick(rng, []float64{classShapes[0].share, classShapes[1].share, classShapes[2].share})]
	j := &job{account: account, target: modelTarget, class: s.class}
	j.prompt = randomBetween(rng, s.prompt)
	j.limit = randomBetween(rng, s.output)
	j.output = max(2, int(float64(j.limit)*(minOutputShare+rng.Float64()*(maxOutputShare-minOutputShare))))
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

// accountWeights returns the accounts' shares of the requests: three large accounts send most of
// them.
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

// hostWeights returns the hosts' shares of the requests. They are unequal, because callers keep
// addresses for a while.
func hostWeights(n int) []float64 {
	w := make([]float64, n)
	for i := range w {
		w[i] = 1 + 0.15*float64(i)
	}
	return w
}

// weightedPick returns a random index, with probabilities proportional to weights.
func weightedPick(rng *rand.Rand, weights []float64) int {
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

func randomBetween(rng *rand.Rand, b [2]int) int { return b[0] + rng.Intn(b[1]-b[0]+1) }

func (j *job) accountName() string { return fmt.Sprintf("account-%02d", j.account) }
