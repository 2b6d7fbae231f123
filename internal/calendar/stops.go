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

// stopDecisions returns the decisions that withdraw released tasks which may no longer start, and
// that stop placed tasks of closing windows with at_end = "stop". Services never finish by
// themselves, so they are stopped at the end of every window.
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

// jobsOf returns the live jobs with active tasks whose class an occurrence includes, sorted by ID.
func (s *Service) jobsOf(occurrence *Occurrence) []*clusterstate.Job {
	var jobsOfWindow []*clusterstate.Job
	for _, job := range s.state.Jobs {
		if len(job.Active) == 0 || job.Record == nil || job.Record.State != jobs.Live {
			continue
		}
		if occurrence.Has(job.Record.Spec.QuotaKey()) {
			jobsOfWindow = append(jobsOfWindow, job)
		}
	}
	slices.SortFunc(jobsOfWindow, func(a, b *clusterstate.Job) int { return strings.Compare(a.ID, b.ID) })
	return jobsOfWindow
}

// closeJob returns the decisions that withdraw a job's tasks at the end of its window, if they must
// stop. A gang that is only partly placed is withdrawn too: its missing tasks can't start any more.
// If trackNeeded is set, unresponsive machines that hold up the track are deleted.
func (s *Service) closeJob(job *clusterstate.Job, occurrence *Occurrence, trackNeeded bool) []decide.Decision {
	var decisions []decide.Decision
	var placed []*clusterstate.Task
	for _, index := range slices.Sorted(maps.Keys(job.Active)) {
		task := job.Active[index]
		if task.State == jobs.Placed {
			placed = append(placed, task)
		}
		if trackNeeded && task.State == jobs.Stopping {
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

// withdrawTasks returns the decisions that withdraw some tasks of a job. The tasks of a gang are
// withdrawn by one decision if it fits into a transaction: a gang is checkpointed only if all its
// tasks stop at once.
func (s *Service) withdrawTasks(reason string, tasks ...*clusterstate.Task) []decide.Decision {
	var perTask []decide.Decision
	var wholeGang decide.Decision
	gang := len(tasks) > 1 && tasks[0].Job.Record.Spec.IsGang()
	for _, task := range tasks {
		next, ok := jobs.Withdraw(task.Task, reason)
		if !ok || s.commits.Busy(task.StoredIn.Key) {
			if gang {
				return nil // retried as a whole at the next check
			}
			continue
		}
		changes := decide.TransitionTask(task, next)
		wholeGang.Changes = append(wholeGang.Changes, changes...)
		perTask = append(perTask, decide.Decision{Changes: changes})
	}
	if gang && len(wholeGang.Changes) > 0 && len(wholeGang.Keys()) <= s.config.MaxTxnWrites/2 {
		return []decide.Decision{wholeGang}
	}
	return perTask
}

// anotherWindowDue reports whether another window of a track is due or about to open.
func (s *Service) anotherWindowDue(track string) bool {
	record := s.keeper.tracks[track]
	return record != nil && slices.ContainsFunc(record.Occurrences, func(occurrence Occurrence) bool {
		return occurrence.State == Preparing || occurrence.State == Slipped
	})
}

// deleteUnresponsive deletes an unresponsive machine if a stopping task on it blocks the next
// window: only the deletion proves that the task is gone.
func (s *Service) deleteUnresponsive(task *clusterstate.Task) []decide.Decision {
	now := s.state.Now
	machine := s.state.Machines[task.Machine]
	if machine == nil || now.Sub(task.StateSince) < tuning.BlockedWindowGiveUp ||
		now.Sub(s.leadingSince) < tuning.BlockedWindowGiveUp {
		return nil
	}
	since, unresponsive := s.machines.UnresponsiveSince(machine)
	if !unresponsive || now.Sub(since) < tuning.BlockedWindowGiveUp {
		return nil
	}
	reason := "holds up a window of the calendar with " + task.ID
	return s.machines.TransitionMachine(task.Machine, fleet.Decommission, reason)
}
