// Package decide is how decisions become transactions: what a decision is, and how
// many of them share a transaction of the state service within its limits. It has
// no IO and no clock.
package decide

import (
	"fmt"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/records"
	"github.com/harrierreel/harrierreel/internal/store"
)

// Decision is one step that must be committed whole. Its transaction is
// conditional on the view, on every record it writes and on the keys in Seen.
type Decision struct {
	Changes []Change
	Writes  []store.Write
	Fresh   []Fresh
	Seen    []string
	Done    func(ok bool)
	// Urgent: a rule hangs on it, so it goes before all else that waits.
	Urgent bool
	// Ends: it is a job's end. Ends are urgent, but no more of them than about
	// one transaction holds are under way at once: a swarm of small jobs that
	// end together would hold up all else (docs/incidents/ops-swarm.md).
	Ends bool
}

// Change is what becomes of a task that a slice holds already.
type Change struct {
	Task *book.Task
	Next jobs.Task
	// Leaves: it goes from its pack into a new one; it is in Fresh as well.
	Leaves bool
}

// Fresh is a task that goes into a new pack, with what else the same transaction
// gives to the same part.
type Fresh struct {
	Part  string
	Entry records.Entry
}

// Put is a record to write.
func Put(key string, v any) store.Write { return store.Write{Put: key, Value: jobs.Encode(v)} }

// Remove is a record to take away.
func Remove(key string) store.Write { return store.Write{Remove: key} }

// Key is the key of a write.
func Key(w store.Write) string {
	if w.Put != "" {
		return w.Put
	}
	return w.Remove
}

// Rank is the rank of the job whose tasks a decision changes, the first for others.
func (d *Decision) Rank() int {
	if len(d.Changes) == 0 || d.Changes[0].Task.Job.Rec == nil {
		return 0
	}
	return d.Changes[0].Task.Job.Rec.Spec.RankOrder()
}

// Keys lists the records that a decision writes.
func (d *Decision) Keys() []string {
	out := make([]string, 0, len(d.Writes)+1)
	for _, w := range d.Writes {
		out = append(out, Key(w))
	}
	for _, c := range d.Changes {
		if !slices.Contains(out, c.Task.Slice.Key) {
			out = append(out, c.Task.Slice.Key)
		}
	}
	return out
}

// String names what a decision is about, for the log.
func (d *Decision) String() string {
	var what []string
	for _, c := range d.Changes {
		what = append(what, c.Task.Piece+" "+string(c.Next.State))
	}
	for _, x := range d.Fresh {
		what = append(what, jobs.Piece(x.Entry.UID, x.Entry.N)+" "+string(x.Entry.Task.State))
	}
	for _, w := range d.Writes {
		what = append(what, Key(w))
	}
	if len(what) > mostNamed {
		what = append(what[:mostNamed], fmt.Sprintf("and %d more", len(what)-mostNamed))
	}
	return strings.Join(what, ", ")
}

// mostNamed: tasks and records that a line of the log names.
const mostNamed = 4

// Drop ends a decision that is not taken now.
func (d *Decision) Drop() {
	if d.Done != nil {
		d.Done(false)
	}
}

// Become is the change of one task to its next record.
func Become(t *book.Task, next jobs.Task) []Change { return []Change{{Task: t, Next: next}} }
