package api

import (
	"errors"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
)

func (s *Server) cancel(jobID string, respond func(http1.Reply)) {
	if final, ok := s.finals.Get(jobID); ok {
		s.answer(jobID, 200, final, false, respond)
		return
	}
	if !s.view.MayDecide() {
		respond(http1.Refuse("not able to cancel"))
		return
	}
	s.findJob(jobID, func(final jobs.Final, err error) {
		switch {
		case errors.Is(err, errNoJob):
			respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such job")})
			return
		case err != nil:
			respond(http1.Refuse("state unavailable"))
			return
		}
		job := s.state.Jobs[jobID]
		next, ok := jobs.NextJob(final.State, jobs.UserCancels)
		if !ok {
			s.answer(jobID, 200, final, false, respond)
			return
		}
		if job == nil || job.Record == nil {
			respond(http1.Refuse("try again"))
			return
		}
		s.Close(job, next, store.PriorityUser, func(ok bool) {
			if !ok {
				respond(http1.Refuse("try again"))
				return
			}
			s.answer(jobID, 200, jobs.Final{State: next}, false, respond)
		})
	})
}

// Close commits a job's final state, for its tasks to act on and for users to
// read for ever.
func (s *Server) Close(job *clusterstate.Job, state jobs.JobState, priority store.Priority, done func(bool)) {
	key, finalKey := jobs.JobPrefix+job.ID, jobs.FinalPrefix+job.ID
	txn := store.Txn{
		Preconditions: []store.Precondition{
			{Key: members.ViewKey, Revision: s.mirror.Revision(members.ViewKey)},
			{Key: key, Revision: s.mirror.Revision(key)},
			{Key: finalKey, Revision: 0},
		},
		Writes: completion.FinalWrites(job, state, s.state.NowMs()),
	}
	s.client.Commit(priority, txn, func(epoch uint64, _ []string, err error) {
		if err == nil {
			s.mirror.ApplyCommit(txn.Writes, epoch)
		}
		s.loop.Wake()
		done(err == nil)
	})
}
