// Package standby is how ready a controller is to lead, how it finds out that another one has
// ended before that one's lease expires, and what it checks before it decides as a leader. It is
// pure: events come in, actions go out; it has no IO and no clock.
//
// A controller whose connection ends is suspected, no more: a packet filter or a lack of sockets
// ends connections, too. The controller that is to act on the suspicion probes it: by a key in
// the store, which the probed controller answers by removing it, if it is alive and reaches the
// store. A probe that is unanswered in time lets the prober change the view without the suspect,
// in one transaction that has the probe, as it was written, among its preconditions. So no message
// between controllers decides anything, and a controller that answers late is out, fenced by the
// view like any former member (docs/notes/standby.md).
package standby

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// State is how ready a controller is.
type State string

// States of a controller.
const (
	Cold      State = "cold"      // outside the view, or its mirror is not live
	Following State = "following" // a member
	Warm      State = "warm"      // a member that is among the first in the order of succession
	Probing   State = "calling"   // the leader is suspected, and this one is to succeed it
	Checking  State = "checking"  // leads, and has not done all of a leader's checks
	Leading   State = "leading"
	Leaving   State = "leaving" // resigns
)

// Member is a member of the view, as others see it.
type Member struct {
	Name        string
	Incarnation uint64
	Zone        string
	// AnswersProbes tells that its program answers liveness probes.
	AnswersProbes bool
}

// ClusterStatus is what an evaluation is based on.
type ClusterStatus struct {
	Now     time.Time
	Name    string // of this controller
	InView  bool   // in the view, its mirror live, certain of its place
	Leader  string
	Members []Member
	// Lag is how far this controller is behind: with its watch, or with its own loop.
	Lag time.Duration
	// WatchBehind tells that its watch has not reached the probes that it wrote itself.
	WatchBehind bool
	// PendingChecks are those that a leader has still to do.
	PendingChecks []Check
	// Probes are those that stand in the store, by the probed member.
	Probes map[string]Probe
	// StoreUnavailable tells that the store does not answer.
	StoreUnavailable bool
}

// Action is something that the controller has to do.
type Action struct {
	Kind ActionKind
	// Names are members: those to probe or to remove, or the one to lead.
	Names []string
	// Wait is how long a probe may stand unanswered.
	Wait time.Duration
}

// ActionKind is the kind of an Action.
type ActionKind string

// Kinds of actions.
const (
	ActionProbe    ActionKind = "call"      // write probes of Names
	ActionAnswer   ActionKind = "answer"    // remove the probe of this controller
	ActionRemove   ActionKind = "out"       // change the view without Names
	ActionResign   ActionKind = "leave"     // change the view to one without this controller, led by Names[0]
	ActionHandOver ActionKind = "hand over" // change the view to one led by Names[0]
)

// Standby is one controller's readiness. Only the event loop uses it.
type Standby struct {
	State  State
	Reason string // for the last change of the state, for the log
	Since  time.Time
	// SuccessionOrder is its place among those that are to succeed the leader, -1 if it has none.
	SuccessionOrder int
	// FalseAlarms counts probes that were answered.
	FalseAlarms int

	suspects  map[string]*suspect
	resigning bool
	// laggingSince is since when it leads while it is behind. Handing over has a pause of its own,
	// so that controllers that are all behind do not pass the lead around.
	laggingSince  time.Time
	handedOverAt  time.Time
	handOverPause time.Duration
}

// New makes the readiness of a controller that has just started.
func New(now time.Time) *Standby {
	return &Standby{
		State:    Cold,
		Reason:   "started",
		Since:    now,
		suspects: map[string]*suspect{},
	}
}

// Resign has the controller give up its place in the view.
func (s *Standby) Resign() { s.resigning = true }

// Evaluate takes in the cluster's status and returns what to do, in this order. It is the only
// place where the state changes; changed tells that it did.
func (s *Standby) Evaluate(status ClusterStatus) (actions []Action, changed bool) {
	s.updateSuspects(status)
	priority, succession := s.probeOrder(status)
	s.SuccessionOrder = succession
	switch {
	case !status.InView:
		// It has nothing to decide from. It still answers: a probe means that others count
		// it in.
		if !status.StoreUnavailable {
			actions = answer(status)
		}
		return actions, s.transition(Cold, "outside the view, or not certain of its place", status.Now)
	case status.StoreUnavailable:
		return nil, false // nothing can be probed, answered or changed
	case s.resigning:
		return s.resignation(status), s.transition(Leaving, "asked to end", status.Now)
	}
	actions = answer(status)
	if priority >= 0 {
		actions = append(actions, s.probesAndRemovals(status, priority)...)
	}
	if to := s.handOverTo(status); to != "" {
		actions = append(actions, Action{Kind: ActionHandOver, Names: []string{to}})
	}
	state, reason := s.stateInView(status, priority)
	return actions, s.transition(state, reason, status.Now)
}

// answer returns the action that answers a probe of this controller, none if none stands.
func answer(status ClusterStatus) []Action {
	if _, probed := status.Probes[status.Name]; !probed {
		return nil
	}
	return []Action{{Kind: ActionAnswer}}
}

// resignation returns the action that gives up this controller's place, with its successor if it
// leads; none if a leader has no successor.
func (s *Standby) resignation(status ClusterStatus) []Action {
	leader := []string{status.Leader} // changes the view when the member key is gone
	if status.Leader == status.Name {
		leader = Successors(status, s.suspected)
	}
	if len(leader) == 0 {
		return nil
	}
	return []Action{{Kind: ActionResign, Names: leader[:1]}}
}

// stateInView returns the state of a controller that is in the view and stays in it, and why.
func (s *Standby) stateInView(status ClusterStatus, priority int) (state State, reason string) {
	switch {
	case status.Leader == status.Name && len(status.PendingChecks) > 0:
		return Checking, "leads now"
	case status.Leader == status.Name:
		return Leading, "all is checked"
	case priority >= 0 && s.suspected(status.Leader):
		return Probing, "the leader's connection ended"
	case s.SuccessionOrder >= 0 && s.SuccessionOrder < tuning.WarmStandbys:
		return Warm, "among the first to follow"
	}
	return Following, "in the view"
}

func (s *Standby) transition(to State, reason string, now time.Time) bool {
	if s.State == to {
		return false
	}
	s.State, s.Reason, s.Since = to, reason, now
	return true
}
