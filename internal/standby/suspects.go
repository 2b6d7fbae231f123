package standby

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// suspect is what is known against one incarnation of a member.
type suspect struct {
	incarnation       uint64
	connectionEndedAt time.Time // its connection ended, zero if it did not
	// probeObservedAt is since when its call stands, as seen here.
	probeObservedAt time.Time
	notProbedBefore time.Time // it answered: not called again before
	pause           time.Duration
	// answeredProbes counts calls that went since the last look.
	answeredProbes int
}

// ConnectionEnded takes in that the connection to a peer has ended or was refused.
func (s *Standby) ConnectionEnded(name string, now time.Time) {
	if p := s.suspectFor(name); p.connectionEndedAt.IsZero() {
		p.connectionEndedAt = now
	}
}

// PeerAlive takes in that a peer spoke: it lives.
func (s *Standby) PeerAlive(name string) {
	if p := s.suspects[name]; p != nil {
		p.connectionEndedAt = time.Time{}
	}
}

// ProbeObserved takes in that a call stands, Gone that it stands no more. Both may come
// between two looks: an answer takes a tenth of a second.
func (s *Standby) ProbeObserved(name string, c Probe, now time.Time) {
	if p := s.suspectFor(name); p.probeObservedAt.IsZero() || p.incarnation != c.Incarnation {
		p.incarnation, p.probeObservedAt = c.Incarnation, now
	}
}

// ProbeRemoved takes in that a call was removed.
func (s *Standby) ProbeRemoved(name string) {
	if p := s.suspects[name]; p != nil && !p.probeObservedAt.IsZero() {
		p.probeObservedAt, p.connectionEndedAt = time.Time{}, time.Time{}
		p.answeredProbes++
	}
}

func (s *Standby) suspectFor(name string) *suspect {
	p := s.suspects[name]
	if p == nil {
		p = &suspect{}
		s.suspects[name] = p
	}
	return p
}

func (s *Standby) suspected(name string) bool {
	p := s.suspects[name]
	return p != nil && (!p.connectionEndedAt.IsZero() || !p.probeObservedAt.IsZero())
}

// updateSuspects brings what is known against others in step with the view and the calls.
func (s *Standby) updateSuspects(x ClusterStatus) {
	in := map[string]uint64{}
	for _, m := range x.Members {
		in[m.Name] = m.Incarnation
	}
	for name, p := range s.suspects {
		if in[name] == 0 || p.incarnation != 0 && in[name] != p.incarnation {
			delete(s.suspects, name) // gone, or back as another incarnation
		} else {
			p.incarnation = in[name]
		}
	}
	for name, incarnation := range in {
		p := s.suspects[name]
		if c, called := x.Probes[name]; called && c.Incarnation == incarnation && (p == nil || p.probeObservedAt.IsZero()) {
			s.ProbeObserved(name, c, x.Now)
		}
		if p != nil && p.answeredProbes > 0 {
			// What ended its connection may last: it is not called again and again for
			// that, however often the connection ends.
			s.FalseAlarms += p.answeredProbes
			p.pause = min(max(2*p.pause, tuning.ProbePause), tuning.MaxProbePause)
			p.answeredProbes, p.notProbedBefore = 0, x.Now.Add(p.pause)
		}
		if p != nil && p.pause > 0 && x.Now.Sub(p.notProbedBefore) > tuning.ProbeForgetAfter {
			p.pause = 0
		}
	}
}
