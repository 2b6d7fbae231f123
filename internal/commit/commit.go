// Package commit is the slice that has the state service hold what was decided: it
// packs decisions into transactions, sends them, settles what was refused, conflicted
// or left unanswered (settle.go), and keeps the fence (fence.go). Transactions come
// out; it has no IO and no clock.
package commit

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/records"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Env is what it is told from outside: settings, and what others know.
type Env struct {
	Me         string         // this controller
	State      settings.State // limits of a transaction
	SliceLimit int            // bytes of a record
	Log        *slog.Logger
	Client     *store.Client
	Mirror     *store.Mirror

	// Viewed tells whether any view is known, Epoch is that of this node's role.
	Viewed func() bool
	Epoch  func() uint64
	// Mine tells whether a machine belongs to this controller.
	Mine func(host string) bool
	// Conds is the keys that every decision is conditional on besides the view and the
	// fence: the tree of quotas and the calendar, where these are on.
	Conds func() []string
	// Guard drops what the calendar forbids, and makes the others conditional on its
	// allowing them.
	Guard func([]decide.Decision) []decide.Decision
	// Touch has a task's machine reviewed.
	Touch func(*book.Task)
	// Wake has the loop look again, Follow has the watch opened at once.
	Wake, Follow func()
}

// Committer is what is under way to the state service.
type Committer struct {
	*book.Book
	Env

	fence  fence
	busy   map[string]bool // keys under an unfinished transaction
	packs  uint64          // begun by this process
	late   []late          // conflicted, to be settled when the watch has come so far
	ending int             // writes of jobs' ends under way
	aside  decide.Aside    // decisions that can't be committed
}

// New makes a committer over a book.
func New(b *book.Book, env Env) *Committer {
	return &Committer{Book: b, Env: env, busy: map[string]bool{}, fence: fence{key: FencePrefix + env.Me}}
}

// Busy tells whether a record is under a transaction.
func (c *Committer) Busy(key string) bool { return c.busy[key] }

// Wrong counts the decisions set aside so far, which a correct program never makes.
func (c *Committer) Wrong() int { return c.aside.Count }

// Commit packs decisions into transactions within the state service's limits.
// Those that touch a record under a transaction are left for a later pass, and
// so are those, but for urgent ones, that the budget does not allow at once.
func (c *Committer) Commit(ds []decide.Decision) {
	if c.Client.Down() || !c.Viewed() || c.Fencing() {
		for i := range ds {
			ds[i].Drop()
		}
		return
	}
	ds = slices.DeleteFunc(c.Guard(ds), func(d decide.Decision) bool {
		held := c.aside.Holds(&d, c.Now)
		if held {
			d.Drop()
		}
		return held
	})
	p := c.packer()
	batches := p.Pack(ds)
	c.ending = p.Ending
	for _, b := range batches {
		c.send(b)
	}
}

// packer packs decisions by what is known now.
func (c *Committer) packer() *decide.Packer {
	return &decide.Packer{
		Form: decide.Form{
			Limits: store.Limits{Ops: c.State.TxnOps, Conds: c.State.TxnOps * tuning.CondsPerOp, Body: tuning.MaxRequestBody, Value: c.SliceLimit},
			Always: append([]string{members.ViewKey, c.fence.key}, c.Conds()...),
			Stamp:  c.Mirror.Stamp, Known: c.Mirror.Epoch, Mine: c.Mine, NewKey: c.newPack,
		},
		Ending:   c.ending,
		Busy:     c.Busy,
		Allows:   c.Client.Allows,
		Size:     func(key string) int { return len(c.Mirror.Get(key)) },
		SetAside: c.setAside,
	}
}

// setAside takes note of a decision that cannot be committed as it is.
func (c *Committer) setAside(d *decide.Decision, why string) {
	if c.aside.Add(d, c.Now) {
		c.Log.Error("decision set aside", "why", why, "about", d.String())
	}
}

// newPack is the key of a new pack: every incarnation of a controller has its own
// epoch, so none is ever used twice.
func (c *Committer) newPack() string {
	c.packs++
	return fmt.Sprintf("%s%d-%s-%d", records.Prefix, c.Epoch(), c.Me, c.packs)
}

func (c *Committer) send(b *decide.Batch) {
	t := b.Txn
	for _, w := range t.Writes {
		c.busy[decide.Key(w)] = true
	}
	p := store.Decision
	if b.Urgent {
		p = store.Urgent
	}
	c.Client.Multi(p, t, func(epoch uint64, failed []string, err error) {
		ok := err == nil
		if ok {
			c.Mirror.Commit(t.Writes, epoch)
		}
		if errors.Is(err, store.ErrConflict) {
			c.Log.Debug("conflict", "keys", fmt.Sprint(failed))
			// The mirror is behind: what it lacks is already in the store.
			if packed(failed) || packed(writeKeys(t.Writes)) {
				c.settleBy(epoch, t.Writes, b.Decisions)
				return
			}
			c.settleKeys(failed, t.Writes, b.Decisions)
			return
		}
		if errors.Is(err, store.ErrUnknown) {
			// The transaction may have been executed, or may be yet. Nothing is
			// decided before it is known which: the fence makes it impossible
			// from now on, and the watch shows whether it was in time. Without
			// the fence a late release would go beyond a team's limit.
			c.fence.needed = true
			c.Log.Info("transaction without answer", "writes", len(t.Writes), "error", err)
			c.settleKeys(nil, t.Writes, b.Decisions)
			return
		}
		if errors.Is(err, store.ErrRefused) {
			c.refused(b)
			return
		}
		c.finish(t.Writes, b.Decisions, ok)
	})
}
