package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestDispatchOrdersByPriorityWithinBudget(t *testing.T) {
	var sent []string
	call := func(method, target string, _ []byte, _ time.Duration, _ func(int, []byte, error)) {
		sent = append(sent, target)
	}
	c := New(call, call)
	c.SetBudget(10, 10, 10)
	now := time.Unix(0, 0)
	c.Dispatch(now)
	ignore := func(*Item, error) {}
	for range 8 {
		c.Get(PriorityUser, "user", nil, ignore)
	}
	if len(sent) != 5 {
		t.Fatalf("sent %d calls at the start, want half a second's worth: 5", len(sent))
	}
	c.Get(PriorityUrgent, "urgent", nil, ignore)
	c.RenewLease(1, func(error) {})
	if sent[len(sent)-1] != "/grants/1/renew" {
		t.Error("lease renewal was not sent although it is exempt from the budget")
	}
	sent = nil
	c.Dispatch(now.Add(300 * time.Millisecond))
	if len(sent) == 0 || sent[0] != "/store/urgent" {
		t.Errorf("sent %v, want the urgent call before the users' calls", sent)
	}
	refused := 0
	for range 100 {
		c.Get(PriorityUser, "x", nil, func(_ *Item, err error) {
			if errors.Is(err, ErrUnavailable) {
				refused++
			}
		})
	}
	if refused == 0 {
		t.Error("no call was refused, want refusals once the users' queue is full")
	}
}

func TestRateLimitedCallIsRetried(t *testing.T) {
	var answers []func(int, []byte, error)
	call := func(_, _ string, _ []byte, _ time.Duration, done func(int, []byte, error)) {
		answers = append(answers, done)
	}
	c := New(call, call)
	c.SetBudget(100, 100, 100)
	now := time.Unix(0, 0)
	c.Dispatch(now)
	var got error
	doneCalls := 0
	c.Commit(PriorityUser, Txn{Writes: []Write{{Remove: "k"}}}, func(_ uint64, _ []string, err error) {
		doneCalls++
		got = err
	})
	for i := range 4 {
		if len(answers) != i+1 {
			t.Fatalf("sent %d times, want %d", len(answers), i+1)
		}
		answers[i](429, nil, nil)
		now = now.Add(time.Second)
		c.Dispatch(now)
	}
	if doneCalls != 1 || !errors.Is(got, ErrUnavailable) {
		t.Errorf("done was called %d times, last with %v; want once with ErrUnavailable", doneCalls, got)
	}
}

// A controller's share of the writes grows while it needs more and the service refuses none, and
// shrinks after a refusal.
func TestWriteShareGrowsUntilRateLimited(t *testing.T) {
	status := 200
	answer := []byte(`{"epoch":1}`)
	call := func(_, _ string, _ []byte, _ time.Duration, done func(int, []byte, error)) { done(status, answer, nil) }
	c := New(call, call)
	c.SetBudget(1000, 10, 60)
	now := time.Unix(1, 0)
	txn := Txn{Writes: []Write{{Put: "task/x", Value: json.RawMessage("1")}}}
	runSecond := func() int {
		sent := 0
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			c.Dispatch(now)
			for c.Allows(0, 1) {
				c.Commit(PriorityDecision, txn, func(uint64, []string, error) {})
				sent++
			}
		}
		return sent
	}
	for range 60 {
		runSecond()
	}
	if got := runSecond(); got < 55 || got > 61 {
		t.Errorf("%d writes a second without other controllers, want about 60", got)
	}
	status = 429
	runSecond()
	status = 200
	for range 3 {
		runSecond()
	}
	if got := runSecond(); got > 57 {
		t.Errorf("%d writes a second soon after a refusal, want at most 57", got)
	}
}

// While the write budget is exhausted, reads overtake writes of the same priority: users' queries
// wait for a read of the epoch, which has the same priority as many writes.
func TestReadsOvertakeBlockedWrites(t *testing.T) {
	var sent []string
	call := func(method, target string, _ []byte, _ time.Duration, _ func(int, []byte, error)) {
		sent = append(sent, method+" "+target)
	}
	c := New(call, call)
	c.SetBudget(100, 10, 10)
	c.Dispatch(time.Unix(0, 0))
	commit := func(writes int) {
		t := Txn{}
		for i := range writes {
			t.Writes = append(t.Writes, Write{Put: fmt.Sprint("k", i), Value: json.RawMessage("1")})
		}
		c.Commit(PriorityUrgent, t, func(uint64, []string, error) {})
	}
	commit(5) // uses up the write budget
	commit(8)
	c.Get(PriorityUrgent, "k", nil, func(*Item, error) {})
	if len(sent) != 2 || !strings.HasPrefix(sent[1], "GET ") || c.Waiting() != 1 {
		t.Errorf("sent %v, %d calls waiting; want one write and the read sent, one write waiting", sent, c.Waiting())
	}
	if c.Dispatch(time.Unix(1, 0)); len(sent) != 3 || c.Waiting() != 0 {
		t.Errorf("sent %v, %d calls waiting; want all three calls sent", sent, c.Waiting())
	}
}
