package commit

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// settle acts on the outcome of a transaction. epoch is that of the state service, failed
// are the keys of the preconditions that did not hold, where it says so.
func (c *Committer) settle(txn *decide.Transaction, epoch uint64, failed []string, err error) {
	writes := txn.Txn.Writes
	switch {
	case err == nil:
		c.mirror.ApplyCommit(writes, epoch)
		c.finish(writes, txn.Decisions, true)
	case errors.Is(err, store.ErrConflict):
		c.log.Debug("transaction conflict", "keys", fmt.Sprint(failed))
		// The mirror is behind: what it lacks is already in the store.
		if slices.ContainsFunc(failed, isBatchKey) || slices.ContainsFunc(writeKeys(writes), isBatchKey) {
			c.settleAtEpoch(epoch, txn)
			return
		}
		if len(failed) == 0 {
			failed = writeKeys(writes)
		}
		c.settleByReading(failed, txn)
	case errors.Is(err, store.ErrNoAnswer):
		// The transaction may have been executed, or may be yet. Nothing is decided before
		// it is known which: the fence makes it impossible from now on, and the watch shows
		// whether it was in time. Without the fence a late release would exceed a team's
		// limit.
		c.fence.needed = true
		c.log.Info("transaction without answer", "writes", len(writes), "error", err)
		c.settleByReading(writeKeys(writes), txn)
	case errors.Is(err, store.ErrRefused):
		c.splitRefused(txn, err)
	default:
		c.finish(writes, txn.Decisions, false)
	}
}

// splitRefused goes on after a transaction that the state service calls malformed. It was
// counted before it was sent, so this is a fault of the program or of the service. Made
// again alike it would be refused again: its halves are sent, down to the one decision that
// is to blame, which is quarantined.
func (c *Committer) splitRefused(txn *decide.Transaction, refusal error) {
	c.finish(txn.Txn.Writes, nil, false)
	if len(txn.Decisions) == 1 {
		c.QuarantineDecision(&txn.Decisions[0], fmt.Errorf("commit of one decision: %w", refusal))
		c.finish(nil, txn.Decisions, false)
		return
	}
	c.log.Info("transaction refused, tried in halves",
		"decisions", len(txn.Decisions),
		"writes", len(txn.Txn.Writes),
		"preconditions", len(txn.Txn.Preconditions))
	batcher := c.newBatcher()
	halves := batcher.Split(txn)
	c.completionWrites = batcher.CompletionWrites
	for _, half := range halves {
		c.send(half)
	}
}

// awaitingEpoch is a transaction that conflicted over a batch record, which is settled once
// the watch has come to an epoch.
type awaitingEpoch struct {
	epoch uint64
	txn   *decide.Transaction
}

// settleAtEpoch settles a transaction when the watch has come to the epoch at which it
// conflicted. A batch record is never read by itself: of two between which a task has
// moved, the one alone shows the task nowhere, and the task would be placed once more while
// it runs (docs/incidents/packs-ran-twice.md).
func (c *Committer) settleAtEpoch(epoch uint64, txn *decide.Transaction) {
	c.awaitingWatch = append(c.awaitingWatch, awaitingEpoch{epoch: epoch, txn: txn})
	c.SettleWatched()
	c.config.Loop.WatchNow()
}

// SettleWatched settles the conflicts that the watch has come to by now. It is called after
// every step of the watch.
func (c *Committer) SettleWatched() {
	var left []awaitingEpoch
	for _, conflict := range c.awaitingWatch {
		if c.mirror.Epoch >= conflict.epoch {
			c.finish(conflict.txn.Txn.Writes, conflict.txn.Decisions, false)
		} else {
			left = append(left, conflict)
		}
	}
	c.awaitingWatch = left
}

// isBatchKey tells whether a key is a batch record's.
func isBatchKey(key string) bool { return strings.HasPrefix(key, taskbatch.KeyPrefix) }

// writeKeys are the keys of some writes.
func writeKeys(writes []store.Write) []string {
	var keys []string
	for _, write := range writes {
		keys = append(keys, decide.WriteKey(write))
	}
	return keys
}

// settleByReading settles a transaction once these records are read again, before which
// nothing may be decided on them. Batch records are left to the watch, see settleAtEpoch;
// after a transaction without an answer all wait for the fence anyway.
func (c *Committer) settleByReading(keys []string, txn *decide.Transaction) {
	unread := map[string]bool{}
	for _, key := range keys {
		if !isBatchKey(key) {
			unread[key] = true
		}
	}
	left := len(unread)
	if left == 0 {
		c.finish(txn.Txn.Writes, txn.Decisions, false)
		return
	}
	for _, key := range clusterstate.SortedKeys(unread) {
		c.client.Get(store.PriorityUrgent, key, nil, func(item *store.Item, err error) {
			c.mirrorItem(item, err)
			if left--; left == 0 {
				c.finish(txn.Txn.Writes, txn.Decisions, false)
			}
		})
	}
}

// mirrorItem takes a record that was read into the mirror. One that could not be read, or
// is absent, is left to the watch.
func (c *Committer) mirrorItem(item *store.Item, err error) {
	if err == nil && item != nil {
		c.mirror.Put(item.Key, item.Value, item.Revision)
	}
}

// finish settles decisions and takes the records of their writes out of flight.
func (c *Committer) finish(writes []store.Write, decisions []decide.Decision, ok bool) {
	for _, write := range writes {
		delete(c.inFlight, decide.WriteKey(write))
	}
	for _, decision := range decisions {
		if decision.CompletesJob {
			c.completionWrites -= len(decision.Writes)
		}
		if decision.OnSettled != nil {
			decision.OnSettled(ok)
		}
		for _, change := range decision.Changes {
			c.config.Loop.ReviewMachineOf(change.Task)
		}
	}
	c.config.Loop.Wake()
}
