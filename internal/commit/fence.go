package commit

import (
	"errors"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/store"
)

// FencePrefix begins the keys of all controllers' fences in the state service.
const FencePrefix = "fence/"

// fence is a key of this node that every decision of its is conditional on.
// Changing it makes every transaction still under way fail.
type fence struct {
	key     string
	needed  bool
	running bool
	until   uint64 // the watch must get here before anything is decided
}

// Fencing tells whether decisions must wait, and raises the fence if needed.
func (c *Committer) Fencing() bool {
	f := &c.fence
	if f.needed && !f.running && !c.Client.Unavailable() {
		f.running = true
		t := store.Txn{
			Preconditions: []store.Precondition{{Key: f.key, Revision: c.Mirror.Revision(f.key)}},
			Writes:        []store.Write{decide.Put(f.key, c.NowMs())},
		}
		c.Client.Commit(store.PriorityMembership, t, func(epoch uint64, _ []string, err error) {
			f.running = false
			c.Wake()
			switch {
			case err == nil:
				c.Mirror.ApplyCommit(t.Writes, epoch)
				f.needed, f.until = false, epoch
			case errors.Is(err, store.ErrConflict):
				// An earlier try came through unanswered: the watch shows it.
				c.Client.Get(store.PriorityMembership, f.key, nil, func(it *store.Item, err error) {
					if err == nil && it != nil {
						c.Mirror.Put(it.Key, it.Value, it.Revision)
					}
				})
			}
		})
	}
	return f.needed || c.Mirror.Epoch < f.until
}
