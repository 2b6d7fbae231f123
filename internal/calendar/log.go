package calendar

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// logTime formats a wall-clock time in Unix ms for the log.
func logTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

// logTransition logs a state change of an occurrence.
func (s *Service) logTransition(track string, transition Transition) {
	s.config.Log.Info("window changed state",
		"track", track,
		"window", transition.Window,
		"begin", logTime(transition.Begin),
		"from", string(transition.From),
		"to", string(transition.To))
}

// logBlocked logs each occurrence that can't open because its track is not proven free, once.
func (s *Service) logBlocked() {
	for _, track := range clusterstate.SortedKeys(s.keeper.blocked) {
		transition := s.keeper.blocked[track]
		id := track + " " + occurrenceKey(transition.Window, transition.Begin)
		if s.logged[id] {
			continue
		}
		s.logged[id] = true
		s.config.Log.Info("window blocked by its track",
			"track", track,
			"window", transition.Window,
			"begin", logTime(transition.Begin))
	}
}

// logLateJobs logs each job that waits for a window and can't meet its deadline, once.
func (s *Service) logLateJobs(now Now) {
	if s.state.Now.Sub(s.lateCheckedAt) < tuning.CalendarLateCheckEvery {
		return
	}
	s.lateCheckedAt = s.state.Now
	if len(s.logged) > tuning.MaxCalendarLogged {
		clear(s.logged)
	}
	for _, jobID := range clusterstate.SortedKeys(s.state.Queued) {
		if s.logged[jobID] {
			continue
		}
		record := s.state.Queued[jobID].Record
		opensMs, dueMs, late := s.keeper.late(now, record)
		if !late {
			continue
		}
		s.logged[jobID] = true
		s.config.Log.Info("job late by its window",
			"job_id", jobID,
			"class", record.Spec.Class,
			"due", logTime(dueMs),
			"opens", logTime(opensMs))
	}
}
