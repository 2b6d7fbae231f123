package api

import (
	"errors"
	"net/http"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
)

// cancel handles a user's cancellation of a job.
func (s *Server) cancel(jobID string, respond func(http1.Reply)) {
	if found, ok := s.finals.Get(jobID); ok {
		s.answer(jobID, http.StatusOK, found, false, respond)
		return
	}
	if !s.view.MayDecide() {
		respond(http1.Unavailable("not able to cancel"))
		return
	}
	s.findJob(jobID, func(found jobs.StoredState, err error) {
		switch {
		case errors.Is(err, errNoJob):
			respond(errorReply(http.StatusNotFound, "no such job"))
		case err != nil:
			respond(unavailable())
		default:
			s.cancelFound(jobID, found, respond)
		}
	})
}

// cancelFound cancels a job that was found in the given state, if that state allows it.
func (s *Server) cancelFound(jobID string, found jobs.StoredState, respond func(http1.Reply)) {
	next, ok := jobs.NextJob(found.State, jobs.UserCancels)
	if !ok {
		s.answer(jobID, http.StatusOK, found, false, respond)
		return
	}
	job := s.state.Jobs[jobID]
	if job == nil || job.Record == nil {
		respond(http1.Unavailable("try again"))
		return
	}
	s.CloseJob(job, next, store.PriorityUser, func(committed bool) {
		if !committed {
			respond(http1.Unavailable("try again"))
			return
		}
		s.answer(jobID, http.StatusOK, jobs.StoredState{State: next}, false, respond)
	})
}

// CloseJob commits a job's final state, which decides what happens to the job's remaining tasks and
// is kept forever for users to read. It calls done once, with true if the transaction is known to
// be committed.
func (s *Server) CloseJob(job *clusterstate.Job, state jobs.JobState, priority store.Priority, done func(bool)) {
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
