package jobs

import (
	"encoding/json"
	"fmt"
)

// JobState is the state of a job. Its values are stored.
type JobState string

// States of a job. Cancelled and Done are final: they never change, and are also written
// under FinalPrefix.
const (
	Live      JobState = "live"
	Cancelled JobState = "cancelled"
	Done      JobState = "done"
)

// JobEvent is an event that may change the state of a job. Events are not stored.
type JobEvent string

// Events of a job.
const (
	UserCancels  JobEvent = "user cancels"
	TasksAllDone JobEvent = "tasks all done"
)

// NextJob returns the state that follows an event. It returns the state unchanged and false
// if the event is not allowed in that state. All changes of a job's state go through it.
func NextJob(state JobState, event JobEvent) (JobState, bool) {
	if state != Live {
		return state, false
	}
	switch event {
	case UserCancels:
		return Cancelled, true
	case TasksAllDone:
		return Done, true
	}
	return state, false
}

// Record is the stored record of a job.
type Record struct {
	State      JobState `json:"s"`
	AcceptedMs int64    `json:"at"`            // when it was accepted, Unix time in ms
	EndMs      int64    `json:"end,omitempty"` // when it was cancelled or done, Unix time in ms
	DoneCount  int      `json:"n,omitempty"`   // tasks that were done at EndMs
	Spec       Spec     `json:"spec"`
}

// CompletionBytes is the maximum number of bytes by which a job's record grows when the job
// ends: the longer state, the time and the task count. A job is only accepted if its record
// leaves that much space.
const CompletionBytes = len("cancelled") + len(`,"end":9223372036854775807,"n":100000`)

// StoredState is the summary of an ended job that is kept permanently under FinalPrefix. Package
// readconsistency also uses it, with state Live, for an accepted job; that is not stored.
type StoredState struct {
	State     JobState `json:"s"`
	DoneCount int      `json:"n,omitempty"` // tasks done
}

// DecodeRecord decodes and validates the record of job jobID.
func DecodeRecord(jobID string, body []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	if r.Spec.ID != jobID || r.Spec.TaskCount < 1 || r.Spec.TaskCount > MaxTasks || r.Spec.PriorityOrder() < 0 {
		return nil, fmt.Errorf("record of %s holds an invalid specification or one of another job", jobID)
	}
	switch r.State {
	case Live, Cancelled, Done:
		return &r, nil
	}
	return nil, fmt.Errorf("record of %s has unknown state %q", jobID, r.State)
}

// Encode returns the JSON encoding of a record, or null for a value that cannot be encoded.
// The records of this package always can.
func Encode(v any) json.RawMessage {
	body, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return body
}
