package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/shard"
)

// newShard returns the shard, which manages the machines that this controller owns.
func (c *Controller) newShard() *shard.Shard {
	config := shard.Config{
		Name:       c.settings.NodeName,
		Cluster:    c.settings.Cluster,
		ValueBytes: c.valueBytes(),
		Log:        c.log,
	}
	return shard.New(c.state, config, shard.Collaborators{
		View:          shardView{c},
		Agents:        shardAgents{c},
		Loop:          shardLoop{c},
		Scheduler:     c.queue,
		Provisioner:   shardProvisioner{c},
		Commits:       c.committer,
		Budget:        shardBudget{c},
		Cancellations: shardCancellations{c},
		Complaints:    c.reachability,
	})
}

// shardView gives the shard access to the view.
type shardView struct{ controller *Controller }

func (v shardView) OutsideView() bool             { return v.controller.outsideView() }
func (v shardView) Epoch() uint64                 { return v.controller.viewEpoch() }
func (v shardView) KnownEpoch() uint64            { return v.controller.knownEpoch() }
func (v shardView) Members() []string             { return v.controller.memberNames() }
func (v shardView) OwnerOf(machine string) string { return v.controller.ownerOf(machine) }

func (v shardView) MayAnswerAgents() bool {
	c := v.controller
	return !c.outsideView() && c.caughtUp() && !c.membership.MustNotAnswerAgents()
}

// shardAgents sends the shard's requests to the agents on the machines.
type shardAgents struct{ controller *Controller }

func (a shardAgents) Call(request agent.Request, done func(status int, body []byte, err error)) {
	a.controller.transport.Agent(request, done)
}

// shardLoop lets the shard schedule a reconciliation.
type shardLoop struct{ controller *Controller }

func (l shardLoop) Wake() { l.controller.wake() }

// shardProvisioner gives the shard access to the provisioner.
type shardProvisioner struct{ controller *Controller }

func (p shardProvisioner) Decommissioning(machine string) bool {
	return p.controller.provisioner.IsDecommissioning(machine)
}

func (p shardProvisioner) Draining(machine string) bool {
	_, draining := p.controller.provisioner.Summary.Draining[machine]
	return draining
}

// shardBudget gives the shard access to the write budget.
type shardBudget struct{ controller *Controller }

func (b shardBudget) Allows(planned, writes int) bool {
	return b.controller.client.Allows(planned, writes)
}
func (b shardBudget) HasSpareWrites() bool { return b.controller.client.HasSpareWrites() }
func (b shardBudget) UsesBatches() bool    { return b.controller.usesBatches() }

// shardCancellations gives the shard access to the acknowledged cancellations.
type shardCancellations struct{ controller *Controller }

func (c shardCancellations) Cancelled(jobID string) bool {
	return c.controller.cancellations.Cancelled(jobID)
}

func (c shardCancellations) MayRenewLeases() bool {
	return c.controller.cancellations.MayRenewLeases(c.controller.state.Now)
}

func (c shardCancellations) LaunchUntil(jobID string) time.Time {
	return c.controller.cancellations.LaunchUntil(jobID)
}

func (c shardCancellations) LeaseWithheld() { c.controller.cancellations.LeasesWithheld++ }
