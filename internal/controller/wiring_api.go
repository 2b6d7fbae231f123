package controller

import (
	"math/rand/v2"

	"github.com/harrierreel/harrierreel/internal/api"
	"github.com/harrierreel/harrierreel/internal/readconsistency"
)

// newAPI returns the server for the requests of users, operators and agents.
func (c *Controller) newAPI() *api.Server {
	config := api.Config{
		Settings:  c.settings,
		Client:    c.client,
		Mirror:    c.mirror,
		Acks:      c.acks,
		Log:       c.log,
		Random:    c.rand,
		PeerNonce: rand.Uint64(), // not from c.rand, so as not to change what a seed stands for
	}
	collaborators := apiCollaborators{controller: c}
	return api.New(c.state, config, api.Collaborators{
		View:          collaborators,
		Health:        collaborators,
		Watch:         collaborators,
		Commits:       c.committer,
		Loop:          collaborators,
		Agents:        c.shard,
		Cancellations: c.cancellations,
		Peers:         collaborators,
	})
}

// apiCollaborators adapts the controller to the collaborators of the API server: its View, Health,
// Watch, LoopWaker and Peers.
type apiCollaborators struct {
	controller *Controller
}

func (a apiCollaborators) MayDecide() bool { return a.controller.mayDecide() }

func (a apiCollaborators) OutsideView() bool { return a.controller.outsideView() }

func (a apiCollaborators) Members() []string { return a.controller.memberNames() }

func (a apiCollaborators) HearsAllMembers() bool { return a.controller.hearsAllMembers() }

func (a apiCollaborators) Healthy() bool { return a.controller.healthy() }

func (a apiCollaborators) MirrorLive() bool { return a.controller.mirrorLive() }

func (a apiCollaborators) WatchNow() { a.controller.watchNow() }

func (a apiCollaborators) Wake() { a.controller.wake() }

func (a apiCollaborators) QueryAcks(query readconsistency.PeerQuery) { a.controller.queryAcks(query) }
