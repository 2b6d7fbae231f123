package shard

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/reconcile"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// TaskLost commits that a task is no longer on its machine.
func (pt *Shard) TaskLost(t *clusterstate.Task, kind jobs.TaskEventKind, pause time.Duration) decide.Decision {
	if t.Job.Record == nil || t.Job.Record.State != jobs.Live {
		kind = jobs.Lost
	}
	next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: kind, NotBeforeMs: pt.state.NowMs() + pause.Milliseconds()})
	if !ok {
		return decide.Decision{}
	}
	return decide.Decision{Changes: decide.TransitionTask(t, next), ReadSet: []string{jobs.JobPrefix + t.Job.ID}}
}

// ended commits a reported end.
func (pt *Shard) ended(s *agent.Session, t *clusterstate.Task, p agent.TaskStatus) decide.Decision {
	h := pt.healthOf(s.Machine)
	if t.Job.Record == nil || t.Job.Record.State != jobs.Live {
		return pt.TaskLost(t, jobs.Lost, 0)
	}
	switch p.Cause {
	case agent.CauseDone:
		h.Succeeded()
		if t.Job.Record.Spec.Kind == jobs.Service {
			return pt.TaskLost(t, jobs.Lost, 0)
		}
		m := pt.state.Machines[s.Machine]
		inUse := m != nil && m.State != fleet.Deleting && m.State != fleet.Deleted
		if d, whole := completion.WithLastTask(t); whole && (inUse || !t.Stored.IsBatch()) {
			return d
		}
		return pt.TaskLost(t, jobs.Complete, 0)
	case agent.CauseError:
		d := pt.TaskLost(t, jobs.Fail, jobs.Backoff(t.Failures))
		pt.blame(s.Machine, h, t)
		return d
	case agent.CauseNoSuch:
		return pt.TaskLost(t, jobs.Fail, jobs.Backoff(t.Failures))
	case agent.CauseNoRoom, agent.CauseInUse:
		h.Rest(pt.state.Now.Add(tuning.RefusedRest))
		return pt.TaskLost(t, jobs.Lost, tuning.Backoff)
	}
	return pt.TaskLost(t, jobs.Lost, 0)
}

// free is what becomes of a recorded task that is not on its machine. While this
// controller reconciles, one that vanished from a machine that may hold it still, as it
// does where the lease ran out, is left to placeAnew.
func (pt *Shard) free(t *clusterstate.Task, why reconcile.Difference, out *review) {
	if !pt.Reconciling.Steady() && why == reconcile.Vanished && pt.canPlaceAgain(t) {
		pt.vanished[t.ID] = true
		out.gathering = true
		return
	}
	out.decisions = append(out.decisions, pt.TaskLost(t, jobs.Lost, 0))
}

// blame tells a faulty machine from a faulty job. A job that has failed on
// several machines is itself to blame and costs no machine; a machine on which
// several blameless jobs fail, or one that others finish elsewhere, is faulty.
func (pt *Shard) blame(machine string, h *fleet.Health, t *clusterstate.Task) {
	if pt.state.Trust(t.Job, machine) == jobs.Probing {
		return
	}
	blameless := func(jobID string) bool {
		j := pt.state.Jobs[jobID]
		return j != nil && j.Record != nil && j.Record.State == jobs.Live && pt.state.Trust(j, "") == jobs.Trusted
	}
	if h.Failed(t.Job.ID, pt.state.Now, t.Job.DoneCount > 0, blameless) {
		pt.commitTransition(machine, fleet.Unhealthy, "tasks fail on it")
	}
}
