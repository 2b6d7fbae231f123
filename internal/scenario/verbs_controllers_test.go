package scenario

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/simulation"
	"github.com/harrierreel/harrierreel/internal/standby"
)

// controllerVerbs are those of controllers, of the calendar, and of the script itself.
var controllerVerbs = map[string]verbFunc{
	"crash":           (*script).verbCrash,
	"freeze":          (*script).verbFreeze,
	"leave":           (*script).verbLeave,
	"refuse-peers":    (*script).verbRefusePeers,
	"lag-next":        (*script).verbLagNext,
	"lag-none":        (*script).verbLagNone,
	"crash-warm":      (*script).verbCrashWarm,
	"calendar":        (*script).verbCalendar,
	"upon":            (*script).verbUpon,
	"clock":           (*script).verbClock,
	"flap":            (*script).verbFlap,
	"flap-all":        (*script).verbFlapAll,
	"cut-peers":       (*script).verbCutPeers,
	"boot":            (*script).verbBoot,
	"crash-all":       (*script).verbCrashAll,
	"boot-all":        (*script).verbBootAll,
	"door":            (*script).verbDoor,
	"refuse":          (*script).verbRefuse,
	"lose":            (*script).verbLose,
	"late":            (*script).verbLate,
	"lag":             (*script).verbLag,
	"let":             (*script).verbLet,
	"end-leader":      withName("end-leader", (*script).leadVerb),
	"end-as-it-leads": withName("end-as-it-leads", (*script).leadVerb),
	"lead-changes":    withName("lead-changes", (*script).leadVerb),
	"cut-zone":        withName("cut-zone", (*script).leadVerb),
	"heal-zone":       withName("heal-zone", (*script).leadVerb),
	"mark":            withName("mark", (*script).leadVerb),
	"expect":          (*script).expect,
	"calm":            (*script).verbCalm,
}

// verbCrash: crash NODE: its process is killed.
func (s *script) verbCrash(args []string) {
	s.w.Nodes[s.node(args[0])].Crash()
}

// verbFreeze: freeze NODE SECONDS: the process stands still, its clocks run on.
func (s *script) verbFreeze(args []string) {
	s.w.Nodes[s.node(args[0])].Freeze(time.Duration(s.number(args[1]) * float64(time.Second)))
}

// verbLeave: leave NODE: it is asked to end in order.
func (s *script) verbLeave(args []string) {
	s.w.Nodes[s.node(args[0])].Shutdown()
}

// verbRefusePeers: refuse-peers NODE on|off: connections between it and the others.
func (s *script) verbRefusePeers(args []string) {
	s.w.RefusePeers(s.node(args[0]), args[1] == "on")
}

// verbLagNext: lag-next SECONDS: the watch of the controller that is to follow first.
func (s *script) verbLagNext(args []string) {
	for _, n := range s.w.NodeNames {
		if s.w.Nodes[n].SuccessionOrder() == 0 {
			s.w.Store.Lag[n] = time.Duration(s.number(args[0]) * float64(time.Second))
		}
	}
}

// verbLagNone: lag-none: no watch is late any more.
func (s *script) verbLagNone(_ []string) {
	clear(s.w.Store.Lag)
}

// verbCrashWarm: crash-warm COUNT: the controllers that are to follow the leader.
func (s *script) verbCrashWarm(args []string) {
	left := int(s.number(args[0]))
	for _, n := range s.w.NodeNames {
		if state, _ := s.w.Nodes[n].Standby(); (state == standby.Warm || state == standby.Probing) && left > 0 {
			left--
			s.w.Nodes[n].Crash()
		}
	}
}

// verbCalendar: calendar NODE FILE: another file, read when it next starts.
func (s *script) verbCalendar(args []string) {
	s.w.Nodes[s.node(args[0])].SetCalendar(s.calendar(args[1]))
}

