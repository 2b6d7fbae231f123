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

// trackReview records the result of a machine's review in the reconciliation tracker.
func (s *Shard) trackReview(session *agent.Session, found *review) {
	switch {
	case s.Reconciling.Steady():
	case session.State != agent.Known:
		if s.provisioner.Decommissioning(session.Machine) {
			s.Reconciling.ApplyEvent(session.Machine, reconcile.CallUnanswered, s.state.Now)
		}
	case len(found.commands) > 0 || len(found.decisions) > 0 || found.vanished || found.busy:
		s.Reconciling.ApplyEvent(session.Machine, reconcile.HeartbeatReceived, s.state.Now)
		s.Reconciling.ApplyEvent(session.Machine, reconcile.RecordsDiffer, s.state.Now)
	default:
		s.Reconciling.ApplyEvent(session.Machine, reconcile.HeartbeatReceived, s.state.Now)
		s.Reconciling.ApplyEvent(session.Machine, reconcile.RecordsMatch, s.state.Now)
	}
}

// placeAgain returns the decisions that place vanished tasks on the same machines again, under a
// new attempt. Compared with freeing and rescheduling a task, this takes one write instead of two,
// the image is already on the machine, and the capacity is still reserved for the task. A record is
// written only once all machines that it refers to have been heard from: when it was written
// machine by machine, a batch record of 200 tasks was written 100 times.
//
// Unlike other placements, these do not have the machine's record as a precondition: the task is
// recorded on the machine both before and after, so whoever deletes the machine frees the task.
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

// tasksToPlaceAgain returns the vanished tasks whose records can be written now, in the order in
// which they are to be committed: the records that restore the most tasks with one write come
// first.
func (s *Shard) tasksToPlaceAgain() []*clusterstate.Task {
	var tasks []*clusterstate.Task
	awaitsMachine := map[*clusterstate.TaskRecord]bool{}
	taskCount := map[*clusterstate.TaskRecord]int{}
	for taskID := range s.vanishedTasks {
		task := s.taskByID(taskID)
		if task == nil || !task.OnMachine() || !s.canPlaceAgain(task) {
			delete(s.vanishedTasks, taskID) // the next review of its machine handles it
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

// placeTaskAgain returns the decision that places a task, or all of its gang, on the same machines
// again. If that is not possible, the decision frees the task. It returns nil if the task is
// handled with another of its gang, or if a machine of the gang has yet to be heard from.
func (s *Shard) placeTaskAgain(task *clusterstate.Task) []decide.Decision {
	members := gangMembers(task)
	if first := members[0]; first != task && first != nil && s.vanishedTasks[first.ID] {
		return nil // handled with the gang's first task; if that has not vanished, the gang is incomplete
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

// gangMembers returns the tasks of a task's gang by index, with nil for each task that does not
// exist. A task without a gang is returned alone.
func gangMembers(task *clusterstate.Task) []*clusterstate.Task {
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

// canPlaceAgain reports whether a task is known to have vanished from a machine of this shard on
// which it may be placed again.
func (s *Shard) canPlaceAgain(task *clusterstate.Task) bool {
	session, machine := s.sessions[task.Machine], s.state.Machines[task.Machine]
	if session == nil || machine == nil || task.State != jobs.Placed || !isLive(task.Job) {
		return false
	}
	attemptState, _ := session.AttemptState(task.ID, task.Attempt)
	return attemptState == agent.Missing &&
		session.PreemptionNoticeS == nil &&
		s.scheduler.ClaimedFor(machine) == "" &&
		s.isHealthy(machine) &&
		s.scheduler.MayBegin(&task.Job.Record.Spec)
}

// awaitsMachine reports whether a heartbeat is still awaited from a machine that holds one of the
// record's tasks.
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

// recoveryOrder returns the rank of a decision in the commit order while this controller reconciles
// after its start. Otherwise decisions are ordered by priority alone.
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

// MachinesHeardEpoch returns the epoch of the view under which every machine of this controller has
// sent a heartbeat or is published as unresponsive. It returns 0 while some machine has done
// neither.
func (s *Shard) MachinesHeardEpoch() uint64 {
	for _, name := range s.Reconciling.Decommissioned() {
		if machine := s.state.Machines[name]; machine != nil && machine.Owner == s.config.Name && s.InUse(machine) {
			return 0
		}
	}
	return s.Reconciling.MachinesHeardEpoch()
}
