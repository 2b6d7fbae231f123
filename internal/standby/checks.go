package standby

import (
	"slices"
	"time"
)

// Check is one thing that a new leader must know before it decides. A check that held once stays done for
// the leader's epoch. What may change later is asked again where it matters: the loop decides nothing
// while the controller is not certain of its place in the view or its watch is behind the view
// (Controller.reconcile), and nothing is committed while the fence is raised (Committer.Fencing).
type Check string

// The checks, in the order in which they are usually done.
const (
	// InViewCertain: its lease is the one that the view names it by, and it is certain of it.
	InViewCertain Check = "place in the view"
	// WatchReachedView: the watch has reached the view's own change. What the former leader
	// committed came before that; what it sends later fails by the view's revision.
	WatchReachedView Check = "watch has reached the view"
	// TransactionsFenced: no transaction of its own is without an answer.
	TransactionsFenced Check = "own transactions settled"
	// QuotasSettled: the tree of quotas that decisions have as a precondition is known.
	QuotasSettled Check = "quotas settled"
	// MachineTypesKnown: the catalogue of machine types is known, with today's prices.
	MachineTypesKnown Check = "machine types known"
	// CloudListed: a listing of the cloud's machines was begun after it became leader, or shortly before
	// by a successor that follows the cloud (standby { follow_cloud }).
	CloudListed Check = "cloud's list read"
	// FormerScaleOutsCounted: machines that the former leader scaled out and that the listing may still lack are
	// counted, by the summary, until the listing must have them. A new leader's provisioner starts from the
	// summary, so this holds from the first; it stands here to name what scaling out rests on.
	FormerScaleOutsCounted Check = "former rents listed or counted"
)

// Duty is what a leader does with what it knows.
type Duty string

// Duties of a leader.
const (
	// Schedule is to assign and place waiting tasks, and to preempt for them.
	Schedule Duty = "release"
	// ScaleOut is to scale out, and to plan.
	ScaleOut Duty = "rent"
	// Decommission is to delete machines. All other work of a leader waits for what it needs, too: ending
	// jobs, evictions for quota, moving replicas, machine claims.
	Decommission Duty = "delete"
)

// requiredChecks are those that must be done before each duty. Until CloudListed, a leader scales
// out nothing; for ten steps after, only to current demand (docs/design.md).
var requiredChecks = map[Duty][]Check{
	Schedule: {
		InViewCertain,
		WatchReachedView,
		TransactionsFenced,
		QuotasSettled,
	},
	ScaleOut: {
		InViewCertain,
		WatchReachedView,
		TransactionsFenced,
		QuotasSettled,
		MachineTypesKnown,
		CloudListed,
		FormerScaleOutsCounted,
	},
	Decommission: {
		InViewCertain,
		WatchReachedView,
		TransactionsFenced,
	},
}

// allChecks lists the checks.
func allChecks() []Check {
	return []Check{
		InViewCertain,
		WatchReachedView,
		TransactionsFenced,
		QuotasSettled,
		MachineTypesKnown,
		CloudListed,
		FormerScaleOutsCounted,
	}
}

// Checks is what a leader has checked under one epoch. None is skipped: a duty that is asked for
// before its checks are done waits. The zero value permits no duty.
type Checks struct {
	Epoch uint64 // of the view
	since time.Time
	done  map[Check]time.Duration // how long after since
}

// Begin starts the checks of a new leader; under the same epoch it changes nothing.
func (c *Checks) Begin(epoch uint64, now time.Time) {
	if c.Epoch != epoch || c.done == nil {
		*c = Checks{Epoch: epoch, since: now, done: map[Check]time.Duration{}}
	}
}

// Record takes in whether a check holds now. It returns whether it is done for the first time,
// and how long after Begin that was. What held once under an epoch stays checked: later every
// decision is fenced by itself.
func (c *Checks) Record(check Check, holds bool, now time.Time) (first bool, after time.Duration) {
	if c.done == nil {
		return false, 0
	}
	after, done := c.done[check]
	if done || !holds {
		return false, after
	}
	c.done[check] = now.Sub(c.since)
	return true, c.done[check]
}

// Pending lists the checks that have still to be done.
func (c *Checks) Pending() []Check {
	return slices.DeleteFunc(allChecks(), c.isDone)
}

// Done reports whether no check is pending.
func (c *Checks) Done() bool { return len(c.done) == len(allChecks()) }

// Permits reports whether a duty's checks are done.
func (c *Checks) Permits(duty Duty) bool {
	return !slices.ContainsFunc(requiredChecks[duty], func(check Check) bool { return !c.isDone(check) })
}

func (c *Checks) isDone(check Check) bool {
	_, done := c.done[check]
	return done
}
