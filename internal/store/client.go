// Package store is the client of the state service, a consensus-backed key-value store. It makes
// calls under a rate budget that the controllers share, and mirrors the live keys. It does no IO
// and reads no clock: the caller provides the time and the Call to send requests with. Everything
// in it runs on the controller's event loop; nothing is safe for concurrent use.
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

// Client keeps calls within this controller's share of the state service's rate limits. Calls that
// the budget does not cover at once wait in one queue per priority.
type Client struct {
	send  Call
	watch Call

	now        time.Time // of the last Dispatch
	refilledAt time.Time

	// Token buckets that hold at most one second's worth; rates are per second.
	requestTokens float64
	requestRate   float64
	writeTokens   float64
	writeRate     float64

	// The share of writes grows while this controller needs more and the service refuses none,
	// which means that the other controllers are not using theirs.
	writeShare     float64 // writes per second that this controller is entitled to
	maxWriteRate   float64 // writes per second to which the share may grow
	shareFactor    float64 // factor by which the share has grown, at least 1
	writesHeldBack bool    // the budget did not cover all writes since shareAdaptedAt
	rateLimited    bool    // a write was refused with 429 since shareAdaptedAt
	shareAdaptedAt time.Time

	// WatchHold is how long the service holds a watch while nothing changes.
	WatchHold time.Duration

	queues      [priorityLevels][]pendingCall
	waiting     int            // calls in all queues
	failures    int            // consecutive calls without an answer or answered 503
	writeCounts map[string]int // writes enqueued, by kind of key
	callCounts  map[CallKind]CallCount
}

// New returns a client with an empty budget that sends its calls with send and its watches with
// watch.
func New(send, watch Call) *Client {
	return &Client{
		send:        send,
		watch:       watch,
		shareFactor: 1,
		writeCounts: map[string]int{},
		callCounts:  map[CallKind]CallCount{},
		WatchHold:   tuning.WatchHold,
	}
}

// maxFailures is the number of consecutive failed calls at which the service counts as unavailable:
// a single lost answer is not an outage.
const maxFailures = 2

// Unavailable reports whether the service counts as unavailable, since its last calls failed.
func (c *Client) Unavailable() bool { return c.failures >= maxFailures }

// Waiting returns the number of calls that the budget holds back.
func (c *Client) Waiting() int { return c.waiting }
