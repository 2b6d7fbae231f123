package simulation

import (
	"cmp"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// pullImage pulls the task's image and then starts the task.
func (ag *Agent) pullImage(task *agentTask) {
	pullS := task.job.PullS * cmp.Or(ag.PullFactor, 1)
	if ag.sim.KeepImages && ag.images[task.job.Image] {
		pullS = 0
	}
	ag.after(task, pullS, func() {
		if ag.images == nil {
			ag.images = map[string]bool{}
		}
		ag.images[task.job.Image] = true
		ag.begin(task)
	})
}

// jobFromRecord creates a Job from the job's record in the store, for jobs that no simulated user
// submitted: those of real clients over sockets and those of the steps of pipeline runs. Tasks of
// the bundle "broken" fail on every machine.
func (sim *Simulator) jobFromRecord(jobID string) *Job {
	it, ok := sim.Store.items[jobs.JobPrefix+jobID]
	if !ok {
		return nil
	}
	r, err := jobs.DecodeRecord(jobID, it.Value)
	if err != nil {
		return nil
	}
	j := &Job{
		ID:                  jobID,
		spec:                &r.Spec,
		Kind:                r.Spec.Kind,
		Team:                r.Spec.Team,
		TaskCount:           r.Spec.TaskCount,
		Accelerators:        r.Spec.Accelerators,
		RunS:                r.Spec.ExpectedDurationS,
		PullS:               r.Spec.ImageGB,
		SameZone:            r.Spec.SameZone,
		SpreadZones:         r.Spec.SpreadZones,
		Spot:                r.Spec.Spot,
		Zone:                r.Spec.Zone,
		MachineTypes:        r.Spec.MachineTypes,
		CheckpointIntervalS: r.Spec.CheckpointIntervalS,
		Body:                it.Value,
		Accepted:            true,
		Done:                map[int]bool{},
	}
	if r.Spec.Image == "broken" {
		j.FailOn = "every"
	}
	sim.Jobs[jobID] = j
	return j
}

// after runs f s seconds later, unless the task's status has changed or the machine is gone by
// then. On a hung machine f waits for the end of the hang.
func (ag *Agent) after(task *agentTask, s float64, f func()) {
	gen := task.generation
	ag.sim.After(time.Duration(s*float64(time.Second)), func() {
		if ag.dead || task.generation != gen || ag.tasks[attemptKey(task.taskID, task.attempt)] != task {
			return
		}
		if ag.Hung {
			ag.queue = append(ag.queue, func() {
				if task.generation == gen { // an earlier entry of the queue may have ended the task
					ag.after(task, 0, f)
				}
			})
			return
		}
		f()
	})
}

// begin starts a task whose image is on the machine, and checks the rules for starts.
func (ag *Agent) begin(task *agentTask) {
	ag.sim.checkStart(ag, task)
	task.generation++
	ag.changed = true
	if task.job.FailOn == "every" || task.job.FailOn == ag.machine.ID {
		ag.end(task, "error", false)
		return
	}
	if task.job.Kind == jobs.Gang && task.job.TaskCount > 1 {
		task.status = statusWaiting
		ag.after(task, ag.sim.GangWaitS, func() { ag.end(task, "alone", false) })
		ag.sim.startGangIfComplete(task.job, task.attempt)
		return
	}
	ag.run(task)
}

// run sets a task to running and schedules its end; services run until they are stopped.
func (ag *Agent) run(task *agentTask) {
	task.status = statusRunning
	if task.job.BegunAt.IsZero() {
		task.job.BegunAt = ag.sim.Now
	}
	task.generation++
	ag.changed = true
	if task.job.Kind == jobs.Service {
		return
	}
	ag.after(task, task.job.RunS+float64(task.index)*task.job.RunIncrementS, func() {
		if task.job.gang() {
			ag.sim.endGang(task.job, task.attempt)
			return
		}
		task.job.Done[task.index], task.job.LastDone = true, ag.sim.Now
		if len(task.job.Done) == task.job.TaskCount {
			ag.sim.jobEnded(task.job)
		}
		ag.end(task, "done", false)
	})
}
