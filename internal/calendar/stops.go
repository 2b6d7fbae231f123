package calendar

import (
	"maps"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// stopDecisions takes back what was released and may not begin any more, and stops what is on
// machines of windows that end so. Services have no end of their own, so they are stopped at
// every end.
func (s *Service) stopDecisions(now Now) []decide.Decision {
	var decisions []decide.Decision
	for _, taskID := range clusterstate.SortedKeys(s.state.Assigned) {
		task := s.state.Assigned[taskID]
		if task.Job.Record == nil || len(decisions) >= tuning.CalendarStops {
			continue
		}
		verdict, _ := s.keeper.Gate(now, task.Job.Record.Spec.QuotaKey())
		if verdict == Shut || verdict == Soon {
			decisions = append(decisions, s.withdrawTasks("window is not open", task)...)
		}
	}
	for _, track := range clusterstate.SortedKeys(s.keeper.holders) {
		holder := s.keeper.holders[track]
		if holder.State != Closing {
			continue
		}
		for _, job := range s.jobsOf(holder) {
			if len(decisions) < tuning.CalendarStops {
				decisions = append(decisions, s.closeJob(job, holder, s.anotherWindowDue(track))...)
			}
		}
	}
	return decisions
}

// jobsOf lists the jobs with tasks that an occurrence let begin, by their IDs.
func (s *Service) jobsOf(occurrence *Occurrence) []*clusterstate.Job {
	var ofWindow []*clusterstate.Job
	for _, job := range s.state.Jobs {
		if len(job.Active) == 0 || job.Record == nil || job.Record.State != jobs.Live {
			continue
		}
		if occurrence.Has(job.Record.Spec.QuotaKey()) {
			ofWindow = append(ofWindow, job)
		}
	}
	slices.SortFunc(ofWindow, func(a, b *clusterstate.Job) int { return strings.Compare(a.ID, b.ID) })
	return ofWindow
}

// closeJob withdraws a job's tasks at its window's end, if they must go: of a gang that is not
// whole on machines no more tasks will come, so the rest goes too.
func (s *Service) closeJob(job *clusterstate.Job, occurrence *Occurrence, trackWanted bool) []decide.Decision {
	var decisions []decide.Decision
	var placed []*clusterstate.Task
	for _, index := range slices.Sorted(maps.Keys(job.Active)) {
		task := job.Active[index]
		if task.State == jobs.Placed {
			placed = append(placed, task)
		}
		if trackWanted && task.State == jobs.Stopping {
			decisions = append(decisions, s.deleteUnresponsive(task)...)
		}
	}
	spec := &job.Record.Spec
	partialGang := spec.IsGang() && len(placed) < spec.TaskCount
	if !occurrence.Stop && spec.Kind != jobs.Service && !partialGang {
		return decisions
	}
	if !spec.IsGang() {
		placed = placed[:min(len(placed), tuning.CalendarStops)]
	}
	return append(decisions, s.withdrawTasks("window "+occurrence.Window+" ended", placed...)...)
}

// withdrawTasks is the decisions that withdraw some tasks of a job. Those of a gang are one
// decision if it fits a transaction: a gang saves only if all its tasks are stopped at once.
func (s *Service) withdrawTasks(reason string, tasks ...*clusterstate.Task) []decide.Decision {
	var single []decide.Decision
	var whole decide.Decision
	gang := len(tasks) > 1 && tasks[0].Job.Record.Spec.IsGang()
	for _, task := range tasks {
		next, ok := jobs.Withdraw(task.Task, reason)
		if !ok || s.commits.Busy(task.StoredIn.Key) {
			if gang {
				return nil // at the next check, as a whole
			}
			continue
		}
		changes := decide.TransitionTask(task, next)
		whole.Changes = append(whole.Changes, changes...)
		single = append(single, decide.Decision{Changes: changes})
	}
	if gang && len(whole.Changes) > 0 && len(whole.Keys()) <= s.config.MaxTxnWrites/2 {
		return []decide.Decision{whole}
	}
	return single
}

// anotherWindowDue tells whether another window of a track is due, or about to be.
func (s *Service) anotherWindowDue(track string) bool {
	record := s.keeper.tracks[track]
	return record != nil && slices.ContainsFunc(record.Occurrences, func(occurrence Occurrence) bool {
		return occurrence.State == Preparing || occurrence.State == Slipped
	})
}

// deleteUnresponsive has an unresponsive machine deleted while a task on it, which is to stop,
// blocks the next window: only the delete proves that the task is gone.
func (s *Service) deleteUnresponsive(task *clusterstate.Task) []decide.Decision {
	now := s.state.Now
	machine := s.state.Machines[task.Machine]
	if machine == nil || now.Sub(task.StateSince) < tuning.HoldsGiveUp || now.Sub(s.leadingSince) < tuning.HoldsGiveUp {
		return nil
	}
	since, unresponsive := s.machines.UnresponsiveSince(machine)
	if !unresponsive || now.Sub(since) < tuning.HoldsGiveUp {
		return nil
	}
	reason := "holds up a window of the calendar with " + task.ID
	return s.machines.TransitionMachine(task.Machine, fleet.Decommission, reason)
}
