package queue

import (
	"maps"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// heldCapacity is the machines held for a job.
type heldCapacity struct {
	machines []string
	chosenAt time.Time
}

// holdMachines holds machines for a task that needs more room than is free anywhere: those that
// lack least. Without it, smaller tasks further back in the queue would take every place that comes
// free, one by one, for as long as there are any.
//
// The machines held for a job are chosen anew only from time to time: choosing one means examining
// every machine.
func (q *Queue) holdMachines(task *clusterstate.Task, count int, zones map[string]int, cycle *schedulingCycle) {
	held := q.holds[task.Job.ID]
	if q.state.Now.Sub(held.chosenAt) > tuning.HoldAgain {
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

// chooseHolds chooses up to count machines to hold, within the share of all that may be held and
// the number that one cycle may choose. It counts them in zones.
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

// nearestFit returns the machine that lacks least for a task, nil if none could hold it.
func (q *Queue) nearestFit(
	task *clusterstate.Task,
	zones map[string]int,
	cycle *schedulingCycle,
) *clusterstate.Machine {
	spec := &task.Job.Record.Spec
	var best *clusterstate.Machine
	bestShare := -1.0
	for _, m := range cycle.openMachines(q) {
		if cycle.heldMachines[m.Name] || !clusterstate.FitsTask(task, m) || !clusterstate.ZoneAllowed(spec, zones, m.Zone) {
			continue
		}
		capacity := q.state.MachineTypes[m.MachineType].Capacity()
		if !capacity.Fits(spec.Resources()) {
			continue
		}
		// By the share of the task that would fit.
		free := capacity.Sub(m.Usage.Resources)
		if share := 1 / max(spec.Resources().ShareOf(free), 1e-9); share > bestShare {
			best, bestShare = m, share
		}
	}
	return best
}
