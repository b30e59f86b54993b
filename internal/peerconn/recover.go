package peerconn

import (
	"context"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bluebellsail/bluebellsail/internal/panics"
)

// RecoverOptions make a server answer a call whose handler panics with an error; by default
// the panic ends the process. As with a lost answer, the caller does not learn whether the
// call took effect.
func RecoverOptions(log zerolog.Logger) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (reply any, err error) {
			defer recoverCall(log, info.FullMethod, &err)
			return handle(ctx, req)
		}),
		grpc.ChainStreamInterceptor(func(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
			defer recoverCall(log, info.FullMethod, &err)
			return handle(srv, stream)
		}),
	}
}

// recoverCall converts a panic of a call's handler into the call's error.
func recoverCall(log zerolog.Logger, method string, err *error) {
	p := recover()
	if p == nil {
		return
	}
	panics.Report(log, method, p)
	*err = status.Error(codes.Internal, "internal error: the handler of the call panicked")
}
