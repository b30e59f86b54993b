package peerservice

import (
	"context"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Shared answers what hosts of every kind are asked; their services embed it. What neither
// implements is answered as such.
type Shared struct {
	pb.UnimplementedPeerServer
	Suspects Suspects
	Updates     Updates
	Permits   Permits
}

// FetchSuspects gives what this host knows of requests that crash servers.
func (s Shared) FetchSuspects(_ context.Context, r *pb.FetchSuspectsRequest) (*pb.FetchSuspectsReply, error) {
	return s.Suspects.HandleFetch(r), nil
}

// AdmitSuspect decides on a run of another host's request.
func (s Shared) AdmitSuspect(_ context.Context, r *pb.AdmitSuspectRequest) (*pb.AdmitSuspectReply, error) {
	return s.Suspects.HandleAdmit(r), nil
}

// EndSuspect takes that such a run has ended.
func (s Shared) EndSuspect(_ context.Context, r *pb.EndSuspectRequest) (*pb.EndSuspectReply, error) {
	return s.Suspects.HandleEnd(r), nil
}

// TakePermits issues permits for a server that limits its rate.
func (s Shared) TakePermits(_ context.Context, r *pb.TakePermitsRequest) (*pb.TakePermitsReply, error) {
	return s.Permits.HandleTake(r), nil
}

// Tell takes news that does not wait for heartbeats.
func (s Shared) Tell(_ context.Context, r *pb.TellRequest) (*pb.TellReply, error) {
	return s.Updates.Handle(r), nil
}
