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
	if p := s.suspectFor(name); p.connectionEndedAt.IsZero() {
		p.connectionEndedAt = now
	}
}

// PeerAlive records that gossip of a peer was received, which proves that the peer is alive.
func (s *Standby) PeerAlive(name string) {
	if p := s.suspects[name]; p != nil {
		p.connectionEndedAt = time.Time{}
	}
}

// ProbeObserved records that there is a probe of a member. A probe may be written and deleted (see
// ProbeRemoved) between two evaluations: an answer takes a tenth of a second.
func (s *Standby) ProbeObserved(name string, probe Probe, now time.Time) {
	if p := s.suspectFor(name); p.probeObservedAt.IsZero() || p.incarnation != probe.Incarnation {
		p.incarnation, p.probeObservedAt = probe.Incarnation, now
	}
}

// ProbeRemoved records that the probe of a member was deleted.
func (s *Standby) ProbeRemoved(name string) {
	if p := s.suspects[name]; p != nil && !p.probeObservedAt.IsZero() {
		p.probeObservedAt, p.connectionEndedAt = time.Time{}, time.Time{}
		p.answeredProbes++
	}
}

// suspectFor returns the evidence about a member, creating it if there is none.
func (s *Standby) suspectFor(name string) *suspect {
	p := s.suspects[name]
	if p == nil {
		p = &suspect{}
		s.suspects[name] = p
	}
	return p
}

// suspected reports whether the connection to a member has ended or there is an unanswered probe of
// it.
func (s *Standby) suspected(name string) bool {
	p := s.suspects[name]
	return p != nil && (!p.connectionEndedAt.IsZero() || !p.probeObservedAt.IsZero())
}

// updateSuspects updates the evidence about all members from the view and the probes.
func (s *Standby) updateSuspects(status ClusterStatus) {
	incarnations := map[string]uint64{}
	for _, member := range status.Members {
		incarnations[member.Name] = member.Incarnation
	}
	for name, p := range s.suspects {
		if incarnations[name] == 0 || p.incarnation != 0 && incarnations[name] != p.incarnation {
			delete(s.suspects, name) // left the view, or came back as a new incarnation
		} else {
			p.incarnation = incarnations[name]
		}
	}
	for name, incarnation := range incarnations {
		p := s.suspects[name]
		probe, probed := status.Probes[name]
		if probed && probe.Incarnation == incarnation && (p == nil || p.probeObservedAt.IsZero()) {
			s.ProbeObserved(name, probe, status.Now)
		}
		if p != nil {
			s.FalseAlarms += p.answeredProbes
			p.updatePause(status.Now)
		}
	}
}

// updatePause doubles the pause after answered probes, and resets it after tuning.ProbeForgetAfter
// without one. The cause that ended the connection may persist, and the member should not be probed
// every time it ends the connection again.
func (p *suspect) updatePause(now time.Time) {
	if p.answeredProbes > 0 {
		p.pause = min(max(2*p.pause, tuning.ProbePause), tuning.MaxProbePause)
		p.answeredProbes, p.nextProbeAt = 0, now.Add(p.pause)
	}
	if p.pause > 0 && now.Sub(p.nextProbeAt) > tuning.ProbeForgetAfter {
		p.pause = 0
	}
}
