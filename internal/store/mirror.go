package store

import (
	"cmp"
	"encoding/json"
	"slices"
	"sort"
	"strings"
)

// Mirror is this controller's copy of the live keys. It may lag behind the state service, never
// lead it: only committed values enter it, and every decision made from it carries the
// revisions that it was made from.
type Mirror struct {
	items map[string]Item
	// tombstones holds the revisions of removals that came by our own commits ahead of the
	// watch, so that an older event still on its way does not bring the key back.
	tombstones map[string]uint64
	// Epoch is how far the watch has come: all changes up to it are in.
	Epoch uint64
	// Changed is called for every change, with a nil value for a removal.
	Changed func(key string, value json.RawMessage, revision uint64)
	// Transient, if set, names keys that are passed on to Changed and not kept: records that
	// stay in the store for ever would fill the memory.
	Transient func(key string) bool
}

// NewMirror makes an empty mirror.
func NewMirror(changed func(key string, value json.RawMessage, revision uint64)) *Mirror {
	return &Mirror{items: map[string]Item{}, tombstones: map[string]uint64{}, Changed: changed}
}

// Revision is the revision of a key, 0 when it is absent.
func (m *Mirror) Revision(key string) uint64 { return m.items[key].Revision }

// Get returns the value of a key, nil when it is absent.
func (m *Mirror) Get(key string) json.RawMessage { return m.items[key].Value }

// Keys lists the keys with a prefix in order.
func (m *Mirror) Keys(prefix string) []string {
	var keys []string
	for k := range m.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// Put enters a committed value, unless one as new is there. What is no newer than Epoch is
// there already or is gone: the answer to a read or to an own transaction may come after the
// watch has shown the key's removal, and must not bring it back
// (docs/incidents/late-answers.md).
func (m *Mirror) Put(key string, value json.RawMessage, revision uint64) {
	if revision <= m.Epoch || m.items[key].Revision >= revision || m.tombstones[key] >= revision {
		return
	}
	if m.Transient == nil || !m.Transient(key) {
		m.items[key] = Item{Key: key, Value: value, Revision: revision}
	}
	m.Changed(key, value, revision)
}

// Remove enters a committed removal.
func (m *Mirror) Remove(key string, revision uint64) {
	if m.items[key].Revision > revision || m.tombstones[key] >= revision {
		return
	}
	if revision > m.Epoch {
		m.tombstones[key] = revision
	}
	if _, ok := m.items[key]; ok {
		delete(m.items, key)
		m.Changed(key, nil, revision)
	}
}

// ApplyEvents enters the events of a watch up to epoch; it sorts them in place. Of one
// transaction the puts come first: a task that moved from one batch record to another must not
// be gone in between.
func (m *Mirror) ApplyEvents(epoch uint64, events []Event) {
	slices.SortStableFunc(events, compareEvents)
	for _, e := range events {
		if e.Put != "" {
			m.Put(e.Put, e.Value, e.Revision)
		} else if e.Remove != "" {
			m.Remove(e.Remove, e.Revision)
		}
	}
	m.Epoch = max(m.Epoch, epoch)
	for key, revision := range m.tombstones {
		if revision <= m.Epoch {
			delete(m.tombstones, key)
		}
	}
}

// compareEvents orders events by revision, puts before removals.
func compareEvents(a, b Event) int {
	if byRevision := cmp.Compare(a.Revision, b.Revision); byRevision != 0 {
		return byRevision
	}
	return cmp.Compare(len(a.Remove), 0) - cmp.Compare(len(b.Remove), 0)
}

// ApplyListing enters a full listing of a prefix that describes the store at or after epoch;
// keys of the prefix that it lacks are gone.
func (m *Mirror) ApplyListing(prefix string, rows []Item, epoch uint64) {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Key] = true
		m.Put(row.Key, row.Value, row.Revision)
	}
	for _, key := range m.Keys(prefix) {
		if !listed[key] && m.items[key].Revision <= epoch {
			m.Remove(key, epoch)
		}
	}
}

// ApplyCommit enters the writes of an own transaction that was answered 200, at its revision.
func (m *Mirror) ApplyCommit(writes []Write, revision uint64) {
	for _, w := range writes {
		if w.Put != "" {
			m.Put(w.Put, w.Value, revision)
		} else {
			m.Remove(w.Remove, revision)
		}
	}
}
