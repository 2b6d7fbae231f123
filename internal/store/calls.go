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

// Get reads a key. The item is nil if the key is absent. If sent is not nil, it is called when the
// request is sent.
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

// epochProbeKey is a key that is never written: of all requests that return the epoch, reading an
// absent key is the cheapest.
const epochProbeKey = "epoch"

// ReadEpoch reads the state service's current epoch.
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

// ListTarget returns the request target for the page of keys with a prefix that starts after since.
func ListTarget(prefix, since string) string {
	target := fmt.Sprintf("/store?prefix=%s&limit=%d", url.QueryEscape(prefix), tuning.ListPage)
	if since != "" {
		target += "&since=" + url.QueryEscape(since)
	}
	return target
}

// WatchTarget returns the request target for the changes since an epoch. The service holds the
// request for up to hold while there are none.
func WatchTarget(since uint64, hold time.Duration) string {
	return fmt.Sprintf("/follow?prefix=&since=%d&hold_ms=%d", since, hold.Milliseconds())
}

// List reads the page of keys with a prefix that starts after the key since ("" for the first
// page).
func (c *Client) List(p Priority, prefix, since string, done func(Page, error)) {
	call := pendingCall{method: http.MethodGet, target: ListTarget(prefix, since)}
	call.done = func(status int, body []byte, err error) {
		var page Page
		err = c.decode("list keys "+prefix, status, body, err, &page)
		done(page, err)
	}
	c.enqueue(p, call)
}

// Commit runs a transaction; epoch is the revision of its writes. On ErrConflict, failed lists the
// keys whose preconditions did not hold. On ErrNoAnswer, the transaction may still take effect.
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

// countWrites counts writes by kind of key, which is the part before the first slash.
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

// GrantLease requests a lease. Its ID is never 0 if err is nil.
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

// RenewLease renews a lease. ErrGone means that the lease has expired.
func (c *Client) RenewLease(leaseID uint64, done func(error)) {
	call := pendingCall{method: http.MethodPost, target: fmt.Sprintf("/grants/%d/renew", leaseID)}
	call.done = func(status int, _ []byte, err error) {
		done(c.classify(fmt.Sprintf("renew lease %d", leaseID), status, err))
	}
	c.enqueue(PriorityMembership, call)
}

// Watch waits for changes after the epoch since. ErrGone means that the service no longer has
// them and the keys must be listed again. The request is sent at once, regardless of the budget.
func (c *Client) Watch(since uint64, done func(epoch uint64, events []Event, err error)) {
	const operation = "watch"
	c.requestTokens--
	finish := func(status int, body []byte, err error) {
		if err != nil {
			// Not counted as a failure: a held watch that gets no answer does not show that
			// the service is unavailable.
			done(0, nil, fmt.Errorf("%s: %w: %w", operation, ErrNoAnswer, err))
			return
		}
		var answer WatchResult
		err = c.decode(operation, status, body, nil, &answer)
		done(answer.Epoch, answer.Events, err)
	}
	c.watch(http.MethodGet, WatchTarget(since, c.WatchHold), nil, c.WatchHold+tuning.WatchSlack, finish)
}
