package jobs

import (
	"slices"
)

// TaskEvent is what can happen to a task.
type TaskEvent struct {
	Kind TaskEventKind
	Controller, Zone, PreferredMachine,
	Machine string
	Attempt     uint64
	NotBeforeMs int64
	Reason      string
}

// TaskEventKind names a task event.
type TaskEventKind string

// Events of a task.
const (
	Release    TaskEventKind = "release"   // leader charges it and names a part
	TakeBack   TaskEventKind = "take back" // part did not place it
	Place      TaskEventKind = "place"     // machine and try chosen
	PlaceAgain TaskEventKind = "anew"      // gone from its machine, and placed there once more
	Stop       TaskEventKind = "stop"      // to be stopped
	Complete   TaskEventKind = "complete"  // worker reported done
	Lost       TaskEventKind = "gone"      // no longer on its machine, not its fault
	Fail       TaskEventKind = "fail"      // failed on its machine
)

// maxFailedOn bounds the machines remembered against a task.
const maxFailedOn = 4

// NextTask is the one place where a task changes state.
func NextTask(t Task, e TaskEvent) (Task, bool) {
	state := t.State
	if state == "" {
		state = Pending
	}
	onMachine := state == Placed || state == Stopping
	switch e.Kind {
	case Release:
		if state != Pending {
			return t, false
		}
		t.State, t.Controller, t.Zone, t.PreferredMachine = Released, e.Controller, e.Zone, e.PreferredMachine
	case TakeBack:
		if state != Released {
			return t, false
		}
		t.State, t.Controller, t.Zone, t.PreferredMachine = Pending, "", "", ""
	case Place:
		// A try is never reused: it must be above every earlier one.
		if (state != Released && state != Pending) || e.Attempt <= t.Attempt {
			return t, false
		}
		t.State, t.Machine, t.Zone, t.Attempt, t.Controller, t.PreferredMachine = Placed, e.Machine, e.Zone, e.Attempt, "", ""
	case PlaceAgain:
		// Gone and Place in one, with the same guard.
		if state != Placed || e.Attempt <= t.Attempt {
			return t, false
		}
		t.Attempt = e.Attempt
	case Stop:
		if state != Placed {
			return t, false
		}
		t.State, t.Reason = Stopping, e.Reason
	case Complete:
		if !onMachine {
			return t, false
		}
		t = Task{State: Finished, Attempt: t.Attempt}
	case Lost:
		if !onMachine {
			return t, false
		}
		t = Task{State: Pending, Attempt: t.Attempt, Failures: t.Failures, FailedOn: t.FailedOn, NotBeforeMs: e.NotBeforeMs}
	case Fail:
		if !onMachine {
			return t, false
		}
		failedOn := t.FailedOn
		if !slices.Contains(failedOn, t.Machine) {
			failedOn = append(slices.Clone(failedOn), t.Machine)
			if len(failedOn) > maxFailedOn {
				failedOn = failedOn[1:]
			}
		}
		t = Task{State: Pending, Attempt: t.Attempt, Failures: t.Failures + 1, FailedOn: failedOn, NotBeforeMs: e.NotBeforeMs}
	default:
		return t, false
	}
	return t, true
}

// Withdraw is what becomes of a task that has to make way: one that is released but
// on no machine is taken back, one that is on a machine is to be stopped.
func Withdraw(t Task, reason string) (Task, bool) {
	if t.State == Released {
		return NextTask(t, TaskEvent{Kind: TakeBack})
	}
	return NextTask(t, TaskEvent{Kind: Stop, Reason: reason})
}
