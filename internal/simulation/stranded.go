package simulation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Limits of rules in addition to the protocol.
const (
	// placedWithin is the time after which a job counts as stranded if it waits although a suitable
	// machine has free capacity and its team is below its limit. It applies once all faults are
	// over.
	placedWithin = 90 * time.Second
	// strandedCheckEvery is the interval at which waiting jobs are checked.
	strandedCheckEvery = time.Second
	// stopsWithin is the time after which answers to reports must stop the tasks of a cancelled
	// job, counted from the user's receipt of the answer to the cancellation.
	stopsWithin = 2 * time.Second
)

// waitingJob is a job that waits although a suitable machine has free capacity.
type waitingJob struct {
	since    time.Time // since when this is so without progress
	progress int       // starts plus tasks held by machines
}

// strandedWatch detects stranded jobs.
type strandedWatch struct {
	sim      *Simulator
	waiting  map[string]waitingJob
	reported map[string]bool
}

func (sim *Simulator) newStrandedWatch() *strandedWatch {
	return &strandedWatch{sim: sim, waiting: map[string]waitingJob{}, reported: map[string]bool{}}
}

// WatchStranded checks for stranded jobs from now on, every strandedCheckEvery.
func (sim *Simulator) WatchStranded() {
	sim.stranded = sim.newStrandedWatch()
	var check func()
	check = func() {
		sim.stranded.check()
		sim.After(strandedCheckEvery, check)
	}
	check()
}

// Stranded returns the jobs that have waited for at least duration despite free capacity.
func (sim *Simulator) Stranded(duration time.Duration) (out []string) {
	for _, jobID := range slices.Sorted(maps.Keys(sim.stranded.waiting)) {
		if sim.Now.Sub(sim.stranded.waiting[jobID].since) >= duration {
			out = append(out, jobID)
		}
	}
	return out
}

// check reports each job that has waited for placedWithin, without progress, while at every check a
// suitable machine had free capacity and its team was below its limit.
func (s *strandedWatch) check() {
	sim := s.sim
	held := sim.heldTasks()
	free := sim.freeResources()
	use := sim.usageByTeam()
	for _, j := range sim.sortedJobs() {
		progress := j.Starts + len(held[j])
		if !j.hasUnstartedTasks(held[j]) || !use.allows(sim, j) || !sim.hasRoomFor(j, held[j], free) {
			delete(s.waiting, j.ID)
			continue
		}
		previous, known := s.waiting[j.ID]
		if !known || previous.progress != progress {
			s.waiting[j.ID] = waitingJob{sim.Now, progress}
			continue
		}
		if sim.Now.Sub(previous.since) >= placedWithin && !s.reported[j.ID] {
			s.reported[j.ID] = true
			sim.ReportViolation(
				"stranded: %s of %s, a %s of %d, has waited for %v while a machine that fits has room",
				j.ID,
				j.Team,
				j.Kind,
				j.TaskCount,
				sim.Now.Sub(previous.since),
			)
		}
	}
}

// hasUnstartedTasks reports whether a user waits for tasks of the job to be started. It is false
// for jobs that fail on every machine.
func (j *Job) hasUnstartedTasks(held map[int]*Agent) bool {
	if !j.Accepted || j.CancelRequested || j.Cancelled || j.FailOn == "every" {
		return false
	}
	if j.gang() {
		return len(held) == 0 && len(j.Done) == 0
	}
	for n := range j.TaskCount {
		if held[n] == nil && !j.Done[n] {
			return true
		}
	}
	return false
}

// taskResources returns the resources that one task requires.
func (j *Job) taskResources() sharding.Resources {
	if j.spec == nil {
		if j.spec, _ = jobs.ParseSpec(j.Body); j.spec == nil {
			j.spec = &jobs.Spec{Team: j.Team, Class: j.Class, Accelerators: j.Accelerators}
		}
	}
	return j.spec.Resources()
}

// heldTasks returns for each job the tasks that machines hold, including those whose image is being
// pulled.
func (sim *Simulator) heldTasks() map[*Job]map[int]*Agent {
	out := map[*Job]map[int]*Agent{}
	for _, ag := range sim.Agents {
		for _, task := range ag.tasks {
			if task.job == nil || task.status == statusEnded {
				continue
			}
			if out[task.job] == nil {
				out[task.job] = map[int]*Agent{}
			}
			out[task.job][task.index] = ag
		}
	}
	return out
}

