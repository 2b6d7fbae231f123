package jobs

import "slices"

// TaskEvent is what can happen to a task. Each kind of event reads only the fields that
// its constant names.
type TaskEvent struct {
	Kind             TaskEventKind
	Controller       string // that is to place the task
	Zone             string
	PreferredMachine string // where the leader expects free capacity
	Machine          string
	Attempt          uint64
	NotBeforeMs      int64  // Unix time in ms before which the task isn't placed again
	Reason           string // why it is being stopped, as users read it
}

// TaskEventKind names a task event. Kinds are not stored.
type TaskEventKind string

// Kinds of task events, with the fields of TaskEvent that they read.
const (
	// Assign: the leader charges the task and names the controller that places it
	// (Controller, Zone, PreferredMachine).
	Assign TaskEventKind = "release"
	// Unassign: the controller did not place it.
	Unassign TaskEventKind = "take back"
	// Place: machine and attempt are chosen (Machine, Zone, Attempt).
	Place TaskEventKind = "place"
	// PlaceAgain: lost by its machine and placed there once more (Attempt).
	PlaceAgain TaskEventKind = "anew"
	// Stop: it is to be stopped (Reason).
	Stop TaskEventKind = "stop"
	// Complete: the agent reported it done.
	Complete TaskEventKind = "complete"
	// Lost: no longer on its machine, through no fault of its own (NotBeforeMs).
	Lost TaskEventKind = "gone"
	// Fail: it failed on its machine (NotBeforeMs).
	Fail TaskEventKind = "fail"
)

// maxFailedOn limits the machines that are remembered against a task, so that its record
// stays short; the oldest are forgotten first.
const maxFailedOn = 4

// NextTask is the one place where a task changes state. It returns the task unchanged and
// false if the event is not possible in its state.
func NextTask(t Task, e TaskEvent) (Task, bool) {
	switch e.Kind {
	case Assign:
		return releaseTask(t, e)
	case Unassign:
		return takeTaskBack(t)
	case Place:
		return placeTask(t, e)
	case PlaceAgain:
		return placeTaskAgain(t, e)
	case Stop:
		return stopTask(t, e)
	case Complete:
		return completeTask(t)
	case Lost:
		return loseTask(t, e)
	case Fail:
		return failTask(t, e)
	}
	return t, false
}

func releaseTask(t Task, e TaskEvent) (Task, bool) {
	if !t.isPending() {
		return t, false
	}
	t.State = Assigned
	t.Controller = e.Controller
	t.Zone = e.Zone
	t.PreferredMachine = e.PreferredMachine
	return t, true
}

func takeTaskBack(t Task) (Task, bool) {
	if t.State != Assigned {
		return t, false
	}
	t.State = Pending
	t.Controller = ""
	t.Zone = ""
	t.PreferredMachine = ""
	return t, true
}

// placeTask refuses an attempt that is not above every earlier one: an attempt number is
// never reused.
func placeTask(t Task, e TaskEvent) (Task, bool) {
	if (t.State != Assigned && !t.isPending()) || e.Attempt <= t.Attempt {
		return t, false
	}
	t.State = Placed
	t.Machine = e.Machine
	t.Zone = e.Zone
	t.Attempt = e.Attempt
	t.Controller = ""
	t.PreferredMachine = ""
	return t, true
}

// placeTaskAgain is Lost and Place in one, with the same guard on the attempt.
func placeTaskAgain(t Task, e TaskEvent) (Task, bool) {
	if t.State != Placed || e.Attempt <= t.Attempt {
		return t, false
	}
	t.Attempt = e.Attempt
	return t, true
}

func stopTask(t Task, e TaskEvent) (Task, bool) {
	if t.State != Placed {
		return t, false
	}
	t.State = Stopping
	t.Reason = e.Reason
	return t, true
}

func completeTask(t Task) (Task, bool) {
	if !t.OnMachine() {
		return t, false
	}
	return Task{State: Finished, Attempt: t.Attempt}, true
}

func loseTask(t Task, e TaskEvent) (Task, bool) {
	if !t.OnMachine() {
		return t, false
	}
	return Task{
		State:       Pending,
		Attempt:     t.Attempt,
		Failures:    t.Failures,
		FailedOn:    t.FailedOn,
		NotBeforeMs: e.NotBeforeMs,
	}, true
}

func failTask(t Task, e TaskEvent) (Task, bool) {
	if !t.OnMachine() {
		return t, false
	}
	return Task{
		State:       Pending,
		Attempt:     t.Attempt,
		Failures:    t.Failures + 1,
		FailedOn:    appendFailedOn(t.FailedOn, t.Machine),
		NotBeforeMs: e.NotBeforeMs,
	}, true
}

// appendFailedOn adds a machine to those that a task failed on. It copies the list, which
// other versions of the task share.
func appendFailedOn(failedOn []string, machine string) []string {
	if slices.Contains(failedOn, machine) {
		return failedOn
	}
	failedOn = append(slices.Clone(failedOn), machine)
	if len(failedOn) > maxFailedOn {
		failedOn = failedOn[1:]
	}
	return failedOn
}

// Withdraw is the transition of a task that has to be preempted or stopped: one that is
// released but on no machine is taken back, one that is on a machine is to be stopped.
func Withdraw(t Task, reason string) (Task, bool) {
	if t.State == Assigned {
		return NextTask(t, TaskEvent{Kind: Unassign})
	}
	return NextTask(t, TaskEvent{Kind: Stop, Reason: reason})
}
