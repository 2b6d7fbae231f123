package api

import (
	"encoding/json"
	"errors"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// errNoJob: the state service knows neither a live nor a final record of the job.
var errNoJob = errors.New("no such job")

// sharedRead is a read of one job's state that has not been sent yet; requests that come
// before it is sent share it. One that was sent may be older than what another controller has
// told the user since, so nobody joins it.
type sharedRead struct {
	waiting []func(jobs.Final, error)
}

// readJob reads a job's state from the state service. Only final states are answered from
// memory. done gets errNoJob for an unknown job, and errors of the state service as they are.
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
	closeToOthers := func() {
		if s.sharedReads[jobID] == shared {
			delete(s.sharedReads, jobID)
		}
	}
	s.readRecords(jobID, closeToOthers, func(final jobs.Final, err error) {
		closeToOthers()
		for _, done := range shared.waiting {
			done(final, err)
		}
	})
}

// readRecords reads a job's live record, then, if that does not tell, its final one. A live
// record leaves only after the final one has come, so reading in this order misses neither.
// sent is called when the first read is sent.
func (s *Server) readRecords(jobID string, sent func(), done func(jobs.Final, error)) {
	s.client.Get(store.PriorityUser, jobs.JobPrefix+jobID, sent, func(item *store.Item, err error) {
		if err != nil {
			done(jobs.Final{}, err)
			return
		}
		if item != nil {
			s.mirror.Put(item.Key, item.Value, item.Revision)
			if record, err := jobs.DecodeRecord(jobID, item.Value); err == nil {
				final := jobs.Final{State: record.State, DoneCount: record.DoneCount}
				s.finals.Put(jobID, final)
				done(final, nil)
				return
			}
		}
		s.readFinal(jobID, item != nil, done)
	})
}

// readFinal reads a job's final record. accepted: the job has a live record, which cannot be
// read. Its final state is written in the transaction that ends it, so without one it has not
// ended; refusing its user for ever would be to forget the job.
func (s *Server) readFinal(jobID string, accepted bool, done func(jobs.Final, error)) {
	s.client.Get(store.PriorityUser, jobs.FinalPrefix+jobID, nil, func(item *store.Item, err error) {
		switch {
		case err != nil:
			done(jobs.Final{}, err)
			return
		case item == nil && accepted:
			done(jobs.Final{State: jobs.Live}, nil)
			return
		case item == nil:
			done(jobs.Final{}, errNoJob)
			return
		}
		var final jobs.Final
		if err := json.Unmarshal(item.Value, &final); err != nil {
			done(jobs.Final{}, err)
			return
		}
		s.finals.Put(jobID, final)
		done(final, nil)
	})
}

// readCurrent reads a job's state for an answer that is sent at once. That a job is live or
// unknown is only told if the read was answered within tuning.ReadFresh: a later answer shows
// an older state, and another controller may have told the user something newer since. It is
// read once more, if there is time.
func (s *Server) readCurrent(jobID string, done func(jobs.Final, error)) {
	startedAt := s.state.Now
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
			case s.state.Now.Sub(sentAt) <= tuning.ReadFresh && (!unknown || !found):
				done(final, err)
			case s.state.Now.Sub(startedAt) <= tuning.ReadDeadline && s.client.AllowsRead(tuning.ReadsKept):
				read()
			default:
				done(jobs.Final{}, store.ErrNoAnswer)
			}
		})
	}
	read()
}

// findJob finds a job's state for a decision that is conditional on the job's record and
// therefore may start from a copy that is behind.
func (s *Server) findJob(jobID string, done func(jobs.Final, error)) {
	if job := s.state.Jobs[jobID]; job != nil && job.Record != nil && job.Record.State == jobs.Live {
		done(jobs.Final{State: jobs.Live}, nil)
		return
	}
	s.readCurrent(jobID, done)
}
