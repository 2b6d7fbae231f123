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

// Decommission finds machines to delete, deletes them, and frees the tasks on those whose
// delete was answered 200.
func (p *Provisioner) Decommission() {
	if p.state.Now.Sub(p.decommissionedAt) < tuning.DecommissionEvery {
		return
	}
	p.decommissionedAt = p.state.Now
	// Machines with cancelled tasks first: the time in which a cancelled task must have ended
	// depends on it.
	decisions := p.decommissionCancelled()
	decisions = append(decisions, p.decommissionListed()...)
	p.giveUpUnresponsive()
	recorded, toDelete := p.decommissionRecorded()
	p.collaborators.Commits.Commit(append(decisions, recorded...))
	p.collaborators.Commits.Commit(p.decommissionUnrecorded())
	p.deleteMachines(toDelete)
}

// decommissionRecorded is the decisions on faulty and deleted machines, and the names of the
// machines to delete.
func (p *Provisioner) decommissionRecorded() (decisions []decide.Decision, toDelete []string) {
	c := &p.cloud
	// Tasks on many machines are freed together: those of one task range share a write.
	free := p.collaborators.Budget.Allows(0, 1) || p.state.Now.Sub(c.freedAt) > tuning.AssignLateAfter
	if free {
		c.freedAt = p.state.Now
	}
	for _, machine := range p.state.MachinesByName() {
		switch {
		case machine.State == fleet.Faulty:
			decisions = append(decisions, p.transition(machine.Name, "faulty")...)
		case c.deleteConfirmed[machine.Name], machine.State == fleet.Deleted: // the latter by an earlier version
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

// transition is the decisions that have a machine with a record deleted.
func (p *Provisioner) transition(machine, reason string) []decide.Decision {
	return p.collaborators.Transitions.TransitionMachine(machine, fleet.Decommission, reason)
}

// decommissionUnrecorded is the decisions on tasks recorded on a machine without a record: its
// delete was answered and the record removed, or the record cannot be read. It is deleted
// again; the cloud ignores unknown names.
func (p *Provisioner) decommissionUnrecorded() []decide.Decision {
	var decisions []decide.Decision
	for name := range p.state.TasksOnMachine {
		if p.state.Machines[name] == nil && p.collaborators.Records.Revision(fleet.MachinePrefix+name) == 0 {
			decisions = append(decisions, p.recordToDelete(name, "tasks on a machine without a record")...)
		}
	}
	return decisions
}

// freeDeleted is the decisions that free the tasks of a machine whose delete was answered
// 200, and remove its record. A leader that does not know of the answer any more deletes
// the machine again.
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

// mayRemoveRecord tells whether writes are left to remove a deleted machine's record. It is
// in no hurry: no task is placed by it any more.
func (p *Provisioner) mayRemoveRecord(machine string) bool {
	late := p.state.Now.Sub(p.cloud.deletedAt[machine]) > tuning.RecordLate
	return p.collaborators.Budget.HasSpareWrites() || p.collaborators.Leadership.Reconciled() && late
}

// recordToDelete is the decision that gives a machine without a record one, to delete it.
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

// decommissionListed gives up machines that never came up or have stopped, by the cloud's
// list. Those without a record get one by the decisions that it returns.
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

// neverCameUp tells whether a machine without a record has had time enough to boot.
func (p *Provisioner) neverCameUp(listed fleet.ListedMachine) bool {
	age := jobs.Seconds(listed.AgeS) + p.state.Now.Sub(p.cloud.listedAt)
	return age > p.bootLimit(listed.MachineType) && !p.collaborators.Machines.HasSession(listed.Name)
}

// decommissionCancelled is the decisions to delete machines that still hold a cancelled task
// when its time runs out: perhaps nobody can reach them.
func (p *Provisioner) decommissionCancelled() []decide.Decision {
	machines := map[string]bool{}
	for _, job := range p.state.Closed {
		wait, due := p.cancelDeleteDue(job)
		if !due {
			continue
		}
		for _, task := range job.Active {
			spared := wait && p.reachesOwner(task.Machine)
			if task.OnMachine() && !spared {
				machines[task.Machine] = true
			}
		}
	}
	var decisions []decide.Decision
	for _, name := range clusterstate.SortedKeys(machines) {
		for _, decision := range p.transition(name, "holds a cancelled task") {
			decision.Urgent = true
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

// cancelDeleteDue tells whether a job was cancelled so long ago that machines which still
// hold its tasks must be deleted; wait, whether those are spared that reach their owner.
func (p *Provisioner) cancelDeleteDue(job *clusterstate.Job) (wait, due bool) {
	cluster := &p.config.Cluster
	limitMs := cluster.CancelDelete().Milliseconds()
	overMs := jobs.Seconds(cluster.Workers.CancelS).Milliseconds()
	ageMs := p.state.NowMs() - job.Record.EndMs
	// What was over before a new leader began, or while the state service was unavailable,
	// has ended with its lease or before, and the machine's heartbeats say so: it is not
	// deleted for a record that nobody could free (docs/incidents/deleted-after-outage.md).
	writable := p.writableFor()
	justWritable := writable < cluster.Workers.UnresponsiveAfter()
	if job.Record.State != jobs.Cancelled || ageMs <= limitMs || justWritable && ageMs > overMs {
		return false, false
	}
	// Nor is one whose time has come meanwhile, while its owner, which hears it, may be about
	// to write what it heard, unless that is all the time that a delete has left
	// (docs/incidents/deleted-on-return.md).
	lastMs := cluster.LatestCancelDelete().Milliseconds()
	return writable < tuning.CancelSettle && (ageMs < lastMs || ageMs > overMs), true
}

// writableFor is for how long writes could be made: since this controller came to lead, or
// since the state service was back.
func (p *Provisioner) writableFor() time.Duration {
	if p.unavailableAt.After(p.Since) {
		return p.state.Now.Sub(p.unavailableAt)
	}
	return p.state.Now.Sub(p.Since)
}

// reachesOwner tells whether a machine's owner is in contact with it, be it by the answers
// to commands alone.
func (p *Provisioner) reachesOwner(name string) bool {
	machine := p.state.Machines[name]
	if machine == nil {
		return false
	}
	state, unresponsive := p.collaborators.Machines.UnresponsivenessOf(machine)
	return !unresponsive || state.OutboundPartitioned
}
