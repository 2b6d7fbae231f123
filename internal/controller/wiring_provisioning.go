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
	return provisioning.New(c.State, provisioning.Env{
		Operator:   c.settings.Operator,
		Cluster:    c.settings.Cluster,
		ValueBytes: c.valueBytes(),
		Log:        c.log,
		Rand:       c.rand,
		Queue:      c.queue,
		Send:       c.transport.Cloud,
		IsLeader:   func() (bool, uint64) { return c.role == members.Leader, c.roleEpoch },
		MayRent: func() bool {
			return c.checks.Permits(standby.Rent) && c.shard.Reconciling.MayRent(c.Now)
		},
		Hurried:          func() bool { return !c.shard.Reconciling.Steady() },
		Wake:             c.wake,
		Busy:             c.committer.Busy,
		Recorded:         func(key string) bool { return c.mirror.Revision(key) != 0 },
		Allows:           c.client.Allows,
		HasSpareWrites:   c.client.HasSpareWrites,
		StoreUnavailable: c.client.Unavailable,
		WaitingCalls:     c.client.Waiting,
		Commit:           c.committer.Commit,
		TaskLost: func(t *clusterstate.Task, kind jobs.TaskEventKind, pause time.Duration) decide.Decision {
			return c.shard.TaskLost(t, kind, pause)
		},
		TransitionMachine: func(machine string, e fleet.Event, why string) []decide.Decision {
			return c.shard.TransitionMachine(machine, e, why)
		},
		InUse: func(m *clusterstate.Machine) bool { return c.shard.InUse(m) },
		UnresponsivenessOf: func(m *clusterstate.Machine) (fleet.Unresponsiveness, bool) {
			return c.shard.UnresponsivenessOf(m)
		},
		LastHeard:  c.reachability.LastHeard,
		HasSession: func(machine string) bool { return c.shard.HasSession(machine) },
	})
}
