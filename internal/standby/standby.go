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
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

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

// Resign has the controller give its place away.
func (s *Standby) Resign() { s.leaving = true }

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
