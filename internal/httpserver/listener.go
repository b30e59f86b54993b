package httpserver

import (
	"net"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// pausableListener is a listener that can refuse connections for a while. It closes its socket
// meanwhile, so that the system refuses connections before their callers send anything.
type pausableListener struct {
	network string
	address net.Addr
	listen  func(network, address string) (net.Listener, error)

	mu sync.Mutex
	// socket is nil while the listener is paused or closed.
	socket net.Listener
	closed bool
	// reserved is the descriptor of a socket that keeps the port during a pause; negative: there is none.
	reserved int
	// changed is closed when socket or closed changes.
	changed chan struct{}
}

func newPausableListener(socket net.Listener, listen func(network, address string) (net.Listener, error)) *pausableListener {
	return &pausableListener{
		network: "tcp", address: socket.Addr(), listen: listen, socket: socket, reserved: noDescriptor, changed: make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *pausableListener) Accept() (net.Conn, error) {
	for {
		socket, changed, closed := l.current()
		if closed {
			return nil, net.ErrClosed
		}
		if socket == nil {
			<-changed
			continue
		}
		conn, err := socket.Accept()
		if err == nil {
			return conn, nil
		}
		if now, _, _ := l.current(); now == socket {
			return nil, err
		}
	}
}

func (l *pausableListener) current() (socket net.Listener, changed chan struct{}, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.socket, l.changed, l.closed
}

// set replaces the socket. The caller holds mu.
func (l *pausableListener) set(socket net.Listener) {
	l.socket = socket
	close(l.changed)
	l.changed = make(chan struct{})
}

// pause refuses connections until resume is called.
func (l *pausableListener) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket == nil {
		return
	}
	socket := l.socket
	l.set(nil)
	_ = socket.Close()
	l.reserved = reservePort(l.address)
}

// resume accepts connections again.
func (l *pausableListener) resume() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket != nil || l.closed {
		return nil
	}
	socket, err := l.listen(l.network, l.address.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s again", l.address)
	}
	l.set(socket)
	l.releasePort()
	return nil
}

// Close implements net.Listener.
func (l *pausableListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	socket := l.socket
	l.set(nil)
	l.releasePort()
	if socket == nil {
		return nil
	}
	return socket.Close()
}

// Addr implements net.Listener.
func (l *pausableListener) Addr() net.Addr { return l.address }

const noDescriptor = -1

// reservePort binds an address without listening on it, so that the system gives its port to no outgoing
// connection. It returns noDescriptor if it can't: the port is then merely likely to be free later.
func reservePort(address net.Addr) (descriptor int) {
	family, to := socketAddress(address)
	if to == nil {
		return noDescriptor
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return noDescriptor
	}
	if unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) != nil || unix.Bind(fd, to) != nil {
		_ = unix.Close(fd)
		return noDescriptor
	}
	return fd
}

func socketAddress(address net.Addr) (family int, to unix.Sockaddr) {
	a, ok := address.(*net.TCPAddr)
	if !ok {
		return 0, nil
	}
	if ip := a.IP.To4(); ip != nil {
		return unix.AF_INET, &unix.SockaddrInet4{Port: a.Port, Addr: [4]byte(ip)}
	}
	to6 := &unix.SockaddrInet6{Port: a.Port}
	copy(to6.Addr[:], a.IP.To16())
	return unix.AF_INET6, to6
}

// releasePort gives up what reservePort keeps. The caller holds mu.
func (l *pausableListener) releasePort() {
	if l.reserved != noDescriptor {
		_ = unix.Close(l.reserved)
		l.reserved = noDescriptor
	}
}
