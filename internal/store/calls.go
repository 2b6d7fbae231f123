package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

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
