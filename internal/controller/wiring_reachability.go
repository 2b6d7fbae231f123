package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/reachability"
)

// newReachability returns the tracker of which controllers and agents can reach each other.
func (c *Controller) newReachability() *reachability.Tracker {
	adapter := reachabilityAdapter{controller: c}
	return reachability.New(c.state, reachability.Config{
		Log:        c.log,
		Rand:       c.rand,
		Agents:     adapter,
		Membership: adapter,
		Store:      adapter,
	})
}

// reachabilityAdapter adapts the controller to the tracker's collaborators. Components of the
// controller are looked up at each call, since some are created after the tracker.
type reachabilityAdapter struct{ controller *Controller }

func (a reachabilityAdapter) CallAgent(endpoint, method, target string, body []byte, timeout time.Duration,
	done func(status int, body []byte, err error),
) {
	request := agent.Request{Endpoint: endpoint, Method: method, Target: target, Body: body, Timeout: timeout}
	a.controller.transport.Agent(request, done)
}

func (a reachabilityAdapter) OwnerOf(machine string) string { return a.controller.ownerOf(machine) }

func (a reachabilityAdapter) Incarnation(member string) uint64 {
	return a.controller.membership.Incarnation(member)
}

func (a reachabilityAdapter) OutsideView() bool { return a.controller.outsideView() }

func (a reachabilityAdapter) MirrorLive() bool { return a.controller.mirrorLive() }

func (a reachabilityAdapter) Unavailable() bool { return a.controller.client.Unavailable() }
