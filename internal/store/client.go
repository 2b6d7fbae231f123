// Package store is the client of the state service: calls under a shared
// rate budget, and a mirror of the live keys. It does no IO and reads no
// clock itself: the caller hands it the time and a Call to send with.
package store

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Call sends one HTTP request and calls done later, on the loop.
type Call func(method, target string, body []byte, timeout time.Duration, done func(status int, body []byte, err error))

// Client keeps calls inside this node's share of the limits.
type Client struct {
	send  Call
	watch Call

	now                    time.Time
	refilledAt             time.Time
	requestTokens          float64
	writeTokens            float64
	requestRate, writeRate float64

	// The node's share of the writes is widened while it wants more and the
	// service refuses none: the others then leave theirs unused.
	writeShare, maxWriteRate float64
	shareFactor              float64
	writesLacking            bool // wanted more writes than it had since boostAt
	rateLimited              bool // by the service, for its limits
	shareAdaptedAt           time.Time

	// WatchHold is how long the service holds a watch while nothing changes.
	WatchHold time.Duration

	queues      [priorityLevels][]pendingCall
	waiting     int
	failures    int
	writeCounts map[string]int // writes sent, by the kind of key
}

// New makes a client; send is for calls, watch for held requests.
func New(send, watch Call) *Client {
	return &Client{send: send, watch: watch, shareFactor: 1, writeCounts: map[string]int{}, WatchHold: tuning.WatchHold}
}

// Unavailable reports whether the last calls failed.
func (c *Client) Unavailable() bool { return c.failures >= 2 }

// Waiting is the number of calls held back by the budget.
func (c *Client) Waiting() int { return c.waiting }
