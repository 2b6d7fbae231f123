package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/simulation"
)

// jobExpectations are about jobs, tasks, pipeline runs and quotas, and the answers to users.
var jobExpectations = map[string]expectFunc{
	"tasks":     (*script).expectTasks,
	"has-begun": (*script).expectHasBegun,
	"starts":    (*script).expectStarts,
	"begun":     (*script).expectBegun,
	"on":        (*script).expectOn,
	"answered":  (*script).expectAnswered,
	// expect odd MIN: answers to each kind of invalid request
	"odd":         (*script).expectOdd,
	"late-starts": (*script).expectLateStarts,
	"all":         (*script).expectAll,
	"looks":       (*script).expectLooks,
	// expect one-end FIRST COUNT: each is done or cancelled, and its user was told the recorded
	// state
	"one-end":   (*script).expectOneEnd,
	"sent-away": (*script).expectSentAway,
	"applied":   (*script).expectApplied,
	"tree":      (*script).expectTree,
	"lowered":   (*script).expectLowered,
	"run":       (*script).expectRun,
	"answer":    (*script).expectAnswer,
	"runs":      (*script).expectRuns,
	"step":      (*script).expectStep,
	"over":      (*script).expectOver,
	"stranded":  (*script).expectStrandedLine,
}

// expectTasks checks "expect tasks JOB COUNT": its tasks on machines.
func (s *script) expectTasks(args []string) {
	s.t.Helper()
	if got := s.sim.Running(args[1]); got != int(s.number(args[2])) {
		s.fatal("%s has %d tasks on machines, want %s", args[1], got, args[2])
	}
}

// expectHasBegun checks "expect has-begun JOB": at least one task has run, or the whole gang at
// once.
func (s *script) expectHasBegun(args []string) {
	s.t.Helper()
	if s.job(args[1]).FirstStart.IsZero() {
		s.fatal("%s has not started", args[1])
	}
}

// expectStarts checks "expect starts JOB MAX": starts of its tasks.
func (s *script) expectStarts(args []string) {
	s.t.Helper()
	if got := s.job(args[1]).Starts; got > int(s.number(args[2])) {
		s.fatal("tasks of %s started %d times, more than %s", args[1], got, args[2])
	}
}

// expectBegun checks "expect begun FIRST COUNT MAX": starts of the tasks of these jobs beyond one
// each.
func (s *script) expectBegun(args []string) {
	s.t.Helper()
	extra, first := 0, int(s.number(args[1]))
	for i := range int(s.number(args[2])) {
		j := s.job(fmt.Sprintf("wk-%06d", first+i))
		extra += j.Starts - j.TaskCount
	}
	if extra > int(s.number(args[3])) {
		s.fatal("%d tasks started again, more than %s", extra, args[3])
	}
}

// expectOn checks "expect on FIRST COUNT MIN": tasks of these jobs on machines.
func (s *script) expectOn(args []string) {
	s.t.Helper()
	got, first := 0, int(s.number(args[1]))
	for i := range int(s.number(args[2])) {
		got += s.sim.Running(fmt.Sprintf("wk-%06d", first+i))
	}
	if got < int(s.number(args[3])) {
		s.fatal("%d tasks are on machines, want at least %s", got, args[3])
	}
}

// expectAnswered checks "expect answered SECONDS": each user got an answer within the last SECONDS.
func (s *script) expectAnswered(args []string) {
	s.t.Helper()
	for _, jobID := range s.sim.Unanswered(time.Duration(s.number(args[1]) * float64(time.Second))) {
		s.fatal("no poll of %s was answered", jobID)
	}
}

// expectLateStarts checks "expect late-starts MIN MAX": task starts after the user was told of the
// cancellation.
func (s *script) expectLateStarts(args []string) {
	s.t.Helper()
	if got := s.sim.StartsAfterCancel; got < int(s.number(args[1])) || got > int(s.number(args[2])) {
		s.fatal("%d tasks started after the user was told of the cancellation, want %s to %s", got, args[1], args[2])
	}
}

