package routes

import (
	"fmt"
	"strings"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Check returns the first fault of the table, an InvalidSettings error with the path of
// the fault, or nil.
func (t *Table) Check() error {
	services, err := t.checkServices()
	if err != nil {
		return err
	}
	places := make(map[place]int, len(t.Routes))
	for i := range t.Routes {
		if err := t.checkRoute(i, services, places); err != nil {
			return err
		}
	}
	if err := t.checkLimits(); err != nil {
		return err
	}
	return t.checkAccounts()
}

// place is what no two routes may share.
type place struct{ host, prefix string }

func fault(path, format string, args ...any) error {
	return errkind.New(errkind.InvalidSettings, format, args...).At(path)
}

func (t *Table) checkServices() (map[string]bool, error) {
	names := make(map[string]bool, len(t.Services))
	for i, s := range t.Services {
		path := fmt.Sprintf("/services/%d", i)
		switch {
		case s.Name == "":
			return nil, fault(path+"/name", "a service needs a name")
		case names[s.Name]:
			return nil, fault(path+"/name", "service %q stands twice", s.Name)
		case s.MaxConns < 0:
			return nil, fault(path+"/max_conns", "%d is no number of connections", s.MaxConns)
		}
		names[s.Name] = true
	}
	return names, nil
}

func (t *Table) checkRoute(i int, services map[string]bool, places map[place]int) error {
	r := &t.Routes[i]
	path := fmt.Sprintf("/routes/%d", i)
	switch {
	case r.Host == "":
		return fault(path+"/host", "a route needs a host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fault(path+"/prefix", "%q does not begin and end with a slash", r.Prefix)
	case r.Kind != Idempotent && r.Kind != NonIdempotent && r.Kind != Stream:
		return fault(path+"/kind", "%q is no kind of route", r.Kind)
	case r.Timeout <= 0:
		return fault(path+"/timeout", "a timeout must be above zero")
	case r.Objective < 0 || r.GapObjective < 0:
		return fault(path+"/objective", "an objective can't be below zero")
	case r.MaxAttempts < 1:
		return fault(path+"/max_attempts", "at least one attempt is needed")
	case r.Priority < 0:
		return fault(path+"/priority", "a priority can't be below zero")
	}
	at := place{normalHost(r.Host), r.Prefix}
	if first, taken := places[at]; taken {
		return fault(path, "host and prefix are those of /routes/%d", first)
	}
	places[at] = i
	return r.checkTargets(path, services)
}

func (r *Route) checkTargets(path string, services map[string]bool) error {
	sum := uint64(0)
	for j, target := range r.Targets {
		if !services[target.Service] {
			return fault(fmt.Sprintf("%s/targets/%d/service", path, j), "no service %q", target.Service)
		}
		if sum+target.Weight < sum {
			return fault(path+"/targets", "the weights are too large")
		}
		sum += target.Weight
	}
	if sum == 0 {
		return fault(path+"/targets", "the weights of the targets add up to zero")
	}
	return nil
}

func (t *Table) checkLimits() error {
	l := t.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		return fault("/limits", "a limit can't be below zero")
	}
	return nil
}

func (t *Table) checkAccounts() error {
	names := make(map[string]bool, len(t.Accounts))
	keys := make(map[string]string)
	for i, a := range t.Accounts {
		path := fmt.Sprintf("/accounts/%d", i)
		if a.Name == "" {
			return fault(path+"/name", "an account needs a name")
		}
		if names[a.Name] {
			return fault(path+"/name", "account %q stands twice", a.Name)
		}
		names[a.Name] = true
		if a.Priority != nil && *a.Priority < 0 {
			return fault(path+"/priority", "a priority can't be below zero")
		}
		for _, hash := range a.KeyHashes {
			if owner, taken := keys[hash]; taken && owner != a.Name {
				return fault(path+"/key_hashes", "a key is also one of account %q", owner)
			}
			keys[hash] = a.Name
		}
	}
	return nil
}
