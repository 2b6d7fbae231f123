package reconcile

import "github.com/harrierreel/harrierreel/internal/agent"

// Difference is how a recorded or a reported attempt stands to the other side.
type Difference string

// The differences. Each has one answer (see OfRecorded and OfReported); the two that are
// of machines and not of attempts are answered by the rental (a machine in neither list
// nor reports) and by the owner (one that no record names: it is entered).
const (
	Unclear    Difference = "machine not heard under the baton"
	Alike      Difference = "recorded and reported alike"
	Unsent     Difference = "recorded, launch never sent"
	UnderWay   Difference = "recorded, launch under way"
	Vanished   Difference = "recorded, not there" // reaped, or killed by its lease
	EndedHere  Difference = "ended, record live"
	OverHere   Difference = "on its machine, job over" // cancelled, ended, or to be stopped
	NoticeRuns Difference = "on its machine, which will be taken"
	NoMachine  Difference = "recorded, machine given up"
	Stray      Difference = "reported, not recorded" // a late launch, or an older attempt
	StrayEnd   Difference = "ended, not recorded"
	Writing    Difference = "record under way"
)

// Answer is what is done about a difference.
type Answer string

// The answers.
const (
	Wait   Answer = "wait"   // for a report, an answer or a transaction
	Keep   Answer = "keep"   // it goes on, untouched
	Launch Answer = "launch" // sent once
	Stop   Answer = "stop"
	Free   Answer = "free" // its place is free, by the worker's own word
	End    Answer = "end"  // commit the end that was reported
	Forget Answer = "reap"
)

// Recorded is an attempt that a record places on a machine.
type Recorded struct {
	Verdict  agent.Verdict // of the machine's session
	Over     bool          // its job is not live
	Stopping bool          // it is to be stopped
	Leaving  bool          // its machine is deleted or about to be
	Save     bool          // it had better save now, since its machine will be taken
}

// OfRecorded names how a recorded attempt stands to its machine's reports, and what is
// done about it.
func OfRecorded(r Recorded) (Difference, Answer) {
	switch r.Verdict {
	case agent.ToLaunch:
		switch {
		case r.Over || r.Stopping:
			return OverHere, Free // never sent, and none will be
		case r.Leaving:
			return NoMachine, Free
		}
		return Unsent, Launch
	case agent.OnIt:
		switch {
		case r.Over || r.Stopping:
			return OverHere, Stop
		case r.Save:
			return NoticeRuns, Stop
		}
		return Alike, Keep
	case agent.Over:
		return EndedHere, End
	case agent.Missing:
		return Vanished, Free
	case agent.Sent:
		return UnderWay, Wait
	case agent.Unclear:
	}
	return Unclear, Wait
}

// OfReported names how a reported attempt stands to the records. recorded tells that its
// machine's records name it, writing that its task's record is under a transaction.
func OfReported(status string, recorded, writing bool) (Difference, Answer) {
	switch {
	case recorded:
		return Alike, Keep // OfRecorded has its answer
	case writing:
		return Writing, Wait
	case status == agent.Ended:
		// Reaped only now: its end is committed, for no record names it.
		return StrayEnd, Forget
	}
	return Stray, Stop
}
