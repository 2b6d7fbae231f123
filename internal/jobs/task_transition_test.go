package jobs

import "testing"

func TestNextTask(t *testing.T) {
	step := func(x Task, e TaskEvent) Task {
		t.Helper()
		next, ok := NextTask(x, e)
		if !ok {
			t.Fatalf("%s not possible from %s", e.Kind, x.State)
		}
		return next
	}
	x := step(Task{}, TaskEvent{Kind: Release, Controller: "n1", Zone: "a"})
	if !x.Charged() || x.OnMachine() {
		t.Error("released is charged and on no machine")
	}
	x = step(x, TaskEvent{Kind: Place, Machine: "i-1", Attempt: 1})
	if _, ok := NextTask(x, TaskEvent{Kind: Place, Machine: "i-2", Attempt: 2}); ok {
		t.Error("placed twice")
	}
	if _, ok := NextTask(x, TaskEvent{Kind: PlaceAgain, Attempt: 1}); ok {
		t.Error("an attempt number was used again on the same machine")
	}
	if again := step(
		x,
		TaskEvent{Kind: PlaceAgain, Attempt: 2},
	); again.Attempt != 2 || again.Machine != "i-1" ||
		again.State != Placed {
		t.Errorf("%+v", again)
	}
	x = step(x, TaskEvent{Kind: Stop, Reason: "room"})
	if _, ok := NextTask(x, TaskEvent{Kind: PlaceAgain, Attempt: 9}); ok {
		t.Error("what is to be stopped was placed once more")
	}
	x = step(x, TaskEvent{Kind: Fail, NotBeforeMs: 5})
	if x.Failures != 1 || len(x.FailedOn) != 1 || x.Charged() || x.Attempt != 1 {
		t.Errorf("%+v", x)
	}
	if _, ok := NextTask(x, TaskEvent{Kind: Place, Machine: "i-2", Attempt: 1}); ok {
		t.Error("an attempt number was used again")
	}
	x = step(x, TaskEvent{Kind: Place, Machine: "i-2", Attempt: 2})
	x = step(x, TaskEvent{Kind: Complete})
	for _, e := range []TaskEventKind{Release, Place, PlaceAgain, Stop, Lost, Fail, TakeBack, Complete} {
		if _, ok := NextTask(x, TaskEvent{Kind: e, Attempt: 9}); ok {
			t.Errorf("%s after done", e)
		}
	}
}
