// Package standby is how ready a controller is to take the lead, how it finds out that
// another has ended before that one's lease does, and what it checks before it
// decides as a leader. It is pure: events come in, effects go out; it has no IO and no
// clock.
//
// A controller whose connection ends is suspected, no more: a packet filter or a lack of
// sockets ends connections, too. Who is to follow it calls it: by a key in the state
// service, which it answers by removing it, if it lives and reaches the state service.
// A call that is unanswered in time lets the caller change the view without it, in one
// transaction that is conditional on the call being there as it was written. So no
// message between controllers decides anything, and one that answers late is out, fenced
// by the view like any former member (docs/notes/standby.md).
package standby

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ProbePrefix is that of the keys by which members are called.
const ProbePrefix = "call/"

// Probe is the value of such a key.
type Probe struct {
	Incarnation uint64 `json:"inc"` // incarnation that is called
	By          string `json:"by"`
	// WaitMs is how long it may stand unanswered.
	WaitMs int64 `json:"wait_ms"`
}

// DecodeProbe reads a call; false if it is none.
func DecodeProbe(v json.RawMessage) (Probe, bool) {
	var c Probe
	ok := json.Unmarshal(v, &c) == nil && c.Incarnation != 0 && c.WaitMs > 0
	return c, ok
}

// State is how ready a controller is.
type State string

// States of a controller.
const (
	Cold      State = "cold"      // outside the view, or not reading along
	Following State = "following" // a member
	Warm      State = "warm"      // a member that is among the first to follow the leader
	Probing   State = "calling"   // a leader is called, and this one is to follow
	Checking  State = "checking"  // leads, and has not checked all that a leader must
	Leading   State = "leading"
	Leaving   State = "leaving" // gives its place away
)

// Member is a member of the view, as others see it.
type Member struct {
	Name        string
	Incarnation uint64
	Zone        string
	// AnswersProbes tells that its program answers calls.
	AnswersProbes bool
}

// ClusterStatus is what a look goes by.
type ClusterStatus struct {
	Now     time.Time
	Name    string
	InView  bool // in the view, reading along, certain of its place
	Leader  string
	Members []Member
	// Lag is how far this controller is behind: with its watch, or with its own loop.
	Lag time.Duration
	// Behind tells that its watch has not come to what it wrote itself.
	Behind bool
	// Unchecked is what a leader has still to check.
	Unchecked []Check
	// Probes are those that stand in the state service, by who is called.
	Probes map[string]Probe
	// StoreUnavailable tells that the state service does not answer.
	StoreUnavailable bool
}

// Action is something to do.
type Action struct {
	Kind  ActionKind
	Names []string
	Wait  time.Duration // of a call
}

// ActionKind names an act.
type ActionKind string

