package api

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/readconsistency"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// acceptsUnverified reports whether a query may be answered from a mirror that is not known to be
// recent, because the other controllers have answered what they have acknowledged since it arrived.
// That takes lines that arrive within tuning.MaxReadAge. Beside a controller of an older version,
// which leaves no other way, gossip of all members has to suffice on slower links; the answer is
// then not older than anything that was told before the question (docs/upgrades.md). While gossip
// from a member is missing, the job is read separately too, and the query is refused if that fails.
func (s *Server) acceptsUnverified(query *pendingQuery) bool {
	if !s.unverifiedTooLong(query) {
		return false
	}
	if s.peerProof.Covers(query.arrivedAt, s.state.Now) {
		return true
	}
	hearsAll := s.view.HearsAllMembers()
	if !query.separate && !hearsAll {
		s.readSeparately(query)
	}
	waited := s.state.Now.Sub(query.arrivedAt)
	return hearsAll && s.acks.HasOlderPeer() && waited >= tuning.QueryReadAfter
}

// unverifiedTooLong reports whether a query has waited so long for a mirror that is known to be up
// to date that the other controllers are queried for it.
func (s *Server) unverifiedTooLong(query *pendingQuery) bool {
	return s.state.Now.Sub(query.arrivedAt) >= tuning.QueryUnverifiedAfter
}

// queryPeers queries the other controllers, at most every tuning.QueryGap, while there are queries
// that only lack the confirmation that the mirror is up to date and have waited too long for it.
func (s *Server) queryPeers() {
	var oldest time.Time
	for _, batch := range s.queries.batches {
		for i := range batch.queries {
			query := &batch.queries[i]
			if batch.reached && s.unverifiedTooLong(query) && (oldest.IsZero() || query.arrivedAt.Before(oldest)) {
				oldest = query.arrivedAt
			}
		}
	}
	if !oldest.IsZero() && s.peerProof.SinceLastQuery(s.state.Now) >= tuning.QueryGap {
		s.peers.QueryAcks(s.peerProof.Begin(oldest, s.state.Now))
	}
}

// PeerAnswered handles another controller's answer to a query about its acknowledgements, which the
// AckLog has already recorded.
func (s *Server) PeerAnswered(from string, answer readconsistency.PeerAnswer) {
	s.peerProof.Answered(from, answer)
	s.AnswerQueries(time.Time{})
}
