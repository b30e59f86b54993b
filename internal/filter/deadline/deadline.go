// Package deadline sets the time by which a call must be answered. It is relative to the request's
// arrival, so that no clocks need to agree.
package deadline

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// The last 1/marginShare of the timeout, at most maxMargin, is kept for sending the answer to the
// caller.
const (
	marginShare = 50
	maxMargin   = 10 * time.Millisecond
)

// Filter sets the deadline on the call and its context.
type Filter struct{}

// ServeHTTP implements filter.Filter. The context ends slightly before the caller's deadline: an
// answer begun at the deadline itself would arrive late.
func (f *Filter) ServeHTTP(w http.ResponseWriter, r *http.Request, next filter.Handler) error {
	c := filter.CallFrom(r.Context())
	timeout, err := Timeout(c, r.Header.Get(filter.HeaderTimeout))
	if err != nil {
		return err
	}
	c.Deadline = c.Arrived.Add(timeout - min(timeout/marginShare, maxMargin))
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	return next.ServeHTTP(w, r.WithContext(ctx))
}

// Timeout returns the time that the call has from its arrival.
func Timeout(c *filter.Call, header string) (time.Duration, error) {
	longest := c.Team.MaxTimeout.Std()
	if header == "" {
		d := c.Team.DefaultTimeout.Std()
		if d <= 0 {
			return 0, errkind.New(errkind.DeadlineMissing, "header %s is missing and team %s has no default timeout", filter.HeaderTimeout, c.TeamName)
		}
		return min(d, longest), nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 {
		return 0, errkind.New(errkind.DeadlineInvalid, "header %s is not a positive number of milliseconds", filter.HeaderTimeout)
	}
	if ms > longest.Milliseconds() {
		return 0, errkind.New(errkind.DeadlineInvalid, "header %s exceeds the team's limit of %d ms", filter.HeaderTimeout, longest.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}
