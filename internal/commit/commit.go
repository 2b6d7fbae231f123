// Package commit is the slice that has the state service hold what was decided: it
// packs decisions into transactions, sends them, settles what was refused, conflicted
// or left unanswered (settlement.go), and keeps the fence (fence.go). Transactions come
// out; it has no IO and no clock.
package commit

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Env is what it is told from outside: settings, and what others know.
type Env struct {
	Name        string         // this controller
	StoreLimits settings.State // limits of a transaction
	ValueBytes  int            // bytes of a record
	Log         *slog.Logger
	Client      *store.Client
	Mirror      *store.Mirror

	// HasView tells whether any view is known, Epoch is that of this node's role.
	HasView func() bool
	Epoch   func() uint64
	// OwnsMachine tells whether a machine belongs to this controller.
	OwnsMachine func(machine string) bool
	// Preconditions is the keys that every decision is conditional on besides the view and the
	// fence: the tree of quotas and the calendar, where these are on.
	Preconditions func() []string
	// ApplyCalendar drops what the calendar forbids, and makes the others conditional on its
	// allowing them.
	ApplyCalendar func([]decide.Decision) []decide.Decision
	// Touch has a task's machine reviewed.
	Touch func(*clusterstate.Task)
	// Wake has the loop look again, Follow has the watch opened at once.
	Wake, WatchNow func()
}

// Committer is what is under way to the state service.
type Committer struct {
	*clusterstate.State
	Env

	fence            fence
	inFlight         map[string]bool   // keys under an unfinished transaction
	batchesBegun     uint64            // begun by this process
	awaitingWatch    []awaitingEpoch   // conflicted, to be settled when the watch has come so far
	completionWrites int               // writes of jobs' ends under way
	quarantine       decide.Quarantine // decisions that can't be committed
}

// New makes a committer over a book.
func New(b *clusterstate.State, env Env) *Committer {
	return &Committer{State: b, Env: env, inFlight: map[string]bool{}, fence: fence{key: FencePrefix + env.Name}}
}

// Busy tells whether a record is under a transaction.
func (c *Committer) Busy(key string) bool { return c.inFlight[key] }

// Quarantined counts the decisions set aside so far, which a correct program never makes.
func (c *Committer) Quarantined() int { return c.quarantine.Total }

// Commit packs decisions into transactions within the state service's limits.
// Those that touch a record under a transaction are left for a later pass, and
// so are those, but for urgent ones, that the budget does not allow at once.
func (c *Committer) Commit(ds []decide.Decision) {
	if c.Client.Unavailable() || !c.HasView() || c.Fencing() {
		for i := range ds {
			ds[i].Drop()
		}
		return
	}
	ds = slices.DeleteFunc(c.ApplyCalendar(ds), func(d decide.Decision) bool {
		held := c.quarantine.Contains(&d, c.Now)
		if held {
			d.Drop()
		}
		return held
	})
	p := c.newBatcher()
	batches := p.Build(ds)
	c.completionWrites = p.CompletionWrites
	for _, b := range batches {
		c.send(b)
	}
}

// newBatcher makes a batcher of what is known now.
func (c *Committer) newBatcher() *decide.Batcher {
	return &decide.Batcher{
		Context: decide.TxnContext{
			Limits: store.Limits{
				Ops:           c.StoreLimits.TxnOps,
				Preconditions: c.StoreLimits.TxnOps * tuning.PreconditionsPerOp,
				BodyBytes:     tuning.MaxRequestBody,
				ValueBytes:    c.ValueBytes,
			},
			Preconditions: append([]string{members.ViewKey, c.fence.key}, c.Preconditions()...),
			KnownEpoch:    c.Mirror.Epoch,
			Records:       c.Mirror,
			Machines:      c,
			BatchKeys:     c,
		},
		CompletionWrites: c.completionWrites,
		InFlight:         c,
		Budget:           c.Client,
		Quarantine:       c,
	}
}

// OwnsMachine tells whether a machine belongs to this controller.
func (c *Committer) OwnsMachine(machine string) bool { return c.Env.OwnsMachine(machine) }

// QuarantineDecision keeps a decision that cannot be committed from being made again at
// once, and logs it the first time. It is for the Batcher.
func (c *Committer) QuarantineDecision(decision *decide.Decision, reason error) {
	if c.quarantine.Add(decision, c.Now) {
		c.Log.Error("decision quarantined", "reason", reason, "decision", decision.String())
	}
}

// NewBatchKey is the key of a new batch record: every incarnation of a controller has its
// own epoch, so none is ever used twice. It is for the Batcher.
func (c *Committer) NewBatchKey() string {
	c.batchesBegun++
	return fmt.Sprintf("%s%d-%s-%d", taskbatch.KeyPrefix, c.Epoch(), c.Name, c.batchesBegun)
}

func (c *Committer) send(b *decide.Transaction) {
	t := b.Txn
	for _, w := range t.Writes {
		c.inFlight[decide.WriteKey(w)] = true
	}
	p := store.PriorityDecision
	if b.Urgent {
		p = store.PriorityUrgent
	}
	c.Client.Commit(p, t, func(epoch uint64, failed []string, err error) {
		ok := err == nil
		if ok {
			c.Mirror.ApplyCommit(t.Writes, epoch)
		}
		if errors.Is(err, store.ErrConflict) {
			c.Log.Debug("conflict", "keys", fmt.Sprint(failed))
			// The mirror is behind: what it lacks is already in the store.
			if hasBatchKey(failed) || hasBatchKey(writeKeys(t.Writes)) {
				c.settleAtEpoch(epoch, t.Writes, b.Decisions)
				return
			}
			c.settleByReading(failed, t.Writes, b.Decisions)
			return
		}
		if errors.Is(err, store.ErrNoAnswer) {
			// The transaction may have been executed, or may be yet. Nothing is
			// decided before it is known which: the fence makes it impossible
			// from now on, and the watch shows whether it was in time. Without
			// the fence a late release would go beyond a team's limit.
			c.fence.needed = true
			c.Log.Info("transaction without answer", "writes", len(t.Writes), "error", err)
			c.settleByReading(nil, t.Writes, b.Decisions)
			return
		}
		if errors.Is(err, store.ErrRefused) {
			c.splitRefused(b)
			return
		}
		c.finish(t.Writes, b.Decisions, ok)
	})
}
