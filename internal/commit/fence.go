package commit

import (
	"errors"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/store"
)

// FencePrefix begins the keys of all controllers' fences in the state service.
const FencePrefix = "fence/"

// fence is a key of this controller that each of its decisions is conditional on. Changing
// it makes every transaction still in flight fail.
type fence struct {
	key string
	// needed: a transaction had no answer, and the fence is not raised since.
	needed bool
	// raising: a request that raises it is in flight.
	raising bool
	// epoch is where the watch must come to before anything is decided.
	epoch uint64
}

// Fencing tells whether decisions must wait for the fence, and sends the write that raises it if that is
// needed and not under way.
func (c *Committer) Fencing() bool {
	if c.fence.needed && !c.fence.raising && !c.client.Unavailable() {
		c.raiseFence()
	}
	return c.fence.needed || c.mirror.Epoch < c.fence.epoch
}

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
			// An earlier attempt took effect without an answer: the record shows it.
			c.client.Get(store.PriorityMembership, f.key, nil, c.mirrorItem)
		}
	})
}
