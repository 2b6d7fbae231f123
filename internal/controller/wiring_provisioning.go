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

// newProvisioner makes what scales the machines out and in.
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

// provisioningAdapter is the controller as its provisioner sees it. What the controller is made
// of is looked up at each call, since the shard is made after the provisioner.
type provisioningAdapter struct{ controller *Controller }

// Send sends a request to the cloud.
func (a provisioningAdapter) Send(
	method, target string, body []byte, timeout time.Duration,
	done func(status int, body []byte, err error),
) {
	a.controller.transport.Cloud(method, target, body, timeout, done)
}

// IsLeader tells whether the controller leads, and under which epoch.
func (a provisioningAdapter) IsLeader() (bool, uint64) {
	return a.controller.role == members.Leader, a.controller.roleEpoch
}

// MayScaleOut tells whether the checks and the reconciliation let the leader request machines.
func (a provisioningAdapter) MayScaleOut() bool {
	c := a.controller
	return c.checks.Permits(standby.ScaleOut) && c.shard.Reconciling.MayScaleOut(c.state.Now)
}

// Reconciled tells whether reconciliation is over.
func (a provisioningAdapter) Reconciled() bool { return a.controller.shard.Reconciling.Steady() }

// Wake has the loop look for work again.
func (a provisioningAdapter) Wake() { a.controller.wake() }

// TaskLost is the decision for a task whose machine is gone.
func (a provisioningAdapter) TaskLost(
	task *clusterstate.Task, kind jobs.TaskEventKind, pause time.Duration,
) decide.Decision {
	return a.controller.shard.EndAttempt(task, kind, pause)
}

// TransitionMachine is the decisions that an event of a machine asks for.
func (a provisioningAdapter) TransitionMachine(
	machine string, event fleet.Event, reason string,
) []decide.Decision {
	return a.controller.shard.TransitionMachine(machine, event, reason)
}

// InUse tells whether a machine is up and sends heartbeats.
func (a provisioningAdapter) InUse(machine *clusterstate.Machine) bool {
	return a.controller.shard.InUse(machine)
}

// UnresponsivenessOf is what its owner says of a machine that sends no heartbeats.
func (a provisioningAdapter) UnresponsivenessOf(
	machine *clusterstate.Machine,
) (fleet.Unresponsiveness, bool) {
	return a.controller.shard.UnresponsivenessOf(machine)
}

// LastHeard is when this controller last heard a machine of another owner.
func (a provisioningAdapter) LastHeard(machine string) time.Time {
	return a.controller.reachability.LastHeard(machine)
}

// HasSession tells whether this controller has a session with a machine's agent.
func (a provisioningAdapter) HasSession(machine string) bool {
	return a.controller.shard.HasSession(machine)
}
