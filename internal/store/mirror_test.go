package store

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

func mirror() (*Mirror, map[string]string) {
	seen := map[string]string{}
	return NewMirror(func(k string, v json.RawMessage, _ uint64) {
		if v == nil {
			delete(seen, k)
		} else {
			seen[k] = string(v)
		}
	}), seen
}

func TestMirrorOwnCommitsRunAheadOfTheWatch(t *testing.T) {
	m, seen := mirror()
	m.ApplyEvents(5, []Event{{Put: "k", Value: json.RawMessage("1"), Revision: 5}})
	m.ApplyCommit([]Write{{Remove: "k"}}, 9)
	m.ApplyEvents(7, []Event{{Put: "k", Value: json.RawMessage("2"), Revision: 7}})
	if _, ok := seen["k"]; ok {
		t.Error("an older event brought a removed key back")
	}
	m.ApplyEvents(9, []Event{{Remove: "k", Revision: 9}})
	m.ApplyEvents(11, []Event{{Put: "k", Value: json.RawMessage("3"), Revision: 11}})
	if seen["k"] != "3" {
		t.Errorf("%v", seen)
	}
	m.Put("k", json.RawMessage("old"), 4)
	if seen["k"] != "3" || m.Revision("k") != 11 {
		t.Error("an older value replaced a newer one")
	}
}

func TestMirrorListing(t *testing.T) {
	m, seen := mirror()
	m.ApplyEvents(5, []Event{{Put: "a/1", Value: json.RawMessage("1"), Revision: 4}, {Put: "a/2", Value: json.RawMessage("1"), Revision: 5}})
	m.ApplyListing("a/", []Item{{Key: "a/2", Value: json.RawMessage("2"), Revision: 6}}, 8)
	if _, ok := seen["a/1"]; ok || seen["a/2"] != "2" {
		t.Errorf("%v", seen)
	}
}

// Final states stay in the store for ever; a mirror that kept each one it saw
// would grow until its controller was ended for memory.
func TestMirrorKeepsNoPassingKeys(t *testing.T) {
	told := 0
	m := NewMirror(func(string, json.RawMessage, uint64) { told++ })
	m.Transient = func(key string) bool { return strings.HasPrefix(key, "final/") }
	m.ApplyEvents(3, []Event{{Put: "final/a", Value: json.RawMessage("1"), Revision: 2}, {Put: "job/a", Value: json.RawMessage("1"), Revision: 3}})
	if told != 2 || len(m.Keys("")) != 1 || m.Revision("final/a") != 0 {
		t.Fatalf("told of %d changes, kept %v", told, m.Keys(""))
	}
}

// Of one transaction the puts are told first, in whatever order they come.
func TestPutsBeforeRemovals(t *testing.T) {
	var told []string
	m := NewMirror(func(key string, v json.RawMessage, _ uint64) { told = append(told, fmt.Sprint(key, v != nil)) })
	m.Put("a", json.RawMessage("1"), 1)
	m.ApplyEvents(3, []Event{{Remove: "a", Revision: 2}, {Put: "b", Value: json.RawMessage("1"), Revision: 2}, {Put: "c", Value: json.RawMessage("1"), Revision: 3}})
	if got := fmt.Sprint(told); got != "[atrue btrue afalse ctrue]" {
		t.Error(got)
	}
}

// What the watch has passed is here or gone: an answer that comes later, to a read or to
// an own transaction, brings nothing back.
func TestLateAnswersBringNothingBack(t *testing.T) {
	m, seen := mirror()
	m.ApplyEvents(7, []Event{{Put: "job/a", Value: json.RawMessage("1"), Revision: 5}, {Remove: "job/a", Revision: 7}})
	m.Put("job/a", json.RawMessage("1"), 5)
	m.ApplyCommit([]Write{{Put: "job/a", Value: json.RawMessage("1")}}, 5)
	if len(seen) != 0 || m.Revision("job/a") != 0 {
		t.Errorf("%v came back", seen)
	}
	if m.Put("job/b", json.RawMessage("1"), 8); m.Revision("job/b") != 8 {
		t.Error("what the watch has yet to show is taken in")
	}
}
