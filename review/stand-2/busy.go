package main

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// How often and for how long a busy server accepts no new channel, while its queue of these is full.
const (
	busyEvery = 500 * time.Millisecond
	busyFor   = 130 * time.Millisecond
	queue     = 1
)

// listen listens at the server's address. A busy server has a short queue of new channels.
func (s *server) listen() (net.Listener, error) {
	if !s.busy {
		return net.Listen("tcp", s.address)
	}
	l, err := shortListener(s.address)
	if err != nil {
		return nil, err
	}
	b := &busyListener{Listener: l, address: s.address, stop: s.stop}
	s.done.Add(1)
	go func() { defer s.done.Done(); b.run() }()
	return b, nil
}

// shortListener listens with a queue for few new channels.
func shortListener(address string) (net.Listener, error) {
	at, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), address)
	defer func() { _ = file.Close() }()
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	to := &syscall.SockaddrInet4{Port: at.Port}
	copy(to.Addr[:], at.IP.To4())
	if err := syscall.Bind(fd, to); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, queue); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// busyListener accepts nothing for short times, in which other callers' channels fill its queue.
type busyListener struct {
	net.Listener
	address string
	stop    chan struct{}
	gate    sync.RWMutex
}

// Accept implements net.Listener. A channel that was accepted meanwhile waits for the server.
func (b *busyListener) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	b.gate.RLock()
	defer b.gate.RUnlock()
	return c, err
}

func (b *busyListener) run() {
	for {
		select {
		case <-b.stop:
			return
		case <-time.After(busyEvery - busyFor):
		}
		b.gate.Lock()
		var others []net.Conn
		for range queue + 2 { // one is taken by Accept, which waits at the gate
			if c, err := net.DialTimeout("tcp", b.address, 20*time.Millisecond); err == nil {
				others = append(others, c)
			}
		}
		time.Sleep(busyFor)
		b.gate.Unlock()
		for _, c := range others {
			_ = c.Close()
		}
	}
}
