package reconcile

import "github.com/harrierreel/harrierreel/internal/agent"

// Difference classifies how a recorded and a reported attempt compare. The summary log line prints
// it.
type Difference string

// The differences between recorded and reported attempts. Each has one action (see OfRecorded and
// OfReported). Differences that concern whole machines are handled elsewhere: package provisioning
// handles a machine that is neither in the cloud's list nor in any heartbeat, and the owner records
// a machine that has no record.
const (
	Unclear        Difference = "no heartbeat under the fencing token"
	Alike          Difference = "recorded and reported alike"
	Unsent         Difference = "recorded, launch never sent"
	UnderWay       Difference = "recorded, launch under way"
	Vanished       Difference = "recorded, not there" // forgotten by the worker, or killed by lease expiry
	EndReported    Difference = "ended, record live"
	JobOver        Difference = "on its machine, job over" // job cancelled or ended, or task to be stopped
	RunsReclaimed  Difference = "on its machine, which will be reclaimed"
	MachineLeaving Difference = "recorded, machine decommissioned"
	Stray          Difference = "reported, not recorded" // a late launch, or an older attempt
	StrayEnd       Difference = "ended, not recorded"
	Writing        Difference = "record under way"
)

// Action is the action taken on a difference.
type Action string

// The actions.
const (
	Wait     Action = "wait" // for a heartbeat, an answer or a transaction
	Continue Action = "continue"
	Launch   Action = "launch" // sent once
	Stop     Action = "stop"
	Free     Action = "free" // free the capacity, which the worker's heartbeat shows to be unused
	End      Action = "end"  // commit the end that was reported
	Forget   Action = "forget"
)

// Recorded describes an attempt that a record places on a machine.
type Recorded struct {
	AttemptState agent.AttemptState // of the machine's session
	JobOver      bool               // its job is not live, or is known to be cancelled
	Stopping     bool               // it is to be stopped
	Leaving      bool               // its machine is deleted or about to be
	Checkpoint   bool               // it should write a checkpoint now, since its machine is to be reclaimed
}

// OfRecorded returns how a recorded attempt compares with its machine's heartbeats, and the action
// to take.
func OfRecorded(r Recorded) (Difference, Action) {
	shouldEnd := r.JobOver || r.Stopping
	switch r.AttemptState {
	case agent.ToLaunch:
		switch {
		case shouldEnd:
			return JobOver, Free // the launch was not sent and will not be
		case r.Leaving:
			return MachineLeaving, Free
		}
		return Unsent, Launch
	case agent.OnMachine:
		switch {
		case shouldEnd:
			return JobOver, Stop
		case r.Checkpoint:
			return RunsReclaimed, Stop
		}
		return Alike, Continue
	case agent.EndReported:
		return EndReported, End
	case agent.Missing:
		return Vanished, Free
	case agent.Sent:
		return UnderWay, Wait
	case agent.Unclear:
	}
	return Unclear, Wait
}

// OfReported returns how a reported attempt compares with the records, and the action to take. The
// flag recorded means that its machine's records name it, and writing that its task's record is
// part of a pending transaction.
func OfReported(status string, recorded, writing bool) (Difference, Action) {
	switch {
	case recorded:
		return Alike, Continue // OfRecorded decides
	case writing:
		return Writing, Wait
	case status == agent.Ended:
		// No record names it, so its end has been committed and the worker may forget it.
		return StrayEnd, Forget
	}
	return Stray, Stop
}
