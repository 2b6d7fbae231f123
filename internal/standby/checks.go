package standby

import (
	"slices"
	"time"
)

// Check is one thing that a new leader must know before it decides.
type Check string

// The checks, in the order in which they are usually done.
const (
	// Placed: its lease is the one that the view names it by, and it is certain of it.
	Placed Check = "place in the view"
	// Reached: the watch has come to the view's own change. What the former leader
	// committed came before that; what it sends later fails by the view's stamp.
	Reached Check = "watch has reached the view"
	// Fenced: no transaction of its own is without an answer.
	Fenced Check = "own transactions settled"
	// Quotas: the tree of quotas that decisions are conditional on is known.
	Quotas Check = "quotas settled"
	// Types: the catalogue of machine types is known, with today's prices.
	Types Check = "machine types known"
	// Listed: a list of the cloud's machines was begun after it came to lead.
	Listed Check = "cloud's list read"
	// Hires: rents of the former leader that the list may still lack are counted, by the
	// summary, until the list must have them.
	Hires Check = "former rents listed or counted"
)

// Duty is what a leader does with what it knows.
type Duty string

// Duties of a leader.
const (
	Release Duty = "release" // give tasks away, end jobs, stop, move
	Rent    Duty = "rent"    // and plan
	Delete  Duty = "delete"  // give machines up
)

// needs is what must be checked before each duty. Until Listed, a leader rents nothing;
// for ten steps after, only to current demand (DESIGN).
var needs = map[Duty][]Check{
	Release: {Placed, Reached, Fenced, Quotas},
	Rent:    {Placed, Reached, Fenced, Quotas, Types, Listed, Hires},
	Delete:  {Placed, Reached, Fenced},
}

// All lists the checks.
func All() []Check { return []Check{Placed, Reached, Fenced, Quotas, Types, Listed, Hires} }

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

// Note notes whether a check holds now. It tells whether it is done for the first time,
// and how long after the view that was. What held once under an epoch is checked: later
// every decision is fenced by itself.
func (c *Checks) Note(check Check, holds bool, now time.Time) (first bool, after time.Duration) {
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

// Left lists what has still to be checked.
func (c *Checks) Left() []Check {
	return slices.DeleteFunc(All(), func(k Check) bool { _, done := c.done[k]; return done })
}

// Done tells whether nothing is left to check.
func (c *Checks) Done() bool { return len(c.done) == len(All()) }

// May tells whether a duty's checks are done.
func (c *Checks) May(d Duty) bool {
	for _, k := range needs[d] {
		if _, done := c.done[k]; !done {
			return false
		}
	}
	return true
}
