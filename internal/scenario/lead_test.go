package scenario

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/simulation"
)

// leaderVerb executes the verbs about changes of leader:
//
//	end-leader MOMENT COUNT BACK: the leader crashes at each of the next COUNT events of that
//	kind (simulation.RentDone and those beside it) and restarts BACK seconds later
//	lead-changes COUNT EVERY crash|leave|freeze|mixed BACK: COUNT times, the current leader
//	crashes, is shut down or is paused, and is back BACK seconds later
//	cut-zone ZONE NODE, heal-zone ZONE: a zone with its machines and one controller is cut off
//	end-as-it-leads COUNT: each of the next COUNT leaders crashes within 5 ms of becoming
//	leader, before it decides anything, and stays down; "expect ended COUNT"
//	mark: "expect since" counts from here on
func (s *script) leaderVerb(verb string, args []string) {
	sim := s.sim
	switch verb {
	case "end-leader":
		left, back := int(s.number(args[1])), s.seconds(args[2])
		sim.OnEvent(args[0], func() {
			if leader := sim.Leader(); leader != "" && left > 0 {
				left--
				sim.Nodes[leader].Crash()
				sim.After(back, sim.Nodes[leader].Boot)
			}
		})
	case "lead-changes":
		back := s.seconds(args[3])
		for i := range int(s.number(args[0])) {
			sim.After(time.Duration(i)*s.seconds(args[1]), func() {
				if leader := sim.Leader(); leader != "" {
					s.stopController(leader, args[2], back)
				}
			})
		}
	case "cut-zone":
		sim.CutZone(args[0], s.node(args[1]))
	case "heal-zone":
		sim.HealZone(args[0])
	case "end-as-it-leads":
		s.crashNextLeaders(sim.Leader(), int(s.number(args[0])))
	case "mark":
		s.tallyAtMark = sim.Tally()
	}
}

// crashNextLeaders crashes each of the next leaders as soon as it leads.
func (s *script) crashNextLeaders(former string, left int) {
	if left == 0 {
		return
	}
	leader := s.sim.Leader()
	if leader != "" && leader != former {
		s.sim.Nodes[leader].Crash()
		s.crashedLeaders++
		former, left = leader, left-1
	}
	s.sim.After(5*time.Millisecond, func() { s.crashNextLeaders(former, left) })
}

// stopController crashes, shuts down or pauses a controller.
func (s *script) stopController(name, how string, back time.Duration) {
	n := s.sim.Nodes[name]
	if how == "mixed" {
		how = []string{"crash", "leave", "freeze"}[s.sim.RNG.IntN(3)]
	}
	switch how {
	case "crash":
		n.Crash()
	case "leave":
		n.Shutdown()
	case "freeze":
		n.Freeze(back)
		return
	default:
		s.fatal("unknown way to stop a controller %q", how)
	}
	s.sim.After(back, n.Boot)
}

// seconds parses a duration in seconds.
func (s *script) seconds(text string) time.Duration {
	return time.Duration(s.number(text) * float64(time.Second))
}

// countSince returns the difference between two tallies for one counter.
func (s *script) countSince(what string, now, was simulation.Tally) int {
	s.t.Helper()
	switch what {
	case "changes":
		return now.Changes - was.Changes
	case "requests":
		return now.Requests - was.Requests
	case "refused":
		return now.Refused - was.Refused
	case "rents":
		return now.Rents - was.Rents
	case "deletes":
		return now.Deletes - was.Deletes
	case "orders":
		return now.Commands - was.Commands
	case "views":
		return now.Views - was.Views
	case "starts":
		return now.Starts - was.Starts
	}
	s.fatal("unknown counter %q", what)
	return 0
}

// expectLead checks the expectations about changes of leader:
//
//	expect since changes|requests|refused|rents|deletes|orders|views|starts MAX: at most MAX
//	since the last mark
//	expect least COUNTER MIN: at least MIN since the last mark
//	expect tokens COUNTER: no machine has received a fencing token of an epoch above the view's,
//	or one whose counter is above COUNTER
//	expect recorded SECONDS: every machine that has been up for that long has a record
//	expect ended COUNT: leaders that end-as-it-leads crashed
func (s *script) expectLead(args []string) {
	s.t.Helper()
	now, was := s.sim.Tally(), s.tallyAtMark
	count := func(what string) int {
		s.t.Helper()
		return s.countSince(what, now, was)
	}
	s.t.Logf("%s: %+v, at the mark %+v", s.line, now, was)
	switch args[0] {
	case "ended":
		if got := s.crashedLeaders; got != int(s.number(args[1])) {
			s.fatal("%d leaders crashed as they took over, want %s", got, args[1])
		}
	case "since":
		if got := count(args[1]); got > int(s.number(args[2])) {
			s.fatal("%d %s since the mark, more than %s", got, args[1], args[2])
		}
	case "least":
		if got := count(args[1]); got < int(s.number(args[2])) {
			s.fatal("%d %s since the mark, fewer than %s", got, args[1], args[2])
		}
	case "tokens":
		for _, machine := range s.sim.WrongTokens(uint64(s.number(args[1]))) {
			s.fatal("%s has received a fencing token out of range at epoch %d", machine, s.sim.Epoch())
		}
	case "recorded":
		for _, machine := range s.sim.Unrecorded(s.seconds(args[1])) {
			s.fatal("%s is up and has no record", machine)
		}
	}
}