// expectAll checks "expect all FIRST COUNT STATE": the state of each of these jobs.
func (s *script) expectAll(args []string) {
	s.t.Helper()
	first := int(s.number(args[1]))
	for i := range int(s.number(args[2])) {
		if j := s.job(fmt.Sprintf("wk-%06d", first+i)); j.Status != args[3] {
			s.fatal("%s is %q, want %q", j.ID, j.Status, args[3])
		}
	}
}

// expectLooks checks "expect looks MIN": answers to users who poll in bursts.
func (s *script) expectLooks(args []string) {
	s.t.Helper()
	if got := s.sim.BurstAnswers; got < int(s.number(args[1])) {
		s.fatal("%d burst polls were answered, fewer than %s", got, args[1])
	}
}

// expectSentAway checks "expect sent-away MAX": submissions and cancellations answered with 503.
func (s *script) expectSentAway(args []string) {
	s.t.Helper()
	if got := s.sim.Unavailable; got > int(s.number(args[1])) {
		s.fatal("%d submissions and cancellations were answered 503, more than %s", got, args[1])
	}
}

// expectApplied checks "expect applied FILE STATUS": the answer to an applied quota tree.
func (s *script) expectApplied(args []string) {
	s.t.Helper()
	if got := s.applied[args[1]]; got != int(s.number(args[2])) {
		s.fatal("applying %s was answered %d, want %s", args[1], got, args[2])
	}
}

// expectTree checks "expect tree NUMBER": the number of the quota tree in force.
func (s *script) expectTree(args []string) {
	s.t.Helper()
	if v, err := quota.Decode(s.sim.Store.Value(quota.StoreKey)); err != nil || v.Number != int(s.number(args[1])) {
		s.fatal("the quota tree is %+v (%v), want number %s", v, err, args[1])
	}
}

// expectLowered checks "expect lowered MIN MAX": tasks stopped because a quota was lowered.
func (s *script) expectLowered(args []string) {
	s.t.Helper()
	got := 0
	for why, count := range s.stopsByCause {
		if strings.Contains(why, "was lowered") {
			got += count
		}
	}
	if got < int(s.number(args[1])) || got > int(s.number(args[2])) {
		s.fatal("%d tasks were stopped for a lowered quota, want %s to %s", got, args[1], args[2])
	}
}

// expectRun checks "expect run RUN STATE".
func (s *script) expectRun(args []string) {
	s.t.Helper()
	if got := s.runOf(args[1]).State; got != args[2] {
		s.fatal("%s is %q, want %q: %+v", args[1], got, args[2], s.runOf(args[1]).Status.Steps)
	}
}

// expectAnswer checks "expect answer RUN STATUS": the answer to its last submission.
func (s *script) expectAnswer(args []string) {
	s.t.Helper()
	if got := s.runOf(args[1]).Answer; got != int(s.number(args[2])) {
		s.fatal("the submission of %s was answered %d, want %s", args[1], got, args[2])
	}
}

// expectRuns checks "expect runs FIRST COUNT STATE".
func (s *script) expectRuns(args []string) {
	s.t.Helper()
	first := int(s.number(args[1]))
	for i := range int(s.number(args[2])) {
		if r := s.runOf(simulation.RunID(first + i)); r.State != args[3] {
			s.fatal("%s is %q, want %q: %+v", r.ID, r.State, args[3], r.Status.Steps)
		}
	}
}

// expectStep checks "expect step RUN STEP STATE [REPEAT]".
func (s *script) expectStep(args []string) {
	s.t.Helper()
	found := false
	for _, step := range s.runOf(args[1]).Status.Steps {
		if step.Name != args[2] {
			continue
		}
		found = true
		if string(step.Status) != args[3] || len(args) > 4 && strconv.Itoa(step.Attempt) != args[4] {
			s.fatal(
				"%s of %s is %s at repeat %d (%s), want %v",
				step.Name,
				args[1],
				step.Status,
				step.Attempt,
				step.Why,
				args[3:],
			)
		}
	}
	if !found {
		s.fatal("%s has no step %s", args[1], args[2])
	}
}

// expectStrandedLine checks "expect stranded SECONDS": since "calm", no job has waited that long
// although there is room for it.
func (s *script) expectStrandedLine(args []string) {
	s.t.Helper()
	s.expectStranded(args[1])
}
