package reconcile

import "github.com/harrierreel/harrierreel/internal/agent"

// Difference is how a recorded or a reported attempt compares with the other side. The summary log line prints it.
type Difference string

// The differences. Each has one answer (see OfRecorded and OfReported). Two more are of machines and not of attempts: a
// machine that is in neither the cloud's list nor any heartbeat is package provisioning's, one that no record names is
// entered by its owner.
const (
	Unclear       Difference = "no heartbeat under the fencing token"
	Alike         Difference = "recorded and reported alike"
	Unsent        Difference = "recorded, launch never sent"
	UnderWay      Difference = "recorded, launch under way"
	Vanished      Difference = "recorded, not there" // forgotten, or killed by lease expiry
	EndedHere     Difference = "ended, record live"
	RunsOver      Difference = "on its machine, job over" // cancelled, ended, or to be stopped
	RunsReclaimed Difference = "on its machine, which will be reclaimed"
	NoMachine     Difference = "recorded, machine decommissioned"
	Stray         Difference = "reported, not recorded" // a late launch, or an older attempt
	StrayEnd      Difference = "ended, not recorded"
	Writing       Difference = "record under way"
)

// Answer is what is done about a difference.
type Answer string

// The answers.
const (
	Wait     Answer = "wait" // for a heartbeat, an answer or a transaction
	Continue Answer = "continue"
	Launch   Answer = "launch" // sent once
	Stop     Answer = "stop"
	Free     Answer = "free" // its capacity is free, by the worker's own heartbeat
	End      Answer = "end"  // commit the end that was reported
	Forget   Answer = "forget"
)

// Recorded is an attempt that a record places on a machine.
type Recorded struct {
	Verdict    agent.Verdict // of the machine's session
	Over       bool          // its job is not live
	Stopping   bool          // it is to be stopped
	Leaving    bool          // its machine is deleted or about to be
	Checkpoint bool          // it should checkpoint now, since its machine will be reclaimed
}

// OfRecorded names how a recorded attempt compares with its machine's heartbeats, and what is done about it.
func OfRecorded(r Recorded) (Difference, Answer) {
	over := r.Over || r.Stopping
	switch r.Verdict {
	case agent.ToLaunch:
		switch {
		case over:
			return RunsOver, Free // never sent, and none will be
		case r.Leaving:
			return NoMachine, Free
		}
		return Unsent, Launch
	case agent.OnMachine:
		switch {
		case over:
			return RunsOver, Stop
		case r.Checkpoint:
			return RunsReclaimed, Stop
		}
		return Alike, Continue
	case agent.EndReported:
		return EndedHere, End
	case agent.Missing:
		return Vanished, Free
	case agent.Sent:
		return UnderWay, Wait
	case agent.Unclear:
	}
	return Unclear, Wait
}

// OfReported names how a reported attempt compares with the records. recorded tells that its machine's records name it,
// writing that its task's record is under a transaction.
func OfReported(status string, recorded, writing bool) (Difference, Answer) {
	switch {
	case recorded:
		return Alike, Continue // OfRecorded has its answer
	case writing:
		return Writing, Wait
	case status == agent.Ended:
		// Forgotten only now: its end is committed, for no record names it.
		return StrayEnd, Forget
	}
	return Stray, Stop
}
