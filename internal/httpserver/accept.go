package httpserver

import "time"

// acceptBackoff is how long the server waits after it failed to accept a connection. The usual
// reason is a shortage of descriptors, some of which become free in that time.
//
// Without the pause, nbhttp retries at once: the host spends its CPU on the attempts and its
// log on a line for each while it has requests to serve.
const acceptBackoff = 50 * time.Millisecond

// onAcceptError runs on the accepting goroutine.
func (s *Server) onAcceptError(error) {
	select {
	case <-s.stopping: // the listener is closed
	default:
		s.closes.notAccepted.Add(1)
		time.Sleep(acceptBackoff)
	}
}
