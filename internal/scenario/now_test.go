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

// Simulations in which jobs are cancelled at the moment of another fault. The seed selects the
// case; a long run is
//
//	go test ./internal/scenario -run TestCancelNow -timeout 60m -now 120 -now-from 0
var (
	nowCount = flag.Int("now", 3, "number of simulations in which jobs are cancelled during another fault")
	nowFrom  = flag.Int("now-from", 0, "first seed")
)

// cancelNow cancels running jobs; half of the time their machines hang as well.
var cancelNow = fault{"cancel now", func(s *script, _ string, d time.Duration) {
	hang := time.Duration(s.sim.RNG.IntN(2)) * d
	s.sim.CancelNow(2+s.sim.RNG.IntN(6), hang)
}}

// cancelNowVerb executes "cancel-now COUNT [HANG_S]".
func (s *script) cancelNowVerb(args []string) {
	hang := 0.0
	if len(args) > 1 {
		hang = s.number(args[1])
	}
	want := int(s.number(args[0]))
	if got := s.sim.CancelNow(want, time.Duration(hang*float64(time.Second))); got < want {
		s.fatal("only %d jobs run and are far from done, want %d", got, want)
	}
}

// askEverywhere executes "ask-everywhere FIRST COUNT EVERY SECONDS": the users of these jobs poll
// all controllers, and repeat the submission and any cancellation there.
func (s *script) askEverywhere(args []string) {
	first, count, every, end := int(s.number(args[0])), int(s.number(args[1])), s.number(args[2]), s.number(args[3])
	for at := 0.0; at < end; at += every {
		s.sim.After(time.Duration(at*float64(time.Second)), func() {
			for i := range count {
				if j := s.sim.Jobs[fmt.Sprintf("wk-%06d", first+i)]; j != nil && j.Accepted {
					s.sim.RequestEverywhere(j)
				}
			}
		})
	}
}

// rejoin executes "rejoin FIRST COUNT": ends the isolation of these initial machines.
func (s *script) rejoin(args []string) {
	first := int(s.number(args[0]))
	for _, machine := range s.machines[first-1 : first-1+int(s.number(args[1]))] {
		s.sim.Heal(machine, "*")
		s.sim.Heal("*", machine)
	}
}

// cancelCases are the cases of TestCancelNow. The faults of each end by themselves.
var cancelCases = []struct {
	name  string
	begin func(s *script)
	gap   int // minimum time until the case begins again, in seconds
}{
	{"gap", cancelBeforeOutage, 90},
	{"limit", cancelOnLostMachines, 25},
	{"hands", cancelDuringHandover, 12},
}

// cancelBeforeOutage has the state service refuse the leader alone, cancels jobs at that moment,
// and takes the service down for longer than cancel_s a second later.
func cancelBeforeOutage(s *script) {
	sim, r := s.sim, s.sim.RNG
	leader := sim.Leader()
	if leader == "" || sim.Store.Down {
		return
	}
	ms := func(minimum, maximum int) time.Duration {
		return time.Duration(minimum+r.IntN(maximum-minimum)) * time.Millisecond
	}
	switch r.IntN(4) {
	case 0:
		sim.Store.Slow = ms(50, 900)
		sim.After(ms(1000, 20000), func() { sim.Store.Slow = 0 })
	case 1:
		sim.DelayRequests("cmd", ms(500, 8000), 1+r.IntN(4))
		sim.After(ms(500, 3000), func() { sim.DelayRequests("cmd", 0, 1<<30) })
	case 2:
		sim.LateWrites(0.5, ms(500, 3000))
	}
	sim.After(500*time.Millisecond, func() { sim.Store.RefusedNodes[leader] = true })
	sim.After(500*time.Millisecond+ms(-300, 700), func() {
		var hang time.Duration
		if r.IntN(2) == 0 {
			hang = ms(2000, int(sim.LeaseS*1500))
		}
		sim.CancelNow(3+r.IntN(10), hang)
	})
	sim.After(500*time.Millisecond+ms(200, 2500), func() { sim.Store.SetDown(true) })
	sim.After(ms(3000, 16000), func() { sim.Store.RefusedNodes[leader] = false })
	sim.After(time.Duration((sim.CancelS+5)*float64(time.Second))+ms(0, 12000), func() { sim.Store.SetDown(false) })
	if r.IntN(3) == 0 { // a controller crashes during the outage and restarts during or after it
		n := sim.Nodes[sim.NodeNames[r.IntN(len(sim.NodeNames))]]
		sim.After(ms(1500, 20000), n.Crash)
		sim.After(ms(20000, 60000), n.Boot)
	}
	sim.After(ms(600, 2000), func() { s.pollRandomly(time.Duration(sim.CancelS+10) * time.Second) })
}

