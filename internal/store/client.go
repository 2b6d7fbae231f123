// Package store is the client of the state service: calls under a shared
// rate budget, and a mirror of the live keys. It does no IO and reads no
// clock itself: the caller hands it the time and a Call to send with.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Call sends one HTTP request and calls done later, on the loop.
type Call func(method, target string, body []byte, timeout time.Duration, done func(status int, body []byte, err error))

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

// Errors that callers tell apart.
var (
	// ErrNoAnswer: no answer; the request may still take effect.
	ErrNoAnswer = errors.New("state service gave no answer")
	// ErrUnavailable: the request was not executed.
	ErrUnavailable = errors.New("state service unavailable")
	// ErrGone: a watch is too old, or a lease has ended.
	ErrGone = errors.New("gone")
	// ErrConflict: a condition did not hold.
	ErrConflict = errors.New("conflict")
	// ErrRefused: the service calls the request malformed.
	ErrRefused = errors.New("refused")
)

// Item is a key with its value.
type Item struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
	LeaseID  uint64          `json:"hold,omitempty"`
}

// Precondition demands that Key has version Stamp; 0 means absent.
type Precondition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"stamp"`
}

// Write puts or removes a key.
type Write struct {
	Put     string          `json:"write,omitempty"`
	Remove  string          `json:"remove,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	LeaseID uint64          `json:"hold,omitempty"`
}

// Txn is an atomic transaction.
type Txn struct {
	Preconditions []Precondition `json:"if"`
	Writes        []Write        `json:"writes,omitempty"`

	body []byte // as sent, once it was counted
}

