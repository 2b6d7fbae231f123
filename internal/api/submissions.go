package api

import (
	"errors"
	"net/http"
	"time"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// submission is a user's request to accept a job. Submissions are idempotent: the response to a
// repeated submission of a job is the job's state.
type submission struct {
	spec    *jobs.Spec
	respond func(http1.Reply)
}

// submit handles a user's submission.
func (s *Server) submit(body []byte, respond func(http1.Reply)) {
	spec, err := jobs.ParseSpec(body)
	if err != nil {
		respond(errorReply(http.StatusBadRequest, err.Error()))
		return
	}
	if found, ok := s.finals.Get(spec.ID); ok {
		s.answer(spec.ID, http.StatusOK, found, false, respond)
		return
	}
	if !s.view.MayDecide() {
		respond(http1.Unavailable("not able to accept"))
		return
	}
	// For a known job the response comes from a read, like that to a query. Only an unknown job is
	// validated: conditions may have changed since a known one was accepted.
	if s.state.Jobs[spec.ID] != nil {
		s.requestRead(pendingRead{jobID: spec.ID, respond: respond, arrivedAt: s.state.Now})
		return
	}
	if len(s.state.MachineTypes) == 0 {
		respond(http1.Unavailable("machine types not known yet"))
		return
	}
	if reason := jobs.CanEverRun(spec, s.state.Account.Tree(), s.state.MachineTypes); reason != "" {
		s.refuseUnlessKnown(submission{spec, respond}, reason)
		return
	}
	s.accept(submission{spec, respond}, tuning.AcceptAttempts)
}

// refuseUnlessKnown refuses a job that can never run, unless the job was accepted earlier, when it
// still could run. While the quota tree in force is unknown, no job is refused for good.
func (s *Server) refuseUnlessKnown(sub submission, reason string) {
	s.readCurrent(sub.spec.ID, func(found jobs.StoredState, err error) {
		switch {
		case err == nil:
			s.answer(sub.spec.ID, http.StatusOK, found, false, sub.respond)
		case errors.Is(err, errNoJob) && s.QuotaSettled():
			sub.respond(errorReply(http.StatusUnprocessableEntity, reason))
		default:
			sub.respond(unavailable())
		}
	})
}

// accept commits a job's record. It makes at most the given number of attempts.
func (s *Server) accept(sub submission, attempts int) {
	write, finalKey := s.acceptanceWrite(sub.spec)
	if s.exceedsValueLimit(write) {
		sub.respond(errorReply(http.StatusBadRequest, "description too long"))
		return
	}
	txn := store.Txn{
		Preconditions: []store.Precondition{
			{Key: members.ViewKey, Revision: s.mirror.Revision(members.ViewKey)},
			{Key: jobs.JobPrefix + sub.spec.ID, Revision: 0},
			{Key: finalKey, Revision: 0},
		},
		Writes: []store.Write{write},
	}
	sentAt := s.state.Now
	s.client.Commit(store.PriorityUser, txn, func(epoch uint64, _ []string, err error) {
		switch {
		case err == nil:
			s.mirror.ApplyCommit(txn.Writes, epoch)
			s.answerAccepted(sub, sentAt)
		case errors.Is(err, store.ErrConflict):
			s.resolveConflict(sub, attempts)
		default:
			// The outcome may be unknown and is reported as not accepted; a repeated submission
			// finds out.
			sub.respond(unavailable())
		}
	})
}

// resolveConflict handles a submission whose transaction failed on a precondition: either the job
// exists already, or the view has changed. In the latter case it retries once the mirror shows the
// new view, since a controller that joins or leaves is no reason to refuse users.
func (s *Server) resolveConflict(sub submission, attempts int) {
	s.readJob(sub.spec.ID, func(found jobs.StoredState, err error) {
		switch {
		case err == nil && found.State == jobs.Live: // but the read may have been slow, so read again
			s.requestRead(pendingRead{jobID: sub.spec.ID, respond: sub.respond, arrivedAt: s.state.Now})
		case err == nil:
			s.answer(sub.spec.ID, http.StatusOK, found, false, sub.respond)
		case !errors.Is(err, errNoJob) || attempts <= 1:
			sub.respond(http1.Unavailable("try again"))
		default:
			s.afterEpoch(sub.respond, func() {
				if !s.view.MayDecide() {
					sub.respond(http1.Unavailable("not able to accept"))
					return
				}
				s.accept(sub, attempts-1)
			})
		}
	})
}

// answerAccepted responds to a submission whose job was accepted by a transaction sent at sentAt.
// If the transaction's response came too late, the job may already have ended and another controller
// may have told a user so. Its state is then read again; the repeat of a submission that is refused
// because that fails finds the job accepted. Beside a controller of an older version, which gives
// nobody a right to answer from older reads, gossip from all members has to suffice.
func (s *Server) answerAccepted(sub submission, sentAt time.Time) {
	if s.isRecent(sentAt, false) || s.acks.HasOlderPeer() && s.view.HearsAllMembers() {
		live := jobs.StoredState{State: jobs.Live}
		s.answer(sub.spec.ID, http.StatusCreated, live, false, sub.respond)
		return
	}
	s.readCurrent(sub.spec.ID, func(found jobs.StoredState, err error) {
		if err != nil {
			sub.respond(unavailable())
			return
		}
		s.answer(sub.spec.ID, http.StatusCreated, found, false, sub.respond)
	})
}

// acceptanceWrite returns the write that accepts a job, whether a user submitted it or it belongs
// to a step of a run. The transaction must be conditional on both the written key and the key
// absent not existing.
func (s *Server) acceptanceWrite(spec *jobs.Spec) (write store.Write, absent string) {
	record := jobs.Record{State: jobs.Live, AcceptedMs: s.state.NowMs(), Spec: *spec}
	return decide.Put(jobs.JobPrefix+spec.ID, record), jobs.FinalPrefix + spec.ID
}

// exceedsValueLimit reports whether a job's record, with the fields that are added when the job
// ends, exceeds the size limit of a value. Such a job could never end.
func (s *Server) exceedsValueLimit(write store.Write) bool {
	return len(write.Value)+jobs.CompletionBytes > s.maxValueBytes()
}
