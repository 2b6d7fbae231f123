package controller

import (
	"math/rand/v2"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// newCancellations returns the service of acknowledged cancellations. The incarnation of its
// process is drawn from the global random source rather than the seeded one, since no decision
// depends on its value.
func (c *Controller) newCancellations() *cancellation.Service {
	config := cancellation.Config{
		Name:         c.settings.NodeName,
		Peers:        c.settings.PeerNames(),
		ProofWindow:  c.proofWindow(),
		CancelWithin: jobs.Seconds(c.settings.Cluster.Workers.CancelS),
		Log:          c.log,
	}
	collaborators := cancellation.Collaborators{
		Peers:  cancellationTransport{c},
		Agents: cancellationTransport{c},
		Shards: cancellationShards{c},
		Store:  c.client,
	}
	return cancellation.New(c.state, config, collaborators, rand.Uint64)
}

// cancellationTransport sends messages about cancellations to other controllers and to agents.
type cancellationTransport struct{ controller *Controller }

// SendToPeer implements cancellation.PeerSender.
func (t cancellationTransport) SendToPeer(peer string, message cancellation.Message) {
	t.controller.send(peer, message)
}

// CallAgent implements cancellation.AgentCaller.
func (t cancellationTransport) CallAgent(endpoint, method, target string, body []byte, timeout time.Duration,
	done func(status int, body []byte, err error),
) {
	request := agent.Request{Endpoint: endpoint, Method: method, Target: target, Body: body, Timeout: timeout}
	t.controller.transport.Agent(request, done)
}

// cancellationShards implements cancellation.Shards.
type cancellationShards struct{ controller *Controller }

// OwnerOf implements cancellation.Shards.
func (s cancellationShards) OwnerOf(machine string) string { return s.controller.ownerOf(machine) }

// ReviewMachine implements cancellation.Shards.
func (s cancellationShards) ReviewMachine(machine string) { s.controller.reviewMachine(machine) }
