package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Key prefixes in the state service. Live records and final ones are kept
// apart, so that a restart reads only what is live.
const (
	JobPrefix   = "job/"
	TaskPrefix  = "task/"
	FinalPrefix = "final/"
)

// JobState is the state of a job.
type JobState string

// States of a job. Final ones are also written to the final key.
const (
	Live      JobState = "live"
	Cancelled JobState = "cancelled"
	Done      JobState = "done"
)

// JobEvent is what can happen to a job.
type JobEvent string

// Events of a job.
const (
	UserCancels  JobEvent = "user cancels"
	TasksAllDone JobEvent = "tasks all done"
)

// NextJob is the one place where a job changes state.
func NextJob(s JobState, e JobEvent) (JobState, bool) {
	switch {
	case s == Live && e == UserCancels:
		return Cancelled, true
	case s == Live && e == TasksAllDone:
		return Done, true
	}
	return s, false
}

// Record is a job as stored.
type Record struct {
	State      JobState `json:"s"`
	AcceptedMs int64    `json:"at"`            // acceptance, time of day
	EndMs      int64    `json:"end,omitempty"` // when it was cancelled or done
	DoneCount  int      `json:"n,omitempty"`   // tasks done by then
	Spec       Spec     `json:"spec"`
}

// CompletionBytes is what a job's end adds to its record at most: the longer state, the time
// of day and the count of tasks.
const CompletionBytes = len("cancelled") + len(`,"end":9223372036854775807,"n":100000`)

// Final is what is kept of a job for ever.
type Final struct {
	State     JobState `json:"s"`
	DoneCount int      `json:"n,omitempty"` // tasks done
}

// Trust is what a job's failures say of it. It follows from its tasks' records,
// so that it outlives a change of leader without a change of its own.
type Trust string

// Degrees of trust in a live job.
const (
	Trusted Trust = "trusted"
	Probing Trust = "probing" // failed everywhere so far: one try at a time
)

// TrustOf tells how far to trust a job whose tasks failed on so many different
// machines. proven: one of its tasks is done, or has run for a while.
func TrustOf(failedMachines int, proven bool) Trust {
	if failedMachines >= tuning.ErrorsBlame && !proven {
		return Probing
	}
	return Trusted
}

// TaskState is the state of a task.
type TaskState string

// States of a task. A task in no slice is pending and has never run.
const (
	Pending  TaskState = "pending"  // waits; earlier tries are used up
	Released TaskState = "released" // charged to its team and given to a part
	Placed   TaskState = "placed"   // committed to a machine and try
	Stopping TaskState = "stopping" // placed, and to be stopped
	Finished TaskState = "done"     // completed
)

// Task is a task as stored.
type Task struct {
	State            TaskState `json:"s"`
	Controller       string    `json:"part,omitempty"` // controller that places it
	Zone             string    `json:"site,omitempty"` // zone chosen by the leader
	PreferredMachine string    `json:"want,omitempty"` // machine the leader has room in mind on
	Machine          string    `json:"host,omitempty"`
	Attempt          uint64    `json:"try,omitempty"` // highest try used
	Failures         int       `json:"fails,omitempty"`
	FailedOn         []string  `json:"bad,omitempty"` // machines that it failed on
	NotBeforeMs      int64     `json:"after,omitempty"`
	Reason           string    `json:"why,omitempty"` // why it is being stopped
}

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

// OnMachine tells whether the task may be on a machine.
func (t *Task) OnMachine() bool { return t.State == Placed || t.State == Stopping }

// Charged tells whether the task counts against its team.
func (t *Task) Charged() bool { return t.OnMachine() || t.State == Released }

// TaskRangeKey is the key of the slice of a job's tasks that begins with task from.
func TaskRangeKey(jobID string, firstTask int) string { return TaskPrefix + TaskID(jobID, firstTask) }

// taskRangeVersion is the form in which slices are stored.
const taskRangeVersion = 1

