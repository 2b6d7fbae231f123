package scenario

import "time"

// machineVerbs are those of machines, of loans and of what arrives between parties.
var machineVerbs = map[string]verbFunc{
	"die-many":       (*script).verbDieMany,
	"rebirth":        (*script).verbRebirth,
	"hold-back":      (*script).verbHoldBack,
	"die-some":       withName("die-some", (*script).verbDieOrHangSome),
	"hang-some":      withName("hang-some", (*script).verbDieOrHangSome),
	"cut-many":       withName("cut-many", (*script).verbCutOrHealMany),
	"heal-many":      withName("heal-many", (*script).verbCutOrHealMany),
	"deaf":           withName("deaf", (*script).verbCutOrHealMany),
	"hear":           withName("hear", (*script).verbCutOrHealMany),
	"rented-unheard": (*script).verbRentedUnheard,
	"baton":          (*script).verbBaton,
	"cut":            (*script).verbCut,
	"isolate":        (*script).verbIsolate,
	"blind":          (*script).verbBlind,
	"heal":           (*script).verbHeal,
	"die":            withName("die", (*script).verbOneMachine),
	"hang":           withName("hang", (*script).verbOneMachine),
	"resume":         withName("resume", (*script).verbOneMachine),
	"take":           withName("take", (*script).verbOneMachine),
	"end-on":         withName("end-on", (*script).loanVerb),
	"freeze-on":      withName("freeze-on", (*script).loanVerb),
	"cut-on":         withName("cut-on", (*script).loanVerb),
	"hang-on":        withName("hang-on", (*script).loanVerb),
	"die-on":         withName("die-on", (*script).loanVerb),
	"notice-on":      withName("notice-on", (*script).loanVerb),
	"abort-on":       withName("abort-on", (*script).loanVerb),
	"outage-on":      withName("outage-on", (*script).loanVerb),
	"isolated-ends":  (*script).verbIsolatedEnds,
	"mute":           withName("mute", (*script).verbMute),
	"unmute":         withName("unmute", (*script).verbMute),
	// hang-with FIRST COUNT SECONDS: machines with a task of these jobs; hang-for: of the start
	"hang-with": withName("hang-with", (*script).hangFor),
	"hang-for":  withName("hang-for", (*script).hangFor),
	// rejoin FIRST COUNT: ends isolate
	"rejoin": (*script).rejoin,
}

// verbDieMany: die-many FIRST COUNT: machines of the start.
func (s *script) verbDieMany(args []string) {
	first := int(s.number(args[0]))
	for _, h := range s.machines[first-1 : first-1+int(s.number(args[1]))] {
		s.w.Agents[h].Die()
	}
}

// verbRebirth: rebirth FIRST COUNT: machines of the start die and are back at once, with a new
// tenure.
func (s *script) verbRebirth(args []string) {
	first := int(s.number(args[0]))
	for _, h := range s.machines[first-1 : first-1+int(s.number(args[1]))] {
		if agent := s.w.Agents[h]; agent != nil {
			agent.Restart()
		}
	}
}

// verbHoldBack: hold-back beat|cmd|state|rent SECONDS EVERY: each so-manieth request comes so
// late, its sender has given it up.
func (s *script) verbHoldBack(args []string) {
	s.w.HoldBack(args[0], time.Duration(s.number(args[1])*float64(time.Second)), int(s.number(args[2])))
}

// verbDieOrHangSome: die-some|hang-some empty|busy COUNT: machines of the start.
func (s *script) verbDieOrHangSome(verb string, args []string) {
	left := int(s.number(args[1]))
	for _, h := range s.machines {
		if agent := s.w.Agents[h]; agent != nil && left > 0 && !agent.Hung && agent.Empty() == (args[0] == "empty") {
			if left--; verb == "die-some" {
				agent.Die()
			} else {
				agent.Hung = true
			}
		}
	}
	if left > 0 {
		s.fatal("%d too few are %s", left, args[0])
	}
}

// verbCutOrHealMany: cut-many|deaf FIRST COUNT: nothing reaches these machines of the start: their
// reports arrive, answers to them, commands and /show are lost. heal-many|hear ends it. One
// machine by name: "cut * MACHINE", "heal * MACHINE".
func (s *script) verbCutOrHealMany(verb string, args []string) {
	first := int(s.number(args[0]))
	for _, h := range s.machines[first-1 : first-1+int(s.number(args[1]))] {
		if s.w.Heal("*", h); verb == "cut-many" || verb == "deaf" {
			s.w.Cut("*", h, false)
		}
	}
}

// verbRentedUnheard: rented-unheard COUNT BUILD SITE: by a leader that ended before the answer.
func (s *script) verbRentedUnheard(args []string) {
	for range int(s.number(args[0])) {
		s.machines = append(s.machines, s.w.Cloud.AddRunning(args[1], args[2], false))
	}
}

// verbBaton: baton MACHINE EPOCH: it has seen that token.
func (s *script) verbBaton(args []string) {
	s.w.Agents[s.party(args[0])].LearnEpoch(uint64(s.number(args[1])))
}

// verbCut: cut FROM TO [hold].
func (s *script) verbCut(args []string) {
	s.w.Cut(s.party(args[0]), s.party(args[1]), len(args) > 2)
}

// verbIsolate: isolate FIRST COUNT: so many of the first machines are cut from all.
func (s *script) verbIsolate(args []string) {
	first := int(s.number(args[0]))
	for _, h := range s.machines[first-1 : first-1+int(s.number(args[1]))] {
		s.w.Cut(h, "*", false)
		s.w.Cut("*", h, false)
	}
}

// verbBlind: blind NODE on|off: it and the machines of the start do not reach one another.
func (s *script) verbBlind(args []string) {
	for _, h := range s.machines {
		if args[1] == "on" {
			s.w.Cut(h, s.node(args[0]), false)
			s.w.Cut(s.node(args[0]), h, false)
		} else {
			s.w.Heal(h, s.node(args[0]))
			s.w.Heal(s.node(args[0]), h)
		}
	}
}

// verbHeal: heal FROM TO: ends cut.
func (s *script) verbHeal(args []string) {
	s.w.Heal(s.party(args[0]), s.party(args[1]))
}

// verbOneMachine: die|hang|resume MACHINE, take MACHINE SECONDS of notice.
func (s *script) verbOneMachine(verb string, args []string) {
	agent := s.w.Agents[s.party(args[0])]
	if agent == nil {
		s.fatal("no machine %s", args[0])
	}
	switch verb {
	case "die":
		agent.Die()
	case "hang":
		agent.Hung = true
	case "resume":
		agent.Resume()
	case "take":
		agent.Reclaim(s.number(args[1]))
	}
}

// verbMute: mute FIRST COUNT: these machines of the start reach no controller, commands reach them.
func (s *script) verbMute(verb string, args []string) {
	s.mute(int(s.number(args[0])), int(s.number(args[1])), verb == "mute")
}
