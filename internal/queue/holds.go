package queue

import (
	"maps"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// heldCapacity lists the machines held for a job.
type heldCapacity struct {
	machines []string
	chosenAt time.Time
}

// holdMachines holds machines for a task that needs more capacity than is free on any machine: the
// machines that lack the least capacity for it. Otherwise smaller tasks further back in the queue
// would take capacity as it becomes free, for as long as such tasks keep arriving.
//
// The machines held for a job are chosen again only every tuning.HoldInterval, because choosing one
// requires examining every machine.
func (q *Queue) holdMachines(task *clusterstate.Task, count int, zones map[string]int, cycle *schedulingCycle) {
	held := q.holds[task.Job.ID]
	if q.state.Now.Sub(held.chosenAt) > tuning.HoldInterval {
		held = heldCapacity{machines: q.chooseHolds(task, count, maps.Clone(zones), cycle), chosenAt: q.state.Now}
		q.holds[task.Job.ID] = held
	}
	for _, machineName := range held.machines {
		if q.state.Machines[machineName] != nil {
			cycle.heldMachines[machineName] = true
			cycle.hold(q, machineName, task.Job.Record.Spec.Resources())
		}
	}
}

// chooseHolds chooses up to count machines to hold, limited by the share of all machines that may
// be held and by the number that one cycle may choose. It adds the chosen machines to zones.
func (q *Queue) chooseHolds(
	task *clusterstate.Task,
	count int,
	zones map[string]int,
	cycle *schedulingCycle,
) []string {
	var machines []string
	maxHeld := tuning.HoldShare * float64(len(q.state.Machines))
	for range count {
		if float64(len(cycle.heldMachines)+1) > maxHeld || cycle.newlyHeldCount >= tuning.MaxHeldMachines {
			break
		}
		cycle.newlyHeldCount++
		m := q.nearestFit(task, zones, cycle)
		if m == nil {
			break
		}
		machines = append(machines, m.Name)
		cycle.heldMachines[m.Name] = true
		zones[m.Zone]++
	}
	return machines
}

// nearestFit returns the machine that lacks the least capacity for a task, or nil if no machine
// could ever hold the task.
func (q *Queue) nearestFit(
	task *clusterstate.Task,
	zones map[string]int,
	cycle *schedulingCycle,
) *clusterstate.Machine {
	spec := &task.Job.Record.Spec
	var best *clusterstate.Machine
	bestShare := -1.0
	for _, m := range cycle.schedulableMachines(q) {
		if cycle.heldMachines[m.Name] || !clusterstate.SatisfiesConstraints(task, m) ||
			!clusterstate.ZoneAllowed(spec, zones, m.Zone) {
			continue
		}
		capacity := q.state.MachineTypes[m.MachineType].Capacity()
		if !capacity.Fits(spec.Resources()) {
			continue
		}
		// Machines are compared by the share of the task that would fit in their free capacity.
		free := capacity.Sub(m.Usage.Resources)
		if share := 1 / max(spec.Resources().ShareOf(free), 1e-9); share > bestShare {
			best, bestShare = m, share
		}
	}
	return best
}
