// Package peerservice answers what entry hosts ask of each other over gRPC. It
// only hands each message to the controller that owns the state in question.
package peerservice

import (
	"context"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Records keeps in-flight records and their copies.
type Records interface {
	HandlePut(*pb.PutRecordsRequest) *pb.PutRecordsReply
	HandleFind(*pb.FindRecordRequest) *pb.FindRecordReply
	HandleGather(*pb.GatherRequest) *pb.GatherReply
}

// Grants gives parts of this host's tokens to peers.
type Grants interface {
	HandleAskTokens(*pb.AskTokensRequest) *pb.AskTokensReply
}

// Members takes part in the heartbeats between hosts.
type Members interface {
	HandleHeartbeat(*pb.HeartbeatRequest) *pb.HeartbeatReply
}

// Explainer tells what was decided for requests that this host served.
type Explainer interface {
	HandleExplain(*pb.ExplainRequest) *pb.ExplainReply
}

// Suspects knows under which requests backend servers crashed.
type Suspects interface {
	HandleFetch(*pb.FetchSuspectsRequest) *pb.FetchSuspectsReply
	HandleAdmit(*pb.AdmitSuspectRequest) *pb.AdmitSuspectReply
	HandleEnd(*pb.EndSuspectRequest) *pb.EndSuspectReply
}

// Permits issues permits for servers that limit their rate.
type Permits interface {
	HandleTake(*pb.TakePermitsRequest) *pb.TakePermitsReply
}

// Updates takes what does not wait for heartbeats.
type Updates interface {
	Handle(*pb.TellRequest) *pb.TellReply
}

// Controllers are the controllers that the messages go to. All are needed.
type Controllers struct {
	Records Records
	Grants  Grants
	Members Members
	Explain Explainer
	Shared
}

// Service implements pb.PeerServer.
type Service struct {
	Shared
	parts Controllers
}

// New makes the service.
func New(p Controllers) *Service { return &Service{Shared: p.Shared, parts: p} }

// Explain tells what this host decided for a request.
func (s *Service) Explain(_ context.Context, r *pb.ExplainRequest) (*pb.ExplainReply, error) {
	return s.parts.Explain.HandleExplain(r), nil
}

// PutRecords keeps copies of a peer's in-flight records.
func (s *Service) PutRecords(_ context.Context, r *pb.PutRecordsRequest) (*pb.PutRecordsReply, error) {
	return s.parts.Records.HandlePut(r), nil
}

// FindRecord looks up an identity among own and copied records.
func (s *Service) FindRecord(_ context.Context, r *pb.FindRecordRequest) (*pb.FindRecordReply, error) {
	return s.parts.Records.HandleFind(r), nil
}

// Gather returns what this host knows of a dead holder and fences it.
func (s *Service) Gather(_ context.Context, r *pb.GatherRequest) (*pb.GatherReply, error) {
	return s.parts.Records.HandleGather(r), nil
}

// AskTokens hands over part of this host's grant.
func (s *Service) AskTokens(_ context.Context, r *pb.AskTokensRequest) (*pb.AskTokensReply, error) {
	return s.parts.Grants.HandleAskTokens(r), nil
}

// Heartbeat exchanges liveness and the registry of backend servers.
func (s *Service) Heartbeat(_ context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatReply, error) {
	return s.parts.Members.HandleHeartbeat(r), nil
}
