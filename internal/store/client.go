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
	Membership Priority = iota
	Urgent              // re-reading what is in doubt, and reading the state at a start
	User                // submissions and cancellations
	Decision
	Poll // answers that a user asks for again by himself
	levels
)

// Errors that callers tell apart.
var (
	// ErrUnknown: no answer; the request may still take effect.
	ErrUnknown = errors.New("state service gave no answer")
	// ErrDown: the request was not executed.
	ErrDown = errors.New("state service unavailable")
	// ErrGone: a watch is too old, or a lease has ended.
	ErrGone = errors.New("gone")
	// ErrConflict: a condition did not hold.
	ErrConflict = errors.New("conflict")
	// ErrRefused: the service calls the request malformed.
	ErrRefused = errors.New("refused")
)

// Item is a key with its value.
type Item struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"v"`
	Stamp uint64          `json:"stamp"`
	Hold  uint64          `json:"hold,omitempty"`
}

// Cond demands that Key has version Stamp; 0 means absent.
type Cond struct {
	Key   string `json:"key"`
	Stamp uint64 `json:"stamp"`
}

// Write puts or removes a key.
type Write struct {
	Put    string          `json:"write,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Hold   uint64          `json:"hold,omitempty"`
}

// Txn is an atomic transaction.
type Txn struct {
	If     []Cond  `json:"if"`
	Writes []Write `json:"writes,omitempty"`

	body []byte // as sent, once it was counted
}

// Event is one change seen by a watch.
type Event struct {
	Put    string          `json:"write"`
	Remove string          `json:"remove"`
	Value  json.RawMessage `json:"v"`
	Stamp  uint64          `json:"stamp"`
}

// Client keeps calls inside this node's share of the limits.
type Client struct {
	send  Call
	watch Call

	now      time.Time
	filled   time.Time
	tokens   float64
	writes   float64
	rps, wps float64

	// The node's share of the writes is widened while it wants more and the
	// service refuses none: the others then leave theirs unused.
	share, most float64
	boost       float64
	pressed     bool // wanted more writes than it had since boostAt
	refused     bool // by the service, for its limits
	boostAt     time.Time

	// FollowHold is how long the service holds a watch while nothing changes.
	FollowHold time.Duration

	queues   [levels][]pending
	waiting  int
	failures int
	spent    map[string]int // writes sent, by the kind of key
}

type pending struct {
	method, target string
	body           []byte
	puts           int
	sent           func()
	done           func(int, []byte, error)
	refused        int // times that it was beyond the limits
}

// New makes a client; send is for calls, watch for held requests.
func New(send, watch Call) *Client {
	return &Client{send: send, watch: watch, boost: 1, spent: map[string]int{}, FollowHold: tuning.FollowHold}
}

// SetBudget sets this node's share of requests and writes per second, and the
// most writes that it may widen that to.
func (c *Client) SetBudget(rps, wps, most float64) {
	c.rps, c.share, c.most = rps, wps, max(wps, most)
	c.wps = min(c.share*c.boost, c.most)
}

// widen adapts the share of writes once a second: a little more while it is
// wanted and none was refused, less as soon as one was.
func (c *Client) widen() {
	if c.now.Sub(c.boostAt) < tuning.WidenEvery {
		return
	}
	switch {
	case c.refused:
		c.boost = max(1, c.boost*tuning.WidenBack)
	case c.pressed:
		c.boost = min(c.boost+tuning.WidenBy, c.most/max(c.share, 1e-9))
	}
	c.boostAt, c.refused, c.pressed = c.now, false, false
	c.wps = min(c.share*c.boost, c.most)
}

// Down reports whether the last calls failed.
func (c *Client) Down() bool { return c.failures >= 2 }

// Waiting is the number of calls held back by the budget.
func (c *Client) Waiting() int { return c.waiting }

// Allows tells whether so many writes can leave at once, after those that the
// caller has spent already; one decision larger than a second's worth needs no
// more than that. What waits here grows old: by the time that it leaves, the
// records that it was made from have changed, it fails, and its writes are spent
// for nothing.
func (c *Client) Allows(spent, writes int) bool {
	enough := c.writes-float64(spent) >= min(float64(writes), c.wps)
	c.pressed = c.pressed || !enough
	return c.waiting == 0 && c.tokens >= 1 && enough
}

