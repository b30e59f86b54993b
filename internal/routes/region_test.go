package routes

import (
	"slices"
	"testing"
)

// Guards against a request that reaches a region which only its route, or only its account, allows.
func TestRegionsOfRouteAndAccountBothBind(t *testing.T) {
	for name, c := range map[string]struct {
		route, account, want []string
		restricted           bool
	}{
		"neither":      {nil, nil, nil, false},
		"route only":   {[]string{"n"}, nil, []string{"n"}, true},
		"account only": {nil, []string{"s", "n"}, []string{"s", "n"}, true},
		"both":         {[]string{"n", "s"}, []string{"s", "e"}, []string{"s"}, true},
		"none in both": {[]string{"n"}, []string{"s"}, nil, true},
	} {
		got, restricted := AllowedRegions(&Route{Regions: c.route}, &Account{Regions: c.account})
		if !slices.Equal(got, c.want) || restricted != c.restricted {
			t.Errorf("%s: %v, restricted %v", name, got, restricted)
		}
	}
	if got, restricted := AllowedRegions(&Route{Regions: []string{"n"}}, nil); len(got) != 1 || !restricted {
		t.Errorf("without an account: %v, %v", got, restricted)
	}
	in := route("in", "H", "/a/")
	in.Regions = []string{"n"}
	if got := NewIndex(1, table(in, route("out", "h", "/b/"))).RegionsOf("h:80"); len(got) != 1 || got[0][0] != "n" {
		t.Errorf("regions of the host's routes: %v", got)
	}
}
