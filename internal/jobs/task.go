package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// TaskState is the state of a task. Its values are stored.
type TaskState string

// States of a task. A task without a stored task range is pending and has never run.
const (
	Pending  TaskState = "pending"  // waits to be placed; attempt numbers up to Attempt are used
	Assigned TaskState = "released" // charged to its team and assigned to a controller for placement
	Placed   TaskState = "placed"   // committed to a machine and attempt
	Stopping TaskState = "stopping" // placed on a machine, about to be stopped
	Finished TaskState = "done"     // completed
)

// Task is the stored record of a task.
type Task struct {
	State            TaskState `json:"s"`
	Controller       string    `json:"part,omitempty"`  // controller that places it
	Zone             string    `json:"site,omitempty"`  // chosen by the leader
	PreferredMachine string    `json:"want,omitempty"`  // machine on which the leader expects free capacity
	Machine          string    `json:"host,omitempty"`  // machine on which it is placed
	Attempt          uint64    `json:"try,omitempty"`   // highest attempt number used
	Failures         int       `json:"fails,omitempty"` // number of failed attempts
	FailedOn         []string  `json:"bad,omitempty"`   // machines on which it failed, oldest first
	NotBeforeMs      int64     `json:"after,omitempty"` // earliest next placement, Unix time in ms
	Reason           string    `json:"why,omitempty"`   // why it is being stopped
}

// DecodeTask decodes and validates a task record.
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

// Check returns an error if the record is invalid.
func (t *Task) Check() error {
	switch t.State {
	case Pending, Assigned, Finished:
		return nil
	case Placed, Stopping:
		if t.Machine == "" || t.Attempt == 0 {
			return errors.New("placed task without machine or attempt")
		}
		return nil
	}
	return fmt.Errorf("unknown task state %q", t.State)
}

// Equal reports whether two records are equal.
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

// OnMachine reports whether the task may be running on a machine.
func (t *Task) OnMachine() bool { return t.State == Placed || t.State == Stopping }

// Charged reports whether the task counts against its team's quota.
func (t *Task) Charged() bool { return t.OnMachine() || t.State == Assigned }

// isPending reports whether the task waits to be placed. The zero Task is pending.
func (t *Task) isPending() bool { return t.State == Pending || t.State == "" }
