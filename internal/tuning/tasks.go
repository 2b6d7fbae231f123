package tuning

import "time"

// Retries of tasks, and whether a job or a machine is to blame for failures.
const (
	// AssignmentStaleAfter: a released task that its part has not placed by then is
	// taken back and given to another part.
	AssignmentStaleAfter = 3 * time.Second
	// Backoff, BackoffMax: pause after a failed try, doubled each time. A job
	// that fails everywhere thus costs little.
	Backoff    = 500 * time.Millisecond
	BackoffMax = 30 * time.Second
	// ErrorsBlame: a job whose tasks failed on this many different machines is
	// itself to blame; its failures then count against no machine.
	ErrorsBlame = 3
	// ProvenAfter, ProvenPulls: a task on its machine for so long, and so many
	// times as long as its image takes alone, speaks for its job; images that are
	// fetched together share the rate.
	ProvenAfter = 10 * time.Second
	ProvenPulls = 2.0
	// ErrorsFaulty: a machine on which tasks of this many different blameless
	// jobs failed in a row is faulty and is deleted.
	ErrorsFaulty = 2
	// ErrorRest: a machine takes no new task for this long after a failure,
	// so that a sick one does not eat the queue.
	ErrorRest = 12 * time.Second
)
