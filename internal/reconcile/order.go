package reconcile

import "github.com/harrierreel/harrierreel/internal/jobs"

// Order is the order in which changes are committed while the budget of changes is short; the lowest goes first.
type Order int

// The orders.
const (
	Cancelled Order = iota // cancel_s bounds how late it may be
	Ends                   // and frees: others can use the capacity
	Services
	Gangs // their tasks wait for one another for gang_wait_s only
	Others
)

// OrderOf is the order of a change of a job's tasks. over tells that the job is not live, placesAgain that the change
// places the tasks again.
func OrderOf(spec *jobs.Spec, over, placesAgain bool) Order {
	switch {
	case over:
		return Cancelled
	case !placesAgain:
		return Ends
	case spec.Kind == jobs.Service:
		return Services
	case spec.IsGang():
		return Gangs
	}
	return Others
}
