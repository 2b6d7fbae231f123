package scenario

import (
	"strings"
	"time"
)

// serviceVerbs are those of the state service and of the cloud.
var serviceVerbs = map[string]verbFunc{
	"late-writes":  withName("late-writes", (*script).late),
	"late-reports": withName("late-reports", (*script).late),
	"state":        (*script).verbState,
	"slow":         (*script).verbSlow,
	"slow-some":    (*script).verbSlowSome,
	"slow-watch":   (*script).verbSlowWatch,
	"fail-pages":   (*script).verbFailPages,
	"poison":       (*script).verbPoison,
	"cloud":        (*script).verbCloud,
	"capacity":     (*script).verbCapacity,
	"plant":        (*script).verbPlant,
}

// verbState: state down|up.
func (s *script) verbState(args []string) {
	s.w.Store.SetDown(args[0] == "down")
}

// verbSlow: slow SECONDS: the state service answers so much later.
func (s *script) verbSlow(args []string) {
	s.w.Store.Slow = time.Duration(s.number(args[0]) * float64(time.Second))
}

// verbSlowSome: slow-some SHARE MOST SECONDS: for so long that share of its answers comes up to
// MOST seconds later.
func (s *script) verbSlowSome(args []string) {
	s.w.Store.SlowSome(
		s.number(args[0]),
		time.Duration(s.number(args[1])*float64(time.Second)),
		time.Duration(s.number(args[2])*float64(time.Second)),
	)
}

// verbSlowWatch: slow-watch SECONDS: its answers to watches come so late instead.
func (s *script) verbSlowWatch(args []string) {
	s.w.Store.SlowWatch = time.Duration(s.number(args[0]) * float64(time.Second))
}

// verbFailPages: fail-pages COUNT: each so-manieth page of a listing is refused, 0 none.
func (s *script) verbFailPages(args []string) {
	s.w.Store.FailPages = int(s.number(args[0]))
}

// verbPoison: poison JOB|none: transactions about its tasks are refused for no reason.
func (s *script) verbPoison(args []string) {
	s.w.Store.Poison = strings.TrimPrefix(args[0], "none")
}

// verbCloud: cloud down|up.
func (s *script) verbCloud(args []string) {
	s.w.Cloud.Down = args[0] == "down"
}

// verbCapacity: capacity MACHINES: the cloud rents no more than so many.
func (s *script) verbCapacity(args []string) {
	s.w.Cloud.Limit = int(s.number(args[0]))
}

// verbPlant: plant KEY VALUE: an odd record in the store.
func (s *script) verbPlant(args []string) {
	s.w.Store.Put(args[0], strings.Join(args[1:], " "))
}
