// Package standby contains a controller's standby state machine: how ready the controller is to
// lead, how it detects that another controller has ended before that one's lease expires, and what
// it checks before it makes decisions as a leader. The package is pure: it turns observations into
// actions, does no I/O and reads no clock.
//
// A controller whose connection ends is only suspected, since packet filters and socket exhaustion
// end connections, too. The controller responsible for the suspicion probes the suspect by writing
// a key to the store. The suspect answers by deleting the key, if it is alive and reaches the
// store. If the probe times out, the prober may remove the suspect from the view in a transaction
// that has the unchanged probe among its preconditions. No decision therefore depends on a message
// between controllers, and a controller that answers too late has been removed and is fenced by the
// view like any former member (docs/notes/standby.md).
package standby

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// State is the standby state of a controller.
type State string

// States of a controller.
const (
	Cold      State = "cold"      // not in the view, or the mirror is not live
	Following State = "following" // in the view
	Warm      State = "warm"      // in the view and among the first in the order of succession
	Probing   State = "calling"   // the leader is suspected, and it is this controller's turn to act on that
	Checking  State = "checking"  // leads, but has not passed all checks of a new leader yet
	Leading   State = "leading"
	Leaving   State = "leaving" // resigning
)

// Member is a member of the view.
type Member struct {
	Name        string
	Incarnation uint64
	Zone        string
	// AnswersProbes reports whether the member answers liveness probes.
	AnswersProbes bool
}

// ClusterStatus is the input of an evaluation.
type ClusterStatus struct {
	Now     time.Time
	Name    string // of this controller
	InView  bool   // in the view, with a live mirror, and certain of its place
	Leader  string
	Members []Member
	// Lag is how far this controller is behind, with its watch or with its event loop.
	Lag time.Duration
	// WatchBehind reports whether the watch has yet to reach the probes that this controller wrote.
	WatchBehind bool
	// PendingChecks are the checks that have yet to pass if this controller leads.
	PendingChecks []Check
	// Probes are the unanswered probes in the store, by the probed member.
	Probes map[string]Probe
	// StoreUnavailable reports whether the store does not answer.
	StoreUnavailable bool
}

// Action is something for the controller to carry out.
type Action struct {
	Kind ActionKind
	// Names are the members to probe or to remove, or the member that becomes leader.
	Names []string
	// Wait is how long a probe may stay unanswered.
	Wait time.Duration
}

// ActionKind is the kind of an Action.
type ActionKind string

// Kinds of actions.
const (
	ActionProbe    ActionKind = "call"      // write probes of the members in Names
	ActionAnswer   ActionKind = "answer"    // delete the probe of this controller
	ActionRemove   ActionKind = "out"       // remove the members in Names from the view
	ActionResign   ActionKind = "leave"     // remove this controller from the membership; Names[0] leads the next view
	ActionHandOver ActionKind = "hand over" // make Names[0] the leader
)

// Standby is the standby state machine of one controller. Not safe for concurrent use; only the
// event loop uses it.
type Standby struct {
	State  State
	Reason string    // of the last state change, for the log
	Since  time.Time // of the last state change
	// SuccessionOrder is the position of this controller in the order of succession, -1 if it has
	// none.
	SuccessionOrder int
	// FalseAlarms counts the probes that were answered.
	FalseAlarms int

	suspects  map[string]*suspect
	resigning bool
	// laggingSince is when this controller, as the leader, began to lag. Handovers have a backoff
	// of their own, so that controllers that all lag do not pass leadership around.
	laggingSince  time.Time
	handedOverAt  time.Time
	handOverPause time.Duration
}

// New returns the state machine of a controller that has just started.
func New(now time.Time) *Standby {
	return &Standby{
		State:    Cold,
		Reason:   "started",
		Since:    now,
		suspects: map[string]*suspect{},
	}
}

// Resign makes the controller leave the view.
func (s *Standby) Resign() { s.resigning = true }

// Evaluate processes the status of the cluster and returns the actions to carry out, in order, and
// whether the state changed. All state transitions are made here.
func (s *Standby) Evaluate(status ClusterStatus) (actions []Action, changed bool) {
	s.updateSuspects(status)
	priority, succession := s.probeOrder(status)
	s.SuccessionOrder = succession
	switch {
	case !status.InView:
		// Nothing can be decided, but a probe is still answered: it means that others consider
		// this controller a member.
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

// answer returns the action that answers the probe of this controller, nil if there is no probe.
func answer(status ClusterStatus) []Action {
	if _, probed := status.Probes[status.Name]; !probed {
		return nil
	}
	return []Action{{Kind: ActionAnswer}}
}

// resignation returns the action that removes this controller from the membership. If it leads, the
// action names its successor; without a successor there is no action.
func (s *Standby) resignation(status ClusterStatus) []Action {
	leader := []string{status.Leader} // the leader changes the view once the member key is gone
	if status.Leader == status.Name {
		leader = Successors(status, s.suspected)
	}
	if len(leader) == 0 {
		return nil
	}
	return []Action{{Kind: ActionResign, Names: leader[:1]}}
}

// stateInView returns the state of a controller that is in the view and not resigning, and the
// reason for it.
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
