package scenario

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// pollBursts and cancelAtEnd are faults of TestBesidePairs.
var (
	pollBursts = fault{"burst polls", func(s *script, _ string, d time.Duration) { s.sim.PollInBursts(d) }}

	cancelAtEnd = fault{"cancelled at the end", func(s *script, _ string, d time.Duration) {
		s.sim.CancelAtEnd(0.2+0.8*s.sim.RNG.Float64(), d)
	}}
)

// pollVerb executes the verbs about users who poll in bursts or cancel as jobs end.
func (s *script) pollVerb(verb string, args []string) {
	seconds := func(i int) time.Duration { return time.Duration(s.number(args[i]) * float64(time.Second)) }
	switch verb {
	case "close-looks": // close-looks SECONDS: users poll all controllers around each acceptance and end
		s.sim.PollInBursts(seconds(0))
	case "cancel-at-end": // cancel-at-end SHARE SECONDS: that share of jobs is cancelled just as it ends
		s.sim.CancelAtEnd(s.number(args[0]), seconds(1))
	case "look-all": // look-all: every accepted job is polled at every controller within 5 s
		s.sim.PollAll()
	}
}

// expectOneEnd checks that each of these jobs has one final state, and that its user was told it.
func (s *script) expectOneEnd(args []string) {
	s.t.Helper()
	first := int(s.number(args[1]))
	for i := range int(s.number(args[2])) {
		j := s.job(fmt.Sprintf("wk-%06d", first+i))
		var f jobs.StoredState
		if json.Unmarshal(s.sim.Store.Value(jobs.FinalPrefix+j.ID), &f) != nil || j.Status != string(f.State) {
			s.fatal("the user of %s was told %q, its final state is %q", j.ID, j.Status, f.State)
		}
	}
}
