package peertunnel

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Stream is the peer's side of a tunnel; pb.Peer_TunnelServer implements it.
type Stream interface {
	Send(*pb.TunnelDown) error
	Recv() (*pb.TunnelUp, error)
	Context() context.Context
}

// Refuse ends a tunnel that is not opened.
func Refuse(s Stream, refusal pb.TunnelRefusal, detail string) error {
	return s.Send(&pb.TunnelDown{Opened: &pb.TunnelOpened{Refusal: refusal, Detail: detail}})
}

// Serve copies bytes between an opened connection to a server and the stream until either ends, and
// closes the connection. Its result is that of the call. conn tells a reset from a regular close, as the connections of
// engineclient.Direct do.
func Serve(s Stream, conn net.Conn) error {
	if err := s.Send(&pb.TunnelDown{Opened: &pb.TunnelOpened{}}); err != nil {
		_ = conn.Close()
		return err
	}
	// The goroutine ends when the call does: its stream's context is canceled then.
	go func() {
		copyUp(s, conn)
		_ = conn.Close() // ends copyDown
	}()
	defer func() { _ = conn.Close() }()
	return copyDown(s, conn)
}

// copyUp passes on the caller's bytes until the stream ends.
func copyUp(s Stream, conn net.Conn) {
	for {
		m, err := s.Recv()
		if err != nil {
			return
		}
		if _, err := conn.Write(m.GetData()); err != nil {
			// The server may have answered before it stopped reading: copyDown goes on.
			discardUp(s)
			return
		}
	}
}

func discardUp(s Stream) {
	for {
		if _, err := s.Recv(); err != nil {
			return
		}
	}
}

// copyDown passes on the server's bytes. It returns nil if the server closed the connection in the
// regular way.
func copyDown(s Stream, conn net.Conn) error {
	buf := make([]byte, pieceBytes)
	for {
		n, err := conn.Read(buf)
		if n > 0 {
			if sendErr := s.Send(&pb.TunnelDown{Data: buf[:n]}); sendErr != nil {
				return sendErr
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case errors.Is(err, syscall.ETIMEDOUT):
			return status.Error(codes.DeadlineExceeded, err.Error())
		case err != nil:
			return status.Error(codes.Aborted, err.Error())
		}
	}
}

// RefusalOf returns the refusal for a failed connection to a server.
func RefusalOf(err error) pb.TunnelRefusal {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return pb.TunnelRefusal_TUNNEL_REFUSAL_REFUSED
	}
	return pb.TunnelRefusal_TUNNEL_REFUSAL_UNREACHABLE
}
