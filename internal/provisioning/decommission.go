package provisioning

import (
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Decommission finds the machines to delete, sends delete requests for them, and frees the tasks on
// machines whose delete request the cloud has answered with 200.
func (p *Provisioner) Decommission() {
	if p.state.Now.Sub(p.decommissionedAt) < tuning.DecommissionEvery {
		return
	}
	p.decommissionedAt = p.state.Now
	// Machines with cancelled tasks come first: deleting them in time ensures that cancelled tasks
	// end within their time limit.
	decisions := p.decommissionCancelled()
	decisions = append(decisions, p.decommissionListed()...)
	p.giveUpUnresponsive()
	recorded, toDelete := p.decommissionRecorded()
	p.collaborators.Commits.Commit(append(decisions, recorded...))
	p.collaborators.Commits.Commit(p.decommissionUnrecorded())
	p.deleteMachines(toDelete)
}

// decommissionRecorded returns the decisions on faulty and deleted machines with a record, and the
// names of the machines to delete.
func (p *Provisioner) decommissionRecorded() (decisions []decide.Decision, toDelete []string) {
	c := &p.cloud
	// Tasks on many machines are freed together, because the tasks of one task range share a write.
	free := p.collaborators.Budget.Allows(0, 1) || p.state.Now.Sub(c.freedAt) > tuning.CycleOverdueAfter
	if free {
		c.freedAt = p.state.Now
	}
	for _, machine := range p.state.MachinesByName() {
		switch {
		case machine.State == fleet.Faulty:
			decisions = append(decisions, p.markForDeletion(machine.Name, "faulty")...)
		case c.deleteConfirmed[machine.Name], machine.State == fleet.Deleted: // Deleted was set by an earlier version
			if free {
				decisions = append(decisions, p.freeDeleted(machine)...)
			}
		case machine.State == fleet.Deleting, c.givenUp[machine.Name] != "":
			sentAt, sent := c.deletingAt[machine.Name]
			if !sent || p.state.Now.Sub(sentAt) > tuning.DeleteAgain {
				toDelete = append(toDelete, machine.Name)
			}
		}
	}
	return decisions, toDelete
}

// markForDeletion returns the decisions that mark a machine with a record for deletion.
func (p *Provisioner) markForDeletion(machine, reason string) []decide.Decision {
	return p.collaborators.Transitions.TransitionMachine(machine, fleet.Decommission, reason)
}

// decommissionUnrecorded returns the decisions on machines without a record on which tasks are
// still recorded: the delete request was answered and the record removed, or the record cannot be
// read. Such a machine is deleted again; the cloud ignores unknown names.
func (p *Provisioner) decommissionUnrecorded() []decide.Decision {
	var decisions []decide.Decision
	for _, name := range clusterstate.SortedKeys(p.state.TasksOnMachine) {
		if p.state.Machines[name] == nil && p.collaborators.Records.Revision(fleet.MachinePrefix+name) == 0 {
			decisions = append(decisions, p.recordToDelete(name, "tasks on a machine without a record")...)
		}
	}
	return decisions
}

// freeDeleted returns the decisions that free the tasks of a machine whose delete request was
// answered with 200, and then remove its record. The answer is not stored: a new leader deletes the
// machine again.
func (p *Provisioner) freeDeleted(machine *clusterstate.Machine) []decide.Decision {
	var decisions []decide.Decision
	key := fleet.MachinePrefix + machine.Name
	tasks := p.state.TasksOnMachine[machine.Name]
	for _, taskID := range clusterstate.SortedKeys(tasks) {
		decision := p.collaborators.Transitions.TaskLost(tasks[taskID], jobs.Lost, 0)
		if len(decision.Changes) > 0 {
			decision.ReadSet = append(decision.ReadSet, key)
			decisions = append(decisions, decision)
		}
	}
	if len(tasks) == 0 && !p.collaborators.Commits.Busy(key) && p.mayRemoveRecord(machine.Name) {
		name := machine.Name
		decisions = append(decisions, decide.Decision{
			Writes: []store.Write{decide.Remove(key)},
			OnSettled: func(committed bool) {
				if committed {
					delete(p.cloud.deleteConfirmed, name)
					delete(p.cloud.givenUp, name)
				}
			},
		})
	}
	return decisions
}

// mayRemoveRecord reports whether the write budget allows removing a deleted machine's record. The
// removal is not urgent, since no task is placed on the machine any more.
func (p *Provisioner) mayRemoveRecord(machine string) bool {
	overdue := p.state.Now.Sub(p.cloud.deletedAt[machine]) > tuning.RecordRemovalOverdue
	return p.collaborators.Budget.HasSpareWrites() || p.collaborators.Leadership.Reconciled() && overdue
}

// recordToDelete returns the decision that creates a record in state Deleting for a machine without
// a record. It returns nil if the machine has a record or its key is in a transaction.
func (p *Provisioner) recordToDelete(machine, reason string) []decide.Decision {
	key := fleet.MachinePrefix + machine
	if p.state.Machines[machine] != nil || p.collaborators.Commits.Busy(key) {
		return nil
	}
	listed := p.cloud.listed[machine]
	record := fleet.MachineRecord{
		State:       fleet.Deleting,
		Endpoint:    listed.Endpoint,
		MachineType: listed.MachineType,
		Zone:        listed.Zone,
		Spot:        listed.Spot,
		Reason:      reason,
		SinceMs:     p.state.NowMs(),
	}
	return []decide.Decision{{
		Writes: []store.Write{decide.Put(key, record)},
		OnSettled: func(committed bool) {
			if committed {
				p.config.Log.Info("machine state changed",
					"machine", machine,
					"to", string(record.State),
					"reason", reason)
			}
		},
	}}
}

// decommissionListed gives up machines that, according to the cloud's list, never came up or have
// stopped. It returns the decisions that create records for those without one.
func (p *Provisioner) decommissionListed() []decide.Decision {
	var decisions []decide.Decision
	for name, listed := range p.cloud.listed {
		machine := p.state.Machines[name]
		if machine != nil && (machine.State == fleet.Deleting || machine.State == fleet.Deleted) {
			continue
		}
		var reason string
		switch {
		case listed.Status == "failed":
			reason = "stopped on its own"
		case machine == nil && p.neverCameUp(listed):
			reason = "never came up"
		default:
			continue
		}
		if machine == nil {
			decisions = append(decisions, p.recordToDelete(name, reason)...)
		} else {
			p.giveUp(machine, reason)
		}
	}
	slices.SortFunc(decisions, func(a, b decide.Decision) int { return strings.Compare(a.Keys()[0], b.Keys()[0]) })
	return decisions
}

// neverCameUp reports whether a machine without a record has not come up within its boot limit.
func (p *Provisioner) neverCameUp(listed fleet.ListedMachine) bool {
	age := jobs.Seconds(listed.AgeS) + p.state.Now.Sub(p.cloud.listedAt)
	return age > p.bootLimit(listed.MachineType) && !p.collaborators.Machines.HasSession(listed.Name)
}

// decommissionCancelled returns the decisions to delete machines that still hold a cancelled task
// shortly before its time limit: it may be that no controller can reach them.
func (p *Provisioner) decommissionCancelled() []decide.Decision {
	machines := map[string]bool{}
	for _, job := range p.state.Closed {
		onlyUnreachable, due := p.cancelDeleteDue(job)
		if !due {
			continue
		}
		for _, task := range job.Active {
			keep := onlyUnreachable && p.reachesOwner(task.Machine)
			if task.OnMachine() && !keep {
				machines[task.Machine] = true
			}
		}
	}
	var decisions []decide.Decision
	for _, name := range clusterstate.SortedKeys(machines) {
		for _, decision := range p.markForDeletion(name, "holds a cancelled task") {
			decision.Urgent = true
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

// cancelDeleteDue reports whether a job was cancelled so long ago that machines which still hold
// its tasks have to be deleted (due), and whether only those that cannot reach their owner are
// deleted for now (onlyUnreachable).
func (p *Provisioner) cancelDeleteDue(job *clusterstate.Job) (onlyUnreachable, due bool) {
	cluster := &p.config.Cluster
	limitMs := cluster.CancelDelete().Milliseconds()
	endMs := jobs.Seconds(cluster.Workers.CancelS).Milliseconds()
	ageMs := p.state.NowMs() - job.Record.EndMs
	// A task whose time limit passed before a new leader took over, or while the state service was
	// unavailable, has ended with its lease at the latest, and the machine's heartbeats report
	// this. The machine is not deleted for a record that could not be written in the meantime
	// (docs/incidents/deleted-after-outage.md).
	writable := p.writableFor()
	justWritable := writable < cluster.Workers.UnresponsiveAfter()
	if job.Record.State != jobs.Cancelled || ageMs <= limitMs || justWritable && ageMs > endMs {
		return false, false
	}
	// A machine whose delete became due in the meantime is not deleted either while its owner,
	// which receives its heartbeats, may be about to record them, unless the time left is needed
	// for the delete itself (docs/incidents/deleted-on-return.md).
	latestMs := cluster.LatestCancelDelete().Milliseconds()
	return writable < tuning.CancelSettle && (ageMs < latestMs || ageMs > endMs), true
}

// writableFor returns for how long this leader has been able to write: since it became the leader,
// or since the state service was last unavailable.
func (p *Provisioner) writableFor() time.Duration {
	if p.unavailableAt.After(p.ObservingSince) {
		return p.state.Now.Sub(p.unavailableAt)
	}
	return p.state.Now.Sub(p.ObservingSince)
}

// reachesOwner reports whether a machine's owner is in contact with it, even if only through the
// machine's responses to commands.
func (p *Provisioner) reachesOwner(name string) bool {
	machine := p.state.Machines[name]
	if machine == nil {
		return false
	}
	report, unresponsive := p.collaborators.Machines.UnresponsivenessOf(machine)
	return !unresponsive || report.OutboundPartitioned
}
