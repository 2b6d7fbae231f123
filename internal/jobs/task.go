package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// TaskState is the state of a task, as stored.
type TaskState string

// States of a task. A task in no task range is pending and has never run.
const (
	Pending  TaskState = "pending"  // waits; attempts up to Attempt are used up
	Assigned TaskState = "released" // charged to its team and given to a controller to place
	Placed   TaskState = "placed"   // committed to a machine and attempt
	Stopping TaskState = "stopping" // placed, and to be stopped
	Finished TaskState = "done"     // completed
)

// Task is a task as stored.
type Task struct {
	State            TaskState `json:"s"`
	Controller       string    `json:"part,omitempty"`  // that is to place it
	Zone             string    `json:"site,omitempty"`  // chosen by the leader
	PreferredMachine string    `json:"want,omitempty"`  // where the leader expects free capacity
	Machine          string    `json:"host,omitempty"`  // that it is placed on
	Attempt          uint64    `json:"try,omitempty"`   // highest attempt used
	Failures         int       `json:"fails,omitempty"` // attempts that failed
	FailedOn         []string  `json:"bad,omitempty"`   // machines that it failed on, oldest first
	NotBeforeMs      int64     `json:"after,omitempty"` // Unix time in ms before which it isn't placed
	Reason           string    `json:"why,omitempty"`   // why it is being stopped
}

// DecodeTask reads a task record and checks it.
func DecodeTask(body []byte) (*Task, error) {
	var t Task
	if err := json.Unmarshal(body, &t); err != nil {
		return nil, err
	}
	if err := t.Check(); err != nil {
		return nil, err
	}
	return &t, nil
}

// Check tells what is wrong with a task's record.
func (t *Task) Check() error {
	switch t.State {
	case Pending, Assigned, Finished:
		return nil
	case Placed, Stopping:
		if t.Machine == "" || t.Attempt == 0 {
			return errors.New("placed task without machine or try")
		}
		return nil
	}
	return fmt.Errorf("unknown task state %q", t.State)
}

// Equal tells whether two records say the same.
func (t *Task) Equal(other *Task) bool {
	return t.State == other.State &&
		t.Controller == other.Controller &&
		t.Zone == other.Zone &&
		t.PreferredMachine == other.PreferredMachine &&
		t.Machine == other.Machine &&
		t.Attempt == other.Attempt &&
		t.Failures == other.Failures &&
		t.NotBeforeMs == other.NotBeforeMs &&
		t.Reason == other.Reason &&
		slices.Equal(t.FailedOn, other.FailedOn)
}

// OnMachine tells whether the task may be on a machine.
func (t *Task) OnMachine() bool { return t.State == Placed || t.State == Stopping }

// Charged tells whether the task counts against its team's quota.
func (t *Task) Charged() bool { return t.OnMachine() || t.State == Assigned }

// isPending tells whether the task waits; the zero Task does.
func (t *Task) isPending() bool { return t.State == Pending || t.State == "" }
