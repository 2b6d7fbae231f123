package decide

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Quarantine holds the decisions that fit into no transaction, or that the state service
// refused in a transaction of their own. Each one is held back for a period that doubles every
// time it is added: if it were retried in every scheduling cycle, it would permanently take the
// place of other decisions. The zero value is an empty quarantine ready to use.
type Quarantine struct {
	// Total counts the calls of Add since the start, including repeated decisions.
	Total int

	entries map[uint64]quarantineEntry
}

// quarantineEntry is a quarantined decision.
type quarantineEntry struct {
	until   time.Time
	backoff time.Duration
}

// Add quarantines a decision and reports whether it was not quarantined before, so that the
// caller logs it only once.
func (q *Quarantine) Add(decision *Decision, now time.Time) bool {
	q.Total++
	if q.entries == nil {
		q.entries = map[uint64]quarantineEntry{}
	}
	fingerprint := decision.fingerprint()
	previous, known := q.entries[fingerprint]
	if !known && len(q.entries) >= tuning.MaxQuarantined {
		q.evict(now)
	}
	backoff := min(max(2*previous.backoff, tuning.QuarantineFirst), tuning.MaxQuarantine)
	q.entries[fingerprint] = quarantineEntry{until: now.Add(backoff), backoff: backoff}
	return !known
}

// Contains reports whether a decision with the same fingerprint is in quarantine now.
func (q *Quarantine) Contains(decision *Decision, now time.Time) bool {
	return len(q.entries) > 0 && now.Before(q.entries[decision.fingerprint()].until)
}

// evict makes room for a new entry: it removes the expired entries, or all entries if none has
// expired.
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

// fingerprint returns a hash of the next states of the decision's tasks and of the keys that it
// writes. The chosen machine and the contents of the records do not affect it.
func (d *Decision) fingerprint() uint64 {
	hash := xxhash.New() // its Write never returns an error
	for _, change := range d.Changes {
		_, _ = fmt.Fprintln(hash, change.Task.ID, change.Next.State, change.Next.Attempt)
	}
	for _, batchEntry := range d.BatchEntries {
		task := batchEntry.Entry.Task
		_, _ = fmt.Fprintln(hash, batchEntry.Entry.JobID, batchEntry.Entry.Index, task.State, task.Attempt)
	}
	for _, write := range d.Writes {
		_, _ = fmt.Fprintln(hash, write.Put, write.Remove)
	}
	return hash.Sum64()
}
