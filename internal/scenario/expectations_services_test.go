package scenario

import "github.com/harrierreel/harrierreel/internal/simulation"

// serviceExpectations are about the state service and delayed requests.
var serviceExpectations = map[string]expectFunc{
	"late-done":   (*script).expectLateDone,
	"unheard":     (*script).expectUnheard,
	"late-copies": (*script).expectLateCopies,
	"copies":      (*script).expectCopies,
	"beyond":      (*script).expectBeyond,
	"poisoned":    (*script).expectPoisoned,
	"keys":        (*script).expectKeys,
	"polls":       (*script).expectPolls,
}

// expectLateDone checks "expect late-done MIN": transactions executed late.
func (s *script) expectLateDone(args []string) {
	s.t.Helper()
	if got := s.sim.LateWritesDone; got < int(s.number(args[1])) {
		s.fatal("%d transactions were executed late, fewer than %s", got, args[1])
	}
}

// expectUnheard checks "expect unheard MIN": transactions executed at once whose answer was lost.
func (s *script) expectUnheard(args []string) {
	s.t.Helper()
	if got := s.sim.LostWrites; got < int(s.number(args[1])) {
		s.fatal("%d transactions were executed without an answer, fewer than %s", got, args[1])
	}
}

// expectLateCopies checks "expect late-copies MIN": duplicate reports that arrived late.
func (s *script) expectLateCopies(args []string) {
	s.t.Helper()
	if got := s.sim.ReplayedReports; got < int(s.number(args[1])) {
		s.fatal("%d duplicate reports arrived, fewer than %s", got, args[1])
	}
}

// expectCopies checks "expect copies KIND MIN": messages of a kind that arrived once more (verb "copies").
func (s *script) expectCopies(args []string) {
	s.t.Helper()
	if got := s.sim.CopiesArrived[simulation.RequestKind(args[1])]; got < int(s.number(args[2])) {
		s.fatal("%d copies of %s arrived, fewer than %s", got, args[1], args[2])
	}
}

// expectBeyond checks "expect beyond MAX": requests that the state service refused because of its
// rate limits.
func (s *script) expectBeyond(args []string) {
	s.t.Helper()
	if got := s.sim.Store.Refused; got > int(s.number(args[1])) {
		s.fatal("%d requests exceeded the rate limits of the state service", got)
	}
}

// expectPoisoned checks "expect poisoned MIN MAX": transactions refused by "poison".
func (s *script) expectPoisoned(args []string) {
	s.t.Helper()
	if got := s.sim.Store.Poisoned; got < int(s.number(args[1])) || got > int(s.number(args[2])) {
		s.fatal("%d transactions were refused, want %s to %s", got, args[1], args[2])
	}
}

// expectPolls checks "expect polls MIN SHARE": since "count-polls", users asked running controllers
// at least MIN questions about jobs, and at least SHARE of them were answered in time.
func (s *script) expectPolls(args []string) {
	s.t.Helper()
	polls := *s.sim.Polls
	if polls.Sent < int(s.number(args[1])) || float64(polls.Answered) < s.number(args[2])*float64(polls.Sent) {
		s.fatal("%d questions, %d answered in time, want %s and the share %s", polls.Sent, polls.Answered, args[1], args[2])
	}
}

// expectKeys checks "expect keys PREFIX COUNT": keys in the state service.
func (s *script) expectKeys(args []string) {
	s.t.Helper()
	if got := s.sim.Store.Count(args[1]); got != int(s.number(args[2])) {
		s.fatal("%d keys under %s, want %s", got, args[1], args[2])
	}
}
