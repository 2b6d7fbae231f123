package decide

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Aside is the decisions that no transaction can hold, or that the state service
// refused by themselves. They are not made again alike before a pause that doubles:
// made at every look, they would take the place of others for ever.
type Aside struct {
	list  map[uint64]setAside
	Count int // ever set aside
}

// setAside is one such decision.
type setAside struct {
	until time.Time
	pause time.Duration
}

// Add sets a decision aside. It tells whether that is news, to be logged.
func (a *Aside) Add(d *Decision, now time.Time) bool {
	a.Count++
	if a.list == nil {
		a.list = map[uint64]setAside{}
	}
	about := d.about()
	old, known := a.list[about]
	if !known && len(a.list) >= tuning.MostAside {
		a.forget(now)
	}
	pause := min(max(2*old.pause, tuning.AsideFirst), tuning.AsideMost)
	a.list[about] = setAside{now.Add(pause), pause}
	return !known
}

// Holds tells whether a decision like this one is set aside now.
func (a *Aside) Holds(d *Decision, now time.Time) bool {
	return len(a.list) > 0 && now.Before(a.list[d.about()].until)
}

// forget makes room: what may be tried again goes, or, where nothing may, all.
func (a *Aside) forget(now time.Time) {
	for k, s := range a.list {
		if !now.Before(s.until) {
			delete(a.list, k)
		}
	}
	if len(a.list) >= tuning.MostAside {
		clear(a.list)
	}
}

// about is what a decision is about: which tasks become what, which records are
// written. Another machine, and times and counts in the records, do not make it
// another one.
func (d *Decision) about() uint64 {
	h := xxhash.New()
	for _, c := range d.Changes {
		fmt.Fprintln(h, c.Task.Piece, c.Next.State, c.Next.Try)
	}
	for _, x := range d.Fresh {
		fmt.Fprintln(h, x.Entry.UID, x.Entry.N, x.Entry.Task.State, x.Entry.Task.Try)
	}
	for _, w := range d.Writes {
		fmt.Fprintln(h, w.Put, w.Remove)
	}
	return h.Sum64()
}
