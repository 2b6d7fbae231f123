package simulation

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// gangTasks returns the tasks of an attempt of a gang that have not ended, with their agents.
func (sim *Simulator) gangTasks(j *Job, attempt uint64) map[*agentTask]*Agent {
	out := map[*agentTask]*Agent{}
	for _, ag := range sim.Agents {
		for _, task := range ag.tasks {
			if task.job == j && task.attempt == attempt && task.status != statusEnded {
				out[task] = ag
			}
		}
	}
	return out
}

// startGangIfComplete runs the tasks of a gang once all of them wait, and from then on ends them if
// one is missing or its machine hangs for GangPeerS.
func (sim *Simulator) startGangIfComplete(j *Job, attempt uint64) {
	peers := sim.gangTasks(j, attempt)
	if len(peers) < j.TaskCount {
		return
	}
	for task := range peers {
		if task.status != statusWaiting {
			return
		}
	}
	for task, ag := range peers {
		ag.run(task)
	}
	hungSince := map[*Agent]time.Time{}
	var watch func()
	watch = func() {
		current := sim.gangTasks(j, attempt)
		if len(current) == 0 {
			return
		}
		taskLost := len(current) < j.TaskCount
		for _, ag := range current {
			switch since, seen := hungSince[ag]; {
			case !ag.Hung:
				delete(hungSince, ag)
			case !seen:
				hungSince[ag] = sim.Now
			case sim.Now.Sub(since).Seconds() >= sim.GangPeerS:
				taskLost = true
			}
		}
		for task, ag := range current {
			if taskLost && !ag.Hung { // a hung machine notices after it has resumed
				ag.end(task, "mates_gone", false)
			}
		}
		sim.After(time.Second, watch)
	}
	sim.After(time.Second, watch)
}

// endGang completes a gang: as soon as one of its tasks is done, all are.
func (sim *Simulator) endGang(j *Job, attempt uint64) {
	for n := range j.TaskCount {
		j.Done[n] = true
	}
	j.LastDone = sim.Now
	sim.jobEnded(j)
	for task, ag := range sim.gangTasks(j, attempt) {
		ag.end(task, "done", false)
	}
}

// stopGracefully saves a task of a gang before it stops. Progress is saved only if all tasks of the
// gang get the command within GangPeerS of the first.
func (ag *Agent) stopGracefully(task *agentTask) {
	sim := ag.sim
	if task.status != statusRunning {
		ag.end(task, "stopped", false)
		return
	}
	task.status, ag.changed = statusSaving, true
	peers := sim.gangTasks(task.job, task.attempt)
	first, all := true, len(peers) == task.job.TaskCount
	for peer := range peers {
		first = first && (peer == task || peer.status != statusSaving)
		all = all && peer.status == statusSaving
	}
	if first {
		sim.Loans.notify("told", ag.machine.ID)
		sim.After(time.Duration(sim.GangPeerS*float64(time.Second)), func() {
			if !task.saved {
				sim.Loans.StoppedUnsaved++
			}
			for peer, peerAgent := range sim.gangTasks(task.job, task.attempt) {
				peerAgent.end(peer, "mates_gone", false)
			}
		})
	}
	if all {
		sim.Loans.StoppedSaved++
		for peer, peerAgent := range peers {
			peerAgent.after(peer, 1, func() { peerAgent.end(peer, "stopped", true) })
		}
	}
}

// gang reports whether the job is a gang of more than one task.
func (j *Job) gang() bool { return j.Kind == jobs.Gang && j.TaskCount > 1 }
