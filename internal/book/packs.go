package book

import (
	"encoding/json"
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/records"
)

// PackChanged takes a pack in, with the stamp of that version of it; nil for one that
// is gone. Tasks of which it says nothing new stay as they are, also when they come
// from another pack. Of one that can't be read every task that it held, or may
// hold, is set aside, and the error says why. It returns the jobs with changed tasks.
func (b *Book) PackChanged(key string, value json.RawMessage, stamp uint64) (uids []string, err error) {
	sl := b.Packs[key]
	if sl == nil {
		sl = &Slice{Key: key}
	}
	delete(b.aside, key)
	if stamp != b.leftAt {
		b.leftAt = stamp
		clear(b.left)
	}
	var es []records.Entry
	if value != nil {
		if es, err = records.Decode(value); err != nil {
			es = b.setAside(sl, value)
		}
	}
	changed := map[*Job]bool{}
	old := sl.Tasks
	sl.Stamp, sl.Tasks = stamp, make([]*Task, 0, len(es))
	b.reading++
	for i := range es {
		if t := b.claimed(sl, &es[i], changed); t != nil {
			t.seen = b.reading
			sl.Tasks = append(sl.Tasks, t)
		}
	}
	for _, t := range old {
		if t.seen != b.reading && sl.Holds(t) {
			b.unindex(t)
			delete(t.Job.Tasks, t.N)
			b.left[t.Piece] = t
			t.Job.Free = min(t.Job.Free, t.N)
			changed[t.Job] = true
		}
	}
	if b.Packs[key] = sl; value == nil {
		delete(b.Packs, key)
	}
	for j := range changed {
		uids = append(uids, j.UID)
		b.refile(j)
	}
	slices.Sort(uids)
	return uids, err
}

// later tells whether of two records of a task the first must be the later one.
func later(a, b *jobs.Task) bool {
	if done := a.State == jobs.Finished; done != (b.State == jobs.Finished) {
		return done
	}
	return a.Try > b.Try
}

// claimed is the task of an entry of a pack, nil if a later version of another pack
// is known to hold it. Where packs are read one after the other, a task that moved
// meanwhile is in an old version of the one and in the new of the other: the change
// that moved it is at least as late as the one and later than the other.
func (b *Book) claimed(sl *Slice, e *records.Entry, changed map[*Job]bool) *Task {
	j := b.jobOf(e.UID)
	t := j.Tasks[e.N]
	if t != nil && t.Slice != sl && t.Slice.Packed() {
		// Tries only grow. A transaction that is carried out once more, after the pack
		// that it began was removed, brings the pack back with what was true then.
		if later(&t.Task, &e.Task) || !later(&e.Task, &t.Task) && t.Slice.Stamp > sl.Stamp {
			return nil
		}
	}
	if t != nil && t.Same(&e.Task) {
		t.Slice = sl
		return t
	}
	if t != nil {
		b.unindex(t)
	}
	changed[j] = true
	piece := jobs.Piece(e.UID, e.N)
	if moved := b.left[piece]; t == nil && moved != nil && moved.Job == j && moved.Same(&e.Task) {
		moved.Slice, j.Tasks[e.N] = sl, moved
		b.index(moved)
		return moved
	}
	t = &Task{Task: e.Task, Piece: piece, N: e.N, Job: j, Slice: sl, Since: b.Now}
	j.Tasks[e.N] = t
	b.index(t)
	return t
}

// setAside notes that a pack can't be read. What it held before is kept as unreadable:
// never placed again, never lost.
func (b *Book) setAside(sl *Slice, value json.RawMessage) []records.Entry {
	uids, _ := records.Jobs(value)
	b.aside[sl.Key] = uids
	var es []records.Entry
	for _, t := range sl.Tasks {
		if sl.Holds(t) {
			es = append(es, records.Entry{UID: t.Job.UID, N: t.N, Task: jobs.Task{State: Unreadable, Try: t.Try}})
		}
	}
	return es
}

// MayHold tells whether a pack that can't be read may hold tasks of a job: nobody
// knows which, so none may be begun that has no record.
func (b *Book) MayHold(uid string) bool {
	for _, uids := range b.aside {
		if uids == nil || slices.Contains(uids, uid) {
			return true
		}
	}
	return false
}

// Over tells whether a task's record in a pack is of no more use, as it is.
func (t *Task) Over(known uint64) bool { return t.OverAs(&t.Task, known) }

// OverAs tells whether a record of a task in a pack would be of no more use: its job's
// record is gone and it is on no machine. That a job is unknown proves that it is over only
// where all is known up to the pack's own stamp, for its record came before.
func (t *Task) OverAs(rec *jobs.Task, known uint64) bool {
	return t.Job.Rec == nil && !t.Job.Doubted && !rec.On() && rec.State != Unreadable && t.Slice.Stamp <= known
}
