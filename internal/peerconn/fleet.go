package peerconn

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// fleetKey is the metadata that names the caller's fleet.
const fleetKey = "bluebellsail-fleet"

// Fleet is the name that all processes of one fleet share. Its options make clients
// tell it and servers refuse callers of another one.
//
// What goes wrong without it: a process is started on an address that another fleet
// used a moment ago. That fleet's hosts go on sending heartbeats there, and both
// fleets take the other's hosts and backend servers for their own.
type Fleet string

// DialOptions tell the fleet with every call.
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

// ServerOptions refuse calls from processes of another fleet.
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
		return status.Errorf(codes.PermissionDenied, "this is a process of fleet %s, the caller's is %q", f, told)
	}
	return nil
}
