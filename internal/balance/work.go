package balance

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/admission"
	"github.com/bluebellsail/bluebellsail/internal/instance"
)

// Part is one part of a prompt. Requests share parts. An engine can reuse a cached part as long
// as all parts before it are cached too.
type Part struct {
	ID     uint64
	Tokens uint64
}

// SharedParts returns the parts of a prompt that other requests may share: all but the last one.
func SharedParts(prompt []Part) []Part { return prompt[:max(len(prompt)-1, 0)] }

// Work describes a request for the choice of a server.
type Work struct {
	Service string
	// Engine reports whether the service runs language models.
	Engine bool
	// CacheTokens is the cache capacity of a server of the service, in tokens.
	CacheTokens uint64
	// Prompt lists the parts of the prompt in order; the last one belongs to this request or its
	// session alone.
	Prompt []Part
	// PromptTokens is the size of the whole prompt.
	PromptTokens uint64
	// Objective is the target time to the first part of the answer; 0: none.
	Objective time.Duration
	// Exclude lists the incarnations of servers that already had the request. A later incarnation
	// under the same id is not excluded: it is another process, which has not failed the request,
	// and may be the only server left.
	Exclude []instance.Incarnation
	// Regions are the only regions whose servers may get the request; empty: all.
	Regions []string
	// Versions are the only software versions whose servers may get the request; empty: all.
	Versions []string
	// Shard restricts the choice to a part of the service's servers.
	Shard Shard
	// HeldPermitsOnly excludes servers for which a permit would have to be requested first.
	HeldPermitsOnly bool
	// Admission is the admission of this request to a brittle server; the zero value if there is none.
	// If that server may get the request, it is chosen.
	Admission admission.Admission
	// Lifetime is when the request has ended at the latest, for its admission; 0: not known.
	Lifetime time.Duration
	// Account is the client account; empty: none. Weight is its share of scarce room, relative to the
	// other accounts; 0 counts as 1.
	Account string
	Weight  uint64
	// Rank is the request's priority, 0 being the highest.
	Rank int
	// OutputTokens is the expected size of the answer in tokens; 0: not known.
	OutputTokens uint64
	// OutputCap is the most tokens that the answer may have; 0: not known.
	OutputCap uint64
	// MaxWait is how long the request may wait for room at a server; 0: not at all.
	MaxWait time.Duration
	// Remaining is how long the caller still waits for the answer of a plain service; 0: not known.
	Remaining time.Duration
	// IgnoreRoom chooses a server even if none has room, for hosts that can't wait for it.
	IgnoreRoom bool
}

// Choice is the assignment of one request to a server.
type Choice struct {
	Ticket   uint64
	Instance instance.Announcement
	// Wait is the predicted time to the first part of the answer.
	Wait time.Duration
	// Cached is the number of prompt tokens that the server is expected to have cached, Shared
	// the number of prompt tokens that other requests may share.
	Cached, Shared uint64
	// PreferredWait is the wait predicted at the preferred server of the shared parts; 0: none.
	PreferredWait time.Duration
	// Running is the number of requests of this host that were already running at the server.
	Running int
	// Considered is the number of servers compared.
	Considered int
	// CooldownLeft is the rest of the server's cooldown for this host.
	CooldownLeft time.Duration
	// Admission is the admission that the request used; the zero value if it needed none.
	Admission admission.Admission
	// Waited is how long the request waited for room at a server. Ahead is the number of requests that
	// waited there when it came. Owner is the host that chose the server, if that is another one and
	// requests wait for room.
	Waited time.Duration
	Ahead  int
	Owner  string
	// MemoryPermille is the share of the engine's memory that the requests assigned to it hold, this one
	// included, in thousandths; 0: not known.
	MemoryPermille uint32
}

// Load is the load that a server reports with an answer.
type Load struct {
	// Counted is set if the server reported Running, Waiting and Slots: the requests that it ran, those
	// that waited there, and the number that it runs at once.
	Counted                 bool
	Running, Waiting, Slots int
	// Failed is set if the answer was a server error.
	Failed bool
	// Slowdown is how much longer than usual work takes on the server's machine at present, as a
	// factor; 0: not reported.
	Slowdown float64
}

// Result is the outcome of a request as far as it bears on the health of the server.
type Result int

// Outcomes of a request.
const (
	// Served: the server answered, with whatever status.
	Served Result = iota
	// Shed: the server was full and did not run the request.
	Shed
	// Unreachable: no connection opened, or the request could not be sent.
	Unreachable
	// Broken: the answer was missing, truncated or malformed.
	Broken
	// Abandoned: the caller left or the deadline passed; it does not bear on the server's health.
	Abandoned
)

// SharedTokens returns the size of all parts but the last, which other requests share.
func SharedTokens(prompt []Part) uint64 {
	sum := uint64(0)
	for i := range max(len(prompt)-1, 0) {
		sum += prompt[i].Tokens
	}
	return sum
}
