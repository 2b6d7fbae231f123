package scenario

import (
	"fmt"
	"time"
)

// late begins transactions and reports that come late, for so many seconds:
//
//	late-writes SHARE SECONDS           that share of transactions gets no answer and is
//	                                    carried out 2 to 12 s later, after newer ones
//	late-writes SHARE SECONDS at-once   it is carried out at once, only its answer is lost
//	late-reports SHARE SECONDS          a copy of that share of the workers' reports arrives
//	                                    again at the same node, 2 s to 1.5 leases later
//	late-reports SHARE SECONDS for-next the copy is kept for the next leader, and arrives
//	                                    there once that has acted
//	late-reports SHARE SECONDS for-all  it arrives at every controller just as the next
//	                                    leader begins
func (s *script) late(verb string, args []string) {
	share, long := s.number(args[0]), time.Duration(s.number(args[1])*float64(time.Second))
	how := ""
	if len(args) > 2 {
		how = args[2]
	}
	switch verb + " " + how {
	case "late-writes ":
		s.w.LateWrites(share, long)
	case "late-writes at-once":
		s.w.LostAnswers(share, long)
	case "late-reports ":
		s.w.LateReports(share, long)
	case "late-reports for-next":
		s.w.HoldReports(share, false, long)
	case "late-reports for-all":
		s.w.HoldReports(share, true, long)
	default:
		s.fatal("unknown %s %q", verb, how)
	}
}

// lostAnswers has transactions carried out at once and their answers lost.
var lostAnswers = trouble{
	"lost answers",
	func(s *script, _ string, d time.Duration) { s.w.LostAnswers(0.1+0.5*s.w.RNG.Float64(), d) },
}

// heldReports has reports come again at the next leader, or everywhere as it begins. The
// leader ends a while later, so that there is a next one.
var heldReports = trouble{"held reports", func(s *script, leader string, d time.Duration) {
	w := s.w
	w.HoldReports(0.2+0.8*w.RNG.Float64(), w.RNG.IntN(2) == 0, d)
	w.After(time.Duration(w.RNG.Int64N(int64(2*d))), func() {
		w.Nodes[leader].Crash()
		w.After(time.Duration(200+w.RNG.IntN(10000))*time.Millisecond, w.Nodes[leader].Boot)
	})
}}

// look-at FIRST COUNT EVERY SECONDS: each EVERY seconds, for so long, one of these jobs is
// asked about and submitted again at every controller.
func (s *script) lookAt(args []string) {
	w, first, count := s.w, int(s.number(args[0])), int(s.number(args[1]))
	every, long := s.number(args[2]), s.number(args[3])
	for at := 0.0; at < long; at += every {
		w.After(time.Duration(at*float64(time.Second)), func() {
			j := w.Jobs[fmt.Sprintf("wk-%06d", first+w.RNG.IntN(count))]
			if j == nil || !j.Accepted {
				return
			}
			entry := w.EntryNode
			for _, w.EntryNode = range w.NodeNames {
				w.PollJob(j)
				w.Resubmit(j)
			}
			w.EntryNode = entry
		})
	}
}
