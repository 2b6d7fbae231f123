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

func (w *Simulator) newStrandedWatch() *strandedWatch {
	return &strandedWatch{sim: w, waiting: map[string]waitingJob{}, reported: map[string]bool{}}
}

// WatchStranded checks the jobs that wait from now on, every strandedCheckEvery.
func (w *Simulator) WatchStranded() {
	w.stranded = w.newStrandedWatch()
	var check func()
	check = func() {
		w.stranded.check()
		w.After(strandedCheckEvery, check)
	}
	check()
}

// Stranded names the jobs that have waited for so long while there was room.
func (w *Simulator) Stranded(long time.Duration) (out []string) {
	for _, jobID := range slices.Sorted(maps.Keys(w.stranded.waiting)) {
		if w.Now.Sub(w.stranded.waiting[jobID].since) >= long {
			out = append(out, jobID)
		}
	}
	return out
}

// check breaks on each job that has waited for placedWithin while at each check a machine
// that fits had room and its team was under its limit.
func (s *strandedWatch) check() {
	w := s.sim
	held := w.heldTasks()
	free := w.freeRoom()
	use := w.teamUse()
	for _, j := range w.sortedJobs() {
		progress := j.Starts + len(held[j])
		if !j.waits(held[j]) || !use.allows(w, j) || !w.fitsNow(j, held[j], free) {
			delete(s.waiting, j.ID)
			continue
		}
		at, known := s.waiting[j.ID]
		if !known || at.progress != progress {
			s.waiting[j.ID] = waitingJob{w.Now, progress}
			continue
		}
		if w.Now.Sub(at.since) >= placedWithin && !s.reported[j.ID] {
			s.reported[j.ID] = true
			w.RuleBroken(
				"stranded: %s of %s, a %s of %d, has waited for %v while a machine that fits has room",
				j.ID,
				j.Team,
				j.Kind,
				j.TaskCount,
				w.Now.Sub(at.since),
			)
		}
	}
}

// waits tells whether a user waits for tasks of the job to be started. Those of a job that
// fails everywhere don't count.
func (j *Job) waits(held map[int]*Agent) bool {
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
func (j *Job) need() sharding.Resources {
	if j.spec == nil {
		if j.spec, _ = jobs.ParseSpec(j.Body); j.spec == nil {
			j.spec = &jobs.Spec{Team: j.Team, Class: j.Class, Accelerators: j.Accelerators}
		}
	}
	return j.spec.Resources()
}

// heldTasks is which tasks of each job machines hold, fetching ones included.
func (w *Simulator) heldTasks() map[*Job]map[int]*Agent {
	out := map[*Job]map[int]*Agent{}
	for _, wk := range w.Agents {
		for _, p := range wk.tasks {
			if p.job == nil || p.status == statusEnded {
				continue
			}
			if out[p.job] == nil {
				out[p.job] = map[int]*Agent{}
			}
			out[p.job][p.index] = wk
		}
	}
	return out
}

// freeRoom is what each machine has left. One that the cloud is about to take has none.
func (w *Simulator) freeRoom() map[*Agent]sharding.Resources {
	out := map[*Agent]sharding.Resources{}
	for _, wk := range w.Agents {
		if wk.Hung || wk.warningS != nil {
			continue
		}
		room := capacityOf(wk.machine.MachineType)
		for _, p := range wk.tasks {
			if p.job != nil && p.status != statusEnded {
				room = room.Sub(p.job.need())
			}
		}
		out[wk] = room
	}
	return out
}

// capacityOf is all that a machine of a type has.
func capacityOf(build string) sharding.Resources {
	for _, b := range machineTypes {
		if b["name"] == build {
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
type teamsUse map[string]float64

func (w *Simulator) teamUse() teamsUse {
	use := teamsUse{}
	for _, wk := range w.Agents {
		for _, p := range wk.tasks {
			if p.job != nil && p.status != statusEnded {
				use[p.job.Team] += p.job.Accelerators
			}
		}
	}
	return use
}

// allows tells whether a job's team may have one more task of it, of a gang all, by its
// limit, by the tree of quotas, and by the release calendar.
func (u teamsUse) allows(w *Simulator, j *Job) bool {
	n := 1
	if j.gang() {
		n = j.TaskCount
	}
	j.need()
	key := j.spec.QuotaKey()
	if w.calendar != nil && w.calendar.closed(key) {
		return false
	}
	if w.account != nil && !w.account.Allows(w.account.Tree().Leaf(key), j.spec.Amount(), n) {
		return false
	}
	limit := w.TeamLimits[j.Team]
	return limit == 0 || u[j.Team]+float64(n)*j.Accelerators <= limit+1e-6
}

// allowed tells whether a machine is one that the job allows.
func (j *Job) allowed(wk *Agent) bool {
	return (j.Zone == "" || j.Zone == wk.machine.Zone) && (j.Spot || !wk.machine.Spot) &&
		(len(j.MachineTypes) == 0 || slices.Contains(j.MachineTypes, wk.machine.MachineType)) && j.FailOn != wk.machine.ID
}

// fitsNow tells whether one more task of a job, of a gang all, would have room now.
func (w *Simulator) fitsNow(j *Job, held map[int]*Agent, free map[*Agent]sharding.Resources) bool {
	need := j.need()
	room := map[string]int{} // tasks that each zone has room for
	byName := func(a, b *Agent) int { return strings.Compare(a.machine.ID, b.machine.ID) }
	for _, wk := range slices.SortedFunc(maps.Keys(free), byName) {
		for left := free[wk]; j.allowed(wk) && left.Fits(need) && room[wk.machine.Zone] < j.TaskCount; left = left.Sub(need) {
			room[wk.machine.Zone]++
		}
	}
	in := map[string]int{} // its tasks in each zone
	for _, wk := range held {
		in[wk.machine.Zone]++
	}
	maxInZone := j.TaskCount
	if j.SpreadZones {
		maxInZone = (j.TaskCount + 1) / 2
	}
	total, widest := 0, 0
	for zone, n := range room {
		if j.SameZone && len(in) > 0 && in[zone] == 0 {
			continue // its other tasks are elsewhere
		}
		n = min(n, maxInZone-in[zone])
		total, widest = total+max(n, 0), max(widest, n)
	}
	switch {
	case !j.gang():
		return total > 0
	case j.SameZone:
		return widest >= j.TaskCount
	}
	return total >= j.TaskCount
}
