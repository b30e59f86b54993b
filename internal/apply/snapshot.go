package apply

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/claims"
	"github.com/bluebellsail/bluebellsail/internal/evacuation"
	"github.com/bluebellsail/bluebellsail/internal/fence"
	"github.com/bluebellsail/bluebellsail/internal/ledger"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// snapshotFormat is incremented when older code can no longer read a snapshot.
const snapshotFormat = 1

// image holds the whole state in a fixed order.
type image struct {
	Format      int              `json:"format"`
	Applied     uint64           `json:"applied"`
	Now         int64            `json:"now"`
	Settings    settings.Image   `json:"settings"`
	Ledger      ledger.Image     `json:"ledger"`
	Claims      claims.Image     `json:"claims"`
	Fence       fence.Image      `json:"fence"`
	Routes      routes.Image     `json:"routes"`
	Evacuations evacuation.Image `json:"evacuations,omitzero"`
	Operations  []operationImage `json:"operations"`
}

// Snapshot encodes the whole state; equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	encode, err := s.Capture()
	if err != nil {
		return nil, err
	}
	return encode()
}

// Capture copies the state and returns a function that encodes the copy. Encoding takes
// most of the time; the function may run concurrently with later calls of Apply, so
// that a large snapshot does not block the log.
func (s *State) Capture() (encode func() ([]byte, error), err error) {
	tree, err := s.settings.Image()
	if err != nil {
		return nil, err
	}
	im := image{
		Format: snapshotFormat, Applied: s.applied, Now: s.now,
		Settings: tree, Ledger: s.ledger.Image(), Claims: s.claims.Image(), Fence: s.fence.Image(),
		Routes:      s.routes.Image(),
		Evacuations: s.evacuations.Image(),
		Operations:  s.operations.image(),
	}
	return func() ([]byte, error) {
		data, err := json.Marshal(im)
		return data, errors.Wrap(err, "apply: encode snapshot")
	}, nil
}

// Restore replaces the state with that of a snapshot. On an error the state is
// unchanged.
func (s *State) Restore(data []byte) error {
	var im image
	if err := json.Unmarshal(data, &im); err != nil {
		return errors.Wrap(err, "apply: decode snapshot")
	}
	if im.Format != snapshotFormat {
		return errors.Errorf("apply: snapshot has format %d, this program reads format %d", im.Format, snapshotFormat)
	}
	fresh := New(s.options)
	fresh.applied, fresh.now = im.Applied, im.Now
	if err := fresh.settings.Restore(im.Settings); err != nil {
		return err
	}
	if err := fresh.ledger.Restore(im.Ledger); err != nil {
		return err
	}
	fresh.claims.Restore(im.Claims)
	fresh.fence.Restore(im.Fence)
	if err := fresh.routes.Restore(im.Routes); err != nil {
		return err
	}
	fresh.evacuations.Restore(im.Evacuations)
	if err := fresh.operations.restore(im.Operations); err != nil {
		return err
	}
	*s = *fresh
	return nil
}
