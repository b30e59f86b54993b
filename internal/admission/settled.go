package admission

import "github.com/bluebellsail/bluebellsail/internal/ratelimit"

// SettledTime is the time for which a host must have been entitled to an allowance before it uses it.
// Hosts may disagree on the owner for ratelimit.OwnerChangeTime, and what a former owner admitted may
// be rejected and counted by the server for a while after that.
const SettledTime = ratelimit.OwnerChangeTime + rejectionWindow + SettleTime
