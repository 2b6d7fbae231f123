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
func (n *Controller) newProvisioner() *provisioning.Provisioner {
	return provisioning.New(n.State, provisioning.Env{
		Operator:   n.settings.Operator,
		Cluster:    n.settings.Cluster,
		ValueBytes: n.valueBytes(),
		Log:        n.log,
		Rand:       n.rand,
		Queue:      n.queue,
		Send:       n.transport.Cloud,
		IsLeader:   func() (bool, uint64) { return n.role == members.Leader, n.roleEpoch },
		MayRent: func() bool {
			return n.checks.Permits(standby.Rent) && n.shard.Reconciling.MayRent(n.Now)
		},
		Hurried:          func() bool { return !n.shard.Reconciling.Steady() },
		Wake:             n.wake,
		Busy:             n.committer.Busy,
		Recorded:         func(key string) bool { return n.mirror.Revision(key) != 0 },
		Allows:           n.client.Allows,
		HasSpareWrites:   n.client.HasSpareWrites,
		StoreUnavailable: n.client.Unavailable,
		WaitingCalls:     n.client.Waiting,
		Commit:           n.committer.Commit,
		TaskLost: func(t *clusterstate.Task, kind jobs.TaskEventKind, pause time.Duration) decide.Decision {
			return n.shard.TaskLost(t, kind, pause)
		},
		TransitionMachine: func(machine string, e fleet.Event, why string) []decide.Decision {
			return n.shard.TransitionMachine(machine, e, why)
		},
		InUse: func(m *clusterstate.Machine) bool { return n.shard.InUse(m) },
		UnresponsivenessOf: func(m *clusterstate.Machine) (fleet.Unresponsiveness, bool) {
			return n.shard.UnresponsivenessOf(m)
		},
		LastHeard:  n.reachability.LastHeard,
		HasSession: func(machine string) bool { return n.shard.HasSession(machine) },
	})
}
