package standby

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// suspect is what is known against one incarnation of a member.
type suspect struct {
	incarnation       uint64
	connectionEndedAt time.Time // zero if its connection has not ended
	probeObservedAt   time.Time // since when its probe stands, as seen here; zero if none stands
	notProbedBefore   time.Time // it has answered a probe
	pause             time.Duration
	// answeredProbes counts probes that were removed since the last evaluation.
	answeredProbes int
}

// ConnectionEnded records that the connection to a peer has ended or was refused.
func (s *Standby) ConnectionEnded(name string, now time.Time) {
	if p := s.suspectFor(name); p.connectionEndedAt.IsZero() {
		p.connectionEndedAt = now
	}
}

// PeerAlive records that a peer's gossip arrived: it is alive.
func (s *Standby) PeerAlive(name string) {
	if p := s.suspects[name]; p != nil {
		p.connectionEndedAt = time.Time{}
	}
}

// ProbeObserved records that a probe stands, as ProbeRemoved does that it stands no more. Both
// may come between two evaluations: an answer takes a tenth of a second.
func (s *Standby) ProbeObserved(name string, probe Probe, now time.Time) {
	if p := s.suspectFor(name); p.probeObservedAt.IsZero() || p.incarnation != probe.Incarnation {
		p.incarnation, p.probeObservedAt = probe.Incarnation, now
	}
}

// ProbeRemoved records that a probe was removed.
func (s *Standby) ProbeRemoved(name string) {
	if p := s.suspects[name]; p != nil && !p.probeObservedAt.IsZero() {
		p.probeObservedAt, p.connectionEndedAt = time.Time{}, time.Time{}
		p.answeredProbes++
	}
}

// suspectFor returns what is known against a member, to add to it.
func (s *Standby) suspectFor(name string) *suspect {
	p := s.suspects[name]
	if p == nil {
		p = &suspect{}
		s.suspects[name] = p
	}
	return p
}

// suspected reports whether a member's connection has ended or a probe of it stands.
func (s *Standby) suspected(name string) bool {
	p := s.suspects[name]
	return p != nil && (!p.connectionEndedAt.IsZero() || !p.probeObservedAt.IsZero())
}

// updateSuspects brings what is known against others in step with the view and the probes.
func (s *Standby) updateSuspects(status ClusterStatus) {
	incarnations := map[string]uint64{}
	for _, member := range status.Members {
		incarnations[member.Name] = member.Incarnation
	}
	for name, p := range s.suspects {
		if incarnations[name] == 0 || p.incarnation != 0 && incarnations[name] != p.incarnation {
			delete(s.suspects, name) // gone, or back as another incarnation
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

// updatePause takes in the probes that were answered. What ended the connection may last: the
// member is not probed again and again for that, however often the connection ends.
func (p *suspect) updatePause(now time.Time) {
	if p.answeredProbes > 0 {
		p.pause = min(max(2*p.pause, tuning.ProbePause), tuning.MaxProbePause)
		p.answeredProbes, p.notProbedBefore = 0, now.Add(p.pause)
	}
	if p.pause > 0 && now.Sub(p.notProbedBefore) > tuning.ProbeForgetAfter {
		p.pause = 0
	}
}