// verbUpon: upon WINDOW STATE VERB ...: once, as soon as it is committed.
func (s *script) verbUpon(args []string) {
	s.windows.upon[args[0]+" "+args[1]] = args[2:]
}

// verbClock: clock NODE SECONDS: its time of day is so far off.
func (s *script) verbClock(args []string) {
	s.w.ClockOffsets[s.node(args[0])] = time.Duration(s.number(args[1]) * float64(time.Second))
}

// verbFlap: flap NODE COUNT [LONGEST]: killed, back 0.2 s later, killed again 0.1 to LONGEST (0.5)
// s after that, COUNT times.
func (s *script) verbFlap(args []string) {
	longest := 0.5
	if len(args) > 2 {
		longest = s.number(args[2])
	}
	s.w.Flap(s.node(args[0]), int(s.number(args[1])), time.Duration(longest*float64(time.Second)))
}

// verbFlapAll: flap-all COUNT: all within a second, each back 0.2 s later, COUNT times.
func (s *script) verbFlapAll(args []string) {
	for _, n := range s.w.NodeNames {
		s.w.After(
			time.Duration(s.w.RNG.IntN(1000))*time.Millisecond,
			func() { s.w.Flap(n, int(s.number(args[0])), 1200*time.Millisecond) },
		)
	}
}

// verbCutPeers: cut-peers NODE on|off: lines between this controller and the others are lost, both
// ways and in silence (refuse-peers has them refused, which the others hear). A controller cut
// from the state service and its peers, but neither from workers nor from users: "cut-peers NODE
// on" with "refuse NODE on", which answers it 503, or with "cut NODE state", after which its calls
// find no answer.
func (s *script) verbCutPeers(args []string) {
	s.cutPeers(s.node(args[0]), args[1] == "on")
}

// verbBoot: boot NODE: its process starts.
func (s *script) verbBoot(args []string) {
	s.w.Nodes[s.node(args[0])].Boot()
}

// verbCrashAll: crash-all: every controller's process is killed.
func (s *script) verbCrashAll(_ []string) {
	crashAll(s.w)
}

// verbBootAll: boot-all: every controller's process starts.
func (s *script) verbBootAll(_ []string) {
	bootAll(s.w)
}

// verbDoor: door NODE|any: where users' requests go.
func (s *script) verbDoor(args []string) {
	s.w.EntryNode = ""
	if args[0] != "any" {
		s.w.EntryNode = s.node(args[0])
	}
}

// verbRefuse: refuse NODE on|off: the state service refuses it alone.
func (s *script) verbRefuse(args []string) {
	s.w.Store.Refuse[s.node(args[0])] = args[1] == "on"
}

// verbLose: lose NODE COUNT: answers to its next transactions.
func (s *script) verbLose(args []string) {
	s.w.Store.Lose[s.node(args[0])] = int(s.number(args[1]))
}

// verbLate: late NODE SECONDS: its transactions arrive late.
func (s *script) verbLate(args []string) {
	s.w.Store.Late[s.node(args[0])] = time.Duration(s.number(args[1]) * float64(time.Second))
}

// verbLag: lag NODE SECONDS: its watches tell of changes so much later.
func (s *script) verbLag(args []string) {
	s.w.Store.Lag[s.node(args[0])] = time.Duration(s.number(args[1]) * float64(time.Second))
}

// verbLet: let VAR host-of JOB | leader | follower | second.
func (s *script) verbLet(args []string) {
	s.vars[args[0]] = s.value(args[1:])
}

// verbCalm: all troubles end, and who waits although there is room is watched.
func (s *script) verbCalm(_ []string) {
	s.calm()
}

// crashAll ends every controller's process.
func crashAll(w *simulation.Simulator) {
	for _, n := range w.NodeNames {
		w.Nodes[n].Crash()
	}
}

// bootAll starts every controller's process.
func bootAll(w *simulation.Simulator) {
	for _, n := range w.NodeNames {
		w.Nodes[n].Boot()
	}
}
