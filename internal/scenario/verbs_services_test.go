package scenario

import (
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/simulation"
)

// serviceVerbs are about the state service and the cloud.
var serviceVerbs = map[string]verbFunc{
	"late-writes":  withName("late-writes", (*script).delayVerb),
	"late-reports": withName("late-reports", (*script).delayVerb),
	"copies":       (*script).verbCopies,
	"state":        (*script).verbState,
	"links":        (*script).verbLinks,
	"slow":         (*script).verbSlow,
	"slow-some":    (*script).verbSlowSome,
	"slow-watch":   (*script).verbSlowWatch,
	"fail-pages":   (*script).verbFailPages,
	"poison":       (*script).verbPoison,
	"cloud":        (*script).verbCloud,
	"capacity":     (*script).verbCapacity,
	"plant":        (*script).verbPlant,
}

// verbCopies executes "copies KIND|all SHARE EARLIEST LONGEST COUNT SECONDS": for SECONDS, that share of the
// messages of a kind (simulation.RequestKinds) arrives COUNT times more, EARLIEST to LONGEST seconds after
// it was carried out and answered.
func (s *script) verbCopies(args []string) {
	seconds := func(arg string) time.Duration { return time.Duration(s.number(arg) * float64(time.Second)) }
	copies := simulation.RequestCopies{
		Share:    s.number(args[1]),
		Earliest: seconds(args[2]),
		Longest:  seconds(args[3]),
		Count:    int(s.number(args[4])),
		For:      seconds(args[5]),
	}
	kinds := simulation.RequestKinds()
	if args[0] != "all" {
		kind := simulation.RequestKind(args[0])
		if !slices.Contains(kinds, kind) {
			s.fatal("unknown kind of messages %q", args[0])
		}
		kinds = []simulation.RequestKind{kind}
	}
	for _, kind := range kinds {
		s.sim.CopyRequests(kind, copies)
	}
}

// verbState executes "state down|up".
func (s *script) verbState(args []string) {
	s.sim.Store.SetDown(args[0] == "down")
}

// verbLinks executes "links DELAY_S JITTER LOSS": the one-way delay between all parties, the share
// by which it varies, and the share of packets that are lost once.
func (s *script) verbLinks(args []string) {
	s.sim.Links = simulation.Links{
		Delay:  time.Duration(s.number(args[0]) * float64(time.Second)),
		Jitter: s.number(args[1]),
		Loss:   s.number(args[2]),
	}
}

// verbSlow executes "slow SECONDS": the state service delays its answers.
func (s *script) verbSlow(args []string) {
	s.sim.Store.Slow = time.Duration(s.number(args[0]) * float64(time.Second))
}

// verbSlowSome executes "slow-some SHARE MOST SECONDS": for SECONDS, that share of the answers is
// delayed by up to MOST seconds.
func (s *script) verbSlowSome(args []string) {
	s.sim.Store.SlowSome(
		s.number(args[0]),
		time.Duration(s.number(args[1])*float64(time.Second)),
		time.Duration(s.number(args[2])*float64(time.Second)),
	)
}

// verbSlowWatch executes "slow-watch SECONDS": the delay of answers to watches, which replaces that
// of "slow".
func (s *script) verbSlowWatch(args []string) {
	s.sim.Store.SlowWatch = time.Duration(s.number(args[0]) * float64(time.Second))
}

// verbFailPages executes "fail-pages COUNT": every COUNTth page of a listing is refused; 0 turns it
// off.
func (s *script) verbFailPages(args []string) {
	s.sim.Store.FailPages = int(s.number(args[0]))
}

// verbPoison executes "poison JOB|none": transactions about its tasks are refused without a valid
// reason.
func (s *script) verbPoison(args []string) {
	s.sim.Store.Poison = strings.TrimPrefix(args[0], "none")
}

// verbCloud executes "cloud down|up".
func (s *script) verbCloud(args []string) {
	s.sim.Cloud.Down = args[0] == "down"
}

// verbCapacity executes "capacity MACHINES": the most machines that the cloud has.
func (s *script) verbCapacity(args []string) {
	s.sim.Cloud.Limit = int(s.number(args[0]))
}

// verbPlant executes "plant KEY VALUE": writes a record to the store directly.
func (s *script) verbPlant(args []string) {
	s.sim.Store.Put(args[0], strings.Join(args[1:], " "))
}
