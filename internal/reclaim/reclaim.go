// Package reclaim is the slice that brings use back under limits that were
// lowered while work ran: what would have to stop, youngest first. Nothing that
// is not over a limit is touched. No IO, no clock.
package reclaim

import (
	"slices"
	"sort"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Stop is a task that has to make way, and the node that is over its limit.
type Stop struct {
	Task *book.Task
	Path string
}

// Plan lists up to most tasks (and the rest of a gang) whose end brings every node of
// an account inside its limits, with what is on its way out counted already. Of a gang all tasks go, since
// the rest could not go on. Tasks that were released but are on no machine go first.
func Plan(b *book.Book, account *quota.Account, most int) []Stop {
	over := account.Over()
	if len(over) == 0 {
		return nil
	}
	tree := account.Tree()
	all := candidates(b)
	account = without(account, all)
	var out []Stop
	chosen := map[*book.Task]bool{}
	for _, node := range over {
		for _, t := range all {
			excess := account.Excess(node)
			if excess == (quota.Amount{}) || len(out) >= most {
				break
			}
			spec := &t.Job.Rec.Spec
			if chosen[t] || t.State == jobs.Stopping || !tree.Under(b.Leaf(spec), node) || !spec.Amount().Helps(excess) {
				continue
			}
			for _, mate := range mates(t) {
				if !chosen[mate] && mate.State != jobs.Stopping {
					chosen[mate] = true
					account.Charge(spec.Key(), spec.Amount(), -1)
					out = append(out, Stop{mate, tree.Path(node)})
				}
			}
		}
	}
	return out
}

// For lists the tasks whose end lets count more tasks of a job, which are within the
// guarantee of a node, into limits that others have filled with what they borrowed:
// as few as do, youngest first, with what is on its way out counted already. Nil if
// that can't be had, or if it is coming.
func For(b *book.Book, account *quota.Account, entitled int, spec *jobs.Spec, count int) []Stop {
	leaf := b.Leaf(spec)
	all := candidates(b)
	account = without(account, all)
	var out []Stop
	for _, t := range all {
		full := account.FullAt(leaf, spec.Amount(), count)
		if full < 0 {
			return out
		}
		other := &t.Job.Rec.Spec
		gang := other.Gang()
		if gang || other.Shape == jobs.Standing || t.State == jobs.Stopping || !account.Tree().Under(b.Leaf(other), full) ||
			!other.Amount().Helps(spec.Amount()) || !account.Yields(entitled, b.Leaf(other), other.Amount()) {
			continue
		}
		account.Charge(other.Key(), other.Amount(), -1)
		out = append(out, Stop{t, account.Tree().Path(full)})
	}
	if account.FullAt(leaf, spec.Amount(), count) >= 0 {
		return nil
	}
	return out
}

// without is a copy of an account without what is on its way out.
func without(account *quota.Account, all []*book.Task) *quota.Account {
	account = account.Clone()
	for _, t := range all {
		if t.State == jobs.Stopping {
			account.Charge(t.Job.Rec.Spec.Key(), t.Job.Rec.Spec.Amount(), -1)
		}
	}
	return account
}

// candidates lists the charged tasks of live jobs in the order in which they would
// go: released ones, then the youngest.
func candidates(b *book.Book) []*book.Task {
	var out []*book.Task
	for _, t := range b.Released {
		out = append(out, t)
	}
	for _, on := range b.OnHost {
		for _, t := range on {
			out = append(out, t)
		}
	}
	out = slices.DeleteFunc(out, func(t *book.Task) bool { return t.Job.Rec == nil })
	sort.Slice(out, func(x, y int) bool {
		a, b := out[x], out[y]
		switch {
		case (a.State == jobs.Released) != (b.State == jobs.Released):
			return a.State == jobs.Released
		case a.Job.Rec.Spec.RankOrder() != b.Job.Rec.Spec.RankOrder():
			return a.Job.Rec.Spec.RankOrder() > b.Job.Rec.Spec.RankOrder()
		case !a.Since.Equal(b.Since):
			return a.Since.After(b.Since)
		}
		return a.Piece < b.Piece
	})
	return out
}

// mates lists a task with the rest of its gang.
func mates(t *book.Task) []*book.Task {
	if t.Job.Rec.Spec.Shape != jobs.Ensemble {
		return []*book.Task{t}
	}
	var out []*book.Task
	for _, m := range t.Job.Active {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *book.Task) int { return a.N - b.N })
	return out
}
