package queue

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// taskPlacer places the tasks of one job of independent tasks or replicas in one cycle.
type taskPlacer struct {
	queue      *Queue
	cycle      *schedulingCycle
	job        *clusterstate.Job
	tasks      []*clusterstate.Task
	probing    bool // the job is in doubt: no machine is provisioned, held or cleared for it
	zones      map[string]int
	candidates []sharding.Candidate
	placements []placement
}

// placeAll places tasks until one is beyond the team's limit or finds no room, and returns how many
// it examined.
func (p *taskPlacer) placeAll() int {
	for i := range p.tasks {
		if !p.place(i) {
			return i + 1
		}
	}
	return len(p.tasks)
}

// place finds room for one task and reports whether the next may be tried.
func (p *taskPlacer) place(i int) bool {
	q, cycle, task := p.queue, p.cycle, p.tasks[i]
	spec := &p.job.Record.Spec
	leaf := q.state.QuotaLeaf(spec)
	if !cycle.account.Allows(leaf, spec.Amount(), 1) {
		// What the team has left is kept until this task fits; smaller ones behind it would take it
		// away for ever.
		cycle.leavesAtLimit[leaf] = true
		cycle.rounds.overLimit = append(cycle.rounds.overLimit, p.job)
		q.reclaimQuota(p.job, cycle)
		return false
	}
	entitled := cycle.account.Entitled(leaf, spec.Amount(), 1)
	chosen := q.pickCandidate(task, p.candidates, p.zones)
	if chosen < 0 {
		p.noteNoCandidate(i, entitled)
		return false
	}
	candidate := &p.candidates[chosen]
	waiting := &Waiting{Task: task, Priority: spec.PriorityOrder(), Entitled: entitled, zones: p.zones}
	if !p.probing && q.awaitCachedMachine(waiting, candidate.Machine, cycle) {
		candidate.Free = candidate.Free.Sub(spec.Resources())
		cycle.account.Charge(spec.QuotaKey(), spec.Amount(), 1)
		return true
	}
	p.placements = append(p.placements, placement{task, candidate.Machine})
	cycle.account.Charge(spec.QuotaKey(), spec.Amount(), 1)
	candidate.Free = candidate.Free.Sub(spec.Resources())
	candidate.Load = candidate.Capacity.Sub(candidate.Free).ShareOf(candidate.Capacity)
	p.zones[candidate.Zone]++
	if !candidate.HasImage && spec.ImageGB > 0 {
		candidate.HasImage = true // for the next of the tasks
	}
	return true
}

// noteNoCandidate notes that a task, and with it those behind it, found no room.
func (p *taskPlacer) noteNoCandidate(i, entitled int) {
	q, cycle, task := p.queue, p.cycle, p.tasks[i]
	spec := &p.job.Record.Spec
	if !spec.SameZone && !spec.SpreadZones && task.Zone == "" && len(task.FailedOn) == 0 {
		cycle.noteUnplaceable(spec, 1)
	}
	if p.probing {
		return
	}
	if i > 0 {
		delete(q.noCapacitySince, p.job.ID) // some of its tasks found room
	}
	q.addWaiting(p.job, p.tasks[i:], entitled, p.zones, cycle)
}
