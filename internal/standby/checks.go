package standby

import (
	"slices"
	"time"
)

// Check is a condition that must be verified before a new leader makes decisions. Once a check has
// passed it stays passed for the leader's epoch. Conditions that may change later are verified
// again where they matter: the loop makes no decisions while the controller is uncertain of its
// place in the view or its watch is behind the view (Controller.reconcile), and nothing is
// committed while the fence is raised (Committer.AwaitsFence).
type Check string

// The checks, in the order in which they usually pass.
const (
	// InViewCertain: the view lists the controller with its current lease, and the controller is
	// certain of that.
	InViewCertain Check = "place in the view"
	// WatchReachedView: the watch has reached the change of the view. Everything that the former
	// leader committed came before that change; whatever it sends later fails its precondition on
	// the view's revision.
	WatchReachedView Check = "watch has reached the view"
	// OwnTransactionsSettled: none of the controller's own transactions has an unknown outcome.
	OwnTransactionsSettled Check = "own transactions settled"
	// QuotasSettled: the quota tree that decisions have as a precondition is known.
	QuotasSettled Check = "quotas settled"
	// MachineTypesKnown: the catalogue of machine types is known, with current prices.
	MachineTypesKnown Check = "machine types known"
	// CloudListed: the cloud's machines have been listed, by a listing that was begun after the
	// controller became leader, or shortly before by a successor that follows the cloud (setting
	// standby.follow_cloud).
	CloudListed Check = "cloud's list read"
	// FormerScaleOutsCounted: machines that the former leader requested and that the listing may
	// not contain yet are counted from the summary until the listing must contain them. The
	// provisioner of a new leader starts from the summary, so this check passes immediately; it is
	// listed to make explicit what scaling out depends on.
	FormerScaleOutsCounted Check = "former rents listed or counted"
)

// Duty is a kind of decision that only a leader makes.
type Duty string

// Duties of a leader.
const (
	// Schedule assigns and places waiting tasks, and preempts other tasks for them.
	Schedule Duty = "release"
	// ScaleOut plans capacity and scales out.
	ScaleOut Duty = "rent"
	// Decommission deletes machines. The remaining work of a leader has the same required checks:
	// ending jobs, evictions for quota, moving replicas, machine claims.
	Decommission Duty = "delete"
)

// requiredChecks lists the checks that must have passed before each duty. Until CloudListed has
// passed, a leader does not scale out; for ten steps after that it scales out to current demand
// only (docs/design.md).
var requiredChecks = map[Duty][]Check{
	Schedule: {
		InViewCertain,
		WatchReachedView,
		OwnTransactionsSettled,
		QuotasSettled,
	},
	ScaleOut: {
		InViewCertain,
		WatchReachedView,
		OwnTransactionsSettled,
		QuotasSettled,
		MachineTypesKnown,
		CloudListed,
		FormerScaleOutsCounted,
	},
	Decommission: {
		InViewCertain,
		WatchReachedView,
		OwnTransactionsSettled,
	},
}

// allChecks returns all checks in their usual order.
func allChecks() []Check {
	return []Check{
		InViewCertain,
		WatchReachedView,
		OwnTransactionsSettled,
		QuotasSettled,
		MachineTypesKnown,
		CloudListed,
		FormerScaleOutsCounted,
	}
}

// Checks records which checks a leader has passed in one epoch. No check is skipped: a duty waits
// until all of its required checks have passed. The zero value permits no duty.
type Checks struct {
	Epoch uint64 // of the view
	since time.Time
	done  map[Check]time.Duration // time from since until the check passed
}

// Begin starts the checks of a new leader. If they were already begun for the epoch, it does
// nothing.
func (c *Checks) Begin(epoch uint64, now time.Time) {
	if c.Epoch != epoch || c.done == nil {
		*c = Checks{Epoch: epoch, since: now, done: map[Check]time.Duration{}}
	}
}

// Record records whether a check holds now. It returns whether the check has just passed for the
// first time and, if it has passed, how long after Begin. A check stays passed for the epoch,
// because every later decision is fenced individually.
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

// Pending returns the checks that have not passed yet.
func (c *Checks) Pending() []Check {
	return slices.DeleteFunc(allChecks(), c.isDone)
}

// Done reports whether all checks have passed.
func (c *Checks) Done() bool { return len(c.done) == len(allChecks()) }

// Permits reports whether all required checks of a duty have passed.
func (c *Checks) Permits(duty Duty) bool {
	return !slices.ContainsFunc(requiredChecks[duty], func(check Check) bool { return !c.isDone(check) })
}

func (c *Checks) isDone(check Check) bool {
	_, done := c.done[check]
	return done
}
