package queue

import (
	"strings"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// schedulingCycle is the state of one scheduling cycle of the leader: what it considers is charged
// to its own copy of the quota account, and capacity is held for tasks that wait. Everything that
// it holds is given back when it ends.
type schedulingCycle struct {
	account          *quota.Account
	heldMachines     map[string]bool              // machines held for tasks that fit nowhere
	heldResources    []sharding.Resources         // capacity held, given back when the cycle ends
	heldOn           []string                     // the machine of each of heldResources
	leavesAtLimit    map[int]bool                 // quota leaves whose next task does not fit their limits
	unplaceable      map[string][]unplaceableNeed // what found no room, by placementScope
	victimSearches   int                          // searches for tasks to preempt
	stopping         map[*clusterstate.Task]bool  // tasks that this cycle stops
	newlyHeldCount   int                          // machines newly chosen to be held
	accumulatedShare float64                      // capacity kept for large gangs, in machines
	loans            cycleLoans                   // capacity kept for loans
	decisions        []decide.Decision
	rounds           schedulingRounds
	openMachineCache []*clusterstate.Machine // machines that the leader may propose, nil if not listed yet
	candidateBuffer  []sharding.Candidate    // memory for the candidates of one job after another
}

// unplaceableNeed is what found no room in this cycle: the resources of a task, for so many tasks
// at once.
type unplaceableNeed struct {
	resources sharding.Resources
	taskCount int
}

// placement is a task with the machine that the leader proposes for it.
type placement struct {
	task    *clusterstate.Task
	machine string
}

// candidates lists the machines with room for a task. The list is valid until the next call.
func (c *schedulingCycle) candidates(q *Queue, task *clusterstate.Task) []sharding.Candidate {
	c.candidateBuffer = q.appendCandidates(
		c.candidateBuffer,
		c.openMachines(q),
		func(m *clusterstate.Machine) bool { return clusterstate.FitsTask(task, m) },
		&task.Job.Record.Spec,
	)
	return c.candidateBuffer
}

// openMachines lists the machines that the leader may propose. The list is the same for every job
// of a cycle, and checking a machine's standing costs more than checking its capacity.
func (c *schedulingCycle) openMachines(q *Queue) []*clusterstate.Machine {
	if c.openMachineCache == nil {
		for _, m := range q.state.MachinesByName() {
			if m.State == fleet.Up && q.mayPropose(m) {
				c.openMachineCache = append(c.openMachineCache, m)
			}
		}
	}
	return c.openMachineCache
}

// writeCount returns how many records the cycle's decisions write, at most.
func (c *schedulingCycle) writeCount() int {
	sum, batchEntries := 0, 0
	for i := range c.decisions {
		sum += len(c.decisions[i].Writes) + len(c.decisions[i].Changes)
		batchEntries += len(c.decisions[i].BatchEntries)
	}
	return sum + batchEntries/tuning.MaxSharedBatches
}

// newCycle begins a scheduling cycle.
func (q *Queue) newCycle() *schedulingCycle {
	cycle := &schedulingCycle{
		account:       q.state.Account.Clone(),
		heldMachines:  map[string]bool{},
		leavesAtLimit: map[int]bool{},
		unplaceable:   map[string][]unplaceableNeed{},
		stopping:      map[*clusterstate.Task]bool{},
	}
	// A gang whose machines are being claimed has its share already: given away once more,
	// it would be lacking for the gang or beyond its team's limit.
	for jobID := range q.claims {
		if job := q.state.Jobs[jobID]; job != nil && job.Record != nil {
			cycle.account.Charge(job.Record.Spec.QuotaKey(), job.Record.Spec.Amount(), q.unchargedTasks(job))
		}
	}
	return cycle
}

// unchargedTasks returns how many tasks of a job are neither released nor reserved, so that the
// quota account does not count them yet.
func (q *Queue) unchargedTasks(job *clusterstate.Job) int {
	n := job.Record.Spec.TaskCount - len(job.Active)
	for _, r := range q.state.Reservations {
		if r.Task.Job == job && r.QuotaKey.Team != "" && job.Active[r.Task.Index] == nil {
			n--
		}
	}
	return n
}

// hold takes capacity on a machine until the cycle ends.
func (c *schedulingCycle) hold(q *Queue, machineName string, need sharding.Resources) {
	q.state.AllocateResources(machineName, need)
	c.heldOn, c.heldResources = append(c.heldOn, machineName), append(c.heldResources, need)
}

// releaseHolds gives back what the cycle has held so far, and forgets what found no room beside it.
func (c *schedulingCycle) releaseHolds(q *Queue) {
	for i, machineName := range c.heldOn {
		q.state.FreeResources(machineName, c.heldResources[i])
	}
	c.heldOn, c.heldResources, c.openMachineCache = nil, nil, nil
	clear(c.unplaceable)
}

// end gives back all that the cycle holds.
func (c *schedulingCycle) end(q *Queue) {
	for _, rooms := range c.loans.reservations {
		for _, r := range rooms {
			q.unblock(r)
		}
	}
	c.releaseHolds(q)
}

// placementScope returns a key for where a job may go at all: a need that found no room tells
// something only of needs with the same key.
func placementScope(s *jobs.Spec, taskCount int) string {
	key := s.Zone + "/" + strings.Join(s.MachineTypes, ",")
	if s.Spot {
		key += "+"
	}
	if taskCount > 1 && s.SameZone {
		key += "="
	}
	return key
}

// knownUnplaceable reports whether the same or less found no room in this cycle already.
func (c *schedulingCycle) knownUnplaceable(s *jobs.Spec, taskCount int) bool {
	if c.loans.reservations[s.ID] != nil {
		return false // capacity is kept for it
	}
	for _, r := range c.unplaceable[placementScope(s, taskCount)] {
		if r.taskCount <= taskCount && s.Resources().Fits(r.resources) {
			return true
		}
	}
	return false
}

// noteUnplaceable notes that so many tasks of a job find no room in this cycle.
func (c *schedulingCycle) noteUnplaceable(s *jobs.Spec, taskCount int) {
	key := placementScope(s, taskCount)
	c.unplaceable[key] = append(c.unplaceable[key], unplaceableNeed{s.Resources(), taskCount})
}
