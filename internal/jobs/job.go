package jobs

import (
	"encoding/json"
	"fmt"
)

// JobState is the state of a job, as stored.
type JobState string

// States of a job. Cancelled and Done are final: they never change, and are also written
// under FinalPrefix.
const (
	Live      JobState = "live"
	Cancelled JobState = "cancelled"
	Done      JobState = "done"
)

// JobEvent is what can happen to a job. Events are not stored.
type JobEvent string

// Events of a job.
const (
	UserCancels  JobEvent = "user cancels"
	TasksAllDone JobEvent = "tasks all done"
)

// NextJob is the one place where a job changes state. It returns the state unchanged and
// false if the event is not possible in it.
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

// Record is a job as stored.
type Record struct {
	State      JobState `json:"s"`
	AcceptedMs int64    `json:"at"`            // acceptance, Unix time in ms
	EndMs      int64    `json:"end,omitempty"` // when it was cancelled or done, Unix time in ms
	DoneCount  int      `json:"n,omitempty"`   // tasks done by then
	Spec       Spec     `json:"spec"`
}

// CompletionBytes is how many bytes a job's end adds to its record at most: the longer state,
// the time and the count of tasks. Whoever accepts a job leaves so much room in its record.
const CompletionBytes = len("cancelled") + len(`,"end":9223372036854775807,"n":100000`)

// Final is what is kept of a job for ever, under FinalPrefix.
type Final struct {
	State     JobState `json:"s"`
	DoneCount int      `json:"n,omitempty"` // tasks done
}

// DecodeRecord reads the record of job jobID and checks it.
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

// Encode writes a record. The records of this package can always be encoded; null stands
// for a value that can't.
func Encode(v any) json.RawMessage {
	body, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return body
}
