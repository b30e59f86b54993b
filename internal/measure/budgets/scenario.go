package budgets

import (
	"math/rand"
	"time"
)

// The simulated fleet has 7 hosts in three availability zones, as both users have today. The
// ledger's leader is in zone 0. A cut separates zone 2, which has no quorum.
const (
	hostCount  = 7
	cutZone    = 2
	warmUp     = 10 * time.Minute
	afterCut   = 30 * time.Second
	totalRate  = 8.0 // requests a second, all accounts
	budgetLife = 4 * time.Hour
)

var zoneOf = [hostCount]int{0, 0, 0, 1, 1, 2, 2}

// accountShare is each account's share of the demand: 3 large accounts and 7 small ones.
var accountShare = [...]float64{0.22, 0.22, 0.22, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.04}

// The sizes of requests in tokens. The output is limited by the cap, of which a third is used on
// average.
const (
	promptLeast, promptMost = 300, 900
	outputCap               = 1024
	meanUsage               = (promptLeast+promptMost)/2 + outputCap/3
	tokensPerSecond         = 30
)

// scenario is one row of the table.
type scenario struct {
	cut    time.Duration
	spent  float64 // share of each budget that is billed when the cut begins
	skewed bool    // 70% of an account's requests go to one host
	seed   int64
}

// request is one caller's request.
type request struct {
	id       string
	host     int
	account  int
	at       time.Duration
	reserve  uint64
	use      uint64
	duration time.Duration
	decided  bool
}

// cutStart and cutEnd return the start and the end of the cut in virtual time.
func (s scenario) cutStart() time.Duration { return warmUp }
func (s scenario) cutEnd() time.Duration   { return warmUp + s.cut }
func (s scenario) end() time.Duration      { return s.cutEnd() + afterCut }

// funded returns the size of an account's budget, which is its mean demand during budgetLife.
func funded(account int) uint64 {
	return uint64(accountShare[account] * totalRate * meanUsage * budgetLife.Seconds())
}

// billedBefore returns the tokens billed before the run, chosen so that the share spent is
// reached on average when the cut begins.
func (s scenario) billedBefore(account int) uint64 {
	part := s.spent - warmUp.Seconds()/budgetLife.Seconds()
	return uint64(max(0, part) * float64(funded(account)))
}

// requests generates the demand, which is the same for all strategies in a scenario.
func (s scenario) requests() []*request {
	rng := rand.New(rand.NewSource(s.seed))
	var all []*request
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / totalRate * float64(time.Second))
		if at >= s.end() {
			return all
		}
		all = append(all, s.randomRequest(rng, len(all), at))
	}
}

func (s scenario) randomRequest(rng *rand.Rand, n int, at time.Duration) *request {
	account := randomAccount(rng)
	prompt := uint64(promptLeast + rng.Intn(promptMost-promptLeast))
	output := uint64(rng.Intn(2 * outputCap / 3))
	return &request{
		id: requestID(n), account: account, at: at, host: s.randomHost(rng, account),
		reserve: prompt + outputCap, use: prompt + output,
		duration: time.Second + time.Duration(output)*time.Second/tokensPerSecond,
	}
}

func randomAccount(rng *rand.Rand) int {
	x := rng.Float64()
	for i, share := range accountShare {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(accountShare) - 1
}

func (s scenario) randomHost(rng *rand.Rand, account int) int {
	any := rng.Intn(hostCount)
	if s.skewed && rng.Float64() < 0.7 {
		return (account*3 + 5) % hostCount
	}
	return any
}
