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

// Service implements pb.PeerServer.
type Service struct {
	pb.UnimplementedPeerServer
	records Records
	grants  Grants
	members Members
	explain Explainer
}

// New makes the service. All parts are needed.
func New(r Records, g Grants, m Members, e Explainer) *Service {
	return &Service{records: r, grants: g, members: m, explain: e}
}

// Explain tells what this host decided for a request.
func (s *Service) Explain(_ context.Context, r *pb.ExplainRequest) (*pb.ExplainReply, error) {
	return s.explain.HandleExplain(r), nil
}

// PutRecords keeps copies of a peer's in-flight records.
func (s *Service) PutRecords(_ context.Context, r *pb.PutRecordsRequest) (*pb.PutRecordsReply, error) {
	return s.records.HandlePut(r), nil
}

// FindRecord looks up an identity among own and copied records.
func (s *Service) FindRecord(_ context.Context, r *pb.FindRecordRequest) (*pb.FindRecordReply, error) {
	return s.records.HandleFind(r), nil
}

// Gather returns what this host knows of a dead holder and fences it.
func (s *Service) Gather(_ context.Context, r *pb.GatherRequest) (*pb.GatherReply, error) {
	return s.records.HandleGather(r), nil
}

// AskTokens hands over part of this host's grant.
func (s *Service) AskTokens(_ context.Context, r *pb.AskTokensRequest) (*pb.AskTokensReply, error) {
	return s.grants.HandleAskTokens(r), nil
}

// Heartbeat exchanges liveness and the registry of backend servers.
func (s *Service) Heartbeat(_ context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatReply, error) {
	return s.members.HandleHeartbeat(r), nil
}
