package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

var (
	goldenItem   = Item{Key: "job/wk-1", Value: json.RawMessage(`{"a":1}`), Revision: 17, LeaseID: 5}
	goldenEvents = []Event{{Put: "job/wk-1", Remove: "job/wk-2", Value: json.RawMessage(`{"a":1}`), Revision: 18}}
	goldenTxn    = Txn{
		Preconditions: []Precondition{{Key: "view", Revision: 3}},
		Writes: []Write{
			{Put: "member/a", Remove: "member/b", Value: json.RawMessage(`{"b":2}`), LeaseID: 9},
			{Put: "quiet/a", Value: json.RawMessage(`["h"]`)},
			{Remove: "quiet/b"},
		},
		body: []byte("as sent"), // not part of its JSON
	}
)

func TestGoldenMessages(t *testing.T) {
	goldentest.RequireNonZeroFields(t, goldenItem)
	goldentest.JSON(t, "item.json", goldenItem)
	goldentest.JSON(t, "item-least.json", Item{Key: "view", Value: json.RawMessage(`1`)})

	goldentest.RequireNonZeroFields(t, goldenTxn)
	goldentest.JSON(t, "txn.json", goldenTxn)
	goldentest.JSON(t, "txn-least.json", Txn{Preconditions: []Precondition{{}}, Writes: []Write{{}}})

	page := Page{Rows: []Item{goldenItem}, HasNext: true, Epoch: 40}
	goldentest.RequireNonZeroFields(t, page)
	goldentest.JSON(t, "page.json", page)
	goldentest.JSON(t, "page-least.json", Page{Rows: []Item{}})

	watchResult := WatchResult{Epoch: 42, Events: goldenEvents}
	goldentest.RequireNonZeroFields(t, watchResult)
	goldentest.JSON(t, "followed.json", watchResult)
	goldentest.JSON(t, "followed-least.json", WatchResult{Events: []Event{}})
}

// goldenClient returns a client all of whose calls get the same answer, and the record of its
// calls.
func goldenClient(t *testing.T, status int, answer []byte) (*Client, *bytes.Buffer) {
	t.Helper()
	var sent bytes.Buffer
	call := func(method, target string, body []byte, _ time.Duration, done func(int, []byte, error)) {
		fmt.Fprintf(&sent, "%s %s %s\n", method, target, body)
		done(status, answer, nil)
	}
	c := New(call, call)
	c.WatchHold = 1500 * time.Millisecond
	c.SetBudget(1000, 1000, 1000)
	c.Dispatch(time.Unix(0, 0))
	return c, &sent
}

func TestGoldenRequests(t *testing.T) {
	c, sent := goldenClient(t, 503, nil)
	c.Get(PriorityDecision, "job/wk-1", nil, func(*Item, error) {})
	c.ReadEpoch(PriorityDecision, func(uint64, error) {})
	c.List(PriorityDecision, "job/", "", func(Page, error) {})
	c.List(PriorityDecision, "job/", "job/wk-1 &", func(Page, error) {})
	txn := Txn{Preconditions: goldenTxn.Preconditions, Writes: goldenTxn.Writes}
	c.Commit(PriorityDecision, txn, func(uint64, []string, error) {})
	c.Commit(PriorityDecision, Txn{}, func(uint64, []string, error) {})
	c.GrantLease(2500*time.Millisecond, func(uint64, error) {})
	c.RenewLease(77, func(error) {})
	c.Watch(42, func(uint64, []Event, error) {})
	goldentest.Bytes(t, "requests.txt", sent.Bytes())
}

// TestGoldenAnswers decodes answers from golden files. Files named answer-* are not written by
// -update.
func TestGoldenAnswers(t *testing.T) {
	check := func(name string, got, want any, err, wantErr error) {
		t.Helper()
		if !reflect.DeepEqual(got, want) || !errors.Is(err, wantErr) {
			t.Errorf("%s: got %+v, %v; want %+v, %v", name, got, err, want, wantErr)
		}
	}
	c, _ := goldenClient(t, 200, goldentest.Read(t, "item.json"))
	c.Get(PriorityDecision, "job/wk-1", nil, func(item *Item, err error) { check("item", item, &goldenItem, err, nil) })
	c, _ = goldenClient(t, 200, goldentest.Read(t, "page.json"))
	c.List(PriorityDecision, "job/", "", func(p Page, err error) {
		check("page", p, Page{Rows: []Item{goldenItem}, HasNext: true, Epoch: 40}, err, nil)
	})
	c, _ = goldenClient(t, 200, goldentest.Read(t, "followed.json"))
	c.Watch(41, func(epoch uint64, events []Event, err error) {
		check("epoch of a watch", epoch, uint64(42), err, nil)
		check("events of a watch", events, goldenEvents, err, nil)
	})
	c, _ = goldenClient(t, 409, goldentest.Read(t, "answer-multi.json"))
	c.Commit(PriorityDecision, Txn{}, func(epoch uint64, failed []string, err error) {
		check("epoch of a conflict", epoch, uint64(41), err, ErrConflict)
		check("failed keys of a conflict", failed, []string{"host/a", "job/wk-1"}, err, ErrConflict)
	})
	c, _ = goldenClient(t, 200, goldentest.Read(t, "answer-grant.json"))
	c.GrantLease(time.Second, func(leaseID uint64, err error) { check("lease", leaseID, uint64(77), err, nil) })
	c, _ = goldenClient(t, 404, goldentest.Read(t, "answer-epoch.json"))
	c.ReadEpoch(PriorityDecision, func(epoch uint64, err error) { check("epoch", epoch, uint64(43), err, nil) })
}
