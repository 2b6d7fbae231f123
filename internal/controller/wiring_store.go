package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// newClient makes the client of the state service. Its watch is held for no longer than the
// acknowledgement of cancellations allows.
func (c *Controller) newClient() *store.Client {
	client := store.New(c.transport.Store, c.transport.Watch)
	watchHold := time.Duration(float64(c.proofWindow()) * tuning.WatchHoldShare)
	if watchHold > 0 {
		client.WatchHold = min(client.WatchHold, watchHold)
	}
	return client
}

// proofWindow is for how long leases may be renewed after the last proof that no cancellation
// is missing.
func (c *Controller) proofWindow() time.Duration {
	workers := c.settings.Cluster.Workers
	return cancellation.Window(workers.LeaseS, workers.CancelS)
}

// newMirror makes the mirror of the live keys. Records that are kept for ever are only passed on.
func (c *Controller) newMirror() *store.Mirror {
	mirror := store.NewMirror(c.applyChange)
	mirror.Transient = func(key string) bool {
		return hasPrefix(key, jobs.FinalPrefix) || hasPrefix(key, pipelines.EndedRunPrefix)
	}
	return mirror
}
