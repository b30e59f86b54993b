package control

import "github.com/bluebellsail/bluebellsail/internal/raft"

// logElections logs the steps of elections. A group without a leader confirms nothing,
// and only its replicas know which vote is missing and why.
func (r *Replica) logElections(events []raft.ElectionEvent) {
	for _, e := range events {
		line := r.log.Info().Str("event", string(e.Step)).Uint64("term", e.Term).Bool("pre_vote", e.PreVote).
			Uint64("last_index", e.LastIndex).Uint64("last_term", e.LastTerm)
		switch e.Step {
		case raft.ElectionCampaign:
			r.metrics.Campaigns.Add(1)
			line.Uints64("voters", e.Voters)
		case raft.ElectionAnswered:
			line.Uint64("candidate", e.Peer).Bool("granted", e.Granted).Str("reason", string(e.Refusal)).
				Uint64("candidate_index", e.PeerLastIndex).Uint64("candidate_term", e.PeerLastTerm)
			if !e.Granted {
				r.metrics.VotesRefused.Add(1)
			}
		case raft.ElectionReceived:
			line.Uint64("voter", e.Peer).Bool("granted", e.Granted)
		}
		line.Send()
	}
}
