package simulation

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// gangTasks lists the tasks of a gang's attempt that have not ended.
func (w *Simulator) gangTasks(j *Job, attempt uint64) map[*agentTask]*Agent {
	out := map[*agentTask]*Agent{}
	for _, wk := range w.Agents {
		for _, p := range wk.tasks {
			if p.job == j && p.attempt == attempt && p.status != statusEnded {
				out[p] = wk
			}
		}
	}
	return out
}

func (w *Simulator) startGang(j *Job, attempt uint64) {
	peers := w.gangTasks(j, attempt)
	if len(peers) < j.TaskCount {
		return
	}
	for p := range peers {
		if p.status != statusWaiting {
			return
		}
	}
	for p, wk := range peers {
		wk.run(p)
	}
	hungSince := map[*Agent]time.Time{}
	var watch func()
	watch = func() {
		now := w.gangTasks(j, attempt)
		if len(now) == 0 {
			return
		}
		gone := len(now) < j.TaskCount
		for _, wk := range now {
			switch since, seen := hungSince[wk]; {
			case !wk.Hung:
				delete(hungSince, wk)
			case !seen:
				hungSince[wk] = w.Now
			case w.Now.Sub(since).Seconds() >= w.GangPeerS:
				gone = true
			}
		}
		for p, wk := range now {
			if gone && !wk.Hung { // one that hangs notices when it goes on
				wk.end(p, "mates_gone", false)
			}
		}
		w.After(time.Second, watch)
	}
	w.After(time.Second, watch)
}

// endGang completes a gang: if one of its tasks is done, every task is.
func (w *Simulator) endGang(j *Job, attempt uint64) {
	for n := range j.TaskCount {
		j.Done[n] = true
	}
	j.LastDone = w.Now
	w.jobEnded(j)
	for p, wk := range w.gangTasks(j, attempt) {
		wk.end(p, "done", false)
	}
}

// stopGracefully has a gang's task save before it stops. Progress is saved only if all
// tasks of the gang get the command within GangPeerS of the first.
func (wk *Agent) stopGracefully(p *agentTask) {
	w := wk.sim
	if p.status != statusRunning {
		wk.end(p, "stopped", false)
		return
	}
	p.status, wk.changed = statusSaving, true
	peers := w.gangTasks(p.job, p.attempt)
	first, all := true, len(peers) == p.job.TaskCount
	for m := range peers {
		first = first && (m == p || m.status != statusSaving)
		all = all && m.status == statusSaving
	}
	if first {
		w.Loans.notify("told", wk.machine.ID)
		w.After(time.Duration(w.GangPeerS*float64(time.Second)), func() {
			if !p.saved {
				w.Loans.Fell++
			}
			for m, at := range w.gangTasks(p.job, p.attempt) {
				at.end(m, "mates_gone", false)
			}
		})
	}
	if all {
		w.Loans.Saved++
		for m, at := range peers {
			at.after(m, 1, func() { at.end(m, "stopped", true) })
		}
	}
}

func (j *Job) gang() bool { return j.Kind == jobs.Gang && j.TaskCount > 1 }
