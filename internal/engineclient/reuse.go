package engineclient

import "errors"

// errOutOfStep ends a connection that must not be used again after its last answer.
var errOutOfStep = errors.New("the connection is out of step with its requests")

// reuse is the decision whether a connection may be used again after an answer.
//
// net/http keeps a connection before it returns an answer without a body, so that another request may be given the connection
// before the answer's headers have been read. That request is not written until the decision.
type reuse struct {
	decided chan struct{}
	allowed bool
}

func newReuse() *reuse { return &reuse{decided: make(chan struct{})} }

// decide is called once.
func (r *reuse) decide(allowed bool) {
	r.allowed = allowed
	close(r.decided)
}

// wait waits for the decision and returns it. No decision is due before the first request of a connection.
func (r *reuse) wait() (allowed bool) {
	if r == nil {
		return true
	}
	<-r.decided
	return r.allowed
}
