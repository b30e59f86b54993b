package daemon

import (
	"testing"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	routesctl "github.com/bluebellsail/bluebellsail/internal/controller/routes"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/surface"
)

// Guards against a directory that names hosts of a region which is neither the caller's nor allowed by the
// routes that it will use.
func TestDirectoryPrefersZonesOfAllowedRegions(t *testing.T) {
	g := &gateway{
		d:       &Daemon{cfg: &procconfig.Config{Regions: map[string]string{"a": "north", "b": "south", "c": "west"}}},
		members: members.New(members.Config{}),
		routes:  routesctl.New(routesctl.Config{OnChange: func(_, _ *routes.Index) {}, Log: zerolog.Nop()}),
	}
	table := `{"routes":[
		{"name":"r","host":"h","prefix":"/r/","kind":"idempotent","timeout":"1s","max_attempts":1,"targets":[{"service":"s","weight":1}],"regions":["south","north"]},
		{"name":"q","host":"h","prefix":"/q/","kind":"idempotent","timeout":"1s","max_attempts":1,"targets":[{"service":"s","weight":1}],"regions":["south"]},
		{"name":"free","host":"free","prefix":"/","kind":"idempotent","timeout":"1s","max_attempts":1,"targets":[{"service":"s","weight":1}]}],
		"services":[{"name":"s"}]}`
	g.routes.Apply("test", &pb.FetchRoutesReply{Routes: &pb.Routes{Revision: 1, TableJson: []byte(table)}, Confirmed: true})
	accepted := func(l surface.Lookup) (out []string) {
		for _, accepts := range g.preferredZones(l) {
			zones := ""
			for _, zone := range []string{"a", "b", "c", "unknown"} {
				if accepts(zone) {
					zones += zone
				}
			}
			out = append(out, zones)
		}
		return out
	}
	for name, c := range map[string]struct {
		lookup surface.Lookup
		want   []string
	}{
		"by region":       {surface.Lookup{Host: "h", Region: "west", Zone: "a"}, []string{"c", "b", "ab"}},
		"by zone":         {surface.Lookup{Host: "h", Zone: "a"}, []string{"a", "b", "ab"}},
		"from nowhere":    {surface.Lookup{Host: "h"}, []string{"", "b", "ab"}},
		"no restrictions": {surface.Lookup{Host: "free", Region: "west"}, nil},
	} {
		got := accepted(c.lookup)
		if len(got) != len(c.want) {
			t.Errorf("%s: %q, want %q", name, got, c.want)
			continue
		}
		for i := range got {
			if got[i] != c.want[i] {
				t.Errorf("%s: %q, want %q", name, got, c.want)
			}
		}
	}
}
