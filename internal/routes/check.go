package routes

import (
	"fmt"
	"strings"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Check returns the first fault of the table as an InvalidSettings error with the path of the
// fault, or nil.
func (t *Table) Check() error {
	services, err := t.checkServices()
	if err != nil {
		return err
	}
	seen := make(map[hostPrefix]int, len(t.Routes))
	for i := range t.Routes {
		if err := t.checkRoute(i, services, seen); err != nil {
			return err
		}
	}
	if err := t.checkLimits(); err != nil {
		return err
	}
	return t.checkAccounts()
}

// hostPrefix is the host and prefix of a route; no two routes may have the same.
type hostPrefix struct{ host, prefix string }

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
			return nil, fault(path+"/name", "service %q is listed twice", s.Name)
		case !(s.WarmupRate >= 0):
			return nil, fault(path+"/warmup_rate", "%v is not a valid number of requests per second", s.WarmupRate)
		case s.MaxConns < 0:
			return nil, fault(path+"/max_conns", "%d is not a valid number of connections", s.MaxConns)
		}
		names[s.Name] = true
	}
	return names, nil
}

func (t *Table) checkRoute(i int, services map[string]bool, seen map[hostPrefix]int) error {
	r := &t.Routes[i]
	path := fmt.Sprintf("/routes/%d", i)
	switch {
	case r.Host == "":
		return fault(path+"/host", "a route needs a host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fault(path+"/prefix", "%q does not begin and end with a slash", r.Prefix)
	case r.Kind != Idempotent && r.Kind != NonIdempotent && r.Kind != Stream:
		return fault(path+"/kind", "%q is not a kind of route", r.Kind)
	case r.Timeout <= 0:
		return fault(path+"/timeout", "a timeout must be above zero")
	case r.Objective < 0 || r.GapObjective < 0:
		return fault(path+"/objective", "an objective must not be negative")
	case r.MaxAttempts < 1:
		return fault(path+"/max_attempts", "at least one attempt is needed")
	case r.Priority < 0:
		return fault(path+"/priority", "a priority must not be negative")
	}
	at := hostPrefix{normalHost(r.Host), r.Prefix}
	if first, taken := seen[at]; taken {
		return fault(path, "host and prefix are the same as in /routes/%d", first)
	}
	seen[at] = i
	return r.checkTargets(path, services)
}

func (r *Route) checkTargets(path string, services map[string]bool) error {
	sum := uint64(0)
	for j, target := range r.Targets {
		if !services[target.Service] {
			return fault(fmt.Sprintf("%s/targets/%d/service", path, j), "service %q is not in the table", target.Service)
		}
		if sum+target.Weight < sum {
			return fault(path+"/targets", "the sum of the targets' weights is too large")
		}
		sum += target.Weight
	}
	if sum == 0 {
		return fault(path+"/targets", "the sum of the targets' weights is zero")
	}
	return nil
}

func (t *Table) checkLimits() error {
	l := t.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		return fault("/limits", "a limit must not be negative")
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
			return fault(path+"/name", "account %q is listed twice", a.Name)
		}
		names[a.Name] = true
		if a.Priority != nil && *a.Priority < 0 {
			return fault(path+"/priority", "a priority must not be negative")
		}
		for _, hash := range a.KeyHashes {
			if owner, taken := keys[hash]; taken && owner != a.Name {
				return fault(path+"/key_hashes", "a key is already used by account %q", owner)
			}
			keys[hash] = a.Name
		}
	}
	return nil
}
