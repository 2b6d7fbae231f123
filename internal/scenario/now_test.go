package scenario

import (
	"flag"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
)

// Worlds in which jobs are called off at the moment of another trouble. Each seed has one
// of the meetings; a wide draw is
//
//	go test ./internal/scenario -run TestCancelNow -timeout 60m -now 120 -now-from 0
var (
	nowWorlds = flag.Int("now", 3, "worlds in which jobs are called off at the moment of another trouble")
	nowFrom   = flag.Int("now-from", 0, "seed of the first")
)

// cancelNow calls off jobs that run; on every second occasion their machines hang as well.
var cancelNow = trouble{"cancel now", func(s *script, _ string, d time.Duration) {
	hang := time.Duration(s.w.RNG.IntN(2)) * d
	s.w.CancelNow(2+s.w.RNG.IntN(6), hang)
}}

// cancelNowVerb: cancel-now COUNT [HANG_S].
func (s *script) cancelNowVerb(args []string) {
	hang := 0.0
	if len(args) > 1 {
		hang = s.number(args[1])
	}
	want := int(s.number(args[0]))
	if got := s.w.CancelNow(want, time.Duration(hang*float64(time.Second))); got < want {
		s.fatal("only %d jobs run and have long to go, not %d", got, want)
	}
}

// askEverywhere: ask-everywhere FIRST COUNT EVERY SECONDS: users of these jobs ask at all
// controllers, repeat the submission and, if they called it off, the cancellation.
func (s *script) askEverywhere(args []string) {
	first, count, every, end := int(s.number(args[0])), int(s.number(args[1])), s.number(args[2]), s.number(args[3])
	for at := 0.0; at < end; at += every {
		s.w.After(time.Duration(at*float64(time.Second)), func() {
			for i := range count {
				if j := s.w.Jobs[fmt.Sprintf("wk-%06d", first+i)]; j != nil && j.Accepted {
					s.w.RequestEverywhere(j)
				}
			}
		})
	}
}

// rejoin: rejoin FIRST COUNT: what goes to and from these machines of the start arrives again.
func (s *script) rejoin(args []string) {
	first := int(s.number(args[0]))
	for _, h := range s.machines[first-1 : first-1+int(s.number(args[1]))] {
		s.w.Heal(h, "*")
		s.w.Heal("*", h)
	}
}

// meetings are what TestCancelNow draws; each is over before long by itself.
var meetings = []struct {
	name  string
	begin func(s *script)
	gap   int // seconds to the next, at least
}{
	{"gap", meetGap, 90},
	{"limit", meetLimit, 25},
	{"hands", meetHands, 12},
}

// meetGap: the leader alone is refused, jobs are called off at that moment, and a second
// later nobody is answered for longer than cancel_s.
func meetGap(s *script) {
	w, r := s.w, s.w.RNG
	leader := w.Leader()
	if leader == "" || w.Store.Down {
		return
	}
	ms := func(least, most int) time.Duration {
		return time.Duration(least+r.IntN(most-least)) * time.Millisecond
	}
	switch r.IntN(4) {
	case 0:
		w.Store.Slow = ms(50, 900)
		w.After(ms(1000, 20000), func() { w.Store.Slow = 0 })
	case 1:
		w.HoldBack("cmd", ms(500, 8000), 1+r.IntN(4))
		w.After(ms(500, 3000), func() { w.HoldBack("cmd", 0, 1<<30) })
	case 2:
		w.LateWrites(0.5, ms(500, 3000))
	}
	w.After(500*time.Millisecond, func() { w.Store.Refuse[leader] = true })
	w.After(500*time.Millisecond+ms(-300, 700), func() {
		var hang time.Duration
		if r.IntN(2) == 0 {
			hang = ms(2000, int(w.LeaseS*1500))
		}
		w.CancelNow(3+r.IntN(10), hang)
	})
	w.After(500*time.Millisecond+ms(200, 2500), func() { w.Store.SetDown(true) })
	w.After(ms(3000, 16000), func() { w.Store.Refuse[leader] = false })
	w.After(time.Duration((w.CancelS+5)*float64(time.Second))+ms(0, 12000), func() { w.Store.SetDown(false) })
	if r.IntN(3) == 0 { // a controller ends in the outage, and is back or isn't
		n := w.Nodes[w.NodeNames[r.IntN(len(w.NodeNames))]]
		w.After(ms(1500, 20000), n.Crash)
		w.After(ms(20000, 60000), n.Boot)
	}
	w.After(ms(600, 2000), func() { s.askAll(time.Duration(w.CancelS+10) * time.Second) })
}

