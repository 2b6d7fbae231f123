package reconcile

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Phase is the progress of a controller's reconciliation after it starts.
type Phase string

// The phases, in order. In Steady, the last one, this package restricts nothing any more.
const (
	Loading     Phase = "loading"     // reading the state service; not in a view yet
	Hearing     Phase = "hearing"     // waiting for heartbeats of own machines, or for other owners to receive theirs
	Reconciling Phase = "reconciling" // some registered machines still differ
	Steady      Phase = "steady"
)

// Permission is a kind of decision that is not allowed in every phase.
type Permission string

// The permissions.
const (
	StopTasks       Permission = "stop tasks that are cancelled or not recorded"
	ApplyHeartbeats Permission = "free, end and restart tasks by machines' heartbeats"
	PlaceOnOwn      Permission = "place tasks on own machines that are reconciled"
	PlaceOnOthers   Permission = "place tasks on other owners' machines, by their records"
	ScaleOut        Permission = "scale out"
)

// permitted holds the permissions of each phase. Whether a controller may act at all, as a member
// or as the leader, is determined elsewhere: by standby.Checks and by the view's revision.
var permitted = map[Phase]map[Permission]bool{
	Loading: {},
	Hearing: {StopTasks: true, ApplyHeartbeats: true, PlaceOnOwn: true},
	Reconciling: {
		StopTasks:       true,
		ApplyHeartbeats: true,
		PlaceOnOwn:      true,
		PlaceOnOthers:   true,
		ScaleOut:        true,
	},
	Steady: {
		StopTasks:       true,
		ApplyHeartbeats: true,
		PlaceOnOwn:      true,
		PlaceOnOthers:   true,
		ScaleOut:        true,
	},
}

// Permits reports whether a phase grants a permission.
func (p Phase) Permits(permission Permission) bool { return permitted[p][permission] }

// Facts is the input from which the next phase is determined.
type Facts struct {
	InView        bool // this controller is, or was, in a view
	Machines      Counts
	AwaitsOwners  bool          // some other owners have not reported heartbeats of all their machines
	SinceStart    time.Duration // since this controller entered its first view
	SinceLastView time.Duration
}

// Advance returns the next phase. All changes of a phase go through Advance. By heartbeatsWithin
// every running machine has sent a heartbeat: it is a little more than two heartbeat intervals. At
// finishWithin reconciliation ends in any case: differences that remain then are handled like those
// that arise in normal operation.
func (p Phase) Advance(facts Facts, heartbeatsWithin, finishWithin time.Duration) Phase {
	switch {
	case p == Steady || !facts.InView:
		return p
	case facts.SinceStart >= finishWithin:
		return Steady
	case facts.Machines.Unregistered > 0 && facts.SinceStart < heartbeatsWithin:
		return Hearing
	case facts.AwaitsOwners && facts.SinceLastView < tuning.ReconcileOthers:
		return Hearing
	case facts.Machines.Registered+facts.Machines.Differs > 0:
		return Reconciling
	}
	return Steady
}