// Spare tells whether there is budget to spare for writes without hurry.
func (c *Client) Spare() bool { return c.waiting == 0 && c.writes > c.wps/2 }

// Reads tells whether there is budget for a read that a user waits for, beside the share
// of a second's requests that is kept for others.
func (c *Client) Reads(kept float64) bool { return c.tokens >= max(1, c.rps*kept) }

// Spent tells how many writes of each kind of key were handed in since it was
// last asked; removals count apart.
func (c *Client) Spent() map[string]int {
	out := c.spent
	c.spent = map[string]int{}
	return out
}

// Pump sends what the budget allows by now.
func (c *Client) Pump(now time.Time) {
	c.now = now
	if c.filled.IsZero() {
		c.filled = now
		c.tokens, c.writes = c.rps/2, c.wps/2
	}
	c.widen()
	dt := now.Sub(c.filled).Seconds()
	c.filled = now
	c.tokens = min(c.tokens+dt*c.rps, c.rps)
	c.writes = min(c.writes+dt*c.wps, c.wps)
	short := false // of writes: what reads only may still pass
	for p := range c.queues {
		for i := 0; i < len(c.queues[p]); {
			q := c.queues[p][i]
			// Membership may overdraw: a lost lease costs more than a 429.
			if Priority(p) != Membership {
				if c.tokens < 1 {
					return
				}
				if q.puts > 0 && (short || c.writes < min(float64(q.puts), c.wps)) {
					// What only reads passes it: the epoch that users' questions wait
					// for stood behind writes for as long as those were short.
					short, c.pressed = true, true
					i++
					continue
				}
			}
			c.queues[p] = slices.Delete(c.queues[p], i, i+1)
			c.waiting--
			c.tokens--
			c.writes -= float64(q.puts)
			if q.sent != nil {
				q.sent()
			}
			c.send(q.method, q.target, q.body, tuning.StateTimeout, func(status int, body []byte, err error) {
				if err == nil && status == 429 && q.refused < tuning.Resend {
					// Not executed, only too early: the budget was planned
					// wider than the limit.
					q.refused++
					c.queues[p] = slices.Insert(c.queues[p], 0, q)
					c.waiting++
					if q.puts > 0 {
						c.refused = true
						c.writes = min(c.writes, 0)
					} else {
						c.tokens = min(c.tokens, 0)
					}
					return
				}
				q.done(status, body, err)
			})
		}
	}
}

func (c *Client) enqueue(p Priority, q pending) {
	limit := tuning.StateQueue
	if p == User || p == Poll {
		limit = min(tuning.UserQueue, max(tuning.UserQueueLeast, int(c.rps*tuning.UserCalls.Seconds())))
	}
	if p != Membership && len(c.queues[p]) >= limit {
		// Not an answer of the service: a node that is asked too much must not take
		// it for down, and send everybody away while it calls itself healthy.
		q.done(429, nil, nil)
		return
	}
	c.queues[p] = append(c.queues[p], q)
	c.waiting++
	c.Pump(c.now)
}

