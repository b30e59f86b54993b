package control

import "github.com/bluebellsail/bluebellsail/internal/pb"

// HandleRaft takes a message from another replica. It never blocks; when too
// many wait, the message is dropped.
func (r *Replica) HandleRaft(m *pb.RaftMessage) { r.HandleRaftFrom(m, "") }

// HandleRaftFrom is HandleRaft with the sender's address, which a replica that
// isn't a member yet needs for its answers.
func (r *Replica) HandleRaftFrom(m *pb.RaftMessage, address string) {
	r.inMu.Lock()
	if address != "" && (len(r.addresses) < maxInbox || r.addresses[m.From] != "") {
		r.addresses[m.From] = address
	}
	if len(r.inbox) < maxInbox && !r.closed {
		r.inbox = append(r.inbox, m)
	} else {
		r.metrics.MessagesDropped.Add(1)
	}
	r.inMu.Unlock()
	r.wakeLoop()
}
