// Package slowread accounts for the bytes that a process holds because callers or backend servers
// read slowly, and decides whose further bytes have to wait.
//
// It shares one bound by dynamic thresholds: a client account may hold at most as much as is still
// free, and a connection at most what that leaves of its account. So the largest holders wait first,
// nobody can take the last room alone, and a part that is kept for small steps lets these go on.
package slowread

import "slices"

// Side is who the bytes are held for.
type Side int

// Sides.
const (
	Callers Side = iota
	Servers
	sides
)

// Config bounds a Pool. All fields are bytes.
type Config struct {
	// Bound is for all holders together.
	Bound int64
	// Queue is for one caller's connection. One that has reached it goes on at QueueLow.
	Queue, QueueLow int64
	// Small is how much any holder may have as long as there is room at all.
	Small int64
}

const (
	// smallDivisor is the part of the bound, one in so many, that only small steps may use.
	smallDivisor = 4
	// fullDivisor: a pool is full when less than the rest of the bound divided by it is free of that rest.
	fullDivisor = 8
	// bodyFactor is how many times what is free an account may hold, where the step is a body's.
	bodyFactor = 2
)

// Pool is the account. It is not safe for concurrent use.
type Pool struct {
	cfg      Config
	total    int64
	accounts map[string]*account
	// waiting is in the order of arrival.
	waiting []*Holder
	// smallBlocked is set while a small step waits. Others then wait behind it: otherwise ever smaller
	// steps could take what becomes free.
	smallBlocked bool
}

type account struct {
	name    string
	held    [sides]int64
	members int
}

func (a *account) total() int64 { return a.held[Callers] + a.held[Servers] }

// Holder is one connection or request for which bytes are held.
type Holder struct {
	account *account
	side    Side
	held    int64
	// step is the size of the step that waits; 0: none.
	step int64
	// capped is set while the holder waits at its own bound.
	capped bool
}

// Held returns the holder's bytes.
func (h *Holder) Held() int64 { return h.held }

// Waiting reports whether a step of the holder waits.
func (h *Holder) Waiting() bool { return h.step > 0 }

// Account returns the holder's client account.
func (h *Holder) Account() string { return h.account.name }

// New returns an empty pool.
func New(cfg Config) *Pool { return &Pool{cfg: cfg, accounts: map[string]*account{}} }

// Bound returns the bound of the pool in bytes.
func (p *Pool) Bound() int64 { return p.cfg.Bound }

// Total returns the bytes held.
func (p *Pool) Total() int64 { return p.total }

// Waiting returns the number of holders that wait.
func (p *Pool) Waiting() int { return len(p.waiting) }

// Full reports whether hardly anything is free for steps that are not small.
func (p *Pool) Full() bool { return p.freeForLarge() < p.large()/fullDivisor }

// large returns the part of the bound that is not kept for small steps.
func (p *Pool) large() int64 { return p.cfg.Bound - p.cfg.Bound/smallDivisor }

func (p *Pool) freeForLarge() int64 { return p.large() - p.total }

// Join adds a holder without bytes.
func (p *Pool) Join(side Side, name string) *Holder {
	h := &Holder{side: side}
	p.enter(h, name)
	return h
}

func (p *Pool) enter(h *Holder, name string) {
	a := p.accounts[name]
	if a == nil {
		a = &account{name: name}
		p.accounts[name] = a
	}
	a.members++
	a.held[h.side] += h.held
	h.account = a
}

func (p *Pool) exit(h *Holder) {
	a := h.account
	a.members--
	a.held[h.side] -= h.held
	if a.members == 0 {
		delete(p.accounts, a.name)
	}
}

// SetAccount moves a holder to another client account.
func (p *Pool) SetAccount(h *Holder, name string) {
	if h.account.name == name {
		return
	}
	p.exit(h)
	p.enter(h, name)
}

// Leave removes a holder with its bytes and returns the holders that may go on for it.
func (p *Pool) Leave(h *Holder) []*Holder {
	p.cancel(h)
	p.exit(h)
	p.total -= h.held
	h.held = 0
	return p.resume()
}

// Try takes n bytes for a holder if they need not wait.
func (p *Pool) Try(h *Holder, n int64) bool {
	if p.smallBlocked || !p.admits(h, n) {
		return false
	}
	p.Force(h, n)
	return true
}

