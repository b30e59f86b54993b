package peerconn

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// fleetKey is the metadata key of the caller's fleet.
const fleetKey = "bluebellsail-fleet"

// Fleet is the name shared by all processes of one fleet. Its options make clients send it and
// servers reject callers of another fleet.
//
// A process may be started on an address that another fleet used a moment ago. That fleet's
// hosts continue to send heartbeats there, and without the check both fleets would take the
// other's hosts and backend servers for their own.
type Fleet string

// DialOptions returns options that send the fleet with every call.
func (f Fleet) DialOptions() []grpc.DialOption {
	named := func(ctx context.Context) context.Context {
		return metadata.AppendToOutgoingContext(ctx, fleetKey, string(f))
	}
	return []grpc.DialOption{
		grpc.WithChainUnaryInterceptor(func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, call grpc.UnaryInvoker, opts ...grpc.CallOption) error {
			return call(named(ctx), method, req, reply, cc, opts...)
		}),
		grpc.WithChainStreamInterceptor(func(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, open grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
			return open(named(ctx), desc, cc, method, opts...)
		}),
	}
}

// ServerOptions returns options that reject calls from processes of another fleet.
func (f Fleet) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
			if err := f.check(ctx); err != nil {
				return nil, err
			}
			return handle(ctx, req)
		}),
		grpc.ChainStreamInterceptor(func(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
			if err := f.check(stream.Context()); err != nil {
				return err
			}
			return handle(srv, stream)
		}),
	}
}

func (f Fleet) check(ctx context.Context) error {
	md, _ := metadata.FromIncomingContext(ctx)
	if told := md.Get(fleetKey); len(told) != 1 || told[0] != string(f) {
		return status.Errorf(codes.PermissionDenied, "this process belongs to fleet %s, the caller to %q", f, told)
	}
	return nil
}
