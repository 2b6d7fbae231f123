package store

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// CallKind is a kind of call to the state service. Its value is its name in the log.
type CallKind string

// The kinds of calls. Watches are not counted, since the service holds them.
const (
	EpochRead   CallKind = "epoch"
	KeyRead     CallKind = "key"
	Listing     CallKind = "list"
	Transaction CallKind = "commit"
	LeaseCall   CallKind = "lease"
)

// kind returns the kind of a call.
func (call *pendingCall) kind() CallKind {
	switch {
	case call.target == "/multi":
		return Transaction
	case strings.HasPrefix(call.target, "/grants"):
		return LeaseCall
	case strings.HasPrefix(call.target, "/store?"):
		return Listing
	case call.method == http.MethodGet && call.target == "/store/"+epochProbeKey:
		return EpochRead
	default:
		return KeyRead
	}
}

// CallCount summarizes the calls of one kind.
type CallCount struct {
	Answered   int
	Unanswered int           // timed out, or the connection failed
	Total      time.Duration // from sending to the answer, over all answered calls
	Longest    time.Duration // the longest of them
}

// String returns the counts for the log, such as "12 in 11ms to 85ms, 1 unanswered".
func (c CallCount) String() string {
	mean := c.Total / time.Duration(max(c.Answered, 1))
	text := fmt.Sprintf("%d in %v to %v", c.Answered, mean.Round(time.Millisecond), c.Longest.Round(time.Millisecond))
	if c.Unanswered > 0 {
		text += fmt.Sprintf(", %d unanswered", c.Unanswered)
	}
	return text
}

// countCall counts a call that was sent at sentAt and is answered, or given up with err, now.
func (c *Client) countCall(kind CallKind, sentAt time.Time, err error) {
	count := c.callCounts[kind]
	if err != nil {
		count.Unanswered++
	} else {
		took := c.now.Sub(sentAt)
		count.Answered++
		count.Total += took
		count.Longest = max(count.Longest, took)
	}
	c.callCounts[kind] = count
}

// TakeCallCounts returns the counts of the calls that have ended since its last call, by kind.
func (c *Client) TakeCallCounts() map[CallKind]CallCount {
	counts := c.callCounts
	c.callCounts = map[CallKind]CallCount{}
	return counts
}
