package scenario

import (
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// watchLoans has the rules of loans checked.
func (s *script) watchLoans() {
	guarantee := map[string]float64{}
	for _, team := range s.set.Cluster.Teams {
		guarantee[team.Name] = team.Gpus
	}
	s.w.WatchLoans(guarantee)
}

// verbIsolatedEnds: isolated-ends: the machines of the start are cut no more.
func (s *script) verbIsolatedEnds(_ []string) {
	for _, h := range s.machines {
		s.w.Heal(h, "*")
		s.w.Heal("*", h)
	}
}

// loanVerb: end-on, freeze-on STATE leader|owner|others|all [SECONDS], hang-on, die-on, notice-on
// STATE, cut-on (its machine from all), outage-on STATE SECONDS, abort-on STATE JOB: once the
// first loan comes to a state, or "told": a gang's first task is told to stop. Controllers that
// end or stand still are back after SECONDS, 4 if none are given.
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
			s.endOrFreeze(verb, args[1], machine, time.Duration(back*float64(time.Second)))
		}
	}
}

// endOrFreeze has controllers end, or stand still, for so long: all, the leader, the owner of
// a machine or those that are neither.
func (s *script) endOrFreeze(verb, which, machine string, back time.Duration) {
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

// loansIn counts the loans in a state, or all, or those that are open.
func (s *script) loansIn(state string) int {
	count := 0
	for _, l := range s.w.Loans.Ledger() {
		if state == "all" || state == "open" && !l.State.Over() ||
			strings.ReplaceAll(string(l.State), " ", "-") == state {
			count++
		}
	}
	return count
}

// expectLoans: expect loans STATE|open|all MIN MAX, expect used TEAM MIN MAX (its tasks
// on machines, in accelerators), expect upto JOB MIN (its tasks on machines), expect
// gangs saved|fell MIN MAX.
func (s *script) expectLoans(args []string) {
	s.t.Helper()
	got := 0
	switch args[0] {
	case "loans":
		got = s.loansIn(args[1])
	case "used":
		for jobID, j := range s.w.Jobs {
			if j.Team == args[1] {
				got += int(float64(s.w.Running(jobID)) * j.Accelerators)
			}
		}
	case "upto":
		got = s.w.Running(args[1])
	case "gangs":
		if got = s.w.Loans.Saved; args[1] == "fell" {
			got = s.w.Loans.Fell
		}
	}
	if got < int(s.number(args[2])) || len(args) > 3 && got > int(s.number(args[3])) {
		s.fatal("%v: %d, not %v; %+v", args, got, args[2:], s.w.Loans.Ledger())
	}
}
