package routes

import (
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// State is the replicated routing table. It is deterministic: every replica computes the same.
type State struct {
	current *Index
	routes  *pb.Routes
}

// NewState returns the state before the first table.
func NewState() *State { return &State{routes: &pb.Routes{}} }

// Replace replaces the table under the operator's revision. A table whose revision is not higher
// than the current one is acknowledged without effect, whatever its content: an operator whose
// acknowledgement was lost sends the table again, and an older one may arrive late.
func (s *State) Replace(c *pb.ReplaceRoutes) (*pb.ReplaceRoutesResult, error) {
	if s.current != nil && c.GetRevision() <= s.current.Revision() {
		return &pb.ReplaceRoutesResult{Revision: s.current.Revision()}, nil
	}
	next, err := Decode(c.GetRevision(), c.GetTableJson())
	if err != nil {
		return nil, errkind.From(err)
	}
	s.current = next
	s.routes = &pb.Routes{Revision: c.GetRevision(), TableJson: c.GetTableJson(), Document: c.GetDocument()}
	return &pb.ReplaceRoutesResult{Revision: c.GetRevision(), Changed: true}, nil
}

// Current returns the table in force; nil before the first.
func (s *State) Current() *Index { return s.current }

// Routes returns the table in force as it was sent, with the operator's document. Revision 0 means
// that there is no table.
func (s *State) Routes() *pb.Routes { return s.routes }

// Image is the state in a snapshot.
type Image struct {
	Revision uint64 `json:"revision,omitempty"`
	Table    []byte `json:"table,omitempty"`
	Document []byte `json:"document,omitempty"`
}

// Image returns the state for a snapshot.
func (s *State) Image() Image {
	return Image{Revision: s.routes.GetRevision(), Table: s.routes.GetTableJson(), Document: s.routes.GetDocument()}
}

// Restore replaces the state by that of a snapshot. On an error the state is unchanged.
func (s *State) Restore(im Image) error {
	fresh := NewState()
	if im.Table != nil {
		c := &pb.ReplaceRoutes{Revision: im.Revision, TableJson: im.Table, Document: im.Document}
		if _, err := fresh.Replace(c); err != nil {
			return err
		}
	}
	*s = *fresh
	return nil
}
