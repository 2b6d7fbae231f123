package scenario

import (
	"fmt"
	"time"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/simulation"
)

// jobVerbs are about user requests: jobs, pipeline runs, quotas and polls.
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
	"close-looks":   withName("close-looks", (*script).pollVerb),
	"cancel-at-end": withName("cancel-at-end", (*script).pollVerb),
	"look-all":      withName("look-all", (*script).pollVerb),
	// odd-requests SECONDS: users resubmit, cancel finished jobs, send impossible or incomplete
	// jobs
	"odd-requests": (*script).verbOddRequests,
	// cancel-now COUNT [HANG_S]: COUNT running jobs that are far from done are cancelled within
	// 0.2 s; up to eight of their machines hang for HANG_S
	"cancel-now": (*script).cancelNowVerb,
	// ask-everywhere FIRST COUNT EVERY SECONDS: each controller gets a poll, the submission again
	// and, for cancelled jobs, the cancellation again
	"ask-everywhere": (*script).askEverywhere,
	"cancelled-gone": (*script).verbCancelledGone,
	"abort-each":     (*script).abortEach,
}

// verbAgain executes "again JOB": repeats its submission.
func (s *script) verbAgain(args []string) {
	s.sim.Resubmit(s.job(args[0]))
}

// verbAbort executes "abort JOB": cancels it.
func (s *script) verbAbort(args []string) {
	s.sim.Cancel(s.job(args[0]))
}

// verbAsk executes "ask JOB": polls a job that no one submitted.
func (s *script) verbAsk(args []string) {
	s.sim.CheckUnknown(args[0])
}

// verbAbortMany executes "abort-many FIRST COUNT".
func (s *script) verbAbortMany(args []string) {
	for i := range int(s.number(args[1])) {
		s.sim.Cancel(s.job(fmt.Sprintf("wk-%06d", int(s.number(args[0]))+i)))
	}
}

// verbApply executes "apply FILE BASE": applies another quota tree.
func (s *script) verbApply(args []string) {
	s.applied[args[0]] = 0
	s.sim.ApplyQuota(
		quota.Apply{Base: int(s.number(args[1])), Quotas: *s.quotas(args[0])},
		func(status int, _ quota.Preview) { s.applied[args[0]] = status },
	)
}

// verbAskMany executes "ask-many FIRST COUNT EVERY": polls a job that no one submitted every EVERY
// seconds.
func (s *script) verbAskMany(args []string) {
	first, every := int(s.number(args[0])), s.number(args[2])
	for i := range int(s.number(args[1])) {
		s.sim.After(
			time.Duration(float64(i)*every*float64(time.Second)),
			func() { s.sim.CheckUnknown(fmt.Sprintf("wk-%06d", first+i)) },
		)
	}
}

// verbRun executes "run RUN FILE": submits a pipeline file of testdata/pipelines.
func (s *script) verbRun(args []string) {
	s.sim.SubmitRun(&simulation.Run{ID: args[0], Body: s.pipeline(args[0], args[1])})
}

// verbRunMany executes "run-many FIRST COUNT EVERY FILE": submits one run every EVERY seconds.
func (s *script) verbRunMany(args []string) {
	first, every := int(s.number(args[0])), s.number(args[2])
	for i := range int(s.number(args[1])) {
		id := simulation.RunID(first + i)
		body := s.pipeline(id, args[3])
		s.sim.After(
			time.Duration(float64(i)*every*float64(time.Second)),
			func() { s.sim.SubmitRun(&simulation.Run{ID: id, Body: body}) },
		)
	}
}

// verbRunAgain executes "run-again RUN FILE": repeats the submission.
func (s *script) verbRunAgain(args []string) {
	s.sim.ResubmitRun(s.runOf(args[0]), s.pipeline(args[0], args[1]))
}

// verbCancelRun executes "cancel-run RUN".
func (s *script) verbCancelRun(args []string) {
	s.sim.CancelRun(s.runOf(args[0]))
}

// verbSubmitMany executes "submit-many FIRST COUNT EVERY SHAPE [key=value ...]": submits one job
// every EVERY seconds.
func (s *script) verbSubmitMany(args []string) {
	first, every := int(s.number(args[0])), s.number(args[2])
	for i := range int(s.number(args[1])) {
		jobID := fmt.Sprintf("wk-%06d", first+i)
		s.sim.After(
			time.Duration(float64(i)*every*float64(time.Second)),
			func() { s.submit(append([]string{jobID}, args[3:]...)) },
		)
	}
}

// verbCancelledGone executes "cancelled-gone": no task of a job whose user was told of its
// cancellation is on a machine, except on machines that hang.
func (s *script) verbCancelledGone(_ []string) {
	for _, taskID := range s.sim.CancelledTasksOnMachines() {
		s.fatal("%s is cancelled but still on a machine", taskID)
	}
}
