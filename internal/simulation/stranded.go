package simulation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// What users count besides the rules of the protocol.
const (
	// placedWithin: once all troubles are over, no job waits for so long while a machine
	// that fits has room and its team is under its limit.
	placedWithin = 90 * time.Second
	// strandedCheckEvery is how often the waiting jobs are checked.
	strandedCheckEvery = time.Second
	// stopsWithin: an answer to a report that leaves a controller so long after a user
	// had the answer to a cancellation stops the job's tasks.
	stopsWithin = 2 * time.Second
)

// waitingJob is a job that waits, since a machine that fits has had room.
type waitingJob struct {
	since    time.Time
	progress int
}

// strandedWatch follows the jobs that wait.
type strandedWatch struct {
	sim      *Simulator
	waiting  map[string]waitingJob
	reported map[string]bool
}

func (sim *Simulator) newStrandedWatch() *strandedWatch {
	return &strandedWatch{sim: sim, waiting: map[string]waitingJob{}, reported: map[string]bool{}}
}

// WatchStranded checks the jobs that wait from now on, every strandedCheckEvery.
func (sim *Simulator) WatchStranded() {
	sim.stranded = sim.newStrandedWatch()
	var check func()
	check = func() {
		sim.stranded.check()
		sim.After(strandedCheckEvery, check)
	}
	check()
}

// Stranded names the jobs that have waited for so long while there was room.
func (sim *Simulator) Stranded(duration time.Duration) (out []string) {
	for _, jobID := range slices.Sorted(maps.Keys(sim.stranded.waiting)) {
		if sim.Now.Sub(sim.stranded.waiting[jobID].since) >= duration {
			out = append(out, jobID)
		}
	}
	return out
}

// check breaks on each job that has waited for placedWithin while at each check a machine
// that fits had room and its team was under its limit.
func (s *strandedWatch) check() {
	sim := s.sim
	held := sim.heldTasks()
	free := sim.freeRoom()
	use := sim.usageByTeam()
	for _, j := range sim.sortedJobs() {
		progress := j.Starts + len(held[j])
		if !j.hasUnstartedTasks(held[j]) || !use.allows(sim, j) || !sim.hasRoomFor(j, held[j], free) {
			delete(s.waiting, j.ID)
			continue
		}
		at, known := s.waiting[j.ID]
		if !known || at.progress != progress {
			s.waiting[j.ID] = waitingJob{sim.Now, progress}
			continue
		}
		if sim.Now.Sub(at.since) >= placedWithin && !s.reported[j.ID] {
			s.reported[j.ID] = true
			sim.RuleBroken(
				"stranded: %s of %s, a %s of %d, has waited for %v while a machine that fits has room",
				j.ID,
				j.Team,
				j.Kind,
				j.TaskCount,
				sim.Now.Sub(at.since),
			)
		}
	}
}

// waits tells whether a user waits for tasks of the job to be started. Those of a job that
// fails everywhere don't count.
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

// need is what one task takes of its machine.
func (j *Job) taskResources() sharding.Resources {
	if j.spec == nil {
		if j.spec, _ = jobs.ParseSpec(j.Body); j.spec == nil {
			j.spec = &jobs.Spec{Team: j.Team, Class: j.Class, Accelerators: j.Accelerators}
		}
	}
	return j.spec.Resources()
}

// heldTasks is which tasks of each job machines hold, fetching ones included.
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

// freeRoom is what each machine has left. One that the cloud is about to take has none.
func (sim *Simulator) freeRoom() map[*Agent]sharding.Resources {
	out := map[*Agent]sharding.Resources{}
	for _, ag := range sim.Agents {
		if ag.Hung || ag.warningS != nil {
			continue
		}
		room := capacityOf(ag.machine.MachineType)
		for _, task := range ag.tasks {
			if task.job != nil && task.status != statusEnded {
				room = room.Sub(task.job.taskResources())
			}
		}
		out[ag] = room
	}
	return out
}

// capacityOf is all that a machine of a type has.
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

// teamsUse is the accelerators that each team uses.
type teamUsage map[string]float64

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

// allows tells whether a job's team may have one more task of it, of a gang all, by its
// limit, by the tree of quotas, and by the release calendar.
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

// allowed tells whether a machine is one that the job allows.
func (j *Job) allowsMachine(ag *Agent) bool {
	return (j.Zone == "" || j.Zone == ag.machine.Zone) && (j.Spot || !ag.machine.Spot) &&
		(len(j.MachineTypes) == 0 || slices.Contains(j.MachineTypes, ag.machine.MachineType)) && j.FailOn != ag.machine.ID
}

// fitsNow tells whether one more task of a job, of a gang all, would have room now.
func (sim *Simulator) hasRoomFor(j *Job, held map[int]*Agent, free map[*Agent]sharding.Resources) bool {
	need := j.taskResources()
	zoneRoom := map[string]int{} // tasks that each zone has room for
	byName := func(a, b *Agent) int { return strings.Compare(a.machine.ID, b.machine.ID) }
	for _, ag := range slices.SortedFunc(maps.Keys(free), byName) {
		for left := free[ag]; j.allowsMachine(ag) && left.Fits(need) &&
			zoneRoom[ag.machine.Zone] < j.TaskCount; left = left.Sub(need) {
			zoneRoom[ag.machine.Zone]++
		}
	}
	zoneTasks := map[string]int{} // its tasks in each zone
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
			continue // its other tasks are elsewhere
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
