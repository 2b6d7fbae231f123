package store

import (
	"net/http"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Priority orders waiting calls; lower goes first.
type Priority uint8

// Priorities: first what the protocol's rules depend on, then users, then the rest.
const (
	PriorityMembership Priority = iota // leases, the view and the fence; exempt from the budget
	PriorityUrgent                     // re-reading what is in doubt, and reading the state at a start
	PriorityUser                       // submissions and cancellations
	PriorityDecision                   // all other transactions
	PriorityPoll                       // queries that a user repeats by himself
	priorityLevels
)

// pendingCall is a call that waits for the budget.
type pendingCall struct {
	method  string
	target  string
	body    []byte
	writes  int    // of its transaction, 0 for reads and leases
	sent    func() // called when the request leaves, if set
	done    func(status int, body []byte, err error)
	retries int // times that it was refused with 429
}

// Dispatch sends what the budget allows at now. The loop calls it after every event.
func (c *Client) Dispatch(now time.Time) {
	c.now = now
	c.refill()
	writesExhausted := false
	for level := range c.queues {
		priority := Priority(level)
		for i := 0; i < len(c.queues[priority]); {
			call := c.queues[priority][i]
			// Membership may overdraw: a lost lease costs more than a 429.
			if priority != PriorityMembership {
				if c.requestTokens < 1 {
					return
				}
				if call.writes > 0 && (writesExhausted || !c.affords(0, call.writes)) {
					// Reads may pass it: users' questions wait for the epoch, and that
					// read stood behind writes for as long as those were short. Writes
					// may not, so that a large transaction is not starved by small ones.
					writesExhausted = true
					c.writesLacking = true
					i++
					continue
				}
			}
			c.queues[priority] = slices.Delete(c.queues[priority], i, i+1)
			c.waiting--
			c.dispatchCall(priority, call)
		}
	}
}

// dispatchCall spends the budget for one call and sends it.
func (c *Client) dispatchCall(priority Priority, call pendingCall) {
	c.requestTokens--
	c.writeTokens -= float64(call.writes)
	if call.sent != nil {
		call.sent()
	}
	done := func(status int, body []byte, err error) {
		if err == nil && status == http.StatusTooManyRequests && call.retries < tuning.MaxRateLimitRetries {
			c.requeue(priority, call)
			return
		}
		call.done(status, body, err)
	}
	c.send(call.method, call.target, call.body, tuning.StateTimeout, done)
}

// requeue puts a call that the service refused with 429 back to the head of its queue. It was
// not executed, only sent too early: the budget was planned wider than the limit.
func (c *Client) requeue(priority Priority, call pendingCall) {
	call.retries++
	c.queues[priority] = slices.Insert(c.queues[priority], 0, call)
	c.waiting++
	if call.writes > 0 {
		c.rateLimited = true
		c.writeTokens = min(c.writeTokens, 0)
	} else {
		c.requestTokens = min(c.requestTokens, 0)
	}
}

// enqueue hands in a call and sends it at once if the budget allows.
func (c *Client) enqueue(priority Priority, call pendingCall) {
	if priority != PriorityMembership && len(c.queues[priority]) >= c.queueLimit(priority) {
		// Answered 429, not as an outage: a controller that is asked too much must not take
		// the service for down, and refuse every user while it calls itself healthy.
		call.done(http.StatusTooManyRequests, nil, nil)
		return
	}
	c.queues[priority] = append(c.queues[priority], call)
	c.waiting++
	c.Dispatch(c.now)
}

// queueLimit is how many calls of a priority may wait. Users' calls are bounded by what the
// budget serves while a user waits.
func (c *Client) queueLimit(priority Priority) int {
	if priority != PriorityUser && priority != PriorityPoll {
		return tuning.StateQueue
	}
	servedInTime := int(c.requestRate * tuning.UserCalls.Seconds())
	return min(tuning.UserQueue, max(tuning.MinUserQueue, servedInTime))
}
