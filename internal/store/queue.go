package store

import (
	"net/http"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Priority orders waiting calls; lower values are sent first.
type Priority uint8

// Priorities. Calls that the correctness of the protocol depends on come first, then those for
// users.
const (
	PriorityMembership Priority = iota // leases, the view and the fence; may overdraw the budget
	PriorityUrgent                     // urgent transactions, reads of records after failed ones, and listing at startup
	PriorityUser                       // submissions and cancellations
	PriorityDecision                   // all other transactions
	PriorityPoll                       // queries that a user repeats
	priorityLevels
)

// pendingCall is a call that waits until the budget covers it.
type pendingCall struct {
	method  string
	target  string
	body    []byte
	writes  int    // number of writes in its transaction; 0 for reads and leases
	sent    func() // if set, called when the request is sent
	done    func(status int, body []byte, err error)
	retries int // number of times that it was refused with 429
}

// Dispatch sends the waiting calls that the budget covers at the time now. The loop calls it for
// every event.
func (c *Client) Dispatch(now time.Time) {
	c.now = now
	c.refill()
	writesExhausted := false
	for level := range c.queues {
		priority := Priority(level)
		for i := 0; i < len(c.queues[priority]); {
			call := c.queues[priority][i]
			// Membership calls may overdraw the budget: losing a lease costs more than a 429.
			if priority != PriorityMembership {
				if c.requestTokens < 1 {
					return
				}
				if call.writes > 0 && (writesExhausted || !c.affords(0, call.writes)) {
					// Reads may overtake a blocked write: users' queries wait for a read of
					// the epoch, which would otherwise be stuck while writes are scarce.
					// Other writes may not, so that small transactions do not starve a
					// large one.
					writesExhausted = true
					c.writesHeldBack = true
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

// dispatchCall charges one call to the budget and sends it.
func (c *Client) dispatchCall(priority Priority, call pendingCall) {
	c.requestTokens--
	c.writeTokens -= float64(call.writes)
	if call.sent != nil {
		call.sent()
	}
	sentAt := c.now
	done := func(status int, body []byte, err error) {
		c.countCall(call.kind(), sentAt, err)
		if err == nil && status == http.StatusTooManyRequests && call.retries < tuning.MaxRateLimitRetries {
			c.requeue(priority, call)
			return
		}
		call.done(status, body, err)
	}
	c.send(call.method, call.target, call.body, tuning.StateTimeout, done)
}

// requeue returns a call that the service refused with 429 to the head of its queue. The call was
// not executed; it was sent too early, since the controllers' budgets may together exceed the
// limit.
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

// enqueue adds a call to its queue and sends it at once if the budget covers it.
func (c *Client) enqueue(priority Priority, call pendingCall) {
	if priority != PriorityMembership && len(c.queues[priority]) >= c.queueLimit(priority) {
		// Answer 429 rather than 503: an overloaded controller must not conclude that the service
		// is down and refuse every user while it reports itself healthy.
		call.done(http.StatusTooManyRequests, nil, nil)
		return
	}
	c.queues[priority] = append(c.queues[priority], call)
	c.waiting++
	c.Dispatch(c.now)
}

// queueLimit returns how many calls of a priority may wait. For users' calls it is the number that
// the budget covers within tuning.UserCallWait, the time for which a call for a user may wait.
func (c *Client) queueLimit(priority Priority) int {
	if priority != PriorityUser && priority != PriorityPoll {
		return tuning.StateQueue
	}
	servedInTime := int(c.requestRate * tuning.UserCallWait.Seconds())
	return min(tuning.UserQueue, max(tuning.MinUserQueue, servedInTime))
}
