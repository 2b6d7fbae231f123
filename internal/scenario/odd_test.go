package scenario

import "time"

// invalidRequests has users send requests that a correct client would not send.
var invalidRequests = fault{"invalid requests", func(s *script, _ string, d time.Duration) { s.sim.InvalidRequests(d) }}

// verbOddRequests executes "odd-requests SECONDS".
func (s *script) verbOddRequests(args []string) {
	s.sim.InvalidRequests(time.Duration(s.number(args[0]) * float64(time.Second)))
}

// expectOdd checks "expect odd MIN": answers to each kind of invalid request.
func (s *script) expectOdd(args []string) {
	s.t.Helper()
	if got := s.sim.InvalidAnswers; got.Least() < int(s.number(args[1])) {
		s.fatal("answers to invalid requests: %+v, fewer than %s of a kind", got, args[1])
	}
}