// pollRandomly polls random accepted jobs at all controllers for a while.
func (s *script) pollRandomly(d time.Duration) {
	sim := s.sim
	for at := time.Duration(0); at < d; at += time.Duration(300+sim.RNG.IntN(8000)) * time.Millisecond {
		sim.After(at, func() {
			for i := range 120 {
				if j := sim.Jobs[fmt.Sprintf("wk-%06d", i)]; j != nil && j.Accepted && sim.RNG.IntN(3) == 0 {
					sim.RequestEverywhere(j)
				}
			}
		})
	}
}

// cancelOnLostMachines makes machines unreachable, hang or miss all that is sent to them, cancels
// jobs, and changes the leader.
func cancelOnLostMachines(s *script) {
	sim, r := s.sim, s.sim.RNG
	leader := sim.Leader()
	if leader == "" {
		return
	}
	ms := func(minimum, maximum int) time.Duration {
		return time.Duration(minimum+r.IntN(maximum-minimum)) * time.Millisecond
	}
	d := ms(1500, int(sim.LeaseS*1500))
	kind := r.IntN(4)
	s.someMachines(func(machine string) {
		switch kind {
		case 0, 1:
			sim.Cut("*", machine, kind == 1)
			sim.Cut(machine, "*", kind == 1)
			sim.After(d, func() { sim.Heal("*", machine); sim.Heal(machine, "*") })
		case 2:
			sim.Cut("*", machine, false)
			sim.After(d, func() { sim.Heal("*", machine) })
		case 3:
			if agent := sim.Agents[machine]; agent != nil && !agent.Hung {
				agent.Hung = true
				sim.After(d, agent.Resume)
			}
		}
	})
	sim.After(ms(0, 4000), func() { sim.CancelNow(3+r.IntN(8), time.Duration(r.IntN(2))*ms(1000, int(sim.LeaseS*1200))) })
	sim.After(ms(0, 5000), func() { s.changeLeader(leader, ms(200, 15000)) })
	if r.IntN(3) == 0 {
		sim.After(ms(3000, 9000), func() { sim.CancelNow(3, 0) })
	}
}

// changeLeader crashes, pauses, shuts down or partitions a controller, usually the leader.
func (s *script) changeLeader(leader string, d time.Duration) {
	sim := s.sim
	switch sim.RNG.IntN(5) {
	case 0:
		sim.Nodes[leader].Crash()
		sim.After(d, sim.Nodes[leader].Boot)
	case 1:
		sim.Nodes[leader].Freeze(d)
	case 2:
		sim.Nodes[leader].Shutdown()
		sim.After(d+8*time.Second, sim.Nodes[leader].Boot)
	case 3:
		sim.Store.RefusedNodes[leader] = true
		sim.After(d, func() { sim.Store.RefusedNodes[leader] = false })
	case 4:
		sim.Cut(leader, "state", true)
		s.cutPeers(leader, true)
		sim.After(d, func() { sim.Heal(leader, "state"); s.cutPeers(leader, false) })
	}
}

