// Package preempt is who makes way for whom: which tasks on one machine are stopped
// so that a waiting one finds room there. No IO, no clock.
package preempt

import (
	"slices"
	"sort"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/parts"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Search is a waiting task that others may have to make way for.
type Search struct {
	Task     *book.Task
	Rank     int
	Entitled int // node of the quotas' tree within whose guarantee it lies, below 0 for none
	Account  *quota.Account
	Zones    map[string]int // of its job's tasks
	// OnlyCached: only where its image is.
	OnlyCached bool
	// Open tells whether it may go on a machine at all.
	Open func(m *book.Machine) bool
	// Busy tells whether a record is under a transaction.
	Busy func(key string) bool
	// Stopping are tasks that this look stops already.
	Stopping map[*book.Task]bool
}

// yields tells whether a running task has to make way: its rank is lower, or it is
// beyond a guarantee that the waiting one is within. Gangs of several tasks do not.
func (s *Search) yields(b *book.Book, t *book.Task) bool {
	spec := &t.Job.Rec.Spec
	switch {
	case spec.Gang():
		return false
	case spec.RankOrder() > s.Rank:
		return true
	}
	return s.Entitled >= 0 && spec.Shape != jobs.Standing && s.Account.Yields(s.Entitled, b.Leaf(spec), spec.Amount())
}

// Victims finds the machine where stopping the fewest tasks makes room, one with
// the image if there is any. Nil if there is none, or if room is coming already.
func Victims(b *book.Book, s Search) []*book.Task {
	spec := &s.Task.Job.Rec.Spec
	var best []*book.Task
	cached := false
	for _, m := range b.ByName() {
		if m.State != fleet.Up || !s.Open(m) || !book.ZoneAllowed(spec, s.Zones, m.Site) {
			continue
		}
		has := b.Cached(m.Name, spec.Bundle)
		if s.OnlyCached && !has || cached && !has {
			continue
		}
		whole := b.Builds[m.Build].Whole()
		if !whole.Fits(spec.Need()) {
			continue
		}
		free, lower := s.onMachine(b, m.Name, whole.Sub(m.Use.Room))
		if free.Fits(spec.Need()) {
			return nil // room is coming already
		}
		chosen, ok := fewest(spec.Need(), free, lower)
		if ok && (best == nil || (has && !cached) || (has == cached && len(chosen) < len(best))) {
			best, cached = chosen, has
		}
	}
	return best
}

// onMachine is the room that is free on a machine, with what is on its way out, and
// the tasks that yield, the youngest first: they have the least to lose.
func (s *Search) onMachine(b *book.Book, host string, free parts.Room) (parts.Room, []*book.Task) {
	var lower []*book.Task
	for _, t := range b.OnHost[host] {
		switch {
		case t.Job.Rec == nil || s.Busy(t.Slice.Key) || s.Stopping[t]:
		case t.State == jobs.Stopping:
			free = free.Add(t.Job.Rec.Spec.Need())
		case s.yields(b, t):
			lower = append(lower, t)
		}
	}
	sort.Slice(lower, func(a, b int) bool {
		if !lower[a].Since.Equal(lower[b].Since) {
			return lower[a].Since.After(lower[b].Since)
		}
		return lower[a].Piece < lower[b].Piece
	})
	return free, lower
}

// fewest takes tasks until need fits; false if it never does.
func fewest(need, free parts.Room, lower []*book.Task) ([]*book.Task, bool) {
	for i, t := range lower {
		if free = free.Add(t.Job.Rec.Spec.Need()); free.Fits(need) {
			return slices.Clone(lower[:i+1]), true
		}
	}
	return nil, false
}
