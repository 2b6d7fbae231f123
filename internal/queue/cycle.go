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

// cycle is what one look at the queue keeps: what is being considered is
// charged, and room is kept for tasks that wait.
type schedulingCycle struct {
	account          *quota.Account
	heldMachines     map[string]bool              // machines kept for tasks that fit nowhere
	heldResources    []sharding.Resources         // room kept, to be given back when the pass ends
	heldOn           []string                     // where
	leavesAtLimit    map[int]bool                 // leaves whose next task does not fit their limits
	unplaceable      map[string][]unplaceableNeed // what found no room, by where it may go
	victimSearches   int                          // looks for tasks to stop
	stopping         map[*clusterstate.Task]bool  // to be stopped by this pass
	newlyHeldCount   int                          // machines newly chosen to be kept
	accumulatedShare float64                      // machines' room kept for large gangs
	loans            cycleLoans                   // rooms kept for loans
	decisions        []decide.Decision
	rounds           schedulingRounds
	openMachineCache []*clusterstate.Machine // those that the leader may have room on in mind
	candidateBuffer  []sharding.Candidate    // room for the board of one job after another
}

// refusal is a need that found no room in this pass, for so many tasks at once.
type unplaceableNeed struct {
	resources sharding.Resources
	taskCount int
}

// placement is a task with the machine that the leader has room in mind on.
type placement struct {
	task    *clusterstate.Task
	machine string
}

// candidates lists the machines with room for a task; it holds until the next.
func (c *schedulingCycle) candidates(q *Queue, task *clusterstate.Task) []sharding.Candidate {
	c.candidateBuffer = q.appendCandidates(
		c.candidateBuffer,
		c.openMachines(q),
		func(m *clusterstate.Machine) bool { return clusterstate.FitsTask(task, m) },
		&task.Job.Record.Spec,
	)
	return c.candidateBuffer
}

// open lists the machines that the leader may have room on in mind. It is the
// same for every job of a pass, and a look at a machine's standing costs more
// than one at its room.
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

// writes is how many records the pass's decisions write, at most.
func (c *schedulingCycle) writeCount() int {
	sum, batchEntries := 0, 0
	for i := range c.decisions {
		sum += len(c.decisions[i].Writes) + len(c.decisions[i].Changes)
		batchEntries += len(c.decisions[i].BatchEntries)
	}
	return sum + batchEntries/tuning.MaxSharedBatches
}

func (q *Queue) newCycle() *schedulingCycle {
	cycle := &schedulingCycle{
		account:       q.state.Account.Clone(),
		heldMachines:  map[string]bool{},
		leavesAtLimit: map[int]bool{},
		unplaceable:   map[string][]unplaceableNeed{},
		stopping:      map[*clusterstate.Task]bool{},
	}
	// A gang whose machines are being claimed has its share already: given away once more,
	// it is either lacking for the gang or beyond its team's limit.
	for jobID := range q.claims {
		if job := q.state.Jobs[jobID]; job != nil && job.Record != nil {
			cycle.account.Charge(job.Record.Spec.QuotaKey(), job.Record.Spec.Amount(), q.unchargedTasks(job))
		}
	}
	return cycle
}

// uncharged is how many tasks of a job are neither released nor being so.
func (q *Queue) unchargedTasks(job *clusterstate.Job) int {
	n := job.Record.Spec.TaskCount - len(job.Active)
	for _, r := range q.state.Reservations {
		if r.Task.Job == job && r.QuotaKey.Team != "" && job.Active[r.Task.Index] == nil {
			n--
		}
	}
	return n
}

// keep takes room on a machine until the pass ends.
func (c *schedulingCycle) hold(q *Queue, machineName string, need sharding.Resources) {
	q.state.AllocateResources(machineName, need)
	c.heldOn, c.heldResources = append(c.heldOn, machineName), append(c.heldResources, need)
}

// lift gives back what the pass has kept so far, and forgets what found no room beside it.
func (c *schedulingCycle) releaseHolds(q *Queue) {
	for i, machineName := range c.heldOn {
		q.state.FreeResources(machineName, c.heldResources[i])
	}
	c.heldOn, c.heldResources, c.openMachineCache = nil, nil, nil
	clear(c.unplaceable)
}

func (c *schedulingCycle) end(q *Queue) {
	for _, rooms := range c.loans.reservations {
		for _, r := range rooms {
			q.unblock(r)
		}
	}
	c.releaseHolds(q)
}

// places names where a job may go at all.
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

// hopeless tells whether the same or less found no room in this pass already.
func (c *schedulingCycle) knownUnplaceable(s *jobs.Spec, taskCount int) bool {
	if c.loans.reservations[s.ID] != nil {
		return false // room is kept for it
	}
	for _, r := range c.unplaceable[placementScope(s, taskCount)] {
		if r.taskCount <= taskCount && s.Resources().Fits(r.resources) {
			return true
		}
	}
	return false
}

// refuse notes that so many tasks of a job find no room in this pass.
func (c *schedulingCycle) noteUnplaceable(s *jobs.Spec, taskCount int) {
	key := placementScope(s, taskCount)
	c.unplaceable[key] = append(c.unplaceable[key], unplaceableNeed{s.Resources(), taskCount})
}
