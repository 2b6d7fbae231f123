package jobs

import "testing"

// mustTransition applies an event that must be allowed.
func mustTransition(t *testing.T, task Task, event TaskEvent) Task {
	t.Helper()
	next, ok := NextTask(task, event)
	if !ok {
		t.Fatalf("%s not allowed in state %s", event.Kind, task.State)
	}
	return next
}

// mustReject checks that an event is not allowed and leaves the task unchanged.
func mustReject(t *testing.T, task Task, event TaskEvent, failure string) {
	t.Helper()
	next, ok := NextTask(task, event)
	if ok {
		t.Error(failure)
	}
	if !ok && !next.Equal(&task) {
		t.Errorf("a rejected %s changed %+v into %+v", event.Kind, task, next)
	}
}

func TestNextTask(t *testing.T) {
	task := mustTransition(t, Task{}, TaskEvent{Kind: Assign, Controller: "n1", Zone: "a"})
	if !task.Charged() || task.OnMachine() {
		t.Error("an assigned task should be charged and on no machine")
	}
	task = mustTransition(t, task, TaskEvent{Kind: Place, Machine: "i-1", Attempt: 1})
	mustReject(t, task, TaskEvent{Kind: Place, Machine: "i-2", Attempt: 2}, "placed twice")
	mustReject(t, task, TaskEvent{Kind: PlaceAgain, Attempt: 1}, "an attempt number was reused on the same machine")
	again := mustTransition(t, task, TaskEvent{Kind: PlaceAgain, Attempt: 2})
	if again.Attempt != 2 || again.Machine != "i-1" || again.State != Placed {
		t.Errorf("task placed again: %+v", again)
	}
	task = mustTransition(t, task, TaskEvent{Kind: Stop, Reason: "room"})
	mustReject(t, task, TaskEvent{Kind: PlaceAgain, Attempt: 9}, "a task that is to be stopped was placed again")
	task = mustTransition(t, task, TaskEvent{Kind: Fail, NotBeforeMs: 5})
	if task.Failures != 1 || len(task.FailedOn) != 1 || task.Charged() || task.Attempt != 1 {
		t.Errorf("failed task: %+v", task)
	}
	mustReject(t, task, TaskEvent{Kind: Place, Machine: "i-2", Attempt: 1}, "an attempt number was reused")
	task = mustTransition(t, task, TaskEvent{Kind: Place, Machine: "i-2", Attempt: 2})
	task = mustTransition(t, task, TaskEvent{Kind: Complete})
	for _, kind := range []TaskEventKind{Assign, Place, PlaceAgain, Stop, Lost, Fail, Unassign, Complete} {
		mustReject(t, task, TaskEvent{Kind: kind, Attempt: 9}, string(kind)+" after done")
	}
}
