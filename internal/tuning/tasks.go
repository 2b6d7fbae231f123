package tuning

import "time"

// Retries of tasks, and whether a job or a machine is to blame for failures.
const (
	// AssignmentStaleAfter is the time after which a released task that its shard has not placed is
	// withdrawn and given to another shard.
	AssignmentStaleAfter = 3 * time.Second
	// Backoff is the pause after a task's first failure, doubled each time up to BackoffMax, so
	// that a job that fails everywhere costs little. It is also the pause after a machine refused a
	// task for lack of capacity or because it still holds another attempt of the task.
	Backoff = 500 * time.Millisecond
	// BackoffMax is the maximum of Backoff after doubling.
	BackoffMax = 30 * time.Second
	// FailuresForUntrusted is the number of different machines on which a job's tasks must have
	// failed for the job itself to be to blame. Its failures then count against no machine. It is
	// also the number of failures on a machine, without a success in between, after which the
	// machine is faulty if the last job that failed there has tasks that succeeded.
	FailuresForUntrusted = 3
	// ProvenAfter is part of the time that a task must have been on its machine to prove that its
	// job works. The rest follows from ProvenPulls.
	ProvenAfter = 10 * time.Second
	// ProvenPulls is the multiple of the time for pulling the task's image alone that is added to
	// ProvenAfter. Images that are pulled at the same time share the bandwidth.
	ProvenPulls = 2.0
	// PullShownAfter is the time on its machine after which a task that still waits for its image shows
	// that the machine did not hold it.
	PullShownAfter = 3 * time.Second
	// ShortestPull and LongestPull are multiples of the time that a pull takes by the catalogue, whose
	// rate holds give or take a third (PROTOCOL).
	ShortestPull = 0.75
	LongestPull  = 1.5
	// OverduePulls is the multiple of the longest expected time after which a pull is given up that a
	// gang which is to be launched anew waits for.
	OverduePulls = 2
	// GangLaunchMargin is the time between the end of the slowest pull of a gang and the time at which
	// the task that was launched last gives up. It covers the way of the launch.
	GangLaunchMargin = 2 * time.Second
	// FailedJobsForFaulty is the number of different trusted jobs whose tasks must have failed on a
	// machine, without a success in between, for the machine to be faulty. It is then deleted.
	FailedJobsForFaulty = 2
	// ErrorBackoff is how long a machine gets no new tasks after a failure, so that a faulty one
	// does not drain the queue.
	ErrorBackoff = 12 * time.Second
)
