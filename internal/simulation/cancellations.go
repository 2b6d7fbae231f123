package simulation

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

const (
	// cancelNowWithin is how far apart the cancellations of one CancelNow are at most.
	cancelNowWithin = 200 * time.Millisecond
	// minRemaining is what a job has left to run at least, to be called off by CancelNow: one
	// that ends by itself soon shows nothing.
	minRemaining = 20 * time.Second
	// maxHungMachines machines stand still at one CancelNow.
	maxHungMachines = 8
)

// CancelNow has users call off so many jobs that run and have long to go, within a fifth of
// a second. With hang, up to eight machines with their tasks stand still for so long. It
// gives back how many jobs there were.
func (w *Simulator) CancelNow(count int, hang time.Duration) int {
	var long []*Job
	for _, j := range w.sortedJobs() {
		left := j.BegunAt.Add(time.Duration(j.RunS * float64(time.Second))).Sub(w.Now)
		if j.ofUser() && j.Status != "done" && w.Running(j.ID) > 0 && (j.Kind == jobs.Service || left >= minRemaining) {
			long = append(long, j)
		}
	}
	w.RNG.Shuffle(len(long), func(a, b int) { long[a], long[b] = long[b], long[a] })
	long = long[:min(count, len(long))]
	for _, j := range long {
		w.After(time.Duration(w.RNG.Int64N(int64(cancelNowWithin))), func() {
			if j.Status != "done" && !j.CancelRequested {
				w.Cancel(j)
			}
		})
	}
	if hang > 0 {
		w.hangUnder(long, hang)
	}
	return len(long)
}

// hangUnder has machines with tasks of these jobs stand still.
func (w *Simulator) hangUnder(js []*Job, d time.Duration) {
	left := maxHungMachines
	for _, machine := range w.Machines() {
		wk := w.Agents[machine]
		if left == 0 || wk.Hung {
			continue
		}
		for _, p := range wk.tasks {
			if p.onMachine() && slices.Contains(js, p.job) {
				wk.Hung = true
				left--
				w.After(d, func() {
					if wk.Hung {
						wk.Resume()
					}
				})
				break
			}
		}
	}
}

// RequestEverywhere has a job's user ask at every controller, repeat the submission there and,
// once the job was called off, the cancellation too.
func (w *Simulator) RequestEverywhere(j *Job) {
	door := w.EntryNode
	defer func() { w.EntryNode = door }()
	for _, w.EntryNode = range w.NodeNames {
		w.request("GET", "/work/"+j.ID, nil, func(status int, b []byte, err error) {
			if err == nil && status == 404 && j.Accepted {
				w.RuleBroken("forgotten: %s gets 404", j.ID)
			}
			if err == nil && status == 200 {
				w.checkStatus(j, b)
			}
		})
		w.Resubmit(j)
		if j.CancelRequested {
			w.request("POST", "/work/"+j.ID+"/abort", nil, func(status int, b []byte, err error) {
				if err == nil && status == 200 {
					w.checkStatus(j, b)
				}
			})
		}
	}
}

// CancelledOn lists the tasks of jobs reported as cancelled which are on machines
// that do not hang.
func (w *Simulator) CancelledOn() (out []string) {
	for _, wk := range w.Agents {
		for _, p := range wk.tasks {
			if p.onMachine() && p.job != nil && p.job.Cancelled && !wk.Hung {
				out = append(out, p.taskID)
			}
		}
	}
	slices.Sort(out)
	return out
}
