package scenario

import (
	"fmt"
	"time"
)

// delayVerb delays or duplicates transactions and reports for SECONDS:
//
//	late-writes SHARE SECONDS           that share of transactions gets no answer and is
//	                                    executed 2 to 12 s later, after newer ones
//	late-writes SHARE SECONDS at-once   it is executed at once, only its answer is lost
//	late-reports SHARE SECONDS          a copy of that share of the workers' reports arrives
//	                                    at the same controller, 2 s to 1.5 leases later
//	late-reports SHARE SECONDS for-next the copy is held for the next leader, and arrives
//	                                    there after the leader has acted
//	late-reports SHARE SECONDS for-all  the copy arrives at every controller just as the
//	                                    next leader takes over
func (s *script) delayVerb(verb string, args []string) {
	share, duration := s.number(args[0]), time.Duration(s.number(args[1])*float64(time.Second))
	how := ""
	if len(args) > 2 {
		how = args[2]
	}
	switch verb + " " + how {
	case "late-writes ":
		s.sim.LateWrites(share, duration)
	case "late-writes at-once":
		s.sim.LostAnswers(share, duration)
	case "late-reports ":
		s.sim.LateReports(share, duration)
	case "late-reports for-next":
		s.sim.HoldReports(share, false, duration)
	case "late-reports for-all":
		s.sim.HoldReports(share, true, duration)
	default:
		s.fatal("unknown %s %q", verb, how)
	}
}

// lostAnswers has transactions executed at once but loses their answers.
var lostAnswers = fault{
	"lost answers",
	func(s *script, _ string, d time.Duration) { s.sim.LostAnswers(0.1+0.5*s.sim.RNG.Float64(), d) },
}

// heldReports delivers copies of reports to the next leader, or to all controllers as it takes
// over. It crashes the leader a while later, so that there is a next one.
var heldReports = fault{"held reports", func(s *script, leader string, d time.Duration) {
	sim := s.sim
	sim.HoldReports(0.2+0.8*sim.RNG.Float64(), sim.RNG.IntN(2) == 0, d)
	sim.After(time.Duration(sim.RNG.Int64N(int64(2*d))), func() {
		sim.Nodes[leader].Crash()
		sim.After(time.Duration(200+sim.RNG.IntN(10000))*time.Millisecond, sim.Nodes[leader].Boot)
	})
}}

// lookAt executes "look-at FIRST COUNT EVERY SECONDS": every EVERY seconds, for that long, one
// random job of these is polled and submitted again at every controller.
func (s *script) lookAt(args []string) {
	sim, first, count := s.sim, int(s.number(args[0])), int(s.number(args[1]))
	every, duration := s.number(args[2]), s.number(args[3])
	for at := 0.0; at < duration; at += every {
		sim.After(time.Duration(at*float64(time.Second)), func() {
			j := sim.Jobs[fmt.Sprintf("wk-%06d", first+sim.RNG.IntN(count))]
			if j == nil || !j.Accepted {
				return
			}
			entry := sim.EntryNode
			for _, sim.EntryNode = range sim.NodeNames {
				sim.PollJob(j)
				sim.Resubmit(j)
			}
			sim.EntryNode = entry
		})
	}
}
