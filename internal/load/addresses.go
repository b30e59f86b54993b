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

// askTimeout bounds one question for addresses.
const askTimeout = 3 * time.Second

// avoidFor is how long an address that failed is passed over while others are there.
const avoidFor = 5 * time.Second

// addressAnswer is the answer to GET /v1/addresses.
type addressAnswer struct {
	// Addresses are in the order in which they are to be used.
	Addresses []addressItem `json:"addresses"`
	TTLMS     int64         `json:"ttl_ms"`
}

type addressItem struct {
	Address string `json:"address"`
}

// addressBook keeps the addresses that a host gave for as long as the answer may be
// kept. It decides from what it is told only; ask fetches.
type addressBook struct {
	mu      sync.Mutex
	list    []string
	until   time.Time
	failed  map[string]time.Time
	updates int
}

func newAddressBook() *addressBook {
	return &addressBook{failed: map[string]time.Time{}}
}

// stale tells whether the answer may no longer be used.
func (b *addressBook) stale(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !now.Before(b.until)
}

func (b *addressBook) set(now time.Time, a addressAnswer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = nil
	for _, item := range a.Addresses {
		b.list = append(b.list, item.Address)
	}
	b.until = now.Add(time.Duration(a.TTLMS) * time.Millisecond)
	b.updates++
}

// fail notes that an address gave no answer.
func (b *addressBook) fail(now time.Time, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed[address] = now
}

// pick returns the first address of the list that neither was tried already nor failed
// of late; if there is none, the first of those that only were tried, then of the rest.
func (b *addressBook) pick(now time.Time, tried map[string]bool) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) == 0 {
		return "", false
	}
	best, bestRank := "", 4
	for _, a := range b.list {
		rank := 0
		if tried[a] {
			rank++
		}
		if at, ok := b.failed[a]; ok && now.Sub(at) < avoidFor {
			rank += 2
		}
		if rank < bestRank {
			best, bestRank = a, rank
		}
	}
	return best, true
}

// known returns the addresses to ask, the ones in use first.
func (b *addressBook) known(seeds []string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append(append([]string{}, b.list...), seeds...)
}

// asker fetches addresses.
type asker struct {
	client *http.Client
	seeds  []string
	zone   string
	book   *addressBook
	mu     sync.Mutex // one question at a time
}

// refresh asks if the book is stale. The old answer stays in use when nobody answers.
func (a *asker) refresh(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.book.stale(time.Now()) {
		return nil
	}
	var last error
	for _, host := range a.book.known(a.seeds) {
		answer, err := a.ask(ctx, host)
		if err == nil {
			a.book.set(time.Now(), answer)
			return nil
		}
		last = err
	}
	return errors.Wrap(last, "no host told its addresses")
}

func (a *asker) ask(ctx context.Context, host string) (addressAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
		return answer, errors.Errorf("%s gave no address", host)
	}
	return answer, nil
}
