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

// schedulingCycle is the state of one scheduling cycle of the leader. Tasks are charged to a copy
// of the quota account, and capacity is held for waiting tasks. All holds are released when the
// cycle ends.
type schedulingCycle struct {
	account                 *quota.Account
	heldMachines            map[string]bool                 // machines held for tasks that fit nowhere
	heldResources           []sharding.Resources            // resources held until the cycle ends
	heldOn                  []string                        // machine of each entry in heldResources
	quotaLeavesAtLimit      map[int]bool                    // leaf nodes of the quota tree whose next task exceeds a limit
	unplaceable             map[string][]unplaceableRequest // requests that no machine can satisfy, by placementScope
	victimSearches          int                             // searches for preemption victims so far
	stopping                map[*clusterstate.Task]bool     // tasks that this cycle stops
	newlyHeldCount          int                             // machines newly chosen to be held
	accumulatedShare        float64                         // capacity held for large gangs, in machines
	loans                   cycleLoans                      // capacity reserved for loans
	room                    []*roomReservation              // capacity made by preemption, for its beneficiaries
	decisions               []decide.Decision
	rounds                  schedulingRounds
	schedulableMachineCache []*clusterstate.Machine // machines that the leader may propose; nil if not listed yet
	candidateBuffer         []sharding.Candidate    // reused for the candidates of each job
}

// unplaceableRequest is a resource request that could not be satisfied in this cycle: the resources
// of one task, and the number of tasks to place together.
type unplaceableRequest struct {
	resources sharding.Resources
	taskCount int
}

// placement is a task and the machine that the leader proposes for it.
type placement struct {
	task    *clusterstate.Task
	machine string
}

// candidates lists the machines with capacity for a task. The result is valid until the next call,
// which reuses its memory.
func (c *schedulingCycle) candidates(q *Queue, task *clusterstate.Task) []sharding.Candidate {
	c.candidateBuffer = q.appendCandidates(
		c.candidateBuffer,
		c.schedulableMachines(q),
		func(m *clusterstate.Machine) bool { return clusterstate.SatisfiesConstraints(task, m) },
		&task.Job.Record.Spec,
	)
	return c.candidateBuffer
}

// schedulableMachines lists the machines that the leader may propose. The list is cached because it
// is the same for every job of a cycle, and checking the status of a machine costs more than
// checking its capacity.
func (c *schedulingCycle) schedulableMachines(q *Queue) []*clusterstate.Machine {
	if c.schedulableMachineCache == nil {
		for _, m := range q.state.MachinesByName() {
			if m.State == fleet.Up && q.isSchedulable(m) {
				c.schedulableMachineCache = append(c.schedulableMachineCache, m)
			}
		}
	}
	return c.schedulableMachineCache
}

// writeCount returns an upper bound for the number of records that the decisions of the cycle
// write.
func (c *schedulingCycle) writeCount() int {
	sum, batchEntries := 0, 0
	for i := range c.decisions {
		sum += len(c.decisions[i].Writes) + len(c.decisions[i].Changes)
		batchEntries += len(c.decisions[i].BatchEntries)
	}
	return sum + batchEntries/tuning.TasksPerBatchWrite
}

// newCycle starts a scheduling cycle.
func (q *Queue) newCycle() *schedulingCycle {
	cycle := &schedulingCycle{
		account:            q.state.Account.Clone(),
		heldMachines:       map[string]bool{},
		quotaLeavesAtLimit: map[int]bool{},
		unplaceable:        map[string][]unplaceableRequest{},
		stopping:           map[*clusterstate.Task]bool{},
		room:               q.preemptedRoom(),
	}
	// A gang whose machines are being claimed has been granted its quota already. If other tasks
	// used it, the gang would lack it or exceed its team's limit.
	for jobID := range q.claims {
		if job := q.state.Jobs[jobID]; job != nil && job.Record != nil {
			cycle.account.Charge(job.Record.Spec.QuotaKey(), job.Record.Spec.Amount(), q.unchargedTasks(job))
		}
	}
	return cycle
}

// unchargedTasks returns the number of tasks of a job that are neither released nor reserved, so
// that the quota account does not include them yet.
func (q *Queue) unchargedTasks(job *clusterstate.Job) int {
	n := job.Record.Spec.TaskCount - len(job.Active)
	for _, r := range q.state.Reservations {
		if r.Task.Job == job && r.QuotaKey.Team != "" && job.Active[r.Task.Index] == nil {
			n--
		}
	}
	return n
}

// hold allocates resources on a machine until the cycle ends.
func (c *schedulingCycle) hold(q *Queue, machineName string, need sharding.Resources) {
	q.state.AllocateResources(machineName, need)
	c.heldOn, c.heldResources = append(c.heldOn, machineName), append(c.heldResources, need)
}

// releaseHolds frees the resources held so far and the room reserved after preemption, and forgets the
// requests that could not be satisfied while these were held.
func (c *schedulingCycle) releaseHolds(q *Queue) {
	c.releaseRoom(q)
	for i, machineName := range c.heldOn {
		q.state.FreeResources(machineName, c.heldResources[i])
	}
	c.heldOn, c.heldResources, c.schedulableMachineCache = nil, nil, nil
	clear(c.unplaceable)
}

// end frees all resources that the cycle holds.
func (c *schedulingCycle) end(q *Queue) {
	for _, reservations := range c.loans.reservations {
		for _, r := range reservations {
			q.unblock(r)
		}
	}
	c.releaseHolds(q)
}

// placementScope returns a key for the set of machines that a job may run on. A request that cannot
// be satisfied only rules out requests with the same key.
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

// knownUnplaceable reports whether an equal or smaller request could not be satisfied earlier in
// this cycle.
func (c *schedulingCycle) knownUnplaceable(s *jobs.Spec, taskCount int) bool {
	if c.loans.reservations[s.ID] != nil {
		return false // capacity is reserved for the job
	}
	for _, r := range c.unplaceable[placementScope(s, taskCount)] {
		if r.taskCount <= taskCount && s.Resources().Fits(r.resources) {
			return true
		}
	}
	return false
}

// noteUnplaceable records that there is no capacity in this cycle for the given number of tasks of
// a job.
func (c *schedulingCycle) noteUnplaceable(s *jobs.Spec, taskCount int) {
	key := placementScope(s, taskCount)
	c.unplaceable[key] = append(c.unplaceable[key], unplaceableRequest{s.Resources(), taskCount})
}
