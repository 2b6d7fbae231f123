package commit

import (
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// splitRefused goes on after a transaction that the state service calls malformed. It was
// counted before it was sent, so this is a fault of the program or of the service.
// Made again alike it would be refused again: its halves are tried, down to the one
// decision that is to blame, which is set aside.
func (c *Committer) splitRefused(b *decide.Transaction) {
	c.finish(b.Txn.Writes, nil, false)
	if len(b.Decisions) == 1 {
		c.QuarantineDecision(&b.Decisions[0], store.ErrRefused)
		c.finish(nil, b.Decisions, false)
		return
	}
	c.Log.Info("transaction refused, tried in halves", "decisions", len(b.Decisions), "writes", len(b.Txn.Writes), "conditions", len(b.Txn.Preconditions))
	p := c.newBatcher()
	halves := p.Split(b)
	c.completionWrites = p.CompletionWrites
	for _, half := range halves {
		c.send(half)
	}
}

// awaitingEpoch is a transaction that conflicted over a pack, which is settled once the watch
// has come to an epoch.
type awaitingEpoch struct {
	until  uint64
	writes []store.Write
	batch  []decide.Decision
}

// settleAtEpoch settles a transaction when the watch has come to the epoch at which it
// conflicted. A pack is never read by itself: of two packs between which a task has
// moved, the one alone shows the task nowhere, and it would be given away once more
// while it runs (docs/incidents/packs-ran-twice.md).
func (c *Committer) settleAtEpoch(epoch uint64, writes []store.Write, batch []decide.Decision) {
	c.awaitingWatch = append(c.awaitingWatch, awaitingEpoch{epoch, writes, batch})
	c.SettleWatched()
	c.WatchNow()
}

// SettleWatched settles what the watch has come to by now.
func (c *Committer) SettleWatched() {
	var left []awaitingEpoch
	for _, l := range c.awaitingWatch {
		if c.Mirror.Epoch >= l.until {
			c.finish(l.writes, l.batch, false)
		} else {
			left = append(left, l)
		}
	}
	c.awaitingWatch = left
}

// hasBatchKey tells whether any of some keys is a pack's.
func hasBatchKey(keys []string) bool {
	return slices.ContainsFunc(keys, func(k string) bool { return strings.HasPrefix(k, taskbatch.KeyPrefix) })
}

func writeKeys(writes []store.Write) []string {
	var out []string
	for _, w := range writes {
		out = append(out, decide.WriteKey(w))
	}
	return out
}

// settleByReading reads records again before they may be decided on once more.
func (c *Committer) settleByReading(extra []string, writes []store.Write, batch []decide.Decision) {
	keys := map[string]bool{}
	if len(extra) == 0 {
		extra = writeKeys(writes)
	}
	for _, k := range extra {
		if !strings.HasPrefix(k, taskbatch.KeyPrefix) { // see settleBy; without an answer the fence has all wait
			keys[k] = true
		}
	}
	left := len(keys)
	if left == 0 {
		c.finish(writes, batch, false)
		return
	}
	for _, k := range clusterstate.SortedKeys(keys) {
		c.Client.Get(store.PriorityUrgent, k, nil, func(it *store.Item, err error) {
			if err == nil && it != nil {
				c.Mirror.Put(it.Key, it.Value, it.Revision)
			}
			if left--; left == 0 {
				c.finish(writes, batch, false)
			}
		})
	}
}

func (c *Committer) finish(writes []store.Write, batch []decide.Decision, ok bool) {
	for _, w := range writes {
		delete(c.inFlight, decide.WriteKey(w))
	}
	for _, d := range batch {
		if d.CompletesJob {
			c.completionWrites -= len(d.Writes)
		}
		if d.OnSettled != nil {
			d.OnSettled(ok)
		}
		for _, ch := range d.Changes {
			c.Touch(ch.Task)
		}
	}
	c.Wake()
}