// Acts.
const (
	ActionProbe    ActionKind = "call"      // write calls
	ActionAnswer   ActionKind = "answer"    // remove the call of this controller
	ActionRemove   ActionKind = "out"       // change the view without these
	ActionResign   ActionKind = "leave"     // change the view to one without this controller, led by Names[0]
	ActionHandOver ActionKind = "hand over" // change the view to one led by Names[0]
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

// Standby is one controller's readiness.
type Standby struct {
	State  State
	Reason string
	Since  time.Time
	// SuccessionOrder is its place among those that are to follow the leader, -1 if it has none.
	SuccessionOrder int
	// FalseAlarms counts calls that were answered.
	FalseAlarms int

	suspects map[string]*suspect
	leaving  bool
	// laggingSince is since when it leads while it is behind; passing on has a pause of its own,
	// so that controllers that are all behind do not pass the lead around.
	laggingSince  time.Time
	handedOverAt  time.Time
	handOverPause time.Duration
}

// New is a controller that has just started.
func New(now time.Time) *Standby {
	return &Standby{State: Cold, Reason: "started", Since: now, suspects: map[string]*suspect{}}
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

// Resign has the controller give its place away.
func (s *Standby) Resign() { s.leaving = true }

func (s *Standby) suspectFor(name string) *suspect {
	p := s.suspects[name]
	if p == nil {
		p = &suspect{}
		s.suspects[name] = p
	}
	return p
}

// Evaluate takes the situation in and says what to do. It is the one place where the state
// changes; changed tells that it did.
func (s *Standby) Evaluate(x ClusterStatus) (acts []Action, changed bool) {
	s.updateSuspects(x)
	priority, follows := s.probeOrder(x)
	s.SuccessionOrder = follows
	if !x.InView {
		// What it would decide is not its to decide. It still answers: a call means
		// that others count it in.
		if _, called := x.Probes[x.Name]; called && !x.StoreUnavailable {
			acts = append(acts, Action{Kind: ActionAnswer})
		}
		return acts, s.transition(Cold, "outside the view, or not certain of its place", x.Now)
	}
	if _, called := x.Probes[x.Name]; called && !s.leaving {
		acts = append(acts, Action{Kind: ActionAnswer})
	}
	if x.StoreUnavailable {
		return nil, false // nothing can be called, answered or changed
	}
	if s.leaving {
		to := Successors(x, s.suspected)
		if x.Leader != x.Name {
			to = []string{x.Leader} // who takes note of it
		}
		if len(to) > 0 {
			acts = append(acts, Action{Kind: ActionResign, Names: to[:1]})
		}
		return acts, s.transition(Leaving, "asked to end", x.Now)
	}
	if priority >= 0 {
		if call := s.probesDue(x, priority); call.Names != nil {
			acts = append(acts, call)
		}
		// Whoever is behind its own call would be a leader that can't decide: those after
		// it see the call and follow instead.
		if out := s.unanswered(x, priority); out != nil && !x.Behind {
			acts = append(acts, Action{Kind: ActionRemove, Names: out})
		}
	}
	if to := s.handOverTo(x); to != "" {
		acts = append(acts, Action{Kind: ActionHandOver, Names: []string{to}})
	}
	switch {
	case x.Leader == x.Name && len(x.Unchecked) > 0:
		return acts, s.transition(Checking, "leads now", x.Now)
	case x.Leader == x.Name:
		return acts, s.transition(Leading, "all is checked", x.Now)
	case priority >= 0 && s.suspected(x.Leader):
		return acts, s.transition(Probing, "the leader's connection ended", x.Now)
	case follows >= 0 && follows < tuning.WarmStandbys:
		return acts, s.transition(Warm, "among the first to follow", x.Now)
	}
	return acts, s.transition(Following, "in the view", x.Now)
}

func (s *Standby) transition(to State, why string, now time.Time) bool {
	if s.State == to {
		return false
	}
	s.State, s.Reason, s.Since = to, why, now
	return true
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

// probeOrder tells when it is this controller's turn to act on a suspicion: the leader's
// first; after a suspected leader the others' in the order in which they follow it. It
// is -1 while it is not its turn at all. follows is its place among those.
func (s *Standby) probeOrder(x ClusterStatus) (priority, follows int) {
	follows = slices.Index(Successors(x, s.suspected), x.Name)
	switch {
	case x.Leader == x.Name:
		return 0, -1
	case s.suspected(x.Leader):
		return follows, follows
	}
	return -1, follows
}

// Successors orders the members by who should lead next: those that nobody suspects,
// of other zones than the leader's first, then by name in turn after the leader's, so
// that not the same one follows every leader.
func Successors(x ClusterStatus, suspected func(string) bool) []string {
	zone := ""
	for _, m := range x.Members {
		if m.Name == x.Leader {
			zone = m.Zone
		}
	}
	var out []Member
	for _, m := range x.Members {
		if m.Name != x.Leader && (m.Name == x.Name || !suspected(m.Name)) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(falseFirst(a.Zone == zone, b.Zone == zone), falseFirst(a.Name < x.Leader, b.Name < x.Leader), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, len(out))
	for i, m := range out {
		names[i] = m.Name
	}
	return names
}

// falseFirst puts false before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// handOverTo is who a leader hands the lead to because it is behind, for some time, with its
// own loop or with the watch: what it decides comes late and conflicts. None if it isn't.
func (s *Standby) handOverTo(x ClusterStatus) string {
	if x.Leader != x.Name || x.Lag < tuning.UnfitLag {
		s.laggingSince = time.Time{}
		return ""
	}
	if s.laggingSince.IsZero() {
		s.laggingSince = x.Now
	}
	to := Successors(x, s.suspected)
	if x.Now.Sub(s.laggingSince) < tuning.UnfitFor || len(to) == 0 || s.suspected(to[0]) || !s.handedOverAt.IsZero() && x.Now.Sub(s.handedOverAt) < s.handOverPause {
		return ""
	}
	s.laggingSince, s.handedOverAt = time.Time{}, x.Now
	s.handOverPause = min(max(2*s.handOverPause, tuning.HandOverPause), tuning.MaxHandOverPause)
	return to[0]
}

// delay is how long a controller leaves the first go to those before it. One that is
// behind itself had better not be the one.
func (x ClusterStatus) delay(priority int) time.Duration {
	return time.Duration(priority)*tuning.ProbeStagger + min(x.Lag, tuning.ProbeStagger)
}

// probesDue is the members that this controller is to call now. The leader's call comes
// from its followers, everybody else's from the leader.
func (s *Standby) probesDue(x ClusterStatus, priority int) Action {
	ended := 0
	for _, m := range x.Members {
		if p := s.suspects[m.Name]; p != nil && !p.connectionEndedAt.IsZero() {
			ended++
		}
	}
	act := Action{Kind: ActionProbe, Wait: tuning.ProbeTimeout}
	if ended > 1 {
		// Several at once: more likely it is the way to them, so they are given time.
		act.Wait = tuning.ProbeTimeoutMany
	}
	for _, m := range x.Members {
		p := s.suspects[m.Name]
		_, called := x.Probes[m.Name]
		mine := x.Leader == x.Name || m.Name == x.Leader
		if m.Name == x.Name || !m.AnswersProbes || p == nil || p.connectionEndedAt.IsZero() || called || !mine {
			continue
		}
		if x.Now.Sub(p.connectionEndedAt) >= x.delay(priority) && !x.Now.Before(p.notProbedBefore) {
			act.Names = append(act.Names, m.Name)
			if p.pause > 0 {
				act.Wait = tuning.ProbeTimeoutMany // it has answered before
			}
		}
	}
	return act
}

// unanswered is the members whose calls have stood for too long.
func (s *Standby) unanswered(x ClusterStatus, priority int) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(x.Probes)) {
		c := x.Probes[name]
		p := s.suspects[name]
		mine := x.Leader == x.Name || name == x.Leader
		if name == x.Name || p == nil || p.probeObservedAt.IsZero() || p.incarnation != c.Incarnation || !mine {
			continue
		}
		if x.Now.Sub(p.probeObservedAt) >= time.Duration(c.WaitMs)*time.Millisecond+x.delay(priority) {
			out = append(out, name)
		}
	}
	return out
}