// freeResources returns the free resources of each machine, except for machines that hang or that
// the cloud is about to reclaim.
func (sim *Simulator) freeResources() map[*Agent]sharding.Resources {
	out := map[*Agent]sharding.Resources{}
	for _, ag := range sim.Agents {
		if ag.Hung || ag.warningS != nil {
			continue
		}
		free := capacityOf(ag.machine.MachineType)
		for _, task := range ag.tasks {
			if task.job != nil && task.status != statusEnded {
				free = free.Sub(task.job.taskResources())
			}
		}
		out[ag] = free
	}
	return out
}

// capacityOf returns the resources of a machine type.
func capacityOf(machineType string) sharding.Resources {
	for _, b := range machineTypes {
		if b["name"] == machineType {
			return sharding.Resources{
				Cores:        float64(b["cores"].(int)),
				Accelerators: float64(b["accelerators"].(int)),
				MemoryGB:     float64(b["memory_gb"].(int)),
			}
		}
	}
	return sharding.Resources{}
}

// teamUsage holds the accelerators in use by team.
type teamUsage map[string]float64

// usageByTeam returns the accelerators in use by each team, including those of tasks whose image is
// being pulled.
func (sim *Simulator) usageByTeam() teamUsage {
	use := teamUsage{}
	for _, ag := range sim.Agents {
		for _, task := range ag.tasks {
			if task.job != nil && task.status != statusEnded {
				use[task.job.Team] += task.job.Accelerators
			}
		}
	}
	return use
}

// allows reports whether the limit of the job's team, the quota tree and the release calendar allow
// one more task of the job, or all tasks of a gang.
func (u teamUsage) allows(sim *Simulator, j *Job) bool {
	n := 1
	if j.gang() {
		n = j.TaskCount
	}
	j.taskResources()
	key := j.spec.QuotaKey()
	if sim.calendar != nil && sim.calendar.windowsClosed(key) {
		return false
	}
	if sim.account != nil && !sim.account.Allows(sim.account.Tree().Leaf(key), j.spec.Amount(), n) {
		return false
	}
	limit := sim.TeamLimits[j.Team]
	return limit == 0 || u[j.Team]+float64(n)*j.Accelerators <= limit+1e-6
}

// allowsMachine reports whether the job's constraints allow a machine.
func (j *Job) allowsMachine(ag *Agent) bool {
	return (j.Zone == "" || j.Zone == ag.machine.Zone) && (j.Spot || !ag.machine.Spot) &&
		(len(j.MachineTypes) == 0 || slices.Contains(j.MachineTypes, ag.machine.MachineType)) && j.FailOn != ag.machine.ID
}

// hasRoomFor reports whether the free resources suffice for one more task of the job, or for all
// tasks of a gang.
func (sim *Simulator) hasRoomFor(j *Job, held map[int]*Agent, free map[*Agent]sharding.Resources) bool {
	need := j.taskResources()
	zoneRoom := map[string]int{} // number of tasks that fit, by zone
	byName := func(a, b *Agent) int { return strings.Compare(a.machine.ID, b.machine.ID) }
	for _, ag := range slices.SortedFunc(maps.Keys(free), byName) {
		for left := free[ag]; j.allowsMachine(ag) && left.Fits(need) &&
			zoneRoom[ag.machine.Zone] < j.TaskCount; left = left.Sub(need) {
			zoneRoom[ag.machine.Zone]++
		}
	}
	zoneTasks := map[string]int{} // number of the job's tasks, by zone
	for _, ag := range held {
		zoneTasks[ag.machine.Zone]++
	}
	maxInZone := j.TaskCount
	if j.SpreadZones {
		maxInZone = (j.TaskCount + 1) / 2
	}
	total, largest := 0, 0
	for zone, n := range zoneRoom {
		if j.SameZone && len(zoneTasks) > 0 && zoneTasks[zone] == 0 {
			continue // the job's other tasks are in another zone
		}
		n = min(n, maxInZone-zoneTasks[zone])
		total, largest = total+max(n, 0), max(largest, n)
	}
	switch {
	case !j.gang():
		return total > 0
	case j.SameZone:
		return largest >= j.TaskCount
	}
	return total >= j.TaskCount
}
