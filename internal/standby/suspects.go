package standby

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// suspect holds the evidence that one incarnation of a member may have ended.
type suspect struct {
	incarnation       uint64
	connectionEndedAt time.Time     // zero if its connection has not ended
	probeObservedAt   time.Time     // when this controller first saw the unanswered probe; zero if there is none
	nextProbeAt       time.Time     // earliest time of the next probe; zero until a probe has been answered
	pause             time.Duration // between an answered probe and the next one
	// answeredProbes counts the probes deleted since the last evaluation.
	answeredProbes int
}

// ConnectionEnded records that the connection to a peer ended or was refused.
func (s *Standby) ConnectionEnded(name string, now time.Time) {
	if entry := s.suspectFor(name); entry.connectionEndedAt.IsZero() {
		entry.connectionEndedAt = now
	}
}

// PeerAlive records that gossip of a peer was received, which proves that the peer is alive.
func (s *Standby) PeerAlive(name string) {
	if entry := s.suspects[name]; entry != nil {
		entry.connectionEndedAt = time.Time{}
	}
}

// ProbeObserved records that there is a probe of a member. A probe may be written and deleted (see
// ProbeRemoved) between two evaluations: an answer takes a tenth of a second.
func (s *Standby) ProbeObserved(name string, probe Probe, now time.Time) {
	if entry := s.suspectFor(name); entry.probeObservedAt.IsZero() || entry.incarnation != probe.Incarnation {
		entry.incarnation, entry.probeObservedAt = probe.Incarnation, now
	}
}

// ProbeRemoved records that the probe of a member was deleted.
func (s *Standby) ProbeRemoved(name string) {
	if entry := s.suspects[name]; entry != nil && !entry.probeObservedAt.IsZero() {
		entry.probeObservedAt, entry.connectionEndedAt = time.Time{}, time.Time{}
		entry.answeredProbes++
	}
}

// suspectFor returns the evidence about a member, creating it if there is none.
func (s *Standby) suspectFor(name string) *suspect {
	entry := s.suspects[name]
	if entry == nil {
		entry = &suspect{}
		s.suspects[name] = entry
	}
	return entry
}

// suspected reports whether the connection to a member has ended or there is an unanswered probe of
// it.
func (s *Standby) suspected(name string) bool {
	entry := s.suspects[name]
	return entry != nil && (!entry.connectionEndedAt.IsZero() || !entry.probeObservedAt.IsZero())
}

// updateSuspects updates the evidence about all members from the view and the probes.
func (s *Standby) updateSuspects(status ClusterStatus) {
	incarnations := map[string]uint64{}
	for _, member := range status.Members {
		incarnations[member.Name] = member.Incarnation
	}
	for name, entry := range s.suspects {
		if incarnations[name] == 0 || entry.incarnation != 0 && incarnations[name] != entry.incarnation {
			delete(s.suspects, name) // left the view, or came back as a new incarnation
		} else {
			entry.incarnation = incarnations[name]
		}
	}
	for name, incarnation := range incarnations {
		entry := s.suspects[name]
		probe, probed := status.Probes[name]
		if probed && probe.Incarnation == incarnation && (entry == nil || entry.probeObservedAt.IsZero()) {
			s.ProbeObserved(name, probe, status.Now)
		}
		if entry != nil {
			s.FalseAlarms += entry.answeredProbes
			entry.updatePause(status.Now)
		}
	}
}

// updatePause doubles the pause after answered probes, and resets it after tuning.ProbeForgetAfter
// without one. The cause that ended the connection may persist, and the member should not be probed
// every time it ends the connection again.
func (s *suspect) updatePause(now time.Time) {
	if s.answeredProbes > 0 {
		s.pause = min(max(2*s.pause, tuning.ProbePause), tuning.MaxProbePause)
		s.answeredProbes, s.nextProbeAt = 0, now.Add(s.pause)
	}
	if s.pause > 0 && now.Sub(s.nextProbeAt) > tuning.ProbeForgetAfter {
		s.pause = 0
	}
}