// Event is one change seen by a watch.
type Event struct {
	Put      string          `json:"write"`
	Remove   string          `json:"remove"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
}

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

type pendingCall struct {
	method, target string
	body           []byte
	writes         int
	sent           func()
	done           func(int, []byte, error)
	retries        int // times that it was beyond the limits
}

// New makes a client; send is for calls, watch for held requests.
func New(send, watch Call) *Client {
	return &Client{send: send, watch: watch, shareFactor: 1, writeCounts: map[string]int{}, WatchHold: tuning.WatchHold}
}

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

// Unavailable reports whether the last calls failed.
func (c *Client) Unavailable() bool { return c.failures >= 2 }

// Waiting is the number of calls held back by the budget.
func (c *Client) Waiting() int { return c.waiting }

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

// classify classifies an answer and keeps count of failures.
func (c *Client) classify(status int, err error) error {
	switch {
	case err != nil:
		c.countFailure()
		return fmt.Errorf("%w: %v", ErrNoAnswer, err)
	case status == 503:
		c.countFailure()
		return ErrUnavailable
	case status == 429:
		return ErrUnavailable
	}
	c.failures = 0
	switch status {
	case 200:
		return nil
	case 404, 410:
		return ErrGone
	case 409:
		return ErrConflict
	}
	return fmt.Errorf("%w: status %d", ErrRefused, status)
}

func (c *Client) countFailure() { c.failures++ }

// Get reads a key. The item is nil when it is absent. sent, if given, is
// called when the request leaves.
func (c *Client) Get(p Priority, key string, sent func(), done func(*Item, error)) {
	c.enqueue(p, pendingCall{method: "GET", target: "/store/" + key, sent: sent, done: func(status int, body []byte, err error) {
		err = c.classify(status, err)
		if errors.Is(err, ErrGone) {
			done(nil, nil)
			return
		}
		if err != nil {
			done(nil, err)
			return
		}
		var it Item
		if err := json.Unmarshal(body, &it); err != nil {
			done(nil, fmt.Errorf("%w: %v", ErrNoAnswer, err))
			return
		}
		done(&it, nil)
	}})
}

// epochProbeKey is a key that nobody writes: reading it tells the epoch and costs least.
const epochProbeKey = "epoch"

// ReadEpoch reads the state service's present epoch.
func (c *Client) ReadEpoch(p Priority, done func(uint64, error)) {
	c.enqueue(p, pendingCall{method: "GET", target: "/store/" + epochProbeKey, done: func(status int, body []byte, err error) {
		var answer struct {
			Epoch uint64 `json:"epoch"`
		}
		err = c.classify(status, err)
		switch {
		case errors.Is(err, ErrGone):
			if err = json.Unmarshal(body, &answer); err == nil && answer.Epoch == 0 {
				err = ErrNoAnswer
			}
		case err == nil:
			err = ErrNoAnswer // somebody did write it
		}
		done(answer.Epoch, err)
	}})
}

// Page is one page of a listing.
type Page struct {
	Rows    []Item `json:"rows"`
	HasNext bool   `json:"has_next"`
	Epoch   uint64 `json:"epoch"`
}

// ListTarget is the request for a page of keys with a prefix, after since.
func ListTarget(prefix, since string) string {
	target := fmt.Sprintf("/store?prefix=%s&limit=%d", url.QueryEscape(prefix), tuning.ListPage)
	if since != "" {
		target += "&since=" + url.QueryEscape(since)
	}
	return target
}

// WatchTarget is the request for what has changed since an epoch, held so long while
// nothing has.
func WatchTarget(since uint64, hold time.Duration) string {
	return fmt.Sprintf("/follow?prefix=&since=%d&hold_ms=%d", since, hold.Milliseconds())
}

// WatchResult is the answer to it.
type WatchResult struct {
	Epoch  uint64  `json:"epoch"`
	Events []Event `json:"events"`
}

// List reads a page of keys with a prefix.
func (c *Client) List(p Priority, prefix, since string, done func(Page, error)) {
	c.enqueue(p, pendingCall{method: "GET", target: ListTarget(prefix, since), done: func(status int, body []byte, err error) {
		var page Page
		if err = c.classify(status, err); err == nil {
			if jerr := json.Unmarshal(body, &page); jerr != nil {
				err = fmt.Errorf("%w: %v", ErrNoAnswer, jerr)
			}
		}
		done(page, err)
	}})
}

// Commit runs a transaction. On ErrConflict failed names the keys whose
// condition did not hold.
func (c *Client) Commit(p Priority, t Txn, done func(epoch uint64, failed []string, err error)) {
	if t.body == nil && t.encodeBody() != nil {
		done(0, nil, ErrRefused)
		return
	}
	for _, w := range t.Writes {
		kind, _, _ := strings.Cut(w.Put, "/")
		if w.Remove != "" {
			kind, _, _ = strings.Cut(w.Remove, "/")
			kind = "-" + kind
		}
		c.writeCounts[kind]++
	}
	c.enqueue(p, pendingCall{method: "POST", target: "/multi", body: t.body, writes: len(t.Writes), done: func(status int, body []byte, err error) {
		var answer struct {
			Epoch  uint64   `json:"epoch"`
			Failed []string `json:"failed"`
		}
		err = c.classify(status, err)
		if err == nil || errors.Is(err, ErrConflict) {
			if jerr := json.Unmarshal(body, &answer); jerr != nil {
				err = fmt.Errorf("%w: %v", ErrNoAnswer, jerr)
			}
		}
		done(answer.Epoch, answer.Failed, err)
	}})
}

// GrantLease asks for a lease.
func (c *Client) GrantLease(ttl time.Duration, done func(hold uint64, err error)) {
	body := fmt.Appendf(nil, `{"ttl_ms":%d}`, ttl.Milliseconds())
	c.enqueue(PriorityMembership, pendingCall{method: "POST", target: "/grants", body: body, done: func(status int, body []byte, err error) {
		var answer struct {
			Hold uint64 `json:"hold"`
		}
		if err = c.classify(status, err); err == nil {
			if jerr := json.Unmarshal(body, &answer); jerr != nil || answer.Hold == 0 {
				err = ErrNoAnswer
			}
		}
		done(answer.Hold, err)
	}})
}

// RenewLease renews a lease.
func (c *Client) RenewLease(hold uint64, done func(error)) {
	c.enqueue(PriorityMembership, pendingCall{method: "POST", target: fmt.Sprintf("/grants/%d/renew", hold), done: func(status int, _ []byte, err error) {
		done(c.classify(status, err))
	}})
}

// Watch waits for changes after since.
func (c *Client) Watch(since uint64, done func(epoch uint64, events []Event, err error)) {
	c.requestTokens--
	c.watch("GET", WatchTarget(since, c.WatchHold), nil, c.WatchHold+tuning.WatchSlack, func(status int, body []byte, err error) {
		if err != nil {
			// A held watch that gets no answer says nothing about the service.
			done(0, nil, ErrNoAnswer)
			return
		}
		var answer WatchResult
		if err = c.classify(status, err); err == nil {
			if jerr := json.Unmarshal(body, &answer); jerr != nil {
				err = ErrNoAnswer
			}
		}
		done(answer.Epoch, answer.Events, err)
	})
}
