package control

import "github.com/bluebellsail/bluebellsail/internal/pb"

// receive queues a message from another replica. It never blocks; when too many
// messages are queued, the message is dropped. address is the sender's address, or
// empty if unknown; replies to a replica that isn't a member yet are sent there.
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
