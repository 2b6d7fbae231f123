package scenario

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// closeLooks and cancelAtEnd are kinds of trouble for pairs (troubles).
var (
	closeLooks = trouble{"close looks", func(s *script, _ string, d time.Duration) { s.w.PollInBursts(d) }}

	cancelAtEnd = trouble{"cancelled at the end", func(s *script, _ string, d time.Duration) {
		s.w.CancelAtEnd(0.2+0.8*s.w.RNG.Float64(), d)
	}}
)

// looksVerb carries out the verbs of users who look closely.
func (s *script) looksVerb(verb string, args []string) {
	seconds := func(i int) time.Duration { return time.Duration(s.number(args[i]) * float64(time.Second)) }
	switch verb {
	case "close-looks": // close-looks SECONDS: for so long users ask at all controllers around each acceptance and end
		s.w.PollInBursts(seconds(0))
	case "cancel-at-end": // cancel-at-end SHARE SECONDS: for so long that share of the jobs that end is called off then
		s.w.CancelAtEnd(s.number(args[0]), seconds(1))
	case "look-all": // look-all: every controller is asked about every accepted job, within 5 s
		s.w.PollAll()
	}
}

// expectOneEnd checks that each of these jobs has one end, which its user was told.
func (s *script) expectOneEnd(args []string) {
	s.t.Helper()
	first := int(s.number(args[1]))
	for i := range int(s.number(args[2])) {
		j := s.job(fmt.Sprintf("wk-%06d", first+i))
		var f jobs.Final
		if json.Unmarshal(s.w.Store.Value(jobs.FinalPrefix+j.ID), &f) != nil || j.Status != string(f.State) {
			s.fatal("%s was told %q, its end is %q", j.ID, j.Status, f.State)
		}
	}
}
