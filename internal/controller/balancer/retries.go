package balancer

import (
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/retry"
)

// CountRequest implements relay.Retries.
func (b *Balancer) CountRequest(service string) {
	fleet := b.cfg.Fleet()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.CountFirst(b.cfg.Now(), service, fleet)
}

// Allow implements relay.Retries.
func (b *Balancer) Allow(service, requestID string) relay.Retry {
	fleet := b.cfg.Fleet()
	d := b.allowRetry(service, fleet)
	b.cfg.Log.Info().Str("event", "retry").Str("request", requestID).Str("service", service).Bool("allowed", d.Allowed).
		Int("requests", d.Requests).Int("retries", d.Retries).Float64("extra", d.Extra).Int("hosts", fleet.Hosts).Send()
	if !d.Allowed {
		return nil
	}
	return &allowedRetry{b, d}
}

func (b *Balancer) allowRetry(service string, fleet retry.Fleet) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retries.Allow(b.cfg.Now(), service, fleet)
}

// allowedRetry implements relay.Retry.
type allowedRetry struct {
	b        *Balancer
	decision retry.Decision
}

// Sent implements relay.Retry.
func (r *allowedRetry) Sent() {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.b.retries.Sent(r.b.cfg.Now(), r.decision)
}

// Return implements relay.Retry.
func (r *allowedRetry) Return() {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.b.retries.Return(r.decision)
}
