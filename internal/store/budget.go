package store

import "github.com/harrierreel/harrierreel/internal/tuning"

// SetBudget sets this controller's share of the service's rate limits, in requests and writes per
// second, and the maximum rate to which its share of writes may grow.
func (c *Client) SetBudget(requestRate, writeShare, maxWriteRate float64) {
	c.requestRate = requestRate
	c.writeShare = writeShare
	c.maxWriteRate = max(writeShare, maxWriteRate)
	c.updateWriteRate()
}

func (c *Client) updateWriteRate() {
	c.writeRate = min(c.writeShare*c.shareFactor, c.maxWriteRate)
}

// refill adds the tokens accrued since the last refill. The first call grants half a second's
// worth.
func (c *Client) refill() {
	if c.refilledAt.IsZero() {
		c.refilledAt = c.now
		c.requestTokens = c.requestRate / 2
		c.writeTokens = c.writeRate / 2
	}
	c.adaptWriteShare()
	elapsed := c.now.Sub(c.refilledAt).Seconds()
	c.refilledAt = c.now
	c.requestTokens = min(c.requestTokens+elapsed*c.requestRate, c.requestRate)
	c.writeTokens = min(c.writeTokens+elapsed*c.writeRate, c.writeRate)
}

// minWriteShare, in writes per second, avoids a division by zero when the share is 0.
const minWriteShare = 1e-9

// adaptWriteShare adjusts the share of writes once per tuning.WriteShareAdaptInterval: additive
// increase while writes are held back and none was refused, multiplicative decrease after a
// refusal.
func (c *Client) adaptWriteShare() {
	if c.now.Sub(c.shareAdaptedAt) < tuning.WriteShareAdaptInterval {
		return
	}
	switch {
	case c.rateLimited:
		c.shareFactor = max(1, c.shareFactor*tuning.WriteShareBackoff)
	case c.writesHeldBack:
		c.shareFactor = min(c.shareFactor+tuning.WriteShareIncrease, c.maxWriteRate/max(c.writeShare, minWriteShare))
	}
	c.shareAdaptedAt = c.now
	c.rateLimited = false
	c.writesHeldBack = false
	c.updateWriteRate()
}

// affords reports whether the budget covers the given number of writes now, in addition to those
// already planned. More writes than one second's worth need only one second's worth of tokens,
// since the bucket holds no more.
func (c *Client) affords(planned, writes int) bool {
	return c.writeTokens-float64(planned) >= min(float64(writes), c.writeRate)
}

// Allows reports whether the given number of writes can be sent at once, in addition to those that
// the caller has already planned. Callers ask before they make a decision: while a transaction
// waits in the queue, the records that it is based on may change, so that it fails and its writes
// are wasted.
func (c *Client) Allows(planned, writes int) bool {
	enough := c.affords(planned, writes)
	c.writesHeldBack = c.writesHeldBack || !enough
	return c.waiting == 0 && c.requestTokens >= 1 && enough
}

// HasSpareWrites reports whether the budget has writes to spare for work that is not urgent.
func (c *Client) HasSpareWrites() bool { return c.waiting == 0 && c.writeTokens > c.writeRate/2 }

// AllowsRead reports whether the budget covers a read for a user while reservedShare (0 to 1) of
// one second's requests stays available for other calls.
func (c *Client) AllowsRead(reservedShare float64) bool {
	return c.requestTokens >= max(1, c.requestRate*reservedShare)
}

// TakeWriteCounts returns the number of writes enqueued since its last call, by kind of key.
// Removals are counted separately, under the kind with a leading "-".
func (c *Client) TakeWriteCounts() map[string]int {
	counts := c.writeCounts
	c.writeCounts = map[string]int{}
	return counts
}
