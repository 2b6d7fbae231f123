package queue

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// taskPlacer places independent tasks or replicas of one job in one cycle.
type taskPlacer struct {
	queue      *Queue
	cycle      *schedulingCycle
	job        *clusterstate.Job
	tasks      []*clusterstate.Task
	probing    bool // the job is being probed: nothing is provisioned, held or preempted for it
	zones      map[string]int
	candidates []sharding.Candidate
	placements []placement
}

// placeAll places tasks until one exceeds the team's limit or finds no capacity, and returns the
// number of tasks that it examined.
func (p *taskPlacer) placeAll() int {
	for i := range p.tasks {
		if !p.place(i) {
			return i + 1
		}
	}
	return len(p.tasks)
}

// place selects a machine for one task and reports whether to go on with the next.
func (p *taskPlacer) place(i int) bool {
	q, cycle, task := p.queue, p.cycle, p.tasks[i]
	spec := &p.job.Record.Spec
	leaf := q.state.QuotaLeaf(spec)
	if !cycle.account.Allows(leaf, spec.Amount(), 1) {
		// The rest of the team's quota is kept free until this task fits. Otherwise smaller tasks
		// further back in the queue could use it up forever.
		cycle.quotaLeavesAtLimit[leaf] = true
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
		candidate.HasImage = true // the next tasks share the pull
	}
	return true
}

// noteNoCandidate records that the task with index i, and therefore all tasks after it, found no
// capacity.
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
		delete(q.noCapacitySince, p.job.ID) // some of its tasks found capacity
	}
	q.addWaiting(p.job, p.tasks[i:], entitled, p.zones, cycle)
}
