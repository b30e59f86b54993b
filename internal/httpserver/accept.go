package httpserver

import "time"

// acceptBackoff is how long no connection is accepted after one could not be, for want of
// descriptors as a rule: some close within it.
//
// What goes wrong without it: nbhttp tries again at once, and the host spends its processor on
// the attempts, and its log on a line for each, while it has requests to serve.
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
