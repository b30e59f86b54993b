package httpserver

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
)

const (
	// probesPerReader bounds how many probes are made for each reading goroutine: which one
	// serves a probe follows from the number of its socket, which is mostly the next one.
	probesPerReader = 16
	// readerPatience bounds the wait for the reading goroutines to begin. A host that is
	// slower goes on without.
	readerPatience = time.Second
)

// probe is a connection of the server with itself.
type probe struct {
	net.Conn
	// number of the socket at the server's side.
	number int
}

// awaitReaders returns when all reading goroutines run.
//
// What goes wrong without it: nbio tells a reading goroutine to end by a mark that the
// goroutine takes off when it begins. A server that is stopped before that, on a busy machine
// or because a later step of the start failed, never ends, and the goroutine spins.
func (s *Server) awaitReaders() error {
	readers := s.engine.Engine.NPoller
	reached := make(map[int]bool, readers)
	var probes []*probe
	defer func() {
		for _, p := range probes {
			_ = p.Close()
		}
	}()
	for n := 0; len(reached) < readers && n < readers*probesPerReader; n++ {
		p, err := s.newProbe()
		if err != nil {
			return err
		}
		probes = append(probes, p)
		reached[p.number%readers] = true
	}
	end := time.Now().Add(readerPatience)
	for _, p := range probes {
		if err := p.awaitClose(end); err != nil {
			return err
		}
	}
	return nil
}

// awaitClose sends a byte and waits until a reading goroutine closes the probe for it: a
// connection that no listener accepted has no guard.
func (p *probe) awaitClose(end time.Time) error {
	if err := p.SetDeadline(end); err != nil {
		return err
	}
	if _, err := p.Write([]byte{0}); err != nil {
		return err
	}
	_, err := p.Read(make([]byte, 1))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return err
	}
	return nil
}

func (s *Server) newProbe() (*probe, error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "probe")
	}
	near, err := connOn(fds[0])
	if err != nil {
		_ = syscall.Close(fds[1])
		return nil, err
	}
	far, err := connOn(fds[1])
	if err != nil {
		_ = near.Close()
		return nil, err
	}
	c, err := nbio.NBConn(near)
	if err == nil {
		_, err = s.engine.AddConn(c)
	}
	if err != nil {
		_ = near.Close()
		_ = far.Close()
		return nil, errors.Wrap(err, "probe")
	}
	return &probe{Conn: far, number: c.Hash()}, nil
}

// connOn makes a connection of a socket and closes the number given.
func connOn(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "probe")
	defer func() { _ = f.Close() }()
	c, err := net.FileConn(f)
	return c, errors.Wrap(err, "probe")
}
