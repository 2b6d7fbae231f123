package scenario

import (
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// watchLoans checks the invariants of lending.
func (s *script) watchLoans() {
	guarantee := map[string]float64{}
	for _, team := range s.set.Cluster.Teams {
		guarantee[team.Name] = team.Gpus
	}
	s.w.WatchLoans(guarantee)
}

// verbIsolatedEnds executes "isolated-ends": all initial machines are reachable again.
func (s *script) verbIsolatedEnds(_ []string) {
	for _, machine := range s.machines {
		s.w.Heal(machine, "*")
		s.w.Heal("*", machine)
	}
}

// loanVerb executes the verbs that trigger a fault once the first loan reaches STATE, or, for
// "told", once the first task of a gang is told to stop:
//
//	end-on STATE leader|owner|others|all [SECONDS]     controllers crash
//	freeze-on STATE leader|owner|others|all [SECONDS]  controllers are paused
//	hang-on, die-on, notice-on STATE                   the loan's machine hangs, dies, is reclaimed
//	cut-on STATE SECONDS                               the loan's machine is cut off from all
//	outage-on STATE SECONDS                            the state service is down
//	abort-on STATE JOB                                 the job is cancelled
//
// Controllers are back after SECONDS, or 4 s by default.
func (s *script) loanVerb(verb string, args []string) {
	w := s.w
	w.Loans.On[args[0]] = func(machine string) {
		switch verb {
		case "hang-on":
			w.Agents[machine].Hung = true
		case "die-on":
			w.Agents[machine].Die()
		case "notice-on":
			w.Agents[machine].Reclaim(20)
		case "outage-on":
			w.Store.SetDown(true)
			w.After(time.Duration(s.number(args[1])*float64(time.Second)), func() { w.Store.SetDown(false) })
		case "cut-on":
			w.Cut(machine, "*", false)
			w.Cut("*", machine, false)
			w.After(time.Duration(s.number(args[1])*float64(time.Second)), func() {
				w.Heal(machine, "*")
				w.Heal("*", machine)
			})
		case "abort-on":
			w.Cancel(s.job(args[1]))
		case "end-on", "freeze-on":
			back := 4.0
			if len(args) > 2 {
				back = s.number(args[2])
			}
			s.crashOrFreeze(verb, args[1], machine, time.Duration(back*float64(time.Second)))
		}
	}
}

// crashOrFreeze crashes or pauses controllers for a while: all, the leader, the owner of a machine,
// or those that are neither.
func (s *script) crashOrFreeze(verb, which, machine string, back time.Duration) {
	w := s.w
	owner := ""
	if v, ok := members.Decode(w.Store.Value(members.ViewKey)); ok {
		owner = sharding.Owner(machine, v.Names())
	}
	for _, n := range w.NodeNames {
		if which == "all" || which == "leader" && n == w.Leader() || which == "owner" && n == owner ||
			which == "others" && n != owner && n != w.Leader() {
			if verb == "freeze-on" {
				w.Nodes[n].Freeze(back)
				continue
			}
			w.Nodes[n].Crash()
			w.After(back, w.Nodes[n].Boot)
		}
	}
}

// countLoans returns the number of loans in a state, or of all or the open ones.
func (s *script) countLoans(state string) int {
	count := 0
	for _, l := range s.w.Loans.Ledger() {
		if state == "all" || state == "open" && !l.State.Final() ||
			strings.ReplaceAll(string(l.State), " ", "-") == state {
			count++
		}
	}
	return count
}

// expectLoans checks "expect loans STATE|open|all MIN MAX", "expect used TEAM MIN MAX"
// (accelerators of its tasks on machines), "expect upto JOB MIN" (its tasks on machines) and
// "expect gangs saved|fell MIN MAX" (gangs that were stopped with, or without, a save).
func (s *script) expectLoans(args []string) {
	s.t.Helper()
	got := 0
	switch args[0] {
	case "loans":
		got = s.countLoans(args[1])
	case "used":
		for jobID, j := range s.w.Jobs {
			if j.Team == args[1] {
				got += int(float64(s.w.Running(jobID)) * j.Accelerators)
			}
		}
	case "upto":
		got = s.w.Running(args[1])
	case "gangs":
		if got = s.w.Loans.StoppedSaved; args[1] == "fell" {
			got = s.w.Loans.StoppedUnsaved
		}
	}
	if got < int(s.number(args[2])) || len(args) > 3 && got > int(s.number(args[3])) {
		s.fatal("%v: got %d, want %v; loans %+v", args, got, args[2:], s.w.Loans.Ledger())
	}
}
