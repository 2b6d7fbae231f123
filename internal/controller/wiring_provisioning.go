package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/provisioning"
	"github.com/harrierreel/harrierreel/internal/standby"
)

// newProvisioner returns the provisioner, which scales the fleet of machines out and in.
func (c *Controller) newProvisioner() *provisioning.Provisioner {
	config := provisioning.Config{
		Operator:   c.settings.Operator,
		Cluster:    c.settings.Cluster,
		ValueBytes: c.valueBytes(),
		Log:        c.log,
		Rand:       c.rand,
	}
	adapter := provisioningAdapter{controller: c}
	return provisioning.New(c.state, config, provisioning.Collaborators{
		Queue:       c.queue,
		Cloud:       adapter,
		Leadership:  adapter,
		Loop:        adapter,
		Commits:     c.committer,
		Budget:      c.client,
		Records:     c.mirror,
		Transitions: adapter,
		Machines:    adapter,
	})
}

// provisioningAdapter adapts the controller to the provisioner's collaborators. Components of the
// controller are looked up at each call, since the shard is created after the provisioner.
type provisioningAdapter struct{ controller *Controller }

// Send sends a request to the cloud.
func (a provisioningAdapter) Send(
	method, target string, body []byte, timeout time.Duration,
	done func(status int, body []byte, err error),
) {
	a.controller.transport.Cloud(method, target, body, timeout, done)
}

// IsLeader reports whether the controller is the leader, and returns the epoch of its view.
func (a provisioningAdapter) IsLeader() (bool, uint64) {
	return a.controller.role == members.Leader, a.controller.roleEpoch
}

// MayScaleOut reports whether the leader's checks and the reconciliation permit requesting
// machines.
func (a provisioningAdapter) MayScaleOut() bool {
	c := a.controller
	return c.checks.Permits(standby.ScaleOut) && c.shard.Reconciling.MayScaleOut(c.state.Now)
}

// Reconciled reports whether reconciliation is complete.
func (a provisioningAdapter) Reconciled() bool { return a.controller.shard.Reconciling.Steady() }

// Wake schedules a reconciliation.
func (a provisioningAdapter) Wake() { a.controller.wake() }

// TaskLost returns the decision for a task whose machine is gone.
func (a provisioningAdapter) TaskLost(
	task *clusterstate.Task, kind jobs.TaskEventKind, pause time.Duration,
) decide.Decision {
	return a.controller.shard.EndAttempt(task, kind, pause)
}

// TransitionMachine returns the decisions that apply an event to a machine's record.
func (a provisioningAdapter) TransitionMachine(
	machine string, event fleet.Event, reason string,
) []decide.Decision {
	return a.controller.shard.TransitionMachine(machine, event, reason)
}

// InUse reports whether a machine is up and sends heartbeats.
func (a provisioningAdapter) InUse(machine *clusterstate.Machine) bool {
	return a.controller.shard.InUse(machine)
}

// UnresponsivenessOf returns what the owner of an unresponsive machine has published about it.
func (a provisioningAdapter) UnresponsivenessOf(
	machine *clusterstate.Machine,
) (fleet.Unresponsiveness, bool) {
	return a.controller.shard.UnresponsivenessOf(machine)
}

// LastHeard returns when this controller last heard from a machine of another owner.
func (a provisioningAdapter) LastHeard(machine string) time.Time {
	return a.controller.reachability.LastHeard(machine)
}

// HasSession reports whether this controller has a session with a machine's agent.
func (a provisioningAdapter) HasSession(machine string) bool {
	return a.controller.shard.HasSession(machine)
}
