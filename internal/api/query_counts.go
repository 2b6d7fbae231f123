package api

import (
	"fmt"

	"github.com/harrierreel/harrierreel/internal/http1"
)

// querySource is what a query about a job was answered from. Its value is its name in the log.
type querySource string

// The sources of answers.
const (
	fromFinals querySource = "final state in memory"
	fromMirror querySource = "mirror"
	fromRead   querySource = "read of the job"
)

// refusalStep is the step that a refused query was in. Its value is its name in the log.
type refusalStep string

// The steps.
const (
	atState      refusalStep = "state service unavailable"
	atMirror     refusalStep = "mirror not listed yet"
	atEpochRead  refusalStep = "epoch not read in time"
	atWatch      refusalStep = "mirror behind the epoch read"
	atRecency    refusalStep = "mirror not known to be recent"
	atJobRead    refusalStep = "job not read in time"
	atReadFailed refusalStep = "read failed"
	atQueue      refusalStep = "too many queries"
)

// queryCounts counts the queries of a period by their outcome.
type queryCounts struct {
	answered map[querySource]int
	refused  map[refusalStep]int
	// unanswered counts, by peer, the queries that were refused while an answer of the peer to a
	// query about its acknowledgements was missing.
	unanswered map[string]int
}

func newQueryCounts() queryCounts {
	return queryCounts{
		answered:   map[querySource]int{},
		refused:    map[refusalStep]int{},
		unanswered: map[string]int{},
	}
}

// refuse refuses a query that is in the given step.
func (s *Server) refuse(step refusalStep, respond func(http1.Reply)) {
	s.counts.refused[step]++
	if step == atRecency {
		for _, peer := range s.peerProof.Unanswered() {
			s.counts.unanswered[peer]++
		}
	}
	respond(unavailable())
}

// LogCounts logs what has become of the queries since the last call, if there were any: at level
// info if some were refused.
func (s *Server) LogCounts() {
	counts := s.counts
	s.counts = newQueryCounts()
	log := s.log.Debug
	if len(counts.refused) > 0 {
		log = s.log.Info
	}
	if len(counts.refused)+len(counts.answered) > 0 {
		log("queries counted",
			"answered", fmt.Sprint(counts.answered),
			"refused", fmt.Sprint(counts.refused),
			"peers_unanswered", fmt.Sprint(counts.unanswered))
	}
}
