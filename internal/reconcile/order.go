package reconcile

import "github.com/harrierreel/harrierreel/internal/jobs"

// Turn is the order in which changes are made while they are short: what has a lower one
// goes first.
type Turn int

// The turns.
const (
	Cancelled Turn = iota // a rule hangs on it
	Ends                  // and frees: others can use what they leave
	Serving
	Gangs // their tasks wait for one another for gang_wait_s only
	Rest
)

// TurnOf is the turn of a change of a job's tasks: anew tells that it begins them once
// more, over that their job is not live.
func TurnOf(spec *jobs.Spec, over, anew bool) Turn {
	switch {
	case over:
		return Cancelled
	case !anew:
		return Ends
	case spec.Shape == jobs.Standing:
		return Serving
	case spec.Gang():
		return Gangs
	}
	return Rest
}
