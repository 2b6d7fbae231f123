package standby

import (
	"slices"
	"time"
)

// Check is one thing that a new leader must know before it decides.
type Check string

// The checks, in the order in which they are usually done.
const (
	// InViewCertain: its lease is the one that the view names it by, and it is certain of it.
	InViewCertain Check = "place in the view"
	// WatchReachedView: the watch has come to the view's own change. What the former leader
	// committed came before that; what it sends later fails by the view's stamp.
	WatchReachedView Check = "watch has reached the view"
	// TransactionsFenced: no transaction of its own is without an answer.
	TransactionsFenced Check = "own transactions settled"
	// QuotasSettled: the tree of quotas that decisions are conditional on is known.
	QuotasSettled Check = "quotas settled"
	// MachineTypesKnown: the catalogue of machine types is known, with today's prices.
	MachineTypesKnown Check = "machine types known"
	// CloudListed: a list of the cloud's machines was begun after it came to lead.
	CloudListed Check = "cloud's list read"
	// FormerRents: rents of the former leader that the list may still lack are counted, by the
	// summary, until the list must have them.
	FormerRents Check = "former rents listed or counted"
)

// Duty is what a leader does with what it knows.
type Duty string

// Duties of a leader.
const (
	Release Duty = "release" // give tasks away, end jobs, stop, move
	Rent    Duty = "rent"    // and plan
	Delete  Duty = "delete"  // give machines up
)

// checksFor is what must be checked before each duty. Until Listed, a leader rents nothing;
// for ten steps after, only to current demand (DESIGN).
var checksFor = map[Duty][]Check{
	Release: {InViewCertain, WatchReachedView, TransactionsFenced, QuotasSettled},
	Rent:    {InViewCertain, WatchReachedView, TransactionsFenced, QuotasSettled, MachineTypesKnown, CloudListed, FormerRents},
	Delete:  {InViewCertain, WatchReachedView, TransactionsFenced},
}

// All lists the checks.
func All() []Check {
	return []Check{InViewCertain, WatchReachedView, TransactionsFenced, QuotasSettled, MachineTypesKnown, CloudListed, FormerRents}
}

// Checks is what a leader has checked under one epoch. None is skipped: a duty that is
// asked for before its checks are done waits.
type Checks struct {
	Epoch uint64
	since time.Time
	done  map[Check]time.Duration
}

// Begin starts the checks of a new leader.
func (c *Checks) Begin(epoch uint64, now time.Time) {
	if c.Epoch != epoch || c.done == nil {
		*c = Checks{Epoch: epoch, since: now, done: map[Check]time.Duration{}}
	}
}

// Record notes whether a check holds now. It tells whether it is done for the first time,
// and how long after the view that was. What held once under an epoch is checked: later
// every decision is fenced by itself.
func (c *Checks) Record(check Check, holds bool, now time.Time) (first bool, after time.Duration) {
	if c.done == nil {
		return false, 0
	}
	after, was := c.done[check]
	if was || !holds {
		return false, after
	}
	c.done[check] = now.Sub(c.since)
	return true, c.done[check]
}

// Pending lists what has still to be checked.
func (c *Checks) Pending() []Check {
	return slices.DeleteFunc(All(), func(k Check) bool { _, done := c.done[k]; return done })
}

// Done tells whether nothing is left to check.
func (c *Checks) Done() bool { return len(c.done) == len(All()) }

// Permits tells whether a duty's checks are done.
func (c *Checks) Permits(d Duty) bool {
	for _, k := range checksFor[d] {
		if _, done := c.done[k]; !done {
			return false
		}
	}
	return true
}
