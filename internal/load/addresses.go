package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// fetchTimeout bounds one request for addresses.
const fetchTimeout = 3 * time.Second

// avoidFailedFor is how long an address that failed is avoided while others are available.
const avoidFailedFor = 5 * time.Second

// addressAnswer is the answer to GET /v1/addresses.
type addressAnswer struct {
	// Addresses are in the order of preference.
	Addresses []addressItem `json:"addresses"`
	TTLMS     int64         `json:"ttl_ms"`
}

type addressItem struct {
	Address string `json:"address"`
}

// addressCache caches the addresses returned by a host until their TTL expires, and chooses among
// them. It does no I/O; the addresses are fetched by addressFetcher.
type addressCache struct {
	mu      sync.Mutex
	list    []string
	expires time.Time
	failed  map[string]time.Time
	updates int
}

func newAddressCache() *addressCache {
	return &addressCache{failed: map[string]time.Time{}}
}

// stale reports whether the cached answer has expired.
func (c *addressCache) stale(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.expires)
}

func (c *addressCache) set(now time.Time, a addressAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = nil
	for _, item := range a.Addresses {
		c.list = append(c.list, item.Address)
	}
	c.expires = now.Add(time.Duration(a.TTLMS) * time.Millisecond)
	c.updates++
}

// fail records that an address did not answer.
func (c *addressCache) fail(now time.Time, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[address] = now
}

// pick returns the first address that was neither tried already nor failed recently. If there
// is none, it returns the first one that was tried but did not fail recently, then the first
// one that failed recently but was not tried, then the first one.
func (c *addressCache) pick(now time.Time, tried map[string]bool) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.list) == 0 {
		return "", false
	}
	best, bestRank := "", 4
	for _, a := range c.list {
		rank := 0
		if tried[a] {
			rank++
		}
		if at, ok := c.failed[a]; ok && now.Sub(at) < avoidFailedFor {
			rank += 2
		}
		if rank < bestRank {
			best, bestRank = a, rank
		}
	}
	return best, true
}

// hostsToQuery returns the hosts to fetch addresses from, the cached ones first.
func (c *addressCache) hostsToQuery(seeds []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(append([]string{}, c.list...), seeds...)
}

// addressFetcher fetches addresses into an addressCache.
type addressFetcher struct {
	client *http.Client
	seeds  []string
	zone   string
	cache  *addressCache
	mu     sync.Mutex // serializes fetches
}

// refresh fetches addresses if the cached ones are stale. They stay in use if no host answers.
func (a *addressFetcher) refresh(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.cache.stale(time.Now()) {
		return nil
	}
	var last error
	for _, host := range a.cache.hostsToQuery(a.seeds) {
		answer, err := a.fetch(ctx, host)
		if err == nil {
			a.cache.set(time.Now(), answer)
			return nil
		}
		last = err
	}
	return errors.Wrap(last, "no host returned addresses")
}

func (a *addressFetcher) fetch(ctx context.Context, host string) (addressAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var answer addressAnswer
	u := url.URL{Scheme: "http", Host: host, Path: "/v1/addresses"}
	if a.zone != "" {
		u.RawQuery = url.Values{"zone": {a.zone}}.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return answer, err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, errors.Errorf("%s answered %d", host, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, errors.Wrap(err, host)
	}
	if len(answer.Addresses) == 0 {
		return answer, errors.Errorf("%s returned no address", host)
	}
	return answer, nil
}
