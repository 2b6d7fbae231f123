package store

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Get reads a key. The item is nil when the key is absent. sent, if given, is called when the
// request leaves.
func (c *Client) Get(p Priority, key string, sent func(), done func(*Item, error)) {
	call := pendingCall{method: http.MethodGet, target: "/store/" + key, sent: sent}
	call.done = func(status int, body []byte, err error) {
		var item Item
		err = c.decode("read key "+key, status, body, err, &item)
		switch {
		case errors.Is(err, ErrGone):
			done(nil, nil)
		case err != nil:
			done(nil, err)
		default:
			done(&item, nil)
		}
	}
	c.enqueue(p, call)
}

// epochProbeKey is a key that nobody writes: of all requests that return the epoch, reading an
// absent key costs least.
const epochProbeKey = "epoch"

// ReadEpoch reads the state service's present epoch.
func (c *Client) ReadEpoch(p Priority, done func(epoch uint64, err error)) {
	const operation = "read epoch"
	call := pendingCall{method: http.MethodGet, target: "/store/" + epochProbeKey}
	call.done = func(status int, body []byte, err error) {
		var answer epochAnswer
		err = c.classify(operation, status, err)
		switch {
		case errors.Is(err, ErrGone):
			err = unmarshal(operation, body, &answer)
			if err == nil && answer.Epoch == 0 {
				err = fmt.Errorf("%s: %w: no epoch", operation, ErrNoAnswer)
			}
		case err == nil:
			err = fmt.Errorf("%s: %w: key %q exists", operation, ErrNoAnswer, epochProbeKey)
		}
		done(answer.Epoch, err)
	}
	c.enqueue(p, call)
}

// ListTarget is the request target for a page of the keys with a prefix, after the key since.
func ListTarget(prefix, since string) string {
	target := fmt.Sprintf("/store?prefix=%s&limit=%d", url.QueryEscape(prefix), tuning.ListPage)
	if since != "" {
		target += "&since=" + url.QueryEscape(since)
	}
	return target
}

// WatchTarget is the request target for what has changed since an epoch, held for up to hold
// while nothing has.
func WatchTarget(since uint64, hold time.Duration) string {
	return fmt.Sprintf("/follow?prefix=&since=%d&hold_ms=%d", since, hold.Milliseconds())
}

// List reads a page of the keys with a prefix, after the key since ("" for the first page).
func (c *Client) List(p Priority, prefix, since string, done func(Page, error)) {
	call := pendingCall{method: http.MethodGet, target: ListTarget(prefix, since)}
	call.done = func(status int, body []byte, err error) {
		var page Page
		err = c.decode("list keys "+prefix, status, body, err, &page)
		done(page, err)
	}
	c.enqueue(p, call)
}

// Commit runs a transaction; epoch is the revision of its writes. On ErrConflict failed names
// the keys whose preconditions did not hold. On ErrNoAnswer it may still take effect.
func (c *Client) Commit(p Priority, t Txn, done func(epoch uint64, failed []string, err error)) {
	const operation = "commit transaction"
	if t.body == nil {
		if err := t.encodeBody(); err != nil {
			done(0, nil, fmt.Errorf("%s: %w: %w", operation, ErrRefused, err))
			return
		}
	}
	c.countWrites(t.Writes)
	call := pendingCall{method: http.MethodPost, target: "/multi", body: t.body, writes: len(t.Writes)}
	call.done = func(status int, body []byte, err error) {
		var answer commitAnswer
		err = c.classify(operation, status, err)
		if err == nil || errors.Is(err, ErrConflict) {
			if decodeErr := unmarshal(operation, body, &answer); decodeErr != nil {
				err = decodeErr
			}
		}
		done(answer.Epoch, answer.Failed, err)
	}
	c.enqueue(p, call)
}

// countWrites counts writes by the kind of key, the part of it before the first slash.
func (c *Client) countWrites(writes []Write) {
	for _, w := range writes {
		if w.Remove != "" {
			kind, _, _ := strings.Cut(w.Remove, "/")
			c.writeCounts["-"+kind]++
			continue
		}
		kind, _, _ := strings.Cut(w.Put, "/")
		c.writeCounts[kind]++
	}
}

// GrantLease asks for a lease; its ID is never 0 without an error.
func (c *Client) GrantLease(ttl time.Duration, done func(leaseID uint64, err error)) {
	const operation = "grant lease"
	call := pendingCall{
		method: http.MethodPost,
		target: "/grants",
		body:   fmt.Appendf(nil, `{"ttl_ms":%d}`, ttl.Milliseconds()),
	}
	call.done = func(status int, body []byte, err error) {
		var answer leaseAnswer
		err = c.decode(operation, status, body, err, &answer)
		if err == nil && answer.LeaseID == 0 {
			err = fmt.Errorf("%s: %w: no lease ID", operation, ErrNoAnswer)
		}
		done(answer.LeaseID, err)
	}
	c.enqueue(PriorityMembership, call)
}

// RenewLease renews a lease. ErrGone means that it has expired.
func (c *Client) RenewLease(leaseID uint64, done func(error)) {
	call := pendingCall{method: http.MethodPost, target: fmt.Sprintf("/grants/%d/renew", leaseID)}
	call.done = func(status int, _ []byte, err error) {
		done(c.classify(fmt.Sprintf("renew lease %d", leaseID), status, err))
	}
	c.enqueue(PriorityMembership, call)
}

// Watch waits for changes after the epoch since. ErrGone means that the service no longer
// knows them and the keys must be listed anew. It leaves at once, whatever the budget.
func (c *Client) Watch(since uint64, done func(epoch uint64, events []Event, err error)) {
	const operation = "watch"
	c.requestTokens--
	finish := func(status int, body []byte, err error) {
		if err != nil {
			// Not counted as a failure: a held watch without an answer says nothing about
			// the service.
			done(0, nil, fmt.Errorf("%s: %w: %w", operation, ErrNoAnswer, err))
			return
		}
		var answer WatchResult
		err = c.decode(operation, status, body, nil, &answer)
		done(answer.Epoch, answer.Events, err)
	}
	c.watch(http.MethodGet, WatchTarget(since, c.WatchHold), nil, c.WatchHold+tuning.WatchSlack, finish)
}
