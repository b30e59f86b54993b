package routes

import (
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// State is the replicated routing table. It is pure; every replica computes the same.
type State struct {
	current *Index
	routes  *pb.Routes
}

// NewState makes the state before the first table.
func NewState() *State { return &State{routes: &pb.Routes{}} }

// Replace takes a table under the operator's revision. One whose revision is not higher
// than the present is acknowledged and changes nothing, whatever it holds: an operator
// whose acknowledgement was lost sends it again, and an older one may come late.
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

// Current is the table in force; nil before the first.
func (s *State) Current() *Index { return s.current }

// Routes is the table in force as it was taken, with the operator's document. Revision 0
// says that there is none.
func (s *State) Routes() *pb.Routes { return s.routes }

// Image is the state for a snapshot.
type Image struct {
	Revision uint64 `json:"revision,omitempty"`
	Table    []byte `json:"table,omitempty"`
	Document []byte `json:"document,omitempty"`
}

// Image copies the state.
func (s *State) Image() Image {
	return Image{Revision: s.routes.GetRevision(), Table: s.routes.GetTableJson(), Document: s.routes.GetDocument()}
}

// Restore replaces the state by a snapshot's. On an error it is unchanged.
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
