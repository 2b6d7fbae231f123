package store

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// newTestMirror returns a mirror and the values by key that result from its changes.
func newTestMirror(t *testing.T) (*Mirror, map[string]string) {
	t.Helper()
	values := map[string]string{}
	return NewMirror(func(key string, value json.RawMessage, _ uint64) {
		if value == nil {
			delete(values, key)
		} else {
			values[key] = string(value)
		}
	}), values
}

func putEvent(key, value string, revision uint64) Event {
	return Event{Put: key, Value: json.RawMessage(value), Revision: revision}
}

func TestOwnCommitAheadOfWatchIsKept(t *testing.T) {
	m, values := newTestMirror(t)
	m.ApplyEvents(5, []Event{putEvent("k", "1", 5)})
	m.ApplyCommit([]Write{{Remove: "k"}}, 9)
	m.ApplyEvents(7, []Event{putEvent("k", "2", 7)})
	if _, ok := values["k"]; ok {
		t.Error("an older event restored a removed key")
	}
	m.ApplyEvents(9, []Event{{Remove: "k", Revision: 9}})
	m.ApplyEvents(11, []Event{putEvent("k", "3", 11)})
	if values["k"] != "3" {
		t.Errorf("got values %v, want k to be 3", values)
	}
	m.Put("k", json.RawMessage("old"), 4)
	if values["k"] != "3" || m.Revision("k") != 11 {
		t.Error("an older value replaced a newer one")
	}
}

func TestListingRemovesAbsentKeys(t *testing.T) {
	m, values := newTestMirror(t)
	m.ApplyEvents(5, []Event{putEvent("a/1", "1", 4), putEvent("a/2", "1", 5)})
	m.ApplyListing("a/", []Item{{Key: "a/2", Value: json.RawMessage("2"), Revision: 6}}, 8)
	if _, ok := values["a/1"]; ok || values["a/2"] != "2" {
		t.Errorf("got values %v, want only a/2, with the value 2", values)
	}
}

// The store keeps final states permanently. A mirror that kept all of them would grow until its
// controller was killed for exceeding its memory limit.
func TestTransientKeysAreNotKept(t *testing.T) {
	changes := 0
	m := NewMirror(func(string, json.RawMessage, uint64) { changes++ })
	m.Transient = func(key string) bool { return strings.HasPrefix(key, "final/") }
	m.ApplyEvents(3, []Event{putEvent("final/a", "1", 2), putEvent("job/a", "1", 3)})
	if changes != 2 || len(m.Keys("")) != 1 || m.Revision("final/a") != 0 {
		t.Fatalf("%d changes, keys kept: %v; want 2 changes, only job/a kept", changes, m.Keys(""))
	}
}

// Puts come first regardless of the order in which the events of a transaction arrive.
func TestPutsOfATransactionAreAppliedBeforeRemovals(t *testing.T) {
	var changes []string
	m := NewMirror(func(key string, value json.RawMessage, _ uint64) {
		changes = append(changes, fmt.Sprint(key, value != nil))
	})
	m.Put("a", json.RawMessage("1"), 1)
	m.ApplyEvents(3, []Event{{Remove: "a", Revision: 2}, putEvent("b", "1", 2), putEvent("c", "1", 3)})
	if got := fmt.Sprint(changes); got != "[atrue btrue afalse ctrue]" {
		t.Error(got)
	}
}

// Up to the epoch that the watch has reached, the mirror is complete. An answer that arrives later,
// to a read or to one of this controller's transactions, must not restore a removed key.
func TestLateAnswerDoesNotRestoreRemovedKey(t *testing.T) {
	m, values := newTestMirror(t)
	m.ApplyEvents(7, []Event{putEvent("job/a", "1", 5), {Remove: "job/a", Revision: 7}})
	m.Put("job/a", json.RawMessage("1"), 5)
	m.ApplyCommit([]Write{{Put: "job/a", Value: json.RawMessage("1")}}, 5)
	if len(values) != 0 || m.Revision("job/a") != 0 {
		t.Errorf("late answers restored %v", values)
	}
	if m.Put("job/b", json.RawMessage("1"), 8); m.Revision("job/b") != 8 {
		t.Error("a change newer than the watch was dropped")
	}
}
