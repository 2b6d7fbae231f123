package provisioning

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// giveUp gives a machine up that is not heard any more. That is not recorded: the cloud's
// answer to its delete is all that frees its tasks, and a leader that does not know of it any
// more finds the machine unresponsive and deletes it again. After a wave of losses one write
// less for each machine is much.
func (p *Provisioner) giveUp(machine *clusterstate.Machine, reason string) {
	if p.cloud.givenUp[machine.Name] != "" || machine.State == fleet.Deleting || machine.State == fleet.Deleted {
		return
	}
	p.cloud.givenUp[machine.Name] = reason
	p.config.Log.Info("machine given up",
		"machine", machine.Name,
		"from", string(machine.State),
		"reason", reason)
}

// healthCounts counts unresponsive machines of the whole cluster, of zones and of owners.
type healthCounts struct {
	all    fleet.ZoneHealth
	zones  map[string]fleet.ZoneHealth
	owners map[string]fleet.ZoneHealth
}

func (p *Provisioner) countHealth() healthCounts {
	counts := healthCounts{zones: map[string]fleet.ZoneHealth{}, owners: map[string]fleet.ZoneHealth{}}
	for _, machine := range p.state.Machines {
		if machine.State == fleet.Deleting || machine.State == fleet.Deleted {
			continue
		}
		_, unresponsive := p.collaborators.Machines.UnresponsivenessOf(machine)
		counts.all = withMachine(counts.all, unresponsive)
		counts.zones[machine.Zone] = withMachine(counts.zones[machine.Zone], unresponsive)
		counts.owners[machine.Owner] = withMachine(counts.owners[machine.Owner], unresponsive)
	}
	return counts
}

// withMachine is a count with one machine more.
func withMachine(health fleet.ZoneHealth, unresponsive bool) fleet.ZoneHealth {
	health.All++
	if unresponsive {
		health.Unresponsive++
	}
	return health
}

// giveUpUnresponsive gives up machines that neither their owner nor this controller has heard
// for long. Absence from the cloud's list proves nothing by itself, but makes waiting
// pointless.
func (p *Provisioner) giveUpUnresponsive() {
	counts := p.countHealth()
	if counts.all.Unresponsive == 0 {
		return
	}
	workers := p.config.Cluster.Workers
	for _, machine := range p.state.MachinesByName() {
		state, unresponsive := p.collaborators.Machines.UnresponsivenessOf(machine)
		lastHeard := p.collaborators.Machines.LastHeard(machine.Name)
		if !unresponsive || p.state.Now.Sub(lastHeard) < workers.PeerHeardWithin() {
			continue
		}
		if reason := p.reasonToGiveUp(machine, state, counts); reason != "" {
			p.giveUp(machine, reason)
		}
	}
}

// reasonToGiveUp is why an unresponsive machine is to be given up, empty while it is not.
func (p *Provisioner) reasonToGiveUp(
	machine *clusterstate.Machine, state fleet.Unresponsiveness, counts healthCounts,
) string {
	now := p.state.Now
	workers := p.config.Cluster.Workers
	many := counts.all.Partitioned(3, tuning.MaxUnresponsiveShare)
	zonePartitioned := counts.zones[machine.Zone].Partitioned(tuning.MinPartitionSample, tuning.PartitionShare)
	ownerPartitioned := counts.owners[machine.Owner].Partitioned(tuning.MinPartitionSample, tuning.PartitionShare)
	partitioned := many || zonePartitioned || ownerPartitioned
	if partitioned {
		p.partitionedAt = now
	}
	// A new leader first waits whether the agents come to it.
	justLeads := now.Sub(p.Since) < workers.UnresponsiveAfter()
	few := !partitioned && !justLeads
	unresponsiveFor := min(now.Sub(state.Since), now.Sub(p.Since))
	switch {
	case state.OutboundPartitioned:
		// It answers, so it has not stopped, and the ends of its tasks are known without its
		// delete: it is given up once all of them have ended with its lease, and only where
		// few machines are outbound-partitioned and have been for a while: of many that come
		// back, the last were deleted (docs/incidents/mute-machines.md).
		if few && unresponsiveFor > workers.LeaseOverAfter() && now.Sub(p.partitionedAt) > workers.UnresponsiveAfter() {
			return "reaches no controller"
		}
	case p.vanished(machine.Name) && unresponsiveFor > tuning.DecommissionEvery:
		return "silent and no longer listed"
	case few && unresponsiveFor > tuning.UnresponsiveRecheck:
		return "silent"
	case !zonePartitioned && unresponsiveFor > workers.LeaseOverAfter():
		return "silent beyond its lease"
	}
	return ""
}

// vanished tells whether a machine was on the cloud's list and is no more.
func (p *Provisioner) vanished(machine string) bool {
	_, listed := p.cloud.listed[machine]
	return !listed && !p.cloud.unlistedAt[machine].IsZero()
}
