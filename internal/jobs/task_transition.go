package jobs

import "slices"

// TaskEvent is an event that may change the state of a task. Each kind of event uses only the
// fields listed at its constant.
type TaskEvent struct {
	Kind             TaskEventKind
	Controller       string // controller that places the task
	Zone             string
	PreferredMachine string // machine on which the leader expects free capacity
	Machine          string
	Attempt          uint64
	NotBeforeMs      int64  // earliest next placement, Unix time in ms
	Reason           string // why it is being stopped, shown to users
}

// TaskEventKind names a task event. Kinds are not stored.
type TaskEventKind string

// Kinds of task events, with the fields of TaskEvent that each uses.
const (
	// Assign: the leader charges the task to its team and assigns it to the controller that
	// places it (Controller, Zone, PreferredMachine).
	Assign TaskEventKind = "release"
	// Unassign: the controller did not place the task.
	Unassign TaskEventKind = "take back"
	// Place: the task is placed on a machine under a new attempt number (Machine, Zone, Attempt).
	Place TaskEventKind = "place"
	// PlaceAgain: the task vanished from its machine and is placed there again (Attempt).
	PlaceAgain TaskEventKind = "anew"
	// Stop: the task is to be stopped (Reason).
	Stop TaskEventKind = "stop"
	// Complete: the agent reported the task done.
	Complete TaskEventKind = "complete"
	// Lost: the task is no longer on its machine, which does not count as a failure (NotBeforeMs).
	Lost TaskEventKind = "gone"
	// Fail: the task failed on its machine (NotBeforeMs).
	Fail TaskEventKind = "fail"
)

// ReasonGangNotWhole is the Task.Reason of tasks that are stopped because only a part of their gang is
// on machines. It is stored.
const ReasonGangNotWhole = "gang is not whole"

// maxFailedOn limits Task.FailedOn so that the record stays short. The oldest machines are
// dropped first.
const maxFailedOn = 4

// NextTask returns the task as it is after an event. It returns the task unchanged and false
// if the event is not allowed in its state. All changes of a task's state go through it.
func NextTask(t Task, e TaskEvent) (Task, bool) {
	switch e.Kind {
	case Assign:
		return assignTask(t, e)
	case Unassign:
		return unassignTask(t)
	case Place:
		return placeTask(t, e)
	case PlaceAgain:
		return placeTaskAgain(t, e)
	case Stop:
		return stopTask(t, e)
	case Complete:
		return completeTask(t)
	case Lost:
		return markTaskLost(t, e)
	case Fail:
		return failTask(t, e)
	}
	return t, false
}

func assignTask(t Task, e TaskEvent) (Task, bool) {
	if !t.isPending() {
		return t, false
	}
	t.State = Assigned
	t.Controller = e.Controller
	t.Zone = e.Zone
	t.PreferredMachine = e.PreferredMachine
	return t, true
}

func unassignTask(t Task) (Task, bool) {
	if t.State != Assigned {
		return t, false
	}
	t.State = Pending
	t.Controller = ""
	t.Zone = ""
	t.PreferredMachine = ""
	return t, true
}

// placeTask rejects an attempt number that is not above all earlier ones: attempt numbers are
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

// placeTaskAgain combines Lost and Place on the same machine, with the same check of the
// attempt number as placeTask.
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

func markTaskLost(t Task, e TaskEvent) (Task, bool) {
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

// appendFailedOn adds a machine to the list of those on which a task failed. It copies the
// list because other copies of the task share it.
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

// Withdraw returns the transition for a task that has to be preempted or stopped: an assigned
// task that is on no machine yet is unassigned, a task on a machine is to be stopped.
func Withdraw(t Task, reason string) (Task, bool) {
	if t.State == Assigned {
		return NextTask(t, TaskEvent{Kind: Unassign})
	}
	return NextTask(t, TaskEvent{Kind: Stop, Reason: reason})
}
