package simulation

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

const (
	// cancelNowWithin is the interval over which CancelNow spreads its cancellations.
	cancelNowWithin = 200 * time.Millisecond
	// minRemaining is the minimum remaining run time of jobs that CancelNow cancels, since
	// cancelling a job that is about to end tests nothing.
	minRemaining = 20 * time.Second
	// maxHungMachines is the maximum number of machines that one CancelNow hangs.
	maxHungMachines = 8
)

// CancelNow cancels up to count running jobs with a long remaining run time within 200 ms. If hang
// is positive, up to maxHungMachines machines with tasks of these jobs hang for that long. It
// returns the number of jobs.
func (sim *Simulator) CancelNow(count int, hang time.Duration) int {
	var candidates []*Job
	for _, j := range sim.sortedJobs() {
		remaining := j.BegunAt.Add(time.Duration(j.RunS * float64(time.Second))).Sub(sim.Now)
		if j.awaitedByUser() && j.Status != "done" && sim.Running(j.ID) > 0 &&
			(j.Kind == jobs.Service || remaining >= minRemaining) {
			candidates = append(candidates, j)
		}
	}
	sim.RNG.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	candidates = candidates[:min(count, len(candidates))]
	for _, j := range candidates {
		sim.After(time.Duration(sim.RNG.Int64N(int64(cancelNowWithin))), func() {
			if j.Status != "done" && !j.CancelRequested {
				sim.Cancel(j)
			}
		})
	}
	if hang > 0 {
		sim.hangMachinesOf(candidates, hang)
	}
	return len(candidates)
}

// hangMachinesOf hangs machines with tasks of these jobs for d.
func (sim *Simulator) hangMachinesOf(js []*Job, d time.Duration) {
	remaining := maxHungMachines
	for _, machine := range sim.Machines() {
		ag := sim.Agents[machine]
		if remaining == 0 || ag.Hung {
			continue
		}
		for _, task := range ag.tasks {
			if task.onMachine() && slices.Contains(js, task.job) {
				ag.Hung = true
				remaining--
				sim.After(d, func() {
					if ag.Hung {
						ag.Resume()
					}
				})
				break
			}
		}
	}
}

// RequestEverywhere requests a job's status from every controller and repeats the submission there,
// and also the cancellation if it has been requested.
func (sim *Simulator) RequestEverywhere(j *Job) {
	entryNode := sim.EntryNode
	defer func() { sim.EntryNode = entryNode }()
	for _, sim.EntryNode = range sim.NodeNames {
		sim.request("GET", "/work/"+j.ID, nil, func(status int, b []byte, err error) {
			if err == nil && status == 404 && j.Accepted {
				sim.ReportViolation("forgotten: %s gets 404", j.ID)
			}
			if err == nil && status == 200 {
				sim.checkStatus(j, b)
			}
		})
		sim.Resubmit(j)
		if j.CancelRequested {
			sim.request("POST", "/work/"+j.ID+"/abort", nil, func(status int, b []byte, err error) {
				if err == nil && status == 200 {
					sim.checkStatus(j, b)
				}
			})
		}
	}
}

// CancelledTasksOnMachines returns the tasks on machines that are not hung whose jobs were reported
// as cancelled.
func (sim *Simulator) CancelledTasksOnMachines() (out []string) {
	for _, ag := range sim.Agents {
		for _, task := range ag.tasks {
			if task.onMachine() && task.job != nil && task.job.Cancelled && !ag.Hung {
				out = append(out, task.taskID)
			}
		}
	}
	slices.Sort(out)
	return out
}
