package control

import "github.com/bluebellsail/bluebellsail/internal/pb"

// receive takes a message from another replica. It never blocks; when too many
// wait, the message is dropped. address is the sender's, which a replica that
// isn't a member yet needs for its answers; empty if not known.
func (r *Replica) receive(m *pb.RaftMessage, address string) {
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
