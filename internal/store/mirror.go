package store

import (
	"cmp"
	"encoding/json"
	"slices"
	"sort"
	"strings"
)

// Mirror is this node's copy of the live keys. It may lag behind the state
// service, never lead it: only committed values enter it, and every decision
// made from it carries the stamps it was made from.
type Mirror struct {
	items map[string]Item
	// tombstones holds keys removed by our own commits ahead of the watch, so that
	// an older event still on its way does not bring them back.
	tombstones map[string]uint64
	// Epoch up to which the watch has been followed.
	Epoch uint64
	// Changed is called for every change, with a nil value for a removal.
	Changed func(key string, value json.RawMessage, revision uint64)
	// Transient, if set, names keys that are only told and not kept: those that
	// stay in the store for ever would fill the memory.
	Transient func(key string) bool
}

// NewMirror makes an empty mirror.
func NewMirror(changed func(string, json.RawMessage, uint64)) *Mirror {
	return &Mirror{items: map[string]Item{}, tombstones: map[string]uint64{}, Changed: changed}
}

// Revision is the version of a key, 0 when absent.
func (m *Mirror) Revision(key string) uint64 { return m.items[key].Revision }

// Get returns the value of a key, nil when absent.
func (m *Mirror) Get(key string) json.RawMessage { return m.items[key].Value }

// Keys lists the keys with a prefix in order.
func (m *Mirror) Keys(prefix string) []string {
	var out []string
	for k := range m.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// Put enters a committed value, unless something as new is there. What is no newer than
// the watch has come is there already or is gone: the answer to a read or to an own
// transaction may come after the watch has shown the key's removal, and must not bring it
// back (docs/incidents/late-answers.md).
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

// ApplyEvents enters what a watch brought. Of one transaction the puts come first: a task
// that moved from one pack to another must not be gone in between.
func (m *Mirror) ApplyEvents(epoch uint64, events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(len(a.Remove), 0)-cmp.Compare(len(b.Remove), 0))
	})
	for _, e := range events {
		if e.Put != "" {
			m.Put(e.Put, e.Value, e.Revision)
		} else if e.Remove != "" {
			m.Remove(e.Remove, e.Revision)
		}
	}
	if epoch > m.Epoch {
		m.Epoch = epoch
	}
	for k, s := range m.tombstones {
		if s <= m.Epoch {
			delete(m.tombstones, k)
		}
	}
}

// ApplyListing enters a full listing of a prefix that describes the store at or
// after epoch; keys of the prefix that it lacks are gone.
func (m *Mirror) ApplyListing(prefix string, rows []Item, epoch uint64) {
	have := make(map[string]bool, len(rows))
	for _, r := range rows {
		have[r.Key] = true
		m.Put(r.Key, r.Value, r.Revision)
	}
	for _, k := range m.Keys(prefix) {
		if !have[k] && m.items[k].Revision <= epoch {
			m.Remove(k, epoch)
		}
	}
}

// ApplyCommit enters the writes of a transaction that was answered 200.
func (m *Mirror) ApplyCommit(writes []Write, revision uint64) {
	for _, w := range writes {
		if w.Put != "" {
			m.Put(w.Put, w.Value, revision)
		} else {
			m.Remove(w.Remove, revision)
		}
	}
}
