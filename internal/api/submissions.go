package api

import (
	"errors"
	"time"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func (s *Server) submit(body []byte, respond func(http1.Reply)) {
	spec, err := jobs.ParseSpec(body)
	if err != nil {
		respond(http1.Reply{Status: 400, Body: http1.ErrorBody(err.Error())})
		return
	}
	known := func(final jobs.Final) {
		s.answer(spec.ID, 200, final, false, respond)
	}
	if final, ok := s.finals.Get(spec.ID); ok {
		known(final)
		return
	}
	if !s.view.MayDecide() {
		respond(http1.Refuse("not able to accept"))
		return
	}
	// A job that is known already is answered by a read, as a question about it is; only
	// an unknown one is judged, since what made it acceptable may have changed since.
	if s.state.Jobs[spec.ID] != nil {
		s.requestRead(pendingRead{spec.ID, respond, s.state.Now})
		return
	}
	if len(s.state.MachineTypes) == 0 {
		respond(http1.Refuse("machine types not known yet"))
		return
	}
	if reason := jobs.CanEverRun(spec, s.state.Account.Tree(), s.state.MachineTypes); reason != "" {
		s.readCurrent(spec.ID, func(final jobs.Final, err error) {
			switch {
			case err == nil:
				known(final)
			case errors.Is(err, errNoJob):
				respond(http1.Reply{Status: 422, Body: http1.ErrorBody(reason)})
			default:
				respond(http1.Refuse("state unavailable"))
			}
		})
		return
	}
	s.accept(spec, tuning.AcceptAttempts, known, respond)
}

// accept commits a job's record. Where only the view had changed meanwhile, it is tried
// again once the mirror shows the new one: a controller that comes or goes is no reason
// to send users away.
func (s *Server) accept(spec *jobs.Spec, attempts int, known func(jobs.Final), respond func(http1.Reply)) {
	write, finalKey := s.acceptanceWrite(spec)
	if s.exceedsValueLimit(write) {
		respond(http1.Reply{Status: 400, Body: http1.ErrorBody("description too long")})
		return
	}
	txn := store.Txn{
		Preconditions: []store.Precondition{
			{Key: members.ViewKey, Revision: s.mirror.Revision(members.ViewKey)},
			{Key: jobs.JobPrefix + spec.ID, Revision: 0},
			{Key: finalKey, Revision: 0},
		},
		Writes: []store.Write{write},
	}
	left := s.state.Now
	s.client.Commit(store.PriorityUser, txn, func(epoch uint64, failed []string, err error) {
		switch {
		case err == nil:
			s.mirror.ApplyCommit(txn.Writes, epoch)
			s.accepted(spec.ID, left, respond)
		case errors.Is(err, store.ErrConflict):
			s.readJob(spec.ID, func(final jobs.Final, err error) {
				switch {
				case err == nil && final.State == jobs.Live: // by a read that may have been slow
					s.requestRead(pendingRead{spec.ID, respond, s.state.Now})
				case err == nil:
					known(final)
				case !errors.Is(err, errNoJob) || attempts <= 1:
					respond(http1.Refuse("try again"))
				default:
					s.afterEpoch(respond, func() {
						if !s.view.MayDecide() {
							respond(http1.Refuse("not able to accept"))
							return
						}
						s.accept(spec, attempts-1, known, respond)
					})
				}
			})
		default:
			// Unknown counts as not accepted; a repeat finds out.
			respond(http1.Refuse("state unavailable"))
		}
	})
}

// accepted answers a submission whose job was accepted by a transaction that left then.
// Where its answer came late, and what the others have told since may have been lost on its
// way, the job may be over: that is looked up, if it can be.
func (s *Server) accepted(jobID string, left time.Time, respond func(http1.Reply)) {
	live := jobs.Final{State: jobs.Live}
	if s.state.Now.Sub(left) <= tuning.ReadFresh || s.view.HearsAllMembers() {
		s.answer(jobID, 201, live, false, respond)
		return
	}
	s.readCurrent(jobID, func(final jobs.Final, err error) {
		if err != nil {
			final = live
		}
		s.answer(jobID, 201, final, false, respond)
	})
}

// acceptance is the record of a job as accepted, a user's or a step's of a run.
// It is conditional on its own key and on the one that it returns being absent.
func (s *Server) acceptanceWrite(spec *jobs.Spec) (write store.Write, absent string) {
	return decide.Put(
		jobs.JobPrefix+spec.ID,
		jobs.Record{State: jobs.Live, AcceptedMs: s.state.NowMs(), Spec: *spec},
	), jobs.FinalPrefix + spec.ID
}

// tooLong tells whether a job's record does not fit into a value with what its end adds
// to it: it could never end.
func (s *Server) exceedsValueLimit(write store.Write) bool {
	return len(write.Value)+jobs.CompletionBytes > s.valueBytes()
}
