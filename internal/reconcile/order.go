package reconcile

import "github.com/harrierreel/harrierreel/internal/jobs"

// Order is the order in which changes are made while they are short: what has a lower one
// goes first.
type Order int

// The turns.
const (
	Cancelled Order = iota // a rule hangs on it
	Ends                   // and frees: others can use what they leave
	Serving
	Gangs // their tasks wait for one another for gang_wait_s only
	Rest
)

// OrderOf is the turn of a change of a job's tasks: anew tells that it begins them once
// more, over that their job is not live.
func OrderOf(spec *jobs.Spec, over, anew bool) Order {
	switch {
	case over:
		return Cancelled
	case !anew:
		return Ends
	case spec.Kind == jobs.Service:
		return Serving
	case spec.IsGang():
		return Gangs
	}
	return Rest
}
