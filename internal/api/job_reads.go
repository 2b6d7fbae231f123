package api

import (
	"encoding/json"
	"errors"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

var errNoJob = errors.New("no such job")

// sharedRead is a read of one job's state that has not left yet; requests that
// come before it leaves share it. One that has left may be older than what
// another node has told the user since, so nobody joins it.
type sharedRead struct {
	waiting []func(jobs.Final, error)
}

// read finds a job's state in the state service. Only final states are
// answered from memory.
func (s *Server) readJob(jobID string, done func(jobs.Final, error)) {
	if final, ok := s.finals.Get(jobID); ok {
		done(final, nil)
		return
	}
	if s.client.Unavailable() {
		done(jobs.Final{}, store.ErrUnavailable)
		return
	}
	if shared := s.sharedReads[jobID]; shared != nil {
		shared.waiting = append(shared.waiting, done)
		return
	}
	shared := &sharedRead{waiting: []func(jobs.Final, error){done}}
	s.sharedReads[jobID] = shared
	left := func() {
		if s.sharedReads[jobID] == shared {
			delete(s.sharedReads, jobID)
		}
	}
	finish := func(final jobs.Final, err error) {
		left()
		for _, done := range shared.waiting {
			done(final, err)
		}
	}
	s.client.Get(store.PriorityUser, jobs.JobPrefix+jobID, left, func(item *store.Item, err error) {
		if err != nil {
			finish(jobs.Final{}, err)
			return
		}
		if item != nil {
			s.mirror.Put(item.Key, item.Value, item.Revision)
			if record, err := jobs.DecodeRecord(jobID, item.Value); err == nil {
				final := jobs.Final{State: record.State, DoneCount: record.DoneCount}
				s.finals.Put(jobID, final)
				finish(final, nil)
				return
			}
			// Accepted, but its record cannot be read. Its final state is written in
			// the transaction that ends it, so without one it has not ended; sending
			// its user away for ever would be to forget it.
		}
		// A live record leaves only after the final one has come, so reading
		// in this order misses neither.
		accepted := item != nil
		s.client.Get(store.PriorityUser, jobs.FinalPrefix+jobID, nil, func(item *store.Item, err error) {
			if err != nil {
				finish(jobs.Final{}, err)
				return
			}
			if item == nil && accepted {
				finish(jobs.Final{State: jobs.Live}, nil)
				return
			}
			if item == nil {
				finish(jobs.Final{}, errNoJob)
				return
			}
			var final jobs.Final
			if err := json.Unmarshal(item.Value, &final); err != nil {
				finish(jobs.Final{}, err)
				return
			}
			s.finals.Put(jobID, final)
			finish(final, nil)
		})
	})
}

// current reads a job's state for an answer that leaves at once. That a job is live or
// unknown is only told if the answer came at once: what came late is from before, and
// another controller may have told the user something newer since. It is read once more,
// if there is time.
func (s *Server) readCurrent(jobID string, done func(jobs.Final, error)) {
	began := s.state.Now
	var read func()
	read = func() {
		sentAt := s.state.Now
		s.readJob(jobID, func(final jobs.Final, err error) {
			unknown := errors.Is(err, errNoJob)
			if err == nil && final.State != jobs.Live || err != nil && !unknown {
				done(final, err)
				return
			}
			acknowledged, found := s.acks.Latest(jobID)
			switch {
			case found && acknowledged.State != jobs.Live:
				done(acknowledged, nil)
			case s.state.Now.Sub(sentAt) <= tuning.ReadFresh && !(unknown && found):
				done(final, err)
			case s.state.Now.Sub(began) <= tuning.ReadDeadline && s.client.AllowsRead(tuning.ReadsKept):
				read()
			default:
				done(jobs.Final{}, store.ErrNoAnswer)
			}
		})
	}
	read()
}

// find tells a job's state for a decision that is conditional on the job's
// record and therefore may start from a copy that is behind.
func (s *Server) findJob(jobID string, done func(jobs.Final, error)) {
	if job := s.state.Jobs[jobID]; job != nil && job.Record != nil && job.Record.State == jobs.Live {
		done(jobs.Final{State: jobs.Live}, nil)
		return
	}
	s.readCurrent(jobID, done)
}
