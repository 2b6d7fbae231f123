package store

import "github.com/harrierreel/harrierreel/internal/tuning"

// SetBudget sets this node's share of requests and writes per second, and the
// most writes that it may widen that to.
func (c *Client) SetBudget(rps, wps, most float64) {
	c.requestRate, c.writeShare, c.maxWriteRate = rps, wps, max(wps, most)
	c.writeRate = min(c.writeShare*c.shareFactor, c.maxWriteRate)
}

// adaptWriteShare adapts the share of writes once a second: a little more while it is
// wanted and none was refused, less as soon as one was.
func (c *Client) adaptWriteShare() {
	if c.now.Sub(c.shareAdaptedAt) < tuning.WidenEvery {
		return
	}
	switch {
	case c.rateLimited:
		c.shareFactor = max(1, c.shareFactor*tuning.WidenBack)
	case c.writesLacking:
		c.shareFactor = min(c.shareFactor+tuning.WidenBy, c.maxWriteRate/max(c.writeShare, 1e-9))
	}
	c.shareAdaptedAt, c.rateLimited, c.writesLacking = c.now, false, false
	c.writeRate = min(c.writeShare*c.shareFactor, c.maxWriteRate)
}

// Allows tells whether so many writes can leave at once, after those that the
// caller has spent already; one decision larger than a second's worth needs no
// more than that. What waits here grows old: by the time that it leaves, the
// records that it was made from have changed, it fails, and its writes are spent
// for nothing.
func (c *Client) Allows(spent, writes int) bool {
	enough := c.writeTokens-float64(spent) >= min(float64(writes), c.writeRate)
	c.writesLacking = c.writesLacking || !enough
	return c.waiting == 0 && c.requestTokens >= 1 && enough
}

// HasSpareWrites tells whether there is budget to spare for writes without hurry.
func (c *Client) HasSpareWrites() bool { return c.waiting == 0 && c.writeTokens > c.writeRate/2 }

// AllowsRead tells whether there is budget for a read that a user waits for, beside the share
// of a second's requests that is kept for others.
func (c *Client) AllowsRead(kept float64) bool { return c.requestTokens >= max(1, c.requestRate*kept) }

// TakeWriteCounts tells how many writes of each kind of key were handed in since it was
// last asked; removals count apart.
func (c *Client) TakeWriteCounts() map[string]int {
	out := c.writeCounts
	c.writeCounts = map[string]int{}
	return out
}
