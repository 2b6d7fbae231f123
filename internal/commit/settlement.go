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

// settle handles the outcome of a transaction. epoch is the epoch of the state service; failed
// lists the keys of the preconditions that did not hold, if the service reports them.
func (c *Committer) settle(txn *decide.Transaction, epoch uint64, failed []string, err error) {
	writes := txn.Txn.Writes
	switch {
	case err == nil:
		c.logStops(txn.Decisions)
		c.mirror.ApplyCommit(writes, epoch)
		c.finish(writes, txn.Decisions, true)
	case errors.Is(err, store.ErrConflict):
		c.log.Debug("transaction conflict", "keys", fmt.Sprint(failed))
		// The mirror lags behind the store, which already has the newer records.
		if slices.ContainsFunc(failed, isBatchKey) || slices.ContainsFunc(writeKeys(writes), isBatchKey) {
			c.settleAtEpoch(epoch, txn)
			return
		}
		if len(failed) == 0 {
			failed = writeKeys(writes)
		}
		c.settleByReading(failed, txn)
	case errors.Is(err, store.ErrNoAnswer):
		// The transaction may have been executed, or may still be. No decision is made before
		// the outcome is known: raising the fence makes a later execution fail, and the watch
		// then shows whether the transaction was executed before. Without the fence, a task
		// release that is executed late could exceed a team's limit.
		c.fence.needed = true
		c.log.Info("transaction without answer", "writes", len(writes), "error", err)
		c.settleByReading(writeKeys(writes), txn)
	case errors.Is(err, store.ErrRefused):
		c.splitRefused(txn, err)
	default:
		c.finish(writes, txn.Decisions, false)
	}
}

// splitRefused handles a transaction that the state service refused as malformed. The
// transaction was checked against the limits before it was sent, so the refusal is due to a fault
// of the program or of the service, and the same transaction would be refused again. splitRefused
// therefore sends its two halves. Repeated splitting isolates the decision at fault, which is
// quarantined.
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

// pendingConflict is a transaction that conflicted over a batch record. It is settled once the
// watch has reached an epoch.
type pendingConflict struct {
	epoch uint64
	txn   *decide.Transaction
}

// settleAtEpoch settles a transaction once the watch has reached the epoch at which the
// transaction conflicted. A batch record is never read individually: if a task has moved from
// one batch record to another, reading only the former makes the task disappear, and it would
// be placed again while it is running (docs/incidents/packs-ran-twice.md).
func (c *Committer) settleAtEpoch(epoch uint64, txn *decide.Transaction) {
	c.pendingConflicts = append(c.pendingConflicts, pendingConflict{epoch: epoch, txn: txn})
	c.SettleWatched()
	c.config.Loop.WatchNow()
}

// SettleWatched settles the conflicts whose epoch the watch has reached. It must be called after
// every update from the watch.
func (c *Committer) SettleWatched() {
	var remaining []pendingConflict
	for _, conflict := range c.pendingConflicts {
		if c.mirror.Epoch >= conflict.epoch {
			c.finish(conflict.txn.Txn.Writes, conflict.txn.Decisions, false)
		} else {
			remaining = append(remaining, conflict)
		}
	}
	c.pendingConflicts = remaining
}

// isBatchKey reports whether a key is that of a batch record.
func isBatchKey(key string) bool { return strings.HasPrefix(key, taskbatch.KeyPrefix) }

// writeKeys returns the keys that writes put or remove.
func writeKeys(writes []store.Write) []string {
	var keys []string
	for _, write := range writes {
		keys = append(keys, decide.WriteKey(write))
	}
	return keys
}

// settleByReading reads records again and then settles a transaction. Until then, no decision may
// be made about these records. Batch records are not read but left to the watch, see
// settleAtEpoch; after a transaction without an answer, all decisions wait for the fence anyway.
func (c *Committer) settleByReading(keys []string, txn *decide.Transaction) {
	unread := map[string]bool{}
	for _, key := range keys {
		if !isBatchKey(key) {
			unread[key] = true
		}
	}
	remaining := len(unread)
	if remaining == 0 {
		c.finish(txn.Txn.Writes, txn.Decisions, false)
		return
	}
	for _, key := range clusterstate.SortedKeys(unread) {
		c.client.Get(store.PriorityUrgent, key, nil, func(item *store.Item, err error) {
			c.mirrorItem(item, err)
			if remaining--; remaining == 0 {
				c.finish(txn.Txn.Writes, txn.Decisions, false)
			}
		})
	}
}

// mirrorItem updates the mirror with the result of a read. If the record could not be read or is
// absent, the update is left to the watch.
func (c *Committer) mirrorItem(item *store.Item, err error) {
	if err == nil && item != nil {
		c.mirror.Put(item.Key, item.Value, item.Revision)
	}
}

// finish settles decisions, and marks the records of the given writes as no longer in flight.
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
