package peerservice

import (
	"context"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Shared implements the calls that hosts of every kind answer; their services embed it. Calls
// implemented neither here nor by the embedding service are answered with the code
// Unimplemented.
type Shared struct {
	pb.UnimplementedPeerServer
	Suspects Suspects
	Updates  Updates
	Permits  Permits
}

// FetchSuspects returns what this host knows about requests that crash servers.
func (s Shared) FetchSuspects(_ context.Context, r *pb.FetchSuspectsRequest) (*pb.FetchSuspectsReply, error) {
	return s.Suspects.HandleFetch(r), nil
}

// AdmitSuspect decides whether another host may run a request that is suspected of crashing
// servers.
func (s Shared) AdmitSuspect(_ context.Context, r *pb.AdmitSuspectRequest) (*pb.AdmitSuspectReply, error) {
	return s.Suspects.HandleAdmit(r), nil
}

// EndSuspect records that another host's run of a suspect request has ended.
func (s Shared) EndSuspect(_ context.Context, r *pb.EndSuspectRequest) (*pb.EndSuspectReply, error) {
	return s.Suspects.HandleEnd(r), nil
}

// TakePermits issues permits for a rate-limited server.
func (s Shared) TakePermits(_ context.Context, r *pb.TakePermitsRequest) (*pb.TakePermitsReply, error) {
	return s.Permits.HandleTake(r), nil
}

// Admit admits a request to a brittle server.
func (s Shared) Admit(_ context.Context, r *pb.AdmitRequest) (*pb.AdmitReply, error) {
	return s.Permits.HandleAdmit(r), nil
}

// ReportAdmission records how far an admitted request has come.
func (s Shared) ReportAdmission(_ context.Context, r *pb.ReportAdmissionRequest) (*pb.ReportAdmissionReply, error) {
	return s.Permits.HandleReportAdmission(r), nil
}

// Tell handles an update that is sent without waiting for the next heartbeat.
func (s Shared) Tell(_ context.Context, r *pb.TellRequest) (*pb.TellReply, error) {
	return s.Updates.Handle(r), nil
}
