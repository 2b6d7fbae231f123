package store

import "github.com/harrierreel/harrierreel/internal/tuning"

// SetBudget sets this controller's share of requests and writes per second, and the writes per
// second that it may widen its share to.
func (c *Client) SetBudget(requestRate, writeShare, maxWriteRate float64) {
	c.requestRate = requestRate
	c.writeShare = writeShare
	c.maxWriteRate = max(writeShare, maxWriteRate)
	c.updateWriteRate()
}

func (c *Client) updateWriteRate() {
	c.writeRate = min(c.writeShare*c.shareFactor, c.maxWriteRate)
}

// refill adds the tokens of the time since the last refill. At the start half a second's worth
// is there.
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

// minWriteShare, writes per second: keeps the quotient of the rates finite without a share.
const minWriteShare = 1e-9

// adaptWriteShare adapts the share of writes once a second: a little more while it is wanted
// and none was refused, less as soon as one was.
func (c *Client) adaptWriteShare() {
	if c.now.Sub(c.shareAdaptedAt) < tuning.WriteShareAdaptInterval {
		return
	}
	switch {
	case c.rateLimited:
		c.shareFactor = max(1, c.shareFactor*tuning.WriteShareBackoff)
	case c.writesLacking:
		c.shareFactor = min(c.shareFactor+tuning.WriteShareIncrease, c.maxWriteRate/max(c.writeShare, minWriteShare))
	}
	c.shareAdaptedAt = c.now
	c.rateLimited = false
	c.writesLacking = false
	c.updateWriteRate()
}

// affords tells whether so many writes can leave at once, after those that were spent already.
// A transaction larger than a second's worth needs no more than that.
func (c *Client) affords(spent, writes int) bool {
	return c.writeTokens-float64(spent) >= min(float64(writes), c.writeRate)
}

// Allows tells whether so many writes can leave at once, after those that the caller has spent
// already. Callers ask before they decide: what waits here grows old, and by the time that it
// leaves the records that it was made from have changed, so that it fails and its writes are
// spent for nothing.
func (c *Client) Allows(spent, writes int) bool {
	enough := c.affords(spent, writes)
	c.writesLacking = c.writesLacking || !enough
	return c.waiting == 0 && c.requestTokens >= 1 && enough
}

// HasSpareWrites tells whether there is budget to spare for writes without hurry.
func (c *Client) HasSpareWrites() bool { return c.waiting == 0 && c.writeTokens > c.writeRate/2 }

// AllowsRead tells whether there is budget for a read that a user waits for, beside the share
// (0 to 1) of a second's requests that is reserved for others.
func (c *Client) AllowsRead(reservedShare float64) bool {
	return c.requestTokens >= max(1, c.requestRate*reservedShare)
}

// TakeWriteCounts returns how many writes of each kind of key were handed in since its last
// call; removals count apart, under the kind with a leading "-".
func (c *Client) TakeWriteCounts() map[string]int {
	counts := c.writeCounts
	c.writeCounts = map[string]int{}
	return counts
}
