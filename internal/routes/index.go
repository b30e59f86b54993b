package routes

import (
	"encoding/json"
	"net"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Index is a routing table indexed for lookups. It is immutable.
type Index struct {
	revision uint64
	table    *Table
	routes   map[hostPrefix]*Route
	services map[string]*Service
	accounts map[string]*Account
	byKey    map[string]*Account
	// ranks are the different priorities of routes and accounts in ascending order.
	ranks []int
	// size is the length of the table's JSON form in bytes; 0 if the index was not made from it.
	size int
}

// NewIndex indexes a table that has passed Check.
func NewIndex(revision uint64, t *Table) *Index {
	x := &Index{
		revision: revision, table: t,
		routes:   make(map[hostPrefix]*Route, len(t.Routes)),
		services: make(map[string]*Service, len(t.Services)),
		accounts: make(map[string]*Account, len(t.Accounts)),
		byKey:    make(map[string]*Account),
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		x.routes[hostPrefix{normalHost(r.Host), r.Prefix}] = r
	}
	for i := range t.Services {
		x.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Accounts {
		a := &t.Accounts[i]
		x.accounts[a.Name] = a
		for _, hash := range a.KeyHashes {
			x.byKey[hash] = a
		}
	}
	x.ranks = ranksOf(t)
	return x
}

func ranksOf(t *Table) []int {
	var ranks []int
	for i := range t.Routes {
		ranks = append(ranks, t.Routes[i].Priority)
	}
	for i := range t.Accounts {
		if p := t.Accounts[i].Priority; p != nil {
			ranks = append(ranks, *p)
		}
	}
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

// Ranks returns the different priorities that requests may have, in ascending order.
func (x *Index) Ranks() []int { return x.ranks }

// Decode decodes a table from its JSON form, packed or not, and checks and indexes it.
func Decode(revision uint64, packed []byte) (*Index, error) {
	tableJSON, err := Unpack(packed)
	if err != nil {
		return nil, errors.Wrap(err, "routing table")
	}
	t := new(Table)
	if err := json.Unmarshal(tableJSON, t); err != nil {
		return nil, errors.Wrap(err, "routing table")
	}
	if err := t.Check(); err != nil {
		return nil, err
	}
	x := NewIndex(revision, t)
	x.size = len(tableJSON)
	return x, nil
}

// Size returns the length of the table's JSON form in bytes; 0 if the index was not made from it.
func (x *Index) Size() int { return x.size }

// Revision returns the revision of the table.
func (x *Index) Revision() uint64 { return x.revision }

// Table returns the indexed table; it must not be modified.
func (x *Index) Table() *Table { return x.table }

// Limits returns the limits on what callers may send.
func (x *Index) Limits() Limits { return x.table.Limits }

// Route returns the route of a request: of the routes for its host, the one with the longest prefix
// of its path.
func (x *Index) Route(host, path string) (*Route, error) {
	at := hostPrefix{host: normalHost(host)}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		at.prefix = path[:slash+1]
		if r := x.routes[at]; r != nil {
			return r, nil
		}
		end = slash
	}
	return nil, errkind.New(errkind.UnknownPath, "no route for this host and path")
}

// Service returns a service by name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// WarmupRate returns the requests per second that a cold server of a service accepts from all hosts
// together; ok is false if it accepts any number.
func (x *Index) WarmupRate(service string) (perSecond float64, ok bool) {
	s := x.services[service]
	if s == nil || s.WarmupRate == 0 {
		return 0, false
	}
	return s.WarmupRate, true
}

// Account returns the account that holds a key, or nil. needed is false if the table requires no
// keys at all.
func (x *Index) Account(key string) (a *Account, needed bool) {
	if !x.table.Keyed {
		return nil, false
	}
	return x.byKey[settings.HashKey(key)], true
}

// AccountNamed returns an account by name.
func (x *Index) AccountNamed(name string) (*Account, bool) {
	a, ok := x.accounts[name]
	return a, ok
}

// PriorityOf returns the priority of a request: the account's if it has one, else the route's.
// 0 is the highest priority.
func PriorityOf(r *Route, a *Account) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}

// AllowedRegions returns the only regions whose servers may get a request. Where route and account both
// name regions, those that both name are allowed. restricted is false if all servers may get it; if it is
// true and there are no regions, none may.
func AllowedRegions(r *Route, a *Account) (regions []string, restricted bool) {
	switch {
	case a == nil || len(a.Regions) == 0:
		return r.Regions, len(r.Regions) > 0
	case len(r.Regions) == 0:
		return a.Regions, true
	}
	for _, region := range r.Regions {
		if slices.Contains(a.Regions, region) {
			regions = append(regions, region)
		}
	}
	return regions, true
}

// RegionsOf returns the regions of each route for a host that is restricted to some.
func (x *Index) RegionsOf(host string) (restricted [][]string) {
	host = normalHost(host)
	for i := range x.table.Routes {
		if r := &x.table.Routes[i]; len(r.Regions) > 0 && normalHost(r.Host) == host {
			restricted = append(restricted, r.Regions)
		}
	}
	return restricted
}

// Pick returns the service of a target chosen by weight. draw is a uniform random number below
// TotalWeight.
func (r *Route) Pick(draw uint64) string {
	for _, t := range r.Targets {
		if draw < t.Weight {
			return t.Service
		}
		draw -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// LeadsTo reports whether the route sends requests to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// TotalWeight returns the sum of the targets' weights.
func (r *Route) TotalWeight() uint64 {
	sum := uint64(0)
	for _, t := range r.Targets {
		sum += t.Weight
	}
	return sum
}

// normalHost returns a host in the form for comparisons: without port, in lower case.
func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