// askAll has users ask about all jobs everywhere now and then.
func (s *script) askAll(d time.Duration) {
	w := s.w
	for at := time.Duration(0); at < d; at += time.Duration(300+w.RNG.IntN(8000)) * time.Millisecond {
		w.After(at, func() {
			for i := range 120 {
				if j := w.Jobs[fmt.Sprintf("wk-%06d", i)]; j != nil && j.Accepted && w.RNG.IntN(3) == 0 {
					w.RequestEverywhere(j)
				}
			}
		})
	}
}

// meetLimit: machines are out of reach, deaf or hang; jobs are called off; the leader
// changes.
func meetLimit(s *script) {
	w, r := s.w, s.w.RNG
	leader := w.Leader()
	if leader == "" {
		return
	}
	ms := func(least, most int) time.Duration {
		return time.Duration(least+r.IntN(most-least)) * time.Millisecond
	}
	d := ms(1500, int(w.LeaseS*1500))
	kind := r.IntN(4)
	s.someHosts(func(h string) {
		switch kind {
		case 0, 1:
			w.Cut("*", h, kind == 1)
			w.Cut(h, "*", kind == 1)
			w.After(d, func() { w.Heal("*", h); w.Heal(h, "*") })
		case 2:
			w.Cut("*", h, false)
			w.After(d, func() { w.Heal("*", h) })
		case 3:
			if agent := w.Agents[h]; agent != nil && !agent.Hung {
				agent.Hung = true
				w.After(d, agent.Resume)
			}
		}
	})
	w.After(ms(0, 4000), func() { w.CancelNow(3+r.IntN(8), time.Duration(r.IntN(2))*ms(1000, int(w.LeaseS*1200))) })
	w.After(ms(0, 5000), func() { s.changeLeader(leader, ms(200, 15000)) })
	if r.IntN(3) == 0 {
		w.After(ms(3000, 9000), func() { w.CancelNow(3, 0) })
	}
}

// changeLeader has the lead pass on, in one of many ways.
func (s *script) changeLeader(leader string, d time.Duration) {
	w := s.w
	switch w.RNG.IntN(5) {
	case 0:
		w.Nodes[leader].Crash()
		w.After(d, w.Nodes[leader].Boot)
	case 1:
		w.Nodes[leader].Freeze(d)
	case 2:
		w.Nodes[leader].Shutdown()
		w.After(d+8*time.Second, w.Nodes[leader].Boot)
	case 3:
		w.Store.Refuse[leader] = true
		w.After(d, func() { w.Store.Refuse[leader] = false })
	case 4:
		w.Cut(leader, "state", true)
		s.cutPeers(leader, true)
		w.After(d, func() { w.Heal(leader, "state"); s.cutPeers(leader, false) })
	}
}