// storedTaskRange is a slice as stored: the records of consecutive tasks of a job.
// The first form kept one task in each record, without a version.
type storedTaskRange struct {
	Version int    `json:"v"`
	Tasks   []Task `json:"t"`
}

// EncodeTaskRange writes a slice. A record may not be longer than limit bytes: what
// only helps to choose machines is left out where it would not fit.
func EncodeTaskRange(tasks []Task, limit int) json.RawMessage {
	b := Encode(storedTaskRange{taskRangeVersion, tasks})
	if len(b) <= limit {
		return b
	}
	trimmed := slices.Clone(tasks)
	for i := range trimmed {
		trimmed[i].FailedOn, trimmed[i].Reason = nil, ""
	}
	return Encode(storedTaskRange{taskRangeVersion, trimmed})
}

// DecodeTaskRange reads a slice's tasks and checks them.
func DecodeTaskRange(body []byte) ([]Task, error) {
	var stored storedTaskRange
	if err := json.Unmarshal(body, &stored); err != nil {
		return nil, err
	}
	switch {
	case stored.Version == 0 && stored.Tasks == nil:
		t, err := DecodeTask(body)
		if err != nil {
			return nil, err
		}
		return []Task{*t}, nil
	case stored.Version != taskRangeVersion:
		return nil, fmt.Errorf("unknown version %d of a slice", stored.Version)
	case len(stored.Tasks) == 0 || len(stored.Tasks) > MaxTasks:
		return nil, fmt.Errorf("a slice of %d tasks", len(stored.Tasks))
	}
	for i := range stored.Tasks {
		if err := stored.Tasks[i].Check(); err != nil {
			return nil, err
		}
	}
	return stored.Tasks, nil
}

// TaskID is the name of a task.
func TaskID(jobID string, index int) string { return jobID + "/" + strconv.Itoa(index) }

// SplitTaskID is the inverse of TaskID.
func SplitTaskID(taskID string) (jobID string, n int, ok bool) {
	jobID, index, found := strings.Cut(taskID, "/")
	if !found || !ValidID(jobID) || len(index) > 6 {
		return "", 0, false
	}
	n, err := strconv.Atoi(index)
	if err != nil || n < 0 || n >= MaxTasks || strconv.Itoa(n) != index {
		return "", 0, false
	}
	return jobID, n, true
}

// Encode writes a record; records always can be written.
func Encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return b
}

// DecodeRecord reads a job record and checks it.
func DecodeRecord(jobID string, body []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	if r.Spec.ID != jobID || r.Spec.TaskCount < 1 || r.Spec.TaskCount > MaxTasks || r.Spec.PriorityOrder() < 0 {
		return nil, fmt.Errorf("record of %s does not hold its job", jobID)
	}
	switch r.State {
	case Live, Cancelled, Done:
		return &r, nil
	}
	return nil, fmt.Errorf("record of %s has unknown state %q", jobID, r.State)
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
	case Pending, Released, Finished:
	case Placed, Stopping:
		if t.Machine == "" || t.Attempt == 0 {
			return errors.New("placed task without machine or try")
		}
	default:
		return fmt.Errorf("unknown task state %q", t.State)
	}
	return nil
}

// Same tells whether two records say the same.
func (t *Task) Same(other *Task) bool {
	return t.State == other.State && t.Controller == other.Controller && t.Zone == other.Zone && t.PreferredMachine == other.PreferredMachine && t.Machine == other.Machine &&
		t.Attempt == other.Attempt && t.Failures == other.Failures && t.NotBeforeMs == other.NotBeforeMs && t.Reason == other.Reason &&
		slices.Equal(t.FailedOn, other.FailedOn)
}

// Backoff is the pause before a task that has failed so often is tried anew.
func Backoff(failures int) time.Duration {
	pause := tuning.Backoff << min(failures, 10)
	return min(pause, tuning.BackoffMax)
}

// Seconds is a duration of so many of them, as settings and records give it.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