// outcome classifies an answer and keeps count of failures.
func (c *Client) outcome(status int, err error) error {
	switch {
	case err != nil:
		c.fail()
		return fmt.Errorf("%w: %v", ErrUnknown, err)
	case status == 503:
		c.fail()
		return ErrDown
	case status == 429:
		return ErrDown
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

func (c *Client) fail() { c.failures++ }

// Get reads a key. The item is nil when it is absent. sent, if given, is
// called when the request leaves.
func (c *Client) Get(p Priority, key string, sent func(), done func(*Item, error)) {
	c.enqueue(p, pending{method: "GET", target: "/store/" + key, sent: sent, done: func(status int, body []byte, err error) {
		err = c.outcome(status, err)
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
			done(nil, fmt.Errorf("%w: %v", ErrUnknown, err))
			return
		}
		done(&it, nil)
	}})
}

// noKey is a key that nobody writes: reading it tells the epoch and costs least.
const noKey = "epoch"

// Epoch reads the state service's present epoch.
func (c *Client) Epoch(p Priority, done func(uint64, error)) {
	c.enqueue(p, pending{method: "GET", target: "/store/" + noKey, done: func(status int, body []byte, err error) {
		var answer struct {
			Epoch uint64 `json:"epoch"`
		}
		err = c.outcome(status, err)
		switch {
		case errors.Is(err, ErrGone):
			if err = json.Unmarshal(body, &answer); err == nil && answer.Epoch == 0 {
				err = ErrUnknown
			}
		case err == nil:
			err = ErrUnknown // somebody did write it
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

// FollowTarget is the request for what has changed since an epoch, held so long while
// nothing has.
func FollowTarget(since uint64, hold time.Duration) string {
	return fmt.Sprintf("/follow?prefix=&since=%d&hold_ms=%d", since, hold.Milliseconds())
}

// Followed is the answer to it.
type Followed struct {
	Epoch  uint64  `json:"epoch"`
	Events []Event `json:"events"`
}

// List reads a page of keys with a prefix.
func (c *Client) List(p Priority, prefix, since string, done func(Page, error)) {
	c.enqueue(p, pending{method: "GET", target: ListTarget(prefix, since), done: func(status int, body []byte, err error) {
		var page Page
		if err = c.outcome(status, err); err == nil {
			if jerr := json.Unmarshal(body, &page); jerr != nil {
				err = fmt.Errorf("%w: %v", ErrUnknown, jerr)
			}
		}
		done(page, err)
	}})
}

// Multi runs a transaction. On ErrConflict failed names the keys whose
// condition did not hold.
func (c *Client) Multi(p Priority, t Txn, done func(epoch uint64, failed []string, err error)) {
	if t.body == nil && t.seal() != nil {
		done(0, nil, ErrRefused)
		return
	}
	for _, w := range t.Writes {
		kind, _, _ := strings.Cut(w.Put, "/")
		if w.Remove != "" {
			kind, _, _ = strings.Cut(w.Remove, "/")
			kind = "-" + kind
		}
		c.spent[kind]++
	}
	c.enqueue(p, pending{method: "POST", target: "/multi", body: t.body, puts: len(t.Writes), done: func(status int, body []byte, err error) {
		var answer struct {
			Epoch  uint64   `json:"epoch"`
			Failed []string `json:"failed"`
		}
		err = c.outcome(status, err)
		if err == nil || errors.Is(err, ErrConflict) {
			if jerr := json.Unmarshal(body, &answer); jerr != nil {
				err = fmt.Errorf("%w: %v", ErrUnknown, jerr)
			}
		}
		done(answer.Epoch, answer.Failed, err)
	}})
}

// Grant asks for a lease.
func (c *Client) Grant(ttl time.Duration, done func(hold uint64, err error)) {
	body := fmt.Appendf(nil, `{"ttl_ms":%d}`, ttl.Milliseconds())
	c.enqueue(Membership, pending{method: "POST", target: "/grants", body: body, done: func(status int, body []byte, err error) {
		var answer struct {
			Hold uint64 `json:"hold"`
		}
		if err = c.outcome(status, err); err == nil {
			if jerr := json.Unmarshal(body, &answer); jerr != nil || answer.Hold == 0 {
				err = ErrUnknown
			}
		}
		done(answer.Hold, err)
	}})
}

// Renew renews a lease.
func (c *Client) Renew(hold uint64, done func(error)) {
	c.enqueue(Membership, pending{method: "POST", target: fmt.Sprintf("/grants/%d/renew", hold), done: func(status int, _ []byte, err error) {
		done(c.outcome(status, err))
	}})
}

// Follow waits for changes after since.
func (c *Client) Follow(since uint64, done func(epoch uint64, events []Event, err error)) {
	c.tokens--
	c.watch("GET", FollowTarget(since, c.FollowHold), nil, c.FollowHold+tuning.FollowSlack, func(status int, body []byte, err error) {
		if err != nil {
			// A held watch that gets no answer says nothing about the service.
			done(0, nil, ErrUnknown)
			return
		}
		var answer Followed
		if err = c.outcome(status, err); err == nil {
			if jerr := json.Unmarshal(body, &answer); jerr != nil {
				err = ErrUnknown
			}
		}
		done(answer.Epoch, answer.Events, err)
	})
}
