package loadview

import (
	"slices"
	"time"
)

// Collector describes one host from the sources of its parts. Register everything before the first View.
type Collector struct {
	host, zone string
	parts      []part
}

type part struct {
	name   string
	source Source
}

// NewCollector returns a Collector without sources.
func NewCollector(host, zone string) *Collector { return &Collector{host: host, zone: zone} }

// Register adds the source of a part. A part that is switched off is not registered.
func (c *Collector) Register(name string, s Source) {
	c.parts = append(c.parts, part{name: name, source: s})
}

// Parts returns the names of the registered parts.
func (c *Collector) Parts() []string {
	names := make([]string, 0, len(c.parts))
	for _, p := range c.parts {
		names = append(names, p.name)
	}
	return names
}

// View describes the host, for one service or, if service is empty, for all.
func (c *Collector) View(service string, now time.Time) *Host {
	h := &Host{Host: c.host, Zone: c.zone, Parts: c.Parts()}
	for _, p := range c.parts {
		p.source(service, now, h)
	}
	h.countPerAccount()
	h.bound(hostBounds)
	return h
}

// countPerAccount enters the waiting and refused requests in the accounts' entries.
func (h *Host) countPerAccount() {
	at := make(map[string]int)
	for i, a := range h.Accounts {
		at[a.Account] = i
	}
	entry := func(account string) *Account {
		i, known := at[account]
		if !known {
			i = len(h.Accounts)
			at[account] = i
			h.Accounts = append(h.Accounts, Account{Account: account})
		}
		return &h.Accounts[i]
	}
	for _, w := range h.Waiting {
		entry(w.Account).Waiting += w.Requests
	}
	for _, r := range h.Refused {
		entry(r.Account).Refused += r.Requests
	}
}

// bounds are the lengths of the lists of a description.
type bounds struct{ rooms, servers, accounts, waiting, refused int }

var hostBounds = bounds{rooms: maxRooms, servers: maxServers, accounts: maxAccounts, waiting: maxWaiting, refused: maxRefused}

// bound orders the lists and shortens them.
func (h *Host) bound(b bounds) {
	slices.SortFunc(h.Rooms, byRoom)
	slices.SortFunc(h.Servers, byServer)
	slices.SortFunc(h.Accounts, byAccount)
	slices.SortFunc(h.Waiting, byWaiting)
	slices.SortFunc(h.Refused, byRefused)
	h.Rooms, h.LeftOut.Rooms = cut(h.Rooms, b.rooms)
	h.Servers, h.LeftOut.Servers = cut(h.Servers, b.servers)
	h.Accounts, h.LeftOut.Accounts = cut(h.Accounts, b.accounts)
	h.Waiting, h.LeftOut.Waiting = cut(h.Waiting, b.waiting)
	h.Refused, h.LeftOut.Refused = cut(h.Refused, b.refused)
}

// cut shortens a list to n entries and returns how many it left out.
func cut[T any](list []T, n int) (kept []T, leftOut int) {
	if len(list) <= n {
		return list, 0
	}
	return list[:n:n], len(list) - n
}
