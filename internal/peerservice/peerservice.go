// Package peerservice implements the gRPC service through which the entry hosts call each
// other. It passes each message to the controller that owns the state concerned.
package peerservice

import (
	"context"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Records keeps in-flight records and copies of those of peers.
type Records interface {
	HandlePut(*pb.PutRecordsRequest) *pb.PutRecordsReply
	HandleFind(*pb.FindRecordRequest) *pb.FindRecordReply
	HandleGather(*pb.GatherRequest) *pb.GatherReply
}

// Grants transfers parts of this host's tokens to peers.
type Grants interface {
	HandleAskTokens(*pb.AskTokensRequest) *pb.AskTokensReply
}

// Members handles the heartbeats between hosts.
type Members interface {
	HandleHeartbeat(*pb.HeartbeatRequest) *pb.HeartbeatReply
}

// Explainer reports what was decided for requests that this host served.
type Explainer interface {
	HandleExplain(*pb.ExplainRequest) *pb.ExplainReply
}

// Suspects keeps track of the requests during which backend servers crashed.
type Suspects interface {
	HandleFetch(*pb.FetchSuspectsRequest) *pb.FetchSuspectsReply
	HandleAdmit(*pb.AdmitSuspectRequest) *pb.AdmitSuspectReply
	HandleEnd(*pb.EndSuspectRequest) *pb.EndSuspectReply
}

// Permits issues permits for rate-limited servers, and admits requests to brittle ones.
type Permits interface {
	HandleTake(*pb.TakePermitsRequest) *pb.TakePermitsReply
	HandleAdmit(*pb.AdmitRequest) *pb.AdmitReply
	HandleReportAdmission(*pb.ReportAdmissionRequest) *pb.ReportAdmissionReply
}

// Updates handles updates that are sent without waiting for the next heartbeat.
type Updates interface {
	Handle(*pb.TellRequest) *pb.TellReply
}

// Controllers are the controllers that handle the messages. All are required.
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
	controllers Controllers
}

// New returns the service.
func New(c Controllers) *Service { return &Service{Shared: c.Shared, controllers: c} }

// Explain returns what this host decided for a request.
func (s *Service) Explain(_ context.Context, r *pb.ExplainRequest) (*pb.ExplainReply, error) {
	return s.controllers.Explain.HandleExplain(r), nil
}

// PutRecords stores copies of a peer's in-flight records.
func (s *Service) PutRecords(_ context.Context, r *pb.PutRecordsRequest) (*pb.PutRecordsReply, error) {
	return s.controllers.Records.HandlePut(r), nil
}

// FindRecord looks up an identity among the host's own records and the copies.
func (s *Service) FindRecord(_ context.Context, r *pb.FindRecordRequest) (*pb.FindRecordReply, error) {
	return s.controllers.Records.HandleFind(r), nil
}

// Gather returns what this host knows about a dead holder and fences the holder.
func (s *Service) Gather(_ context.Context, r *pb.GatherRequest) (*pb.GatherReply, error) {
	return s.controllers.Records.HandleGather(r), nil
}

// AskTokens transfers part of this host's grant.
func (s *Service) AskTokens(_ context.Context, r *pb.AskTokensRequest) (*pb.AskTokensReply, error) {
	return s.controllers.Grants.HandleAskTokens(r), nil
}

// Heartbeat exchanges liveness and the registry of backend servers.
func (s *Service) Heartbeat(_ context.Context, r *pb.HeartbeatRequest) (*pb.HeartbeatReply, error) {
	return s.controllers.Members.HandleHeartbeat(r), nil
}
