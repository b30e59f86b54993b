package admission

import "github.com/bluebellsail/bluebellsail/internal/ratelimit"

const (
	// AgreedTime is the time after which nothing that a former owner admitted is rejected and counted
	// any more. A host that knows that all other hosts have taken it for the owner for so long may use
	// its allowance.
	AgreedTime = rejectionWindow + SettleTime
	// SettledTime is the time for which any other host must have been entitled to an allowance before it
	// uses it: hosts may disagree on the owner for ratelimit.OwnerChangeTime.
	SettledTime = ratelimit.OwnerChangeTime + AgreedTime
)
