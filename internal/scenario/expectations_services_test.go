package scenario

// serviceExpectations are about the state service and what reached it.
var serviceExpectations = map[string]expectFunc{
	"late-done":   (*script).expectLateDone,
	"unheard":     (*script).expectUnheard,
	"late-copies": (*script).expectLateCopies,
	"beyond":      (*script).expectBeyond,
	"poisoned":    (*script).expectPoisoned,
	"keys":        (*script).expectKeys,
}

// expectLateDone: expect late-done MIN: transactions carried out late.
func (s *script) expectLateDone(args []string) {
	s.t.Helper()
	if got := s.w.LateWritesDone; got < int(s.number(args[1])) {
		s.fatal("%d transactions were carried out late, fewer than %s", got, args[1])
	}
}

// expectUnheard: expect unheard MIN: transactions carried out at once without an answer.
func (s *script) expectUnheard(args []string) {
	s.t.Helper()
	if got := s.w.LostWrites; got < int(s.number(args[1])) {
		s.fatal("%d transactions were carried out without an answer, fewer than %s", got, args[1])
	}
}

// expectLateCopies: expect late-copies MIN: copies of reports that arrived later.
func (s *script) expectLateCopies(args []string) {
	s.t.Helper()
	if got := s.w.LateCopies; got < int(s.number(args[1])) {
		s.fatal("%d copies of reports arrived, fewer than %s", got, args[1])
	}
}

// expectBeyond: expect beyond MAX: requests that the state service refused for its limits.
func (s *script) expectBeyond(args []string) {
	s.t.Helper()
	if got := s.w.Store.Refused; got > int(s.number(args[1])) {
		s.fatal("%d requests went beyond the state service's limits", got)
	}
}

// expectPoisoned: expect poisoned MIN MAX: transactions refused for no reason.
func (s *script) expectPoisoned(args []string) {
	s.t.Helper()
	if got := s.w.Store.Poisoned; got < int(s.number(args[1])) || got > int(s.number(args[2])) {
		s.fatal("%d transactions were refused, not %s to %s", got, args[1], args[2])
	}
}

// expectKeys: expect keys PREFIX COUNT: of the state service.
func (s *script) expectKeys(args []string) {
	s.t.Helper()
	if got := s.w.Store.Count(args[1]); got != int(s.number(args[2])) {
		s.fatal("%d keys under %s, not %s", got, args[1], args[2])
	}
}
