package scenario

import (
	"fmt"
	"time"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/simulation"
)

// jobVerbs are those of users: jobs, runs, quotas and questions.
var jobVerbs = map[string]verbFunc{
	"submit":        (*script).submit,
	"again":         (*script).verbAgain,
	"abort":         (*script).verbAbort,
	"look-at":       (*script).lookAt,
	"ask":           (*script).verbAsk,
	"abort-many":    (*script).verbAbortMany,
	"apply":         (*script).verbApply,
	"ask-many":      (*script).verbAskMany,
	"run":           (*script).verbRun,
	"run-many":      (*script).verbRunMany,
	"run-again":     (*script).verbRunAgain,
	"cancel-run":    (*script).verbCancelRun,
	"submit-many":   (*script).verbSubmitMany,
	"close-looks":   withName("close-looks", (*script).looksVerb),
	"cancel-at-end": withName("cancel-at-end", (*script).looksVerb),
	"look-all":      withName("look-all", (*script).looksVerb),
	// odd-requests SECONDS: users repeat, cancel what is done, send what can't run or lacks a field
	"odd-requests": (*script).oddRequests,
	// cancel-now COUNT [HANG_S]: so many jobs that run and have long to go are called off within 0.2
	// s; up to eight of their machines hang so long
	"cancel-now": (*script).cancelNowVerb,
	// ask-everywhere FIRST COUNT EVERY SECONDS: at each controller: a question, the submission, and
	// what was called off once more
	"ask-everywhere": (*script).askEverywhere,
	"cancelled-gone": (*script).verbCancelledGone,
	"abort-each":     (*script).abortEach,
}

// verbAgain: again JOB: the submission is repeated.
func (s *script) verbAgain(args []string) {
	s.w.Resubmit(s.job(args[0]))
}

// verbAbort: abort JOB.
func (s *script) verbAbort(args []string) {
	s.w.Cancel(s.job(args[0]))
}

// verbAsk: ask JOB: about a job that no one submitted.
func (s *script) verbAsk(args []string) {
	s.w.CheckUnknown(args[0])
}

// verbAbortMany: abort-many FIRST COUNT.
func (s *script) verbAbortMany(args []string) {
	for i := range int(s.number(args[1])) {
		s.w.Cancel(s.job(fmt.Sprintf("wk-%06d", int(s.number(args[0]))+i)))
	}
}

// verbApply: apply FILE BASE: another tree.
func (s *script) verbApply(args []string) {
	s.applied[args[0]] = 0
	s.w.ApplyQuota(
		quota.Apply{Base: int(s.number(args[1])), Quotas: *s.quotas(args[0])},
		func(status int, _ quota.Preview) { s.applied[args[0]] = status },
	)
}

// verbAskMany: ask-many FIRST COUNT EVERY: about a job that no one submitted each EVERY seconds.
func (s *script) verbAskMany(args []string) {
	first, every := int(s.number(args[0])), s.number(args[2])
	for i := range int(s.number(args[1])) {
		s.w.After(
			time.Duration(float64(i)*every*float64(time.Second)),
			func() { s.w.CheckUnknown(fmt.Sprintf("wk-%06d", first+i)) },
		)
	}
}

// verbRun: run RUN FILE: a pipeline file of testdata/pipelines.
func (s *script) verbRun(args []string) {
	s.w.SubmitRun(&simulation.Run{ID: args[0], Body: s.pipeline(args[0], args[1])})
}

// verbRunMany: run-many FIRST COUNT EVERY FILE: one each EVERY seconds.
func (s *script) verbRunMany(args []string) {
	first, every := int(s.number(args[0])), s.number(args[2])
	for i := range int(s.number(args[1])) {
		id := simulation.RunID(first + i)
		body := s.pipeline(id, args[3])
		s.w.After(
			time.Duration(float64(i)*every*float64(time.Second)),
			func() { s.w.SubmitRun(&simulation.Run{ID: id, Body: body}) },
		)
	}
}

// verbRunAgain: run-again RUN FILE: the submission is repeated.
func (s *script) verbRunAgain(args []string) {
	s.w.ResubmitRun(s.runOf(args[0]), s.pipeline(args[0], args[1]))
}

// verbCancelRun: cancel-run RUN.
func (s *script) verbCancelRun(args []string) {
	s.w.CancelRun(s.runOf(args[0]))
}

// verbSubmitMany: submit-many FIRST COUNT EVERY SHAPE [key=value ...]: one each EVERY seconds.
func (s *script) verbSubmitMany(args []string) {
	first, every := int(s.number(args[0])), s.number(args[2])
	for i := range int(s.number(args[1])) {
		jobID := fmt.Sprintf("wk-%06d", first+i)
		s.w.After(
			time.Duration(float64(i)*every*float64(time.Second)),
			func() { s.submit(append([]string{jobID}, args[3:]...)) },
		)
	}
}

// verbCancelledGone: no task of a job that was told to be cancelled is on a machine that doesn't
// hang.
func (s *script) verbCancelledGone(_ []string) {
	for _, taskID := range s.w.CancelledOn() {
		s.fatal("%s is cancelled and on a machine", taskID)
	}
}
