package reconcile

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Phase is how far a controller that has started is.
type Phase string

// The phases, in order. Steady is the last: from then on this package holds nothing back.
const (
	Loading     Phase = "loading"     // reads the state service; it is in no view yet
	Hearing     Phase = "hearing"     // own machines are unregistered, or other owners had no time to hear theirs
	Reconciling Phase = "reconciling" // some registered machines still differ
	Steady      Phase = "steady"
)

// Permission is a kind of decision that may be held back.
type Permission string

// The permissions.
const (
	StopTasks       Permission = "stop tasks that are cancelled or not recorded"
	ApplyHeartbeats Permission = "free, end and restart tasks by machines' heartbeats"
	PlaceOnOwn      Permission = "place tasks on own machines that are reconciled"
	PlaceOnOthers   Permission = "place tasks on other owners' machines, by their records"
	ScaleOut        Permission = "scale out"
)

// permitted is what may be decided in each phase. Whether a controller may decide at all, as a member or as the leader,
// is not decided here but by standby.Checks and by the view's revision.
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

// Permits reports whether a permission is given in a phase.
func (p Phase) Permits(permission Permission) bool { return permitted[p][permission] }

// Facts is what a phase follows from.
type Facts struct {
	InView        bool // this controller is, or was, in a view
	Machines      Counts
	AwaitsOwners  bool          // some owners of other machines have not reported that they heard theirs
	SinceStart    time.Duration // since this controller came into its first view
	SinceLastView time.Duration
}

// Advance returns the next phase. A phase changes nowhere else. hearWithin is when all machines that run have sent
// heartbeats (two intervals and some), finishWithin when reconciliation ends in any case: what still differs then is
// what differs on any day.
func (p Phase) Advance(facts Facts, hearWithin, finishWithin time.Duration) Phase {
	switch {
	case p == Steady || !facts.InView:
		return p
	case facts.SinceStart >= finishWithin:
		return Steady
	case facts.Machines.Unregistered > 0 && facts.SinceStart < hearWithin:
		return Hearing
	case facts.AwaitsOwners && facts.SinceLastView < tuning.ReconcileOthers:
		return Hearing
	case facts.Machines.Registered+facts.Machines.Differs > 0:
		return Reconciling
	}
	return Steady
}