// TryAhead is Try for a part of an answer that is read before its caller has read what precedes it. The
// bound of a connection's queue does not apply to it.
func (p *Pool) TryAhead(h *Holder, n int64) bool {
	if p.smallBlocked || !p.fits(h, n) {
		return false
	}
	p.Force(h, n)
	return true
}

// Ask is Try, but a holder whose bytes have to wait is remembered until Give or Leave returns it or Cancel
// is called. A holder waits for one step at a time.
func (p *Pool) Ask(h *Holder, n int64) bool {
	if p.Try(h, n) {
		return true
	}
	h.step = n
	h.capped = p.queueFull(h, n)
	p.waiting = append(p.waiting, h)
	p.smallBlocked = p.smallBlocked || p.small(h, n)
	return false
}

// Cancel ends the wait of a holder and returns the holders that may go on for it.
func (p *Pool) Cancel(h *Holder) []*Holder {
	if !p.cancel(h) {
		return nil
	}
	return p.resume()
}

func (p *Pool) cancel(h *Holder) bool {
	if h.step == 0 {
		return false
	}
	h.step, h.capped = 0, false
	p.waiting = slices.DeleteFunc(p.waiting, func(o *Holder) bool { return o == h })
	return true
}

// Force adds bytes that are held already.
func (p *Pool) Force(h *Holder, n int64) {
	h.held += n
	h.account.held[h.side] += n
	p.total += n
}

// Give takes back bytes that are no longer held and returns the holders that may go on for it, with
// the bytes of their steps.
func (p *Pool) Give(h *Holder, n int64) []*Holder {
	p.Force(h, -min(n, h.held))
	return p.resume()
}

func (p *Pool) small(h *Holder, n int64) bool { return h.held+n <= p.cfg.Small }

func (p *Pool) queueFull(h *Holder, n int64) bool { return h.side == Callers && h.held+n > p.cfg.Queue }

func (p *Pool) admits(h *Holder, n int64) bool {
	if !p.small(h, n) && (p.queueFull(h, n) || h.capped && h.held > p.cfg.QueueLow) {
		return false
	}
	return p.fits(h, n)
}

// fits reports whether the thresholds of the pool and of the account leave room for n bytes.
func (p *Pool) fits(h *Holder, n int64) bool {
	if p.small(h, n) {
		return n <= p.cfg.Bound-p.total
	}
	free := p.freeForLarge()
	if h.side == Servers && n > p.large() {
		return n <= p.cfg.Bound-p.total // it would never fit beside what is kept for small steps
	}
	if h.side == Servers {
		return n <= free && h.account.total()+n <= bodyFactor*free
	}
	return n <= free && h.held+n <= free-h.account.total()
}

// resume gives the waiting steps that now fit their bytes: small ones first, each group in the order
// of arrival.
func (p *Pool) resume() []*Holder {
	p.smallBlocked = false
	if len(p.waiting) == 0 {
		return nil
	}
	var granted []*Holder
	for _, small := range []bool{true, false} {
		for _, h := range p.waiting {
			if h.step == 0 || p.small(h, h.step) != small || p.smallBlocked {
				continue
			}
			if p.admits(h, h.step) {
				p.Force(h, h.step)
				h.step, h.capped = 0, false
				granted = append(granted, h)
			} else {
				p.smallBlocked = small
			}
		}
	}
	if len(granted) > 0 {
		p.waiting = slices.DeleteFunc(p.waiting, func(h *Holder) bool { return h.step == 0 })
	}
	return granted
}

// Account is what is held for one client account, in bytes, and by how many connections and requests.
type Account struct {
	Name    string `json:"name"`
	Callers int64  `json:"callers"`
	Servers int64  `json:"servers"`
	Holders int    `json:"holders"`
	Waiting int    `json:"waiting"`
}

// Accounts returns the accounts for which bytes are held, the largest first.
func (p *Pool) Accounts() []Account {
	waiting := map[*account]int{}
	for _, h := range p.waiting {
		waiting[h.account]++
	}
	var out []Account
	for _, a := range p.accounts {
		if a.total() > 0 || waiting[a] > 0 {
			out = append(out, Account{a.name, a.held[Callers], a.held[Servers], a.members, waiting[a]})
		}
	}
	slices.SortFunc(out, func(a, b Account) int {
		if d := (b.Callers + b.Servers) - (a.Callers + a.Servers); d != 0 {
			return int(max(min(d, 1), -1))
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// Held returns the bytes held for one side.
func (p *Pool) Held(side Side) int64 {
	var n int64
	for _, a := range p.accounts {
		n += a.held[side]
	}
	return n
}
