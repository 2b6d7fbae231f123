package agent

import "github.com/harrierreel/harrierreel/internal/jobs"

// The types of this file are what goes over the wire. Their tags and the values of the
// constants are the protocol's and never change; the Go names are the glossary's.

// Values of TaskStatus.Status.
const (
	Ended   = "ended"
	Running = "running"
	Pulling = "pulling" // its image is being fetched
	Waiting = "waiting" // ready, but the rest of its gang is not
	Saving  = "saving"  // writes a checkpoint before it stops
)

// Cause says why an attempt ended.
type Cause string

// Causes that decide what follows. Workers name others too (stopped, or the rest of the gang
// gone); an attempt that ended for one of those is lost and no failure.
const (
	CauseDone   Cause = "done"
	CauseError  Cause = "error"
	CauseNoRoom Cause = "no_room" // not started: the machine's free capacity does not hold it
	CauseInUse  Cause = "in_use"  // not started: another attempt of the task is on the machine
	CauseNoSuch Cause = "no_such" // not started: its job is unknown
)

// TaskStatus is an attempt of a task as a heartbeat lists it.
type TaskStatus struct {
	TaskID       string `json:"piece"`
	Attempt      uint64 `json:"try"`
	Status       string `json:"status"`
	Cause        Cause  `json:"cause,omitempty"` // of an ended attempt
	Checkpointed bool   `json:"saved,omitempty"`
}

// Heartbeat is a worker's report of itself and of the attempts that it holds. The answer
// to a direct command has the same form.
type Heartbeat struct {
	Machine      string `json:"host"`
	Endpoint     string `json:"endpoint"`
	MachineType  string `json:"build"`
	Zone         string `json:"site"`
	Spot         bool   `json:"loaner"`
	AgentEpoch   uint64 `json:"tenure"` // goes up when the worker's lease has expired
	HeartbeatSeq uint64 `json:"tick"`   // goes up with each heartbeat and each answer to a command
	FencingToken uint64 `json:"baton"`  // the highest that the worker has seen
	// PreemptionNoticeS is the time, in seconds, after which the cloud takes the machine;
	// nil without a notice.
	PreemptionNoticeS *float64     `json:"warning_s"`
	Tasks             []TaskStatus `json:"pieces"`
}

// Verb is what a command has the worker do.
type Verb string

// Verbs of commands.
const (
	Launch Verb = "launch"
	Stop   Verb = "stop"
	Forget Verb = "reap" // list the ended attempt no longer
)

// Command is one command to a worker, about one attempt of a task.
type Command struct {
	Verb    Verb   `json:"verb"`
	TaskID  string `json:"piece"`
	Attempt uint64 `json:"try"`
	// GracePeriodS is the time, in seconds, that a stopped attempt may use to write a
	// checkpoint. Only stops have one.
	GracePeriodS *float64 `json:"wind_down_s,omitempty"`
}

// EncodeCommands is the body of a direct command under a fencing token, for one agent
// epoch of the worker.
func EncodeCommands(fencingToken, agentEpoch uint64, commands []Command) []byte {
	return jobs.Encode(struct {
		FencingToken uint64    `json:"baton"`
		AgentEpoch   uint64    `json:"tenure"`
		Commands     []Command `json:"orders"`
	}{fencingToken, agentEpoch, commands})
}
