package store

import (
	"cmp"
	"encoding/json"
	"slices"
	"sort"
	"strings"
)

// Mirror is this controller's copy of the live keys. It may lag behind the state service but is
// never ahead of it: it holds committed values only. Every decision made from it carries the
// revisions of the records that it is based on.
type Mirror struct {
	items map[string]Item
	// tombstones holds the revisions of removals that this controller learned of from its own
	// commits, ahead of the watch. They keep an older event that is still to come from restoring
	// the key.
	tombstones map[string]uint64
	// Epoch is the epoch that the watch has reached: all changes up to it have been applied.
	Epoch uint64
	// Changed is called for every change, with a nil value for a removal.
	Changed func(key string, value json.RawMessage, revision uint64)
	// Transient, if set, reports whether a key is passed to Changed without being kept. It is for
	// records that the store keeps permanently, which would exhaust the memory.
	Transient func(key string) bool
}

// NewMirror returns an empty mirror that calls changed for every change.
func NewMirror(changed func(key string, value json.RawMessage, revision uint64)) *Mirror {
	return &Mirror{items: map[string]Item{}, tombstones: map[string]uint64{}, Changed: changed}
}

// Revision returns the revision of a key, or 0 if it is absent.
func (m *Mirror) Revision(key string) uint64 { return m.items[key].Revision }

// Get returns the value of a key, or nil if it is absent.
func (m *Mirror) Get(key string) json.RawMessage { return m.items[key].Value }

// Keys returns the keys with a prefix, sorted.
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

// Put applies a committed value unless the mirror already has one that is at least as new. A value
// no newer than Epoch is ignored, since it has been applied already or has since been removed: the
// answer to a read or to one of this controller's transactions may arrive after the watch has shown
// the key's removal, and must not restore it (docs/incidents/late-answers.md).
func (m *Mirror) Put(key string, value json.RawMessage, revision uint64) {
	if revision <= m.Epoch || m.items[key].Revision >= revision || m.tombstones[key] >= revision {
		return
	}
	if m.Transient == nil || !m.Transient(key) {
		m.items[key] = Item{Key: key, Value: value, Revision: revision}
	}
	m.Changed(key, value, revision)
}

// Remove applies a committed removal unless the mirror already has a newer value or removal.
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

// ApplyEvents applies the events of a watch up to epoch; it sorts them in place. Within one
// transaction it applies puts before removals, so that a task that moves from one batch record to
// another does not disappear in between.
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

// ApplyListing applies a full listing of a prefix that was read at or after epoch. Keys with the
// prefix that are missing from it are removed, unless they are newer than epoch.
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

// ApplyCommit applies the writes of a transaction of this controller that the service committed at
// revision.
func (m *Mirror) ApplyCommit(writes []Write, revision uint64) {
	for _, w := range writes {
		if w.Put != "" {
			m.Put(w.Put, w.Value, revision)
		} else {
			m.Remove(w.Remove, revision)
		}
	}
}
