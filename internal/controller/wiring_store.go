package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// newClient returns the client of the store. Its watch is held for at most a share of the proof
// window, so that the answers extend the proof before it expires.
func (c *Controller) newClient() *store.Client {
	client := store.New(c.transport.Store, c.transport.Watch)
	watchHold := time.Duration(float64(c.proofWindow()) * tuning.WatchHoldShare)
	if watchHold > 0 {
		client.WatchHold = min(client.WatchHold, watchHold)
	}
	return client
}

// proofWindow returns for how long leases may be renewed after the last proof that this controller
// knows all acknowledged cancellations.
func (c *Controller) proofWindow() time.Duration {
	workers := c.settings.Cluster.Workers
	return cancellation.Window(workers.LeaseS, workers.CancelS)
}

// newMirror returns the mirror of the live keys. Records that the store keeps permanently are
// passed to applyChange but not kept in the mirror.
func (c *Controller) newMirror() *store.Mirror {
	mirror := store.NewMirror(c.applyChange)
	mirror.Transient = func(key string) bool {
		return hasPrefix(key, jobs.FinalPrefix) || hasPrefix(key, pipelines.EndedRunPrefix)
	}
	return mirror
}
