package decide

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Quarantine is the decisions that no transaction can hold, or that the state service
// refused by themselves. They are not made again alike before a pause that doubles:
// made at every look, they would take the place of others for ever.
type Quarantine struct {
	entries map[uint64]quarantined
	Total   int // ever set aside
}

// quarantined is one such decision.
type quarantined struct {
	until time.Time
	pause time.Duration
}

// Add sets a decision aside. It tells whether that is news, to be logged.
func (q *Quarantine) Add(decision *Decision, now time.Time) bool {
	q.Total++
	if q.entries == nil {
		q.entries = map[uint64]quarantined{}
	}
	fingerprint := decision.fingerprint()
	previous, known := q.entries[fingerprint]
	if !known && len(q.entries) >= tuning.MaxQuarantined {
		q.evict(now)
	}
	pause := min(max(2*previous.pause, tuning.QuarantineFirst), tuning.MaxQuarantine)
	q.entries[fingerprint] = quarantined{now.Add(pause), pause}
	return !known
}

// Contains tells whether a decision like this one is set aside now.
func (q *Quarantine) Contains(decision *Decision, now time.Time) bool {
	return len(q.entries) > 0 && now.Before(q.entries[decision.fingerprint()].until)
}

// evict makes room: what may be tried again goes, or, where nothing may, all.
func (q *Quarantine) evict(now time.Time) {
	for fingerprint, entry := range q.entries {
		if !now.Before(entry.until) {
			delete(q.entries, fingerprint)
		}
	}
	if len(q.entries) >= tuning.MaxQuarantined {
		clear(q.entries)
	}
}

// fingerprint is what a decision is about: which tasks become what, which records are
// written. Another machine, and times and counts in the records, do not make it
// another one.
func (d *Decision) fingerprint() uint64 {
	hash := xxhash.New()
	for _, change := range d.Changes {
		fmt.Fprintln(hash, change.Task.ID, change.Next.State, change.Next.Attempt)
	}
	for _, entry := range d.BatchEntries {
		fmt.Fprintln(hash, entry.Entry.JobID, entry.Entry.Index, entry.Entry.Task.State, entry.Entry.Task.Attempt)
	}
	for _, write := range d.Writes {
		fmt.Fprintln(hash, write.Put, write.Remove)
	}
	return hash.Sum64()
}
