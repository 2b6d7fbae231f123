package reconcile

import "github.com/harrierreel/harrierreel/internal/jobs"

// Order is the rank of a change in the commit order while the write budget is short. The lowest
// rank is committed first.
type Order int

// The ranks.
const (
	Cancelled Order = iota // must be committed within cancel_s
	Ends                   // ended and freed tasks, whose capacity others can use
	Services
	Gangs // their tasks wait for one another for gang_wait_s only
	Others
)

// OrderOf returns the rank of a change to tasks of a job. The flag jobOver means that the job is
// not live, and placesAgain that the change places the tasks again.
func OrderOf(spec *jobs.Spec, jobOver, placesAgain bool) Order {
	switch {
	case jobOver:
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
