package decide

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Quarantine is the decisions that no transaction can hold, or that the state service
// refused by themselves. The same decision is not made again before a pause that doubles:
// made in every cycle, it would take the place of others for ever. The zero value is empty
// and ready for use.
type Quarantine struct {
	// Total counts the additions since the start, repeated ones among them.
	Total int

	entries map[uint64]quarantined
}

// quarantined is one such decision.
type quarantined struct {
	until time.Time
	pause time.Duration
}

// Add quarantines a decision, and tells whether it is a new one, which is to be logged.
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
	q.entries[fingerprint] = quarantined{until: now.Add(pause), pause: pause}
	return !known
}

// Contains tells whether a decision like this one is in quarantine now.
func (q *Quarantine) Contains(decision *Decision, now time.Time) bool {
	return len(q.entries) > 0 && now.Before(q.entries[decision.fingerprint()].until)
}

// evict makes room: entries whose pause is over go, or all, where there are none such.
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

// fingerprint identifies a decision by the states that its tasks take and the records that
// it writes. Another machine, and times and counts in the records, do not make it another
// one.
func (d *Decision) fingerprint() uint64 {
	hash := xxhash.New() // whose Write returns no error
	for _, change := range d.Changes {
		_, _ = fmt.Fprintln(hash, change.Task.ID, change.Next.State, change.Next.Attempt)
	}
	for _, added := range d.BatchEntries {
		task := added.Entry.Task
		_, _ = fmt.Fprintln(hash, added.Entry.JobID, added.Entry.Index, task.State, task.Attempt)
	}
	for _, write := range d.Writes {
		_, _ = fmt.Fprintln(hash, write.Put, write.Remove)
	}
	return hash.Sum64()
}