// cancelDuringHandover passes one controller's machines to another, or back, while jobs are
// cancelled and some commands are delayed.
func cancelDuringHandover(s *script) {
	sim, r := s.sim, s.sim.RNG
	ms := func(minimum, maximum int) time.Duration {
		return time.Duration(minimum+r.IntN(maximum-minimum)) * time.Millisecond
	}
	name := sim.NodeNames[r.IntN(len(sim.NodeNames))]
	if r.IntN(3) == 0 {
		sim.DelayRequests("cmd", ms(500, 9000), 1+r.IntN(3))
		sim.After(ms(500, 4000), func() { sim.DelayRequests("cmd", 0, 1<<30) })
	}
	if r.IntN(3) == 0 { // its commands to all machines are delayed
		sim.Cut(name+":cmd", "*", true)
		sim.After(ms(1000, 15000), func() { sim.Heal(name+":cmd", "*") })
	}
	if r.IntN(3) == 0 {
		s.cutPeers(name, true)
		sim.After(ms(1000, 12000), func() { s.cutPeers(name, false) })
	}
	s.changeLeader(name, ms(200, 12000))
	for range 1 + r.IntN(3) {
		sim.After(ms(0, 7000), func() { sim.CancelNow(1+r.IntN(4), 0) })
	}
	if r.IntN(4) == 0 {
		sim.After(ms(500, 5000), func() { sim.CancelNow(2, ms(500, 10000)) })
	}
}

// minCancelled is the number of cancelled jobs below which a simulation exercises too little.
const minCancelled = 5

// TestCancelNow repeats one of cancelCases, with every team at its limit. It checks that cancelled
// tasks are gone in time and that no limit is exceeded.
func TestCancelNow(t *testing.T) {
	for seed := *nowFrom; seed < *nowFrom+*nowCount; seed++ {
		m := cancelCases[seed%len(cancelCases)]
		t.Run(fmt.Sprintf("%d %s", seed, m.name), func(t *testing.T) {
			t.Parallel()
			sim := simulation.NewSimulator(uint64(seed), slog.New(slog.DiscardHandler))
			sim.WatchTasks()
			timing := &pairDeployments[seed/len(cancelCases)%len(pairDeployments)]
			sim.LeaseS, sim.CancelS, sim.HeartbeatS = timing.LeaseS, timing.CancelS, timing.HeartbeatS
			if sim.RNG.IntN(3) == 0 {
				sim.HeartbeatS = 8
			}
			s := &script{t: t, sim: sim, set: baseSettings(sim)}
			s.set.Cluster.Size = 3 + 2*sim.RNG.IntN(2)
			s.set.Cluster.Teams = []settings.Team{{Name: "team", GpusMax: 45}, {Name: "other", GpusMax: 25}}
			sim.TeamLimits["team"], sim.TeamLimits["other"] = 45, 25
			s.set.Operator.TaskBatching = []settings.TaskBatching{
				settings.BatchingAlways,
				settings.BatchingWhenScarce,
			}[sim.RNG.IntN(2)]
			for i := range 20 {
				s.machines = append(s.machines, sim.Cloud.AddRunning("g4", []string{"a", "b"}[i%2], false))
			}
			sim.DrawNetwork()
			sim.AddNodes(s.set.Cluster.Size, s.set)
			s.drawLongJobs()
			for sim.RunUntil(35 * time.Second); sim.At() < 200*time.Second; {
				m.begin(s)
				sim.RunUntil(sim.At() + time.Duration(m.gap)*time.Second + time.Duration(sim.RNG.IntN(15000))*time.Millisecond)
			}
			sim.RunUntil(sim.At() + 60*time.Second)
			sim.CheckRecovery()
			sim.CheckRefused()
			cancelled := 0
			for _, j := range sim.Jobs {
				if j.Cancelled {
					cancelled++
				}
			}
			if cancelled < minCancelled {
				t.Errorf("only %d jobs were cancelled", cancelled)
			}
			for _, b := range sim.Violations {
				t.Error(b)
			}
		})
	}
}

// drawLongJobs submits more jobs than the teams' limits admit at once, most of them long.
func (s *script) drawLongJobs() {
	sim, r := s.sim, s.sim.RNG
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
		sim.After(time.Duration(5+float64(i)*(0.3+r.Float64()))*time.Second, func() { s.submit(args) })
	}
}
