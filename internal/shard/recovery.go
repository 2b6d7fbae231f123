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

// noteReview tells the tracker of the reconciliation what a machine's review has found.
func (s *Shard) noteReview(session *agent.Session, found *review) {
	switch {
	case s.Reconciling.Steady():
	case session.State != agent.Known:
		if s.provisioner.GivenUp(session.Machine) {
			s.Reconciling.Record(session.Machine, reconcile.CallUnanswered, s.state.Now)
		}
	case len(found.commands) > 0 || len(found.decisions) > 0 || found.vanished || found.busy:
		s.Reconciling.Record(session.Machine, reconcile.HeartbeatReceived, s.state.Now)
		s.Reconciling.Record(session.Machine, reconcile.RecordsDiffer, s.state.Now)
	default:
		s.Reconciling.Record(session.Machine, reconcile.HeartbeatReceived, s.state.Now)
		s.Reconciling.Record(session.Machine, reconcile.RecordsMatch, s.state.Now)
	}
}

// placeAgain places tasks that have vanished where they were, under another attempt: one
// write instead of two, the image is there, and the capacity was promised to nobody else.
// What is in one record is written at once, when all the machines that it is about were
// heard: one machine at a time, a batch record of 200 tasks was written 100 times.
//
// The machine's record is no precondition, as it is where a task is placed elsewhere: the
// task is recorded on it before and after, so that whoever deletes it frees the task.
func (s *Shard) placeAgain() []decide.Decision {
	if len(s.vanishedTasks) == 0 || !s.budget.Allows(0, tuning.MinBatchWrites) ||
		s.state.Now.Sub(s.placedAgainAt) < tuning.PlaceAgainEvery {
		return nil
	}
	s.placedAgainAt = s.state.Now
	var decisions []decide.Decision
	for _, task := range s.tasksToPlaceAgain() {
		decisions = append(decisions, s.placeTaskAgain(task)...)
	}
	return decisions
}

// tasksToPlaceAgain are the vanished tasks whose records can be written now. Those records
// come first that bring back the most tasks by one write; the commit queue takes them in
// this order.
func (s *Shard) tasksToPlaceAgain() []*clusterstate.Task {
	var tasks []*clusterstate.Task
	awaitsMachine := map[*clusterstate.TaskRecord]bool{}
	taskCount := map[*clusterstate.TaskRecord]int{}
	for taskID := range s.vanishedTasks {
		task := s.task(taskID)
		if task == nil || !task.OnMachine() || !s.canPlaceAgain(task) {
			delete(s.vanishedTasks, taskID) // its machine's review tells what it is now
			continue
		}
		if _, known := awaitsMachine[task.StoredIn]; !known {
			awaitsMachine[task.StoredIn] = s.awaitsMachine(task.StoredIn)
		}
		if !awaitsMachine[task.StoredIn] && !s.commits.Busy(task.StoredIn.Key) {
			tasks = append(tasks, task)
			taskCount[task.StoredIn]++
		}
	}
	slices.SortFunc(tasks, func(a, b *clusterstate.Task) int {
		return cmp.Or(
			cmp.Compare(taskCount[b.StoredIn], taskCount[a.StoredIn]),
			strings.Compare(a.StoredIn.Key, b.StoredIn.Key),
			cmp.Compare(a.Index, b.Index),
		)
	})
	return tasks
}

// placeTaskAgain is the decision that places a task, or its gang, where it was.
func (s *Shard) placeTaskAgain(task *clusterstate.Task) []decide.Decision {
	members := gangOf(task)
	if first := members[0]; first != task && first != nil && s.vanishedTasks[first.ID] {
		return nil // the first of a gang decides for it; without that one it is not whole
	}
	lost := func() []decide.Decision { return []decide.Decision{s.EndAttempt(task, jobs.Lost, 0)} }
	var records []*jobs.Task
	for _, member := range members {
		if member == nil || !member.OnMachine() || !s.canPlaceAgain(member) {
			if member != nil && member.OnMachine() && s.awaitsMachine(member.StoredIn) {
				return nil
			}
			return lost()
		}
		records = append(records, &member.Task)
	}
	decision := decide.Decision{ReadSet: []string{jobs.JobPrefix + task.Job.ID}}
	attempt := gangs.NextAttempt(records)
	for _, member := range members {
		next, ok := jobs.NextTask(member.Task, jobs.TaskEvent{Kind: jobs.PlaceAgain, Attempt: attempt})
		if !ok {
			return lost()
		}
		decision.Changes = append(decision.Changes, decide.TransitionTask(member, next)...)
	}
	if len(decision.Keys()) > min(tuning.MaxPlaceAgainRecords, s.config.Cluster.State.TxnOps) {
		return lost()
	}
	return []decide.Decision{decision}
}

// gangOf is the tasks of a task's gang in order, nil where one is missing, or the task
// alone.
func gangOf(task *clusterstate.Task) []*clusterstate.Task {
	spec := &task.Job.Record.Spec
	if !spec.IsGang() || spec.TaskCount <= 1 {
		return []*clusterstate.Task{task}
	}
	members := make([]*clusterstate.Task, 0, spec.TaskCount)
	for index := range spec.TaskCount {
		members = append(members, task.Job.Tasks[index])
	}
	return members
}

// canPlaceAgain tells whether a task is known to be gone from a machine of this shard that
// may be given it once more.
func (s *Shard) canPlaceAgain(task *clusterstate.Task) bool {
	session, machine := s.sessions[task.Machine], s.state.Machines[task.Machine]
	if session == nil || machine == nil || task.State != jobs.Placed || !isLive(task.Job) {
		return false
	}
	verdict, _ := session.Judge(task.ID, task.Attempt)
	return verdict == agent.Missing &&
		session.PreemptionNoticeS == nil &&
		s.scheduler.ClaimedFor(machine) == "" &&
		s.isHealthy(machine) &&
		s.scheduler.MayBegin(&task.Job.Record.Spec)
}

// awaitsMachine tells whether a machine with a task of a record has yet to be heard.
func (s *Shard) awaitsMachine(record *clusterstate.TaskRecord) bool {
	if s.Reconciling.Phase() != reconcile.Hearing {
		return false
	}
	for _, task := range record.Tasks {
		if task.OnMachine() && record.Holds(task) && s.Reconciling.Awaits(task.Machine) {
			return true
		}
	}
	return false
}

// recoveryOrder is the order in which decisions are committed while this controller
// reconciles; at all other times they go by priority alone.
func (s *Shard) recoveryOrder(decision *decide.Decision) reconcile.Order {
	if s.Reconciling.Steady() || len(decision.Changes) == 0 {
		return reconcile.Ends
	}
	change := decision.Changes[0]
	job := change.Task.Job
	if job.Record == nil {
		return reconcile.Cancelled
	}
	return reconcile.OrderOf(&job.Record.Spec, job.Record.State != jobs.Live, change.Next.State == jobs.Placed)
}

// MachinesHeardEpoch is the view under which all of this controller's machines were heard,
// or are published as unresponsive; 0 if some are neither.
func (s *Shard) MachinesHeardEpoch() uint64 {
	for _, name := range s.Reconciling.Decommissioned() {
		if machine := s.state.Machines[name]; machine != nil && machine.Owner == s.config.Name && s.InUse(machine) {
			return 0
		}
	}
	return s.Reconciling.MachinesHeardEpoch()
}
