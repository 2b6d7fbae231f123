package api

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// errNoJob is returned when the state service has neither a live nor a final record of the job.
var errNoJob = errors.New("no such job")

// sharedRead is a read of one job's state that has not been sent yet. Requests that arrive before
// it is sent share it. Later ones do not: its result may be older than what another controller has
// told the user in the meantime.
type sharedRead struct {
	waiting []func(jobs.StoredState, error)
}

// readJob reads a job's state from the state service; only final states are taken from memory. It
// calls done with errNoJob for an unknown job, and with errors of the state service unchanged.
func (s *Server) readJob(jobID string, done func(jobs.StoredState, error)) {
	if found, ok := s.finals.Get(jobID); ok {
		done(found, nil)
		return
	}
	if s.client.Unavailable() {
		done(jobs.StoredState{}, store.ErrUnavailable)
		return
	}
	if shared := s.sharedReads[jobID]; shared != nil {
		shared.waiting = append(shared.waiting, done)
		return
	}
	shared := &sharedRead{waiting: []func(jobs.StoredState, error){done}}
	s.sharedReads[jobID] = shared
	stopSharing := func() {
		if s.sharedReads[jobID] == shared {
			delete(s.sharedReads, jobID)
		}
	}
	s.readRecords(jobID, stopSharing, func(found jobs.StoredState, err error) {
		stopSharing()
		for _, done := range shared.waiting {
			done(found, err)
		}
	})
}

// readRecords reads a job's live record and, if that is missing or unreadable, its final record. A
// live record is deleted only after the final one is written, so reading in this order cannot miss
// both. sent is called when the first read is sent.
func (s *Server) readRecords(jobID string, sent func(), done func(jobs.StoredState, error)) {
	s.client.Get(store.PriorityUser, jobs.JobPrefix+jobID, sent, func(item *store.Item, err error) {
		if err != nil {
			done(jobs.StoredState{}, err)
			return
		}
		if item != nil {
			s.mirror.Put(item.Key, item.Value, item.Revision)
			if record, err := jobs.DecodeRecord(jobID, item.Value); err == nil {
				found := jobs.StoredState{State: record.State, DoneCount: record.DoneCount}
				s.finals.Put(jobID, found)
				done(found, nil)
				return
			}
		}
		s.readFinal(jobID, item != nil, done)
	})
}

// readFinal reads a job's final record. accepted is true if the job has a live record that cannot
// be decoded. The final record is written in the transaction that ends the job, so a job without
// one has not ended and is reported as live: refusing its user forever would amount to losing the
// job.
func (s *Server) readFinal(jobID string, accepted bool, done func(jobs.StoredState, error)) {
	s.client.Get(store.PriorityUser, jobs.FinalPrefix+jobID, nil, func(item *store.Item, err error) {
		switch {
		case err != nil:
			done(jobs.StoredState{}, err)
			return
		case item == nil && accepted:
			done(jobs.StoredState{State: jobs.Live}, nil)
			return
		case item == nil:
			done(jobs.StoredState{}, errNoJob)
			return
		}
		var final jobs.StoredState
		if err := json.Unmarshal(item.Value, &final); err != nil {
			done(jobs.StoredState{}, err)
			return
		}
		s.finals.Put(jobID, final)
		done(final, nil)
	})
}

// readCurrent reads a job's state for a response that is sent immediately. A job is reported as
// unknown only if the read took at most tuning.MaxReadAge, and as live only if it took at most
// AckLog.MaxLiveReadAge: a slower read shows an older state, and another controller may have told the
// user a newer one since. A slow read is repeated if there is time and budget.
func (s *Server) readCurrent(jobID string, done func(jobs.StoredState, error)) {
	startedAt := s.state.Now
	var read func()
	read = func() {
		sentAt := s.state.Now
		s.readJob(jobID, func(found jobs.StoredState, err error) {
			unknown := errors.Is(err, errNoJob)
			if err == nil && found.State != jobs.Live || err != nil && !unknown {
				done(found, err)
				return
			}
			acknowledged, isAcknowledged := s.acks.Latest(jobID)
			switch {
			case isAcknowledged && acknowledged.State != jobs.Live:
				done(acknowledged, nil)
			case s.isRecent(sentAt, unknown) && (!unknown || !isAcknowledged):
				done(found, err)
			case s.state.Now.Sub(startedAt) <= tuning.ReadDeadline && s.client.AllowsRead(tuning.ReservedReadShare):
				read()
			default:
				done(jobs.StoredState{}, store.ErrNoAnswer)
			}
		})
	}
	read()
}

// isRecent reports whether a read that was sent at sentAt may be answered from now, given whether it
// shows that the job is unknown rather than live.
func (s *Server) isRecent(sentAt time.Time, unknown bool) bool {
	maxAge := s.acks.MaxLiveReadAge()
	if unknown {
		maxAge = tuning.MaxReadAge
	}
	return s.state.Now.Sub(sentAt) <= maxAge
}

// findJob finds a job's state for a decision that is conditional on the revision of the job's
// record. Such a decision may be based on a mirror that is out of date, since its transaction would
// then fail.
func (s *Server) findJob(jobID string, done func(jobs.StoredState, error)) {
	if job := s.state.Jobs[jobID]; job != nil && job.Record != nil && job.Record.State == jobs.Live {
		done(jobs.StoredState{State: jobs.Live}, nil)
		return
	}
	s.readCurrent(jobID, done)
}
