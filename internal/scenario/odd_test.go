package scenario

import "time"

// oddRequests is a trouble of its own: users send what a careful one wouldn't.
var oddRequests = trouble{"odd requests", func(s *script, _ string, d time.Duration) { s.w.OddRequests(d) }}

func (s *script) oddRequests(args []string) {
	s.w.OddRequests(time.Duration(s.number(args[0]) * float64(time.Second)))
}

// expectOdd wants so many answers to each kind of odd request.
func (s *script) expectOdd(args []string) {
	s.t.Helper()
	if got := s.w.InvalidAnswers; got.Least() < int(s.number(args[1])) {
		s.fatal("odd requests were answered %+v, fewer than %s of a kind", got, args[1])
	}
}
