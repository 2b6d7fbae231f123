package controller

import (
	"github.com/harrierreel/harrierreel/internal/api"
)

// newAPI returns the server for the requests of users, operators and agents.
func (c *Controller) newAPI() *api.Server {
	config := api.Config{
		Settings: c.settings,
		Client:   c.client,
		Mirror:   c.mirror,
		Acks:     c.acks,
		Log:      c.log,
		Random:   c.rand,
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
	})
}

// apiCollaborators adapts the controller to the collaborators of the API server: its View, Health,
// Watch and LoopWaker.
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
