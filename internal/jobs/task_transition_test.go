package jobs

import "testing"

// mustTransition applies an event that must be possible.
func mustTransition(t *testing.T, task Task, event TaskEvent) Task {
	t.Helper()
	next, ok := NextTask(task, event)
	if !ok {
		t.Fatalf("%s not possible from %s", event.Kind, task.State)
	}
	return next
}

// mustRefuse checks that an event is not possible, and that the task stays as it is.
func mustRefuse(t *testing.T, task Task, event TaskEvent, fault string) {
	t.Helper()
	next, ok := NextTask(task, event)
	if ok {
		t.Error(fault)
	}
	if !ok && !next.Equal(&task) {
		t.Errorf("a refused %s changed %+v into %+v", event.Kind, task, next)
	}
}

func TestNextTask(t *testing.T) {
	task := mustTransition(t, Task{}, TaskEvent{Kind: Assign, Controller: "n1", Zone: "a"})
	if !task.Charged() || task.OnMachine() {
		t.Error("released is charged and on no machine")
	}
	task = mustTransition(t, task, TaskEvent{Kind: Place, Machine: "i-1", Attempt: 1})
	mustRefuse(t, task, TaskEvent{Kind: Place, Machine: "i-2", Attempt: 2}, "placed twice")
	mustRefuse(t, task, TaskEvent{Kind: PlaceAgain, Attempt: 1}, "an attempt number was used again on the same machine")
	again := mustTransition(t, task, TaskEvent{Kind: PlaceAgain, Attempt: 2})
	if again.Attempt != 2 || again.Machine != "i-1" || again.State != Placed {
		t.Errorf("%+v", again)
	}
	task = mustTransition(t, task, TaskEvent{Kind: Stop, Reason: "room"})
	mustRefuse(t, task, TaskEvent{Kind: PlaceAgain, Attempt: 9}, "what is to be stopped was placed once more")
	task = mustTransition(t, task, TaskEvent{Kind: Fail, NotBeforeMs: 5})
	if task.Failures != 1 || len(task.FailedOn) != 1 || task.Charged() || task.Attempt != 1 {
		t.Errorf("%+v", task)
	}
	mustRefuse(t, task, TaskEvent{Kind: Place, Machine: "i-2", Attempt: 1}, "an attempt number was used again")
	task = mustTransition(t, task, TaskEvent{Kind: Place, Machine: "i-2", Attempt: 2})
	task = mustTransition(t, task, TaskEvent{Kind: Complete})
	for _, kind := range []TaskEventKind{Assign, Place, PlaceAgain, Stop, Lost, Fail, Unassign, Complete} {
		mustRefuse(t, task, TaskEvent{Kind: kind, Attempt: 9}, string(kind)+" after done")
	}
}
