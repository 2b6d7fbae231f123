// Package store is the client of the state service, a consensus-backed key-value store: calls
// under a shared rate budget, and a mirror of the live keys. It does no IO and reads no clock:
// the caller hands it the time and a Call to send with. Everything in it belongs to the
// controller's event loop; nothing is safe for concurrent use.
package store

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Call sends one HTTP request and calls done later, on the loop. err is set if no answer came
// within timeout; status and body are valid otherwise.
type Call func(
	method, target string,
	body []byte,
	timeout time.Duration,
	done func(status int, body []byte, err error),
)

// Client keeps calls inside this controller's share of the state service's rate limits. What
// the budget does not allow at once waits in a queue for each priority.
type Client struct {
	send  Call
	watch Call

	now        time.Time // of the last Dispatch
	refilledAt time.Time

	// Token buckets of one second's capacity; rates are per second.
	requestTokens float64
	requestRate   float64
	writeTokens   float64
	writeRate     float64

	// The share of writes is widened while this controller wants more and the service refuses
	// none: the other controllers then leave theirs unused.
	writeShare     float64 // writes per second that this controller is entitled to
	maxWriteRate   float64 // writes per second that the share may be widened to
	shareFactor    float64 // writeRate over writeShare, at least 1
	writesLacking  bool    // wanted more writes than it had since shareAdaptedAt
	rateLimited    bool    // a write was refused with 429 since shareAdaptedAt
	shareAdaptedAt time.Time

	// WatchHold is how long the service holds a watch while nothing changes.
	WatchHold time.Duration

	queues      [priorityLevels][]pendingCall
	waiting     int            // calls in all queues
	failures    int            // consecutive calls without an answer or answered 503
	writeCounts map[string]int // writes handed in, by the kind of key
}

// New makes a client with an empty budget; send is for calls, watch for held requests.
func New(send, watch Call) *Client {
	return &Client{
		send:        send,
		watch:       watch,
		shareFactor: 1,
		writeCounts: map[string]int{},
		WatchHold:   tuning.WatchHold,
	}
}

// maxFailures is how many calls in a row may fail before the service counts as unavailable: a
// single lost answer is no outage.
const maxFailures = 2

// Unavailable reports whether the last calls failed.
func (c *Client) Unavailable() bool { return c.failures >= maxFailures }

// Waiting is the number of calls held back by the budget.
func (c *Client) Waiting() int { return c.waiting }
