package shard

import (
	"cmp"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/gangs"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/reconcile"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// placeAgain places tasks that have vanished where they were, under another try: one
// change instead of two, the image is there, and the room was promised to nobody else.
// What is in one record is written at once, when all the machines that it is about were
// heard: one machine at a time, a pack of 200 tasks was written 100 times.
//
// The machine's record is no condition, as it is where a task is placed elsewhere: the
// task is recorded on it before and after, so that whoever deletes it frees the task.
func (pt *Shard) placeAgain() []decide.Decision {
	if len(pt.vanished) == 0 || !pt.budget.Allows(0, tuning.MinBatchWrites) || pt.state.Now.Sub(pt.placedAgainAt) < tuning.PlaceAgainEvery {
		return nil
	}
	pt.placedAgainAt = pt.state.Now
	var all []*clusterstate.Task
	awaits, has := map[*clusterstate.TaskRecord]bool{}, map[*clusterstate.TaskRecord]int{}
	for taskID := range pt.vanished {
		t := pt.task(taskID)
		if t == nil || !t.OnMachine() || !pt.canPlaceAgain(t) {
			delete(pt.vanished, taskID) // a look at its machine tells what it is now
			continue
		}
		if _, known := awaits[t.Stored]; !known {
			awaits[t.Stored] = pt.awaits(t.Stored)
		}
		if !awaits[t.Stored] && !pt.commits.Busy(t.Stored.Key) {
			all = append(all, t)
			has[t.Stored]++
		}
	}
	// The records first that bring back most by one change; Pass puts them in turn.
	slices.SortFunc(all, func(a, b *clusterstate.Task) int {
		return cmp.Or(cmp.Compare(has[b.Stored], has[a.Stored]), strings.Compare(a.Stored.Key, b.Stored.Key), cmp.Compare(a.Index, b.Index))
	})
	var ds []decide.Decision
	for _, t := range all {
		ds = append(ds, pt.placeTaskAgain(t)...)
	}
	return ds
}

// placeTaskAgain is the decision that places a task, or its gang, where it was.
func (pt *Shard) placeTaskAgain(t *clusterstate.Task) []decide.Decision {
	mates := []*clusterstate.Task{t}
	if spec := &t.Job.Record.Spec; spec.IsGang() && spec.TaskCount > 1 {
		mates = mates[:0]
		for n := range spec.TaskCount {
			mates = append(mates, t.Job.Tasks[n])
		}
	}
	if mates[0] != t {
		// The first of a gang speaks for it; without that one it is not whole.
		if m := mates[0]; m != nil && pt.vanished[m.ID] {
			return nil
		}
	}
	d := decide.Decision{ReadSet: []string{jobs.JobPrefix + t.Job.ID}}
	var records []*jobs.Task
	for _, m := range mates {
		if m == nil || !m.OnMachine() || !pt.canPlaceAgain(m) {
			if m != nil && m.OnMachine() && pt.awaits(m.Stored) {
				return nil
			}
			return []decide.Decision{pt.TaskLost(t, jobs.Lost, 0)}
		}
		records = append(records, &m.Task)
	}
	attempt := gangs.NextAttempt(records)
	for _, m := range mates {
		next, ok := jobs.NextTask(m.Task, jobs.TaskEvent{Kind: jobs.PlaceAgain, Attempt: attempt})
		if !ok {
			return []decide.Decision{pt.TaskLost(t, jobs.Lost, 0)}
		}
		d.Changes = append(d.Changes, decide.TransitionTask(m, next)...)
	}
	if len(d.Keys()) > min(tuning.MaxPlaceAgainRecords, pt.config.Cluster.State.TxnOps) {
		return []decide.Decision{pt.TaskLost(t, jobs.Lost, 0)}
	}
	return []decide.Decision{d}
}

// reconcileOrder is the order in which decisions are made while this controller reconciles; on any
// other day they go by rank alone.
func (pt *Shard) reconcileOrder(d *decide.Decision) reconcile.Order {
	if pt.Reconciling.Steady() || len(d.Changes) == 0 {
		return reconcile.Ends
	}
	t := d.Changes[0].Task
	if t.Job.Record == nil {
		return reconcile.Cancelled
	}
	return reconcile.OrderOf(&t.Job.Record.Spec, t.Job.Record.State != jobs.Live, d.Changes[0].Next.State == jobs.Placed)
}

// canPlaceAgain tells whether a task is known to be gone from a machine of this controller's
// that may be given it once more.
func (pt *Shard) canPlaceAgain(t *clusterstate.Task) bool {
	s, m := pt.sessions[t.Machine], pt.state.Machines[t.Machine]
	if s == nil || m == nil || t.State != jobs.Placed || t.Job.Record == nil || t.Job.Record.State != jobs.Live {
		return false
	}
	verdict, _ := s.Judge(t.ID, t.Attempt)
	return verdict == agent.Missing && s.PreemptionNoticeS == nil && pt.scheduler.ClaimedFor(m) == "" && pt.healthy(m) && pt.scheduler.MayBegin(&t.Job.Record.Spec)
}

// awaits tells whether a machine with a task of a record has yet to be heard.
func (pt *Shard) awaits(sl *clusterstate.TaskRecord) bool {
	if pt.Reconciling.Phase() != reconcile.Hearing {
		return false
	}
	for _, t := range sl.Tasks {
		if t.OnMachine() && sl.Holds(t) && pt.Reconciling.Awaits(t.Machine) {
			return true
		}
	}
	return false
}

// MachinesHeardEpoch is the view under which all of this controller's machines were heard, or are
// on the list of those that it does not hear, 0 if some are not.
func (pt *Shard) MachinesHeardEpoch() uint64 {
	for _, h := range pt.Reconciling.Decommissioned() {
		if m := pt.state.Machines[h]; m != nil && m.Owner == pt.config.Name && pt.InUse(m) {
			return 0
		}
	}
	return pt.Reconciling.Heard()
}
