package provisioning

import (
	"maps"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/queue"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// bin is a machine onto which waiting tasks are packed.
type bin struct {
	pool
	free sharding.Resources
	up   bool
}

// packing assigns whole waiting tasks to booting machines and to machines that would have to be
// requested. Adding up shares of machines would not be enough, because free capacity may be too
// fragmented for a task.
type packing struct {
	provisioner   *Provisioner
	bins          []bin
	tasksByZoneOf map[*clusterstate.Job]map[string]int // tasks by zone, including packed ones
	// demand is by group, in machines. The packed tasks are added to it.
	demand map[fleet.Group]float64
	// machines is the supply including the machines to request, by pool. needed is the machines to
	// request alone.
	machines map[pool]int
	needed   map[fleet.Group]int
	// onUpMachines is the number of tasks of each entry that fit on machines that are up.
	onUpMachines map[*queue.Waiting]int
}

// packQueue packs the waiting tasks and adds them to demand. Tasks are packed onto booting machines
// first, then onto the cheapest machines that can be requested. Tasks that the last scheduling
// cycle did not examine are packed onto machines that are up before that.
func (p *Provisioner) packQueue(
	counted supply,
	demand map[fleet.Group]float64,
	waiting []*queue.Waiting,
) *packing {
	k := &packing{
		provisioner:   p,
		tasksByZoneOf: map[*clusterstate.Job]map[string]int{},
		demand:        demand,
		machines:      maps.Clone(counted.all),
		needed:        map[fleet.Group]int{},
		onUpMachines:  map[*queue.Waiting]int{},
	}
	if slices.ContainsFunc(waiting, func(w *queue.Waiting) bool { return w.NotExamined }) {
		k.addUpMachines()
	}
	k.addBootingMachines(counted.booting)
	for _, entry := range waiting {
		tasksByZone := k.tasksByZone(entry)
		left := k.packOnBins(entry, tasksByZone)
		k.packOnNewMachines(entry, tasksByZone, left)
	}
	p.cloud.plannedMachines = k.machines
	return k
}

// addUpMachines adds a bin for each machine in use that does not drain, with its free capacity.
func (k *packing) addUpMachines() {
	p := k.provisioner
	accumulated := p.collaborators.Queue.AccumulatedCapacity()
	for _, machine := range p.state.MachinesByName() {
		machineType := p.cloud.catalog[machine.MachineType]
		_, draining := p.Summary.Draining[machine.Name]
		if machineType == nil || draining || !p.collaborators.Machines.InUse(machine) {
			continue
		}
		used := p.state.UsedResources(machine.Name)
		k.bins = append(k.bins, bin{
			pool: poolOf(machine),
			free: machineType.Capacity().Sub(used).Sub(accumulated[machine.Name]),
			up:   true,
		})
	}
}

func (k *packing) addBootingMachines(booting map[pool]int) {
	for _, candidate := range sortedPools(booting) {
		if machineType := k.provisioner.cloud.catalog[candidate.MachineType]; machineType != nil {
			for range booting[candidate] {
				k.bins = append(k.bins, bin{pool: candidate, free: machineType.Capacity()})
			}
		}
	}
}

// tasksByZone returns the number of tasks of an entry's job by zone, including packed ones.
func (k *packing) tasksByZone(entry *queue.Waiting) map[string]int {
	job := entry.Task.Job
	tasksByZone := k.tasksByZoneOf[job]
	if tasksByZone == nil {
		tasksByZone = k.provisioner.state.TasksByZone(job)
		if entry.Zone != "" {
			tasksByZone[entry.Zone]++ // zone in which its capacity accumulates
		}
		k.tasksByZoneOf[job] = tasksByZone
	}
	return tasksByZone
}

// packOnBins packs the tasks of an entry onto the existing bins and returns how many are left.
func (k *packing) packOnBins(entry *queue.Waiting, tasksByZone map[string]int) int {
	spec := &entry.Task.Job.Record.Spec
	left := entry.Count
	for i := 0; i < len(k.bins) && left > 0; i++ {
		b := &k.bins[i]
		if b.up && !entry.NotExamined || !spec.Allows(b.MachineType, b.zone, b.Spot) ||
			!b.free.Fits(spec.Resources()) {
			continue
		}
		packed := k.fill(b, spec, tasksByZone, left)
		left -= packed
		if b.up && packed > 0 {
			k.onUpMachines[entry] += packed
		}
	}
	return left
}

// packOnNewMachines packs the remaining tasks of an entry onto machines that are to be requested.
func (k *packing) packOnNewMachines(entry *queue.Waiting, tasksByZone map[string]int, left int) {
	record := entry.Task.Job.Record
	for left > 0 {
		cheapest, found := k.provisioner.cheapest(record, tasksByZone, k.machines)
		if !found {
			return
		}
		k.machines[cheapest]++
		k.needed[cheapest.Group]++
		b := bin{pool: cheapest, free: k.provisioner.cloud.catalog[cheapest.MachineType].Capacity()}
		left -= k.fill(&b, &record.Spec, tasksByZone, left)
		k.bins = append(k.bins, b)
	}
}

// fill packs up to limit tasks onto one bin and returns how many it has packed.
func (k *packing) fill(b *bin, spec *jobs.Spec, tasksByZone map[string]int, limit int) int {
	share := spec.Resources().ShareOf(k.provisioner.cloud.catalog[b.MachineType].Capacity())
	packed := 0
	for packed < limit && b.free.Fits(spec.Resources()) && clusterstate.ZoneAllowed(spec, tasksByZone, b.zone) {
		b.free = b.free.Sub(spec.Resources())
		k.demand[b.Group] += share
		tasksByZone[b.zone]++
		packed++
	}
	return packed
}
