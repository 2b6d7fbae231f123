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
	s.sim.WatchLoans(guarantee)
}

// verbIsolatedEnds executes "isolated-ends": all initial machines are reachable again.
func (s *script) verbIsolatedEnds(_ []string) {
	for _, machine := range s.machines {
		s.sim.Heal(machine, "*")
		s.sim.Heal("*", machine)
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
	sim := s.sim
	sim.Loans.On[args[0]] = func(machine string) {
		switch verb {
		case "hang-on":
			sim.Agents[machine].Hung = true
		case "die-on":
			sim.Agents[machine].Die()
		case "notice-on":
			sim.Agents[machine].Reclaim(20)
		case "outage-on":
			sim.Store.SetDown(true)
			sim.After(time.Duration(s.number(args[1])*float64(time.Second)), func() { sim.Store.SetDown(false) })
		case "cut-on":
			sim.Cut(machine, "*", false)
			sim.Cut("*", machine, false)
			sim.After(time.Duration(s.number(args[1])*float64(time.Second)), func() {
				sim.Heal(machine, "*")
				sim.Heal("*", machine)
			})
		case "abort-on":
			sim.Cancel(s.job(args[1]))
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
	sim := s.sim
	owner := ""
	if v, ok := members.Decode(sim.Store.Value(members.ViewKey)); ok {
		owner = sharding.Owner(machine, v.Names())
	}
	for _, n := range sim.NodeNames {
		if which == "all" || which == "leader" && n == sim.Leader() || which == "owner" && n == owner ||
			which == "others" && n != owner && n != sim.Leader() {
			if verb == "freeze-on" {
				sim.Nodes[n].Freeze(back)
				continue
			}
			sim.Nodes[n].Crash()
			sim.After(back, sim.Nodes[n].Boot)
		}
	}
}

// countLoans returns the number of loans in a state; "all" stands for any state and "open" for any
// that is not final.
func (s *script) countLoans(state string) int {
	count := 0
	for _, l := range s.sim.Loans.Ledger() {
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
		for jobID, j := range s.sim.Jobs {
			if j.Team == args[1] {
				got += int(float64(s.sim.Running(jobID)) * j.Accelerators)
			}
		}
	case "upto":
		got = s.sim.Running(args[1])
	case "gangs":
		if got = s.sim.Loans.StoppedSaved; args[1] == "fell" {
			got = s.sim.Loans.StoppedUnsaved
		}
	}
	if got < int(s.number(args[2])) || len(args) > 3 && got > int(s.number(args[3])) {
		s.fatal("%v: got %d, want %v; loans %+v", args, got, args[2:], s.sim.Loans.Ledger())
	}
}
