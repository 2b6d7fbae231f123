package store

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Priority orders waiting calls; lower goes first.
type Priority int

// Priorities: what rules hang on first, then users, then the rest.
const (
	PriorityMembership Priority = iota
	PriorityUrgent              // re-reading what is in doubt, and reading the state at a start
	PriorityUser                // submissions and cancellations
	PriorityDecision
	PriorityPoll // answers that a user asks for again by himself
	priorityLevels
)

type pendingCall struct {
	method, target string
	body           []byte
	writes         int
	sent           func()
	done           func(int, []byte, error)
	retries        int // times that it was beyond the limits
}

// Dispatch sends what the budget allows by now.
func (c *Client) Dispatch(now time.Time) {
	c.now = now
	if c.refilledAt.IsZero() {
		c.refilledAt = now
		c.requestTokens, c.writeTokens = c.requestRate/2, c.writeRate/2
	}
	c.adaptWriteShare()
	dt := now.Sub(c.refilledAt).Seconds()
	c.refilledAt = now
	c.requestTokens = min(c.requestTokens+dt*c.requestRate, c.requestRate)
	c.writeTokens = min(c.writeTokens+dt*c.writeRate, c.writeRate)
	short := false // of writes: what reads only may still pass
	for p := range c.queues {
		for i := 0; i < len(c.queues[p]); {
			q := c.queues[p][i]
			// Membership may overdraw: a lost lease costs more than a 429.
			if Priority(p) != PriorityMembership {
				if c.requestTokens < 1 {
					return
				}
				if q.writes > 0 && (short || c.writeTokens < min(float64(q.writes), c.writeRate)) {
					// What only reads passes it: the epoch that users' questions wait
					// for stood behind writes for as long as those were short.
					short, c.writesLacking = true, true
					i++
					continue
				}
			}
			c.queues[p] = slices.Delete(c.queues[p], i, i+1)
			c.waiting--
			c.requestTokens--
			c.writeTokens -= float64(q.writes)
			if q.sent != nil {
				q.sent()
			}
			c.send(q.method, q.target, q.body, tuning.StateTimeout, func(status int, body []byte, err error) {
				if err == nil && status == 429 && q.retries < tuning.Resend {
					// Not executed, only too early: the budget was planned
					// wider than the limit.
					q.retries++
					c.queues[p] = slices.Insert(c.queues[p], 0, q)
					c.waiting++
					if q.writes > 0 {
						c.rateLimited = true
						c.writeTokens = min(c.writeTokens, 0)
					} else {
						c.requestTokens = min(c.requestTokens, 0)
					}
					return
				}
				q.done(status, body, err)
			})
		}
	}
}

func (c *Client) enqueue(p Priority, q pendingCall) {
	limit := tuning.StateQueue
	if p == PriorityUser || p == PriorityPoll {
		limit = min(tuning.UserQueue, max(tuning.MinUserQueue, int(c.requestRate*tuning.UserCalls.Seconds())))
	}
	if p != PriorityMembership && len(c.queues[p]) >= limit {
		// Not an answer of the service: a node that is asked too much must not take
		// it for down, and send everybody away while it calls itself healthy.
		q.done(429, nil, nil)
		return
	}
	c.queues[p] = append(c.queues[p], q)
	c.waiting++
	c.Dispatch(c.now)
}
