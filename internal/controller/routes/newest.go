package routes

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

const (
	// confirmationLifetime is the greatest age of the last confirmation at which a host rejects a
	// request for something that its table does not contain. A control host confirms by what
	// its leader reported within two election timeouts, 1 s; together this is less than the 2 s
	// within which a table has to be in force. If all requests are for unknown routes, a host
	// asks a control host about seven times per second.
	confirmationLifetime = 500 * time.Millisecond
	// retryUnconfirmed is the retry time for callers of a host that can't get its table
	// confirmed. Elections take about as long.
	retryUnconfirmed = time.Second
)

// Newest returns the table in force once a quorum has confirmed, within confirmationLifetime, that
// there is no newer one. The table may be newer than one that Current returned just before. Without
// a confirmation Newest returns an error.
//
// It must be called before a request is rejected because the table lacks a route or a key. Otherwise
// a host that does not have the newest table yet, because the control group failed right after
// committing it, would tell callers that a route does not exist or that their key is wrong, and
// they would not retry.
func (c *Controller) Newest(ctx context.Context) (*routes.Index, error) {
	if x, ok := c.freshlyConfirmed(); ok {
		return x, nil
	}
	if int64(c.uptime()) < c.unconfirmableUntil.Load() {
		return nil, errUnconfirmed()
	}
	timeout := time.NewTimer(awaitTimeout)
	defer timeout.Stop()
	poll := time.NewTicker(awaitPollInterval)
	defer poll.Stop()
	for {
		c.requestConfirmation()
		select {
		case <-ctx.Done():
			return nil, errUnconfirmed()
		case <-timeout.C:
			c.unconfirmableUntil.Store(int64(c.uptime() + retryUnconfirmed))
			return nil, errUnconfirmed()
		case <-poll.C:
		}
		if x, ok := c.freshlyConfirmed(); ok {
			return x, nil
		}
	}
}

// freshlyConfirmed returns the table in force, and whether a quorum confirmed it, or an earlier table
// of this host, within confirmationLifetime. A table newer than the one in force is then newer than
// the confirmation too.
func (c *Controller) freshlyConfirmed() (*routes.Index, bool) {
	age, ok := c.Confirmation()
	return c.current.Load(), ok && age <= confirmationLifetime
}

// requestConfirmation has Run ask the control hosts in turn to confirm the table in force, for
// retryUnconfirmed after the last request.
func (c *Controller) requestConfirmation() {
	before := c.confirmUntil.Swap(int64(c.uptime() + retryUnconfirmed))
	if int64(c.uptime()) < before {
		return // Run is asking them already
	}
	c.Wake()
}

func errUnconfirmed() error {
	return errkind.New(errkind.HostNotReady, "this host can't tell at present whether it has the newest routing table").After(retryUnconfirmed)
}
