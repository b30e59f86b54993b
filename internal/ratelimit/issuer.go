package ratelimit

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

const (
	// PermitLifetime is how long a permit is valid, counted from when it was requested.
	PermitLifetime = 300 * time.Millisecond
	// minRate is the rate, in requests a second, at which a server gets requests however low its
	// limit is: only an answer can show that the limit was lifted.
	minRate = 0.2
	// minBurst is the burst size of a bucket, in addition to the permits of burstTime.
	minBurst  = 2
	burstTime = 100 * time.Millisecond
	// backupShare is the share of a limit that a host issues while another may issue all of it.
	backupShare = 0.2
	// backupDelay is how long a new bucket issues no more than minRate, unless its share is settled.
	backupDelay = 500 * time.Millisecond
	// reachMargin lets a fleet that has lost one host of six issue the whole limit. The sides
	// of a partition together issue at most that factor times the limit.
	reachMargin = 1.2
	// OwnerChangeTime is how long hosts may disagree on the owner and on which hosts are dead.
	OwnerChangeTime = 3 * time.Second
	// bucketRetention is the time without a request after which a bucket is dropped.
	bucketRetention = 10 * time.Second
	// requesterWindow is how long a host counts as a requester after it has requested permits.
	requesterWindow = time.Second
	// requestSpacing is the wait of a refused host per requester, so that the owner gets no more
	// than one request in this time, however many hosts request permits.
	requestSpacing = 5 * time.Millisecond
)

// OwnerShare returns the share of a limit that a host may issue. rank is its rank among the owners
// of the limit, 0 first, and reach the share of the hosts that it reaches.
func OwnerShare(rank int, reach float64) float64 {
	switch rank {
	case 0:
		return min(1, reachMargin*reach)
	case 1:
		return backupShare
	}
	return 0
}

// Issuer issues the permits for the servers whose limits this host owns.
type Issuer struct {
	buckets map[instance.Incarnation]*bucket
}

// bucket fills with permits at the rate at which the limit may be issued.
type bucket struct {
	began, filled, lastRequest time.Time
	permits                    float64
	// share is the share of the limit that is issued, mayRise since when a larger one is allowed;
	// zero: none is.
	share   float64
	mayRise time.Time
	// requests holds the time of each host's last request.
	requests map[string]time.Time
}

// NewIssuer returns an issuer without buckets.
func NewIssuer() *Issuer { return &Issuer{buckets: make(map[instance.Incarnation]*bucket)} }

// PermitRequest is a host's request for permits to send requests to a server.
type PermitRequest struct {
	Incarnation instance.Incarnation
	Host        string
	Want        int
	// Limit is the server's limit, Share the share of it that this host may issue. SettledShare is the
	// least share that it might have issued at any time within OwnerChangeTime: all hosts know of it,
	// and no other host issues it.
	Limit, Share, SettledShare float64
}

// Issue grants up to as many permits as are requested. If it grants none, after is the time to wait
// before the next request.
func (i *Issuer) Issue(now time.Time, req PermitRequest) (granted int, after time.Duration) {
	b := i.bucket(now, req.Incarnation)
	b.requests[req.Host], b.lastRequest = now, now
	rate := b.rate(now, req)
	b.fill(now, rate)
	granted = min(max(req.Want, 1), int(b.permits))
	b.permits -= float64(granted)
	if granted > 0 {
		return granted, 0
	}
	due := time.Duration((1 - b.permits) / rate * float64(time.Second))
	if left := backupDelay - now.Sub(b.began); left > 0 {
		due = min(due, left)
	}
	return 0, max(due, time.Duration(b.requesters(now))*requestSpacing)
}

func (i *Issuer) bucket(now time.Time, inc instance.Incarnation) *bucket {
	b := i.buckets[inc]
	if b == nil || now.Sub(b.lastRequest) >= bucketRetention {
		b = &bucket{began: now, filled: now, requests: make(map[string]time.Time)}
		i.buckets[inc] = b
	}
	return b
}

// rate returns the rate of issue, in permits a second.
func (b *bucket) rate(now time.Time, req PermitRequest) float64 {
	b.setShare(now, req.Share)
	b.share = max(b.share, min(req.Share, req.SettledShare))
	return max(req.Limit*b.share, minRate)
}

// setShare applies a smaller share at once, and a larger one only after OwnerChangeTime, when the
// other hosts know of the change. Up to backupShare is applied at once, but not in the first
// backupDelay of a bucket: owners that restart in turn would each issue it.
func (b *bucket) setShare(now time.Time, share float64) {
	switch {
	case share <= b.share:
		b.share, b.mayRise = share, time.Time{}
	case b.mayRise.IsZero():
		b.mayRise = now
	case now.Sub(b.mayRise) >= OwnerChangeTime:
		b.share, b.mayRise = share, time.Time{}
	}
	if now.Sub(b.began) >= backupDelay {
		b.share = max(b.share, min(share, backupShare))
	}
}

func (b *bucket) fill(now time.Time, rate float64) {
	b.permits = min(b.permits+rate*now.Sub(b.filled).Seconds(), minBurst+rate*burstTime.Seconds())
	b.filled = now
}

// requesters counts the hosts that requested permits within requesterWindow.
func (b *bucket) requesters(now time.Time) int {
	for host, at := range b.requests {
		if now.Sub(at) >= requesterWindow {
			delete(b.requests, host)
		}
	}
	return len(b.requests)
}

// Expire drops buckets without recent requests.
func (i *Issuer) Expire(now time.Time) {
	for inc, b := range i.buckets {
		if now.Sub(b.lastRequest) >= bucketRetention {
			delete(i.buckets, inc)
		}
	}
}
