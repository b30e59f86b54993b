package daemon

import (
	"slices"
	"testing"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/control"
	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
	"github.com/bluebellsail/bluebellsail/internal/surface"
)

// Symptom: at the end of a partition a table that holds can't be read back in time.
// Sequence: all gateways are cut off from the control group; the operator asks one of them
// after the other, and each refuses.
// Cause: a gateway that can't ask the group did not say who can.
func TestCutOffGatewaySendsTheOperatorToControlHosts(t *testing.T) {
	g := &gateway{
		d:       &Daemon{cfg: &procconfig.Config{Routed: &procconfig.Routed{Registry: "10.0.0.1:8229"}}},
		members: members.New(members.Config{}),
	}
	g.setSeeds([]string{"10.0.0.4:7340", "10.0.1.4:7340"})
	cutOff := errkind.New(errkind.NoQuorum, "no leader was found in time")
	var elsewhere *surface.Redirect
	if err := g.elsewhere(cutOff); !errors.As(err, &elsewhere) || !slices.Contains([]string{"10.0.0.4:8229", "10.0.1.4:8229"}, elsewhere.Address) {
		t.Errorf("sent to %v", err)
	}
	if !errkind.Is(elsewhere, errkind.NoQuorum) {
		t.Error("the refusal itself is lost")
	}
	invalid := errkind.New(errkind.InvalidSettings, "two routes are the same")
	if err := g.elsewhere(invalid); err != error(invalid) {
		t.Errorf("the group's own refusal became %v", err)
	}
	g.d.replica = &control.Replica{}
	if err := g.elsewhere(cutOff); err != error(cutOff) {
		t.Errorf("a control host sends the operator on: %v", err)
	}
}
