package commit

import (
	"errors"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/store"
)

// FencePrefix is the prefix of the keys of the controllers' fences in the state service.
const FencePrefix = "fence/"

// fence is a key of this controller that each of its decisions is conditional on. Raising the
// fence, that is writing the key, makes every transaction still in flight fail.
type fence struct {
	key string
	// needed is set if a transaction got no answer and the fence has not been raised since.
	needed bool
	// raising is set while the request that raises the fence is in flight.
	raising bool
	// epoch is the epoch that the watch must reach before any decision is made.
	epoch uint64
}

// AwaitsFence reports whether decisions must wait for the fence. It also sends the write that
// raises the fence if that is needed and not yet in flight.
func (c *Committer) AwaitsFence() bool {
	if c.fence.needed && !c.fence.raising && !c.client.Unavailable() {
		c.raiseFence()
	}
	return c.fence.needed || c.mirror.Epoch < c.fence.epoch
}

// raiseFence sends the transaction that writes the fence key.
func (c *Committer) raiseFence() {
	f := &c.fence
	f.raising = true
	txn := store.Txn{
		Preconditions: []store.Precondition{{Key: f.key, Revision: c.mirror.Revision(f.key)}},
		Writes:        []store.Write{decide.Put(f.key, c.state.NowMs())},
	}
	c.client.Commit(store.PriorityMembership, txn, func(epoch uint64, _ []string, err error) {
		f.raising = false
		c.config.Loop.Wake()
		switch {
		case err == nil:
			c.mirror.ApplyCommit(txn.Writes, epoch)
			f.needed, f.epoch = false, epoch
		case errors.Is(err, store.ErrConflict):
			// An earlier write of the fence took effect without an answer: read the key to learn
			// its revision.
			c.client.Get(store.PriorityMembership, f.key, nil, c.mirrorItem)
		}
	})
}
