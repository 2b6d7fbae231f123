package scenario

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/simulation"
)

// leadVerb:
//
//	end-leader MOMENT COUNT BACK: the leader ends at each of the next COUNT such moments
//	(standin.RentDone and those beside it) and is back BACK seconds later
//	lead-changes COUNT EVERY crash|leave|freeze|mixed BACK: whoever leads ends, is asked to
//	end or stands still, COUNT times, and is back BACK seconds later
//	cut-zone ZONE NODE, heal-zone ZONE: a zone with its machines and a controller is cut off
//	end-as-it-leads COUNT: each of the next COUNT leaders ends within 5 ms of its first
//	moment as leader, before it decides anything, and stays away; "expect ended COUNT"
//	mark: what happens from here on is counted by "expect since"
func (s *script) leadVerb(verb string, args []string) {
	w := s.w
	switch verb {
	case "end-leader":
		left, back := int(s.number(args[1])), s.seconds(args[2])
		w.OnEvent(args[0], func() {
			if leader := w.Leader(); leader != "" && left > 0 {
				left--
				w.Nodes[leader].Crash()
				w.After(back, w.Nodes[leader].Boot)
			}
		})
	case "lead-changes":
		back := s.seconds(args[3])
		for i := range int(s.number(args[0])) {
			w.After(time.Duration(i)*s.seconds(args[1]), func() {
				if leader := w.Leader(); leader != "" {
					s.endsAs(leader, args[2], back)
				}
			})
		}
	case "cut-zone":
		w.CutZone(args[0], s.node(args[1]))
	case "heal-zone":
		w.HealZone(args[0])
	case "end-as-it-leads":
		s.endAsItLeads(w.Leader(), int(s.number(args[0])))
	case "mark":
		s.marked = w.Tally()
	}
}

// endAsItLeads has each of the next leaders end as soon as it leads.
func (s *script) endAsItLeads(former string, left int) {
	if left == 0 {
		return
	}
	leader := s.w.Leader()
	if leader != "" && leader != former {
		s.w.Nodes[leader].Crash()
		s.endedLeads++
		former, left = leader, left-1
	}
	s.w.After(5*time.Millisecond, func() { s.endAsItLeads(former, left) })
}

// endsAs has a controller go in one of the ways in which one does.
func (s *script) endsAs(name, how string, back time.Duration) {
	n := s.w.Nodes[name]
	if how == "mixed" {
		how = []string{"crash", "leave", "freeze"}[s.w.RNG.IntN(3)]
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
		s.fatal("%q is no way to end", how)
	}
	s.w.After(back, n.Boot)
}

func (s *script) seconds(text string) time.Duration {
	return time.Duration(s.number(text) * float64(time.Second))
}

// countSince is how many there were of something between two tallies.
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
	s.fatal("%q is not counted", what)
	return 0
}

// expectLead: expect since changes|requests|refused|rents|deletes|orders|views|starts MAX
// (from the last mark on), expect least views MIN (so many changes of it since the mark),
// expect tokens COUNTER (no machine has seen one of no view, or a counter above this),
// expect recorded SECONDS (no machine that has been up for so long lacks a record).
func (s *script) expectLead(args []string) {
	s.t.Helper()
	now, was := s.w.Tally(), s.marked
	count := func(what string) int {
		s.t.Helper()
		return s.countSince(what, now, was)
	}
	s.t.Logf("%s: %+v, marked at %+v", s.line, now, was)
	switch args[0] {
	case "ended":
		if got := s.endedLeads; got != int(s.number(args[1])) {
			s.fatal("%d leaders ended as they came to lead, not %s", got, args[1])
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
		for _, machine := range s.w.WrongTokens(uint64(s.number(args[1]))) {
			s.fatal("%s has seen a token out of range under epoch %d", machine, s.w.Epoch())
		}
	case "recorded":
		for _, machine := range s.w.Unrecorded(s.seconds(args[1])) {
			s.fatal("%s is up and has no record", machine)
		}
	}
}
