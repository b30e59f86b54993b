package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Run sends the load and reports what came of it. Requests under way when the
// duration is over are still seen through.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	c := newCaller(&o)
	defer c.sender.client.CloseIdleConnections()
	if c.asker != nil {
		if err := c.asker.refresh(ctx); err != nil {
			return nil, err
		}
	}
	results := newCollector()
	began := time.Now()
	if o.Rate > 0 {
		runAtRate(ctx, &o, c, results, began)
	} else {
		runCallers(ctx, &o, c, results, began)
	}
	report := results.finish(time.Since(began))
	report.Addresses = c.book.updates
	return report, nil
}

func newCaller(o *Options) *caller {
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: max(o.Concurrency, http.DefaultMaxIdleConnsPerHost),
		DisableCompression:  true,
	}}
	book := newAddressBook()
	c := &caller{
		sender:   &sender{client: client, patience: o.Patience},
		book:     book,
		direct:   o.Direct,
		timeout:  o.Timeout,
		attempts: o.Attempts,
	}
	if o.Direct == "" {
		c.asker = &asker{client: client, seeds: o.Hosts, zone: o.Zone, book: book}
	}
	return c
}

// over tells whether no more requests are to be started.
func (o *Options) over(ctx context.Context, began time.Time) bool {
	return ctx.Err() != nil || (o.Duration > 0 && time.Since(began) >= o.Duration)
}

// runAtRate starts each request at its time, so that slow answers do not thin the load.
func runAtRate(ctx context.Context, o *Options, c *caller, results *collector, began time.Time) {
	var open sync.WaitGroup
	for n := range o.Count {
		due := began.Add(time.Duration(float64(n) / o.Rate * float64(time.Second)))
		pause(ctx, time.Until(due))
		if o.over(ctx, began) {
			break
		}
		open.Go(func() {
			r := o.requestOf(n)
			results.add(r, c.call(ctx, r, due))
		})
	}
	open.Wait()
}

// runCallers keeps Concurrency requests open.
func runCallers(ctx context.Context, o *Options, c *caller, results *collector, began time.Time) {
	var callers sync.WaitGroup
	var numbers atomic.Int64
	for range o.Concurrency {
		callers.Go(func() {
			for !o.over(ctx, began) {
				n := int(numbers.Add(1)) - 1
				if n >= o.Count {
					return
				}
				r := o.requestOf(n)
				results.add(r, c.call(ctx, r, time.Now()))
			}
		})
	}
	callers.Wait()
}
