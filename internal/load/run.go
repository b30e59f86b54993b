package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Run sends the load and reports the outcomes. It waits for requests that are in flight when
// the duration is over.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	client := newClient(&o)
	defer client.CloseIdleConnections()
	callers, err := newCallers(ctx, &o, client)
	if err != nil {
		return nil, err
	}
	results := newCollector()
	began := time.Now()
	if o.Rate > 0 {
		runAtRate(ctx, &o, callers, results, began)
	} else {
		runCallers(ctx, &o, callers, results, began)
	}
	report := results.finish(time.Since(began))
	for _, c := range callers {
		report.Addresses += c.addresses.updates
	}
	return report, nil
}

// newCallers returns callers that fetch their addresses separately, since a fleet balances its
// load by giving each caller the addresses in a different order.
func newCallers(ctx context.Context, o *Options, client *http.Client) ([]*caller, error) {
	callers := make([]*caller, o.Concurrency)
	for i := range callers {
		callers[i] = newCaller(o, client)
		if callers[i].fetcher == nil {
			continue
		}
		if err := callers[i].fetcher.refresh(ctx); err != nil {
			return nil, err
		}
	}
	return callers, nil
}

func newClient(o *Options) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: max(o.Concurrency, http.DefaultMaxIdleConnsPerHost),
		DisableCompression:  true,
	}}
}

func newCaller(o *Options, client *http.Client) *caller {
	addresses := newAddressCache()
	c := &caller{
		sender:    &sender{client: client, patience: o.Patience},
		addresses: addresses,
		direct:    o.Direct,
		timeout:   o.Timeout,
		attempts:  o.Attempts,
	}
	if o.Direct == "" {
		c.fetcher = &addressFetcher{client: client, seeds: o.Hosts, zone: o.Zone, cache: addresses}
	}
	return c
}

// finished reports whether no more requests are to be started.
func (o *Options) finished(ctx context.Context, began time.Time) bool {
	return ctx.Err() != nil || (o.Duration > 0 && time.Since(began) >= o.Duration)
}

// runAtRate starts each request at its scheduled time, so that slow answers do not reduce the
// request rate.
func runAtRate(ctx context.Context, o *Options, callers []*caller, results *collector, began time.Time) {
	var inFlight sync.WaitGroup
	for n := range o.Count {
		due := began.Add(time.Duration(float64(n) / o.Rate * float64(time.Second)))
		pause(ctx, time.Until(due))
		if o.finished(ctx, began) {
			break
		}
		inFlight.Go(func() {
			r := o.requestOf(n)
			results.add(r, callers[n%len(callers)].call(ctx, r, due))
		})
	}
	inFlight.Wait()
}

// runCallers makes each caller send one request after the other.
func runCallers(ctx context.Context, o *Options, callers []*caller, results *collector, began time.Time) {
	var inFlight sync.WaitGroup
	var nextNumber atomic.Int64
	for _, c := range callers {
		inFlight.Go(func() {
			for !o.finished(ctx, began) {
				n := int(nextNumber.Add(1)) - 1
				if n >= o.Count {
					return
				}
				r := o.requestOf(n)
				results.add(r, c.call(ctx, r, time.Now()))
			}
		})
	}
	inFlight.Wait()
}
