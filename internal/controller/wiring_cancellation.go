package controller

import (
	"math/rand/v2"

	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// newCancellations makes the service of acknowledged cancellations. The number of its process is drawn without the seed,
// since it decides nothing.
func (n *Controller) newCancellations() *cancellation.Service {
	return cancellation.New(n.State, cancellation.Env{
		Name:             n.settings.NodeName,
		Peers:            n.settings.PeerNames(),
		Window:           n.proofWindow(),
		CancelFor:        jobs.Seconds(n.settings.Cluster.Workers.CancelS),
		Log:              n.log,
		Send:             n.send,
		Call:             n.transport.Worker,
		OwnerOf:          n.ownerOf,
		StoreUnavailable: n.client.Unavailable,
		ReviewMachine:    n.reviewMachine,
	}, rand.Uint64)
}
