package agent

import "github.com/harrierreel/harrierreel/internal/jobs"

// The types in this file define the wire format. Their JSON tags and the values of the constants
// are part of the protocol and must not change, although the Go names differ from them.

// Values of TaskStatus.Status.
const (
	Ended   = "ended"
	Running = "running"
	Pulling = "pulling" // its image is being fetched
	Waiting = "waiting" // ready to run, but the rest of its gang is not
	Saving  = "saving"  // writing a checkpoint before it stops
)

// Cause is the reason why an attempt ended.
type Cause string

// Causes that are handled specially. Workers report others too, such as stopped. An attempt that ended
// for one of those, or for want of its gang, counts as lost and not as failed.
const (
	CauseDone      Cause = "done"
	CauseError     Cause = "error"
	CauseAlone     Cause = "alone"      // its gang was not complete in time
	CauseMatesGone Cause = "mates_gone" // another task of its running gang has gone
	CauseNoRoom    Cause = "no_room"    // not started: it does not fit the machine's free capacity
	CauseInUse     Cause = "in_use"     // not started: another attempt of the task is on the machine
	CauseNoSuch    Cause = "no_such"    // not started: its job is unknown
)

// TaskStatus is the status of one attempt of a task, as listed in a heartbeat.
type TaskStatus struct {
	TaskID       string `json:"piece"`
	Attempt      uint64 `json:"try"`
	Status       string `json:"status"`
	Cause        Cause  `json:"cause,omitempty"` // of an ended attempt
	Checkpointed bool   `json:"saved,omitempty"`
}

// ShowsImage returns whether the status shows that the machine holds the task's image, or shows that it
// does not; known is false if it shows neither.
func (s TaskStatus) ShowsImage() (held, known bool) {
	switch s.Status {
	case Pulling:
		return false, true
	case Waiting, Running, Saving:
		return true, true
	}
	held = s.Cause == CauseDone || s.Cause == CauseAlone || s.Cause == CauseMatesGone
	return held, held
}

// Heartbeat is a worker's report about itself and the attempts on its machine. The answer to a
// direct command has the same format.
type Heartbeat struct {
	Machine      string `json:"host"`
	Endpoint     string `json:"endpoint"`
	MachineType  string `json:"build"`
	Zone         string `json:"site"`
	Spot         bool   `json:"loaner"`
	AgentEpoch   uint64 `json:"tenure"` // incremented when the worker's lease expires
	HeartbeatSeq uint64 `json:"tick"`   // incremented with each heartbeat and each answer to a command
	FencingToken uint64 `json:"baton"`  // the highest that the worker has seen
	// PreemptionNoticeS is the time, in seconds, until the cloud preempts the machine. It is nil
	// without a notice.
	PreemptionNoticeS *float64     `json:"warning_s"`
	Tasks             []TaskStatus `json:"pieces"`
}

// Verb is the action that a command requests.
type Verb string

// Verbs of commands.
const (
	Launch Verb = "launch"
	Stop   Verb = "stop"
	Forget Verb = "reap" // stop listing the ended attempt
)

// Command is a command to a worker about one attempt of a task.
type Command struct {
	Verb    Verb   `json:"verb"`
	TaskID  string `json:"piece"`
	Attempt uint64 `json:"try"`
	// GracePeriodS is the time, in seconds, that a stopped attempt has to write a checkpoint. Only
	// stops have one.
	GracePeriodS *float64 `json:"wind_down_s,omitempty"`
}

// EncodeCommands returns the body of a direct command that carries commands under a fencing token,
// for one agent epoch of the worker.
func EncodeCommands(fencingToken, agentEpoch uint64, commands []Command) []byte {
	return jobs.Encode(struct {
		FencingToken uint64    `json:"baton"`
		AgentEpoch   uint64    `json:"tenure"`
		Commands     []Command `json:"orders"`
	}{fencingToken, agentEpoch, commands})
}
