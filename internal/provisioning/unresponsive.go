package provisioning

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// giveUp marks a machine that is no longer reachable for deletion. This is not stored: only the
// cloud's response to the delete request frees the machine's tasks, and a new leader finds the
// machine unresponsive and deletes it again. When many machines are lost at once, saving one write
// per machine matters.
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

// healthCounts counts the unresponsive machines of the whole cluster, by zone and by owner.
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

// withMachine returns a count with one more machine.
func withMachine(health fleet.ZoneHealth, unresponsive bool) fleet.ZoneHealth {
	health.All++
	if unresponsive {
		health.Unresponsive++
	}
	return health
}

// giveUpUnresponsive gives up machines that their owner has reported as unresponsive, and from
// which no other controller is known to have received a heartbeat, for some time. Absence from the
// cloud's list proves nothing by itself, but such machines are given up sooner.
func (p *Provisioner) giveUpUnresponsive() {
	counts := p.countHealth()
	if counts.all.Unresponsive == 0 {
		return
	}
	workers := p.config.Cluster.Workers
	for _, machine := range p.state.MachinesByName() {
		report, unresponsive := p.collaborators.Machines.UnresponsivenessOf(machine)
		lastHeard := p.collaborators.Machines.LastHeard(machine.Name)
		if !unresponsive || p.state.Now.Sub(lastHeard) < workers.PeerHeardWithin() {
			continue
		}
		if reason := p.reasonToGiveUp(machine, report, counts); reason != "" {
			p.giveUp(machine, reason)
		}
	}
}

// reasonToGiveUp returns why an unresponsive machine is to be given up, or "" if it is not.
func (p *Provisioner) reasonToGiveUp(
	machine *clusterstate.Machine, report fleet.Unresponsiveness, counts healthCounts,
) string {
	now := p.state.Now
	workers := p.config.Cluster.Workers
	clusterPartitioned := counts.all.Partitioned(3, tuning.MaxUnresponsiveShare)
	zonePartitioned := counts.zones[machine.Zone].Partitioned(tuning.MinPartitionSample, tuning.PartitionShare)
	ownerPartitioned := counts.owners[machine.Owner].Partitioned(tuning.MinPartitionSample, tuning.PartitionShare)
	partitioned := clusterPartitioned || zonePartitioned || ownerPartitioned
	if partitioned {
		p.partitionedAt = now
	}
	// A new leader first gives the agents time to contact it.
	newLeader := now.Sub(p.ObservingSince) < workers.UnresponsiveAfter()
	isolated := !partitioned && !newLeader
	unresponsiveFor := min(now.Sub(report.Since), now.Sub(p.ObservingSince))
	switch {
	case report.OutboundPartitioned:
		// The machine answers commands, so it has not stopped, and its owner learns which tasks
		// have ended without deleting it. It is given up once all its tasks have ended with its
		// lease, and only if few machines have been unresponsive for a while: when many
		// outbound-partitioned machines recovered, the last of them were deleted
		// (docs/incidents/mute-machines.md).
		if isolated && unresponsiveFor > workers.LeaseOverAfter() && now.Sub(p.partitionedAt) > workers.UnresponsiveAfter() {
			return "reaches no controller"
		}
	case p.vanished(machine.Name) && unresponsiveFor > tuning.DecommissionEvery:
		return "silent and no longer listed"
	case isolated && unresponsiveFor > tuning.GiveUpUnresponsiveAfter:
		return "silent"
	case !zonePartitioned && unresponsiveFor > workers.LeaseOverAfter():
		return "silent beyond its lease"
	}
	return ""
}

// vanished reports whether a machine was on the cloud's list and no longer is.
func (p *Provisioner) vanished(machine string) bool {
	_, listed := p.cloud.listed[machine]
	return !listed && !p.cloud.unlistedAt[machine].IsZero()
}