// meetHands: one controller's machines pass to another, or back, while jobs are called off
// and some commands are held up.
func meetHands(s *script) {
	w, r := s.w, s.w.RNG
	ms := func(least, most int) time.Duration {
		return time.Duration(least+r.IntN(most-least)) * time.Millisecond
	}
	name := w.NodeNames[r.IntN(len(w.NodeNames))]
	if r.IntN(3) == 0 {
		w.HoldBack("cmd", ms(500, 9000), 1+r.IntN(3))
		w.After(ms(500, 4000), func() { w.HoldBack("cmd", 0, 1<<30) })
	}
	if r.IntN(3) == 0 { // its commands to all machines are held
		w.Cut(name+":cmd", "*", true)
		w.After(ms(1000, 15000), func() { w.Heal(name+":cmd", "*") })
	}
	if r.IntN(3) == 0 {
		s.cutPeers(name, true)
		w.After(ms(1000, 12000), func() { s.cutPeers(name, false) })
	}
	s.changeLeader(name, ms(200, 12000))
	for range 1 + r.IntN(3) {
		w.After(ms(0, 7000), func() { w.CancelNow(1+r.IntN(4), 0) })
	}
	if r.IntN(4) == 0 {
		w.After(ms(500, 5000), func() { w.CancelNow(2, ms(500, 10000)) })
	}
}

// leastCancelled is how many jobs are called off at least in a world that shows anything.
const leastCancelled = 5

// TestCancelNow draws each of the meetings again and again, with every team at its limit.
func TestCancelNow(t *testing.T) {
	for seed := *nowFrom; seed < *nowFrom+*nowWorlds; seed++ {
		m := meetings[seed%len(meetings)]
		t.Run(fmt.Sprintf("%d %s", seed, m.name), func(t *testing.T) {
			t.Parallel()
			w := simulation.NewSimulator(uint64(seed), slog.New(slog.DiscardHandler))
			w.WatchTasks()
			zone := &pairSites[seed/len(meetings)%len(pairSites)]
			w.LeaseS, w.CancelS, w.ReportS = zone.LeaseS, zone.CancelS, zone.ReportS
			if w.RNG.IntN(3) == 0 {
				w.ReportS = 8
			}
			s := &script{t: t, w: w, set: baseSettings(w)}
			s.set.Cluster.Size = 3 + 2*w.RNG.IntN(2)
			s.set.Cluster.Teams = []settings.Team{{Name: "team", GpusMax: 45}, {Name: "other", GpusMax: 25}}
			w.TeamLimits["team"], w.TeamLimits["other"] = 45, 25
			s.set.Operator.TaskBatching = []settings.TaskBatching{
				settings.BatchingAlways,
				settings.BatchingWhenScarce,
			}[w.RNG.IntN(2)]
			for i := range 20 {
				s.machines = append(s.machines, w.Cloud.AddRunning("g4", []string{"a", "b"}[i%2], false))
			}
			w.AddNodes(s.set.Cluster.Size, s.set)
			s.drawLong()
			for w.RunUntil(35 * time.Second); w.At() < 200*time.Second; {
				m.begin(s)
				w.RunUntil(w.At() + time.Duration(m.gap)*time.Second + time.Duration(w.RNG.IntN(15000))*time.Millisecond)
			}
			w.RunUntil(w.At() + 60*time.Second)
			w.Aftermath()
			w.CheckRefused()
			cancelled := 0
			for _, j := range w.Jobs {
				if j.Cancelled {
					cancelled++
				}
			}
			if cancelled < leastCancelled {
				t.Errorf("only %d jobs were called off", cancelled)
			}
			for _, b := range w.Broken {
				t.Error(b)
			}
		})
	}
}

// drawLong has more jobs handed in than the teams' limits allow at once, most of them long.
func (s *script) drawLong() {
	w, r := s.w, s.w.RNG
	for i := range 120 {
		jobID := fmt.Sprintf("wk-%06d", i)
		shape := []string{"sweep", "sweep", "ensemble", "standing"}[r.IntN(4)]
		args := []string{
			jobID,
			shape,
			fmt.Sprintf("pieces=%d", 1+r.IntN(4)),
			fmt.Sprintf("run=%d", 10+r.IntN(110)),
			"owner=" + []string{"team", "team", "other"}[r.IntN(3)],
			"class=" + shape,
		}
		w.After(time.Duration(5+float64(i)*(0.3+r.Float64()))*time.Second, func() { s.submit(args) })
	}
}
