package jobs

import (
	"encoding/json"
	"fmt"
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

// Encode writes a record; records always can be written.
func Encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return b
}
