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
func (a *Quarantine) Add(d *Decision, now time.Time) bool {
	a.Total++
	if a.entries == nil {
		a.entries = map[uint64]quarantined{}
	}
	about := d.fingerprint()
	old, known := a.entries[about]
	if !known && len(a.entries) >= tuning.MaxQuarantined {
		a.evict(now)
	}
	pause := min(max(2*old.pause, tuning.QuarantineFirst), tuning.MaxQuarantine)
	a.entries[about] = quarantined{now.Add(pause), pause}
	return !known
}

// Contains tells whether a decision like this one is set aside now.
func (a *Quarantine) Contains(d *Decision, now time.Time) bool {
	return len(a.entries) > 0 && now.Before(a.entries[d.fingerprint()].until)
}

// evict makes room: what may be tried again goes, or, where nothing may, all.
func (a *Quarantine) evict(now time.Time) {
	for k, s := range a.entries {
		if !now.Before(s.until) {
			delete(a.entries, k)
		}
	}
	if len(a.entries) >= tuning.MaxQuarantined {
		clear(a.entries)
	}
}

// fingerprint is what a decision is about: which tasks become what, which records are
// written. Another machine, and times and counts in the records, do not make it
// another one.
func (d *Decision) fingerprint() uint64 {
	h := xxhash.New()
	for _, c := range d.Changes {
		fmt.Fprintln(h, c.Task.ID, c.Next.State, c.Next.Attempt)
	}
	for _, x := range d.BatchEntries {
		fmt.Fprintln(h, x.Entry.JobID, x.Entry.Index, x.Entry.Task.State, x.Entry.Task.Attempt)
	}
	for _, w := range d.Writes {
		fmt.Fprintln(h, w.Put, w.Remove)
	}
	return h.Sum64()
}
