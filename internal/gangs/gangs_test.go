package gangs

import (
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

func TestPhaseOf(t *testing.T) {
	on := func(attempt uint64) *jobs.Task { return &jobs.Task{State: jobs.Placed, Machine: "h", Attempt: attempt} }
	for name, c := range map[string]struct {
		tasks []*jobs.Task
		want  Phase
	}{
		"no records":          {nil, Resting},
		"all waiting again":   {[]*jobs.Task{{State: jobs.Pending, Attempt: 3}}, Resting},
		"offered":             {[]*jobs.Task{{State: jobs.Released}, {State: jobs.Released}}, Offered},
		"whole":               {[]*jobs.Task{on(2), on(2)}, Whole},
		"one missing":         {[]*jobs.Task{on(2)}, Broken},
		"old attempt remains": {[]*jobs.Task{on(2), on(1)}, Broken},
		"being stopped":       {[]*jobs.Task{on(2), {State: jobs.Stopping, Machine: "h", Attempt: 2}}, Broken},
		"one done":            {[]*jobs.Task{on(2), {State: jobs.Finished}}, Complete},
	} {
		if got := PhaseOf(2, c.tasks); got != c.want {
			t.Errorf("%s: %s", name, got)
		}
	}
	if NextAttempt([]*jobs.Task{on(2), on(7)}) != 8 || NextAttempt(nil) != 1 {
		t.Error("the next try is above all")
	}
}

func TestFit(t *testing.T) {
	whole := sharding.Resources{Cores: 32, Accelerators: 4, MemoryGB: 256}
	cand := func(machine, zone, part string, free float64, cached bool) sharding.Candidate {
		return sharding.Candidate{Machine: machine, Zone: zone, Controller: part, Capacity: whole, Free: sharding.Resources{Cores: 32, Accelerators: free, MemoryGB: 256}, HasImage: cached}
	}
	spec := &jobs.Spec{Kind: jobs.Gang, TaskCount: 4, Cores: 1, Accelerators: 1, MemoryGB: 1}
	fit := func(change func(*jobs.Spec), cands ...sharding.Candidate) (string, bool, bool) {
		s := *spec
		if change != nil {
			change(&s)
		}
		machines, whole, room := Fit(&s, cands, map[string]int{}, func(_ int, cands []sharding.Candidate, zones map[string]int) int {
			return sharding.PickIf(s.Resources(), false, cands, func(c *sharding.Candidate) bool { return clusterstate.ZoneAllowed(&s, zones, c.Zone) })
		})
		return strings.Join(machines, " "), whole, room
	}
	same := func(s *jobs.Spec) { s.SameZone = true }
	for name, c := range map[string]struct {
		change func(*jobs.Spec)
		cands  []sharding.Candidate
		hosts  string
		whole  bool
		room   bool
	}{
		"in one part":      {nil, []sharding.Candidate{cand("i-1", "a", "n0", 3, false), cand("i-2", "b", "n1", 4, false)}, "i-2 i-2 i-2 i-2", true, true},
		"across parts":     {nil, []sharding.Candidate{cand("i-1", "a", "n0", 3, false), cand("i-2", "b", "n1", 1, false)}, "i-1 i-1 i-1 i-2", false, true},
		"images first":     {nil, []sharding.Candidate{cand("i-1", "a", "n0", 4, false), cand("i-2", "b", "n1", 4, true)}, "i-2 i-2 i-2 i-2", true, true},
		"the tightest":     {nil, []sharding.Candidate{cand("i-1", "a", "n0", 8, false), cand("i-2", "b", "n1", 4, false)}, "i-2 i-2 i-2 i-2", true, true},
		"in one zone":      {same, []sharding.Candidate{cand("i-1", "a", "n0", 3, false), cand("i-2", "b", "n0", 3, false), cand("i-3", "b", "n1", 1, false)}, "i-2 i-2 i-2 i-3", false, true},
		"no zone holds it": {same, []sharding.Candidate{cand("i-1", "a", "n0", 3, false), cand("i-2", "b", "n0", 3, false)}, "", false, false},
		"too little":       {nil, []sharding.Candidate{cand("i-1", "a", "n0", 3, false)}, "", false, false},
	} {
		machines, whole, room := fit(c.change, c.cands...)
		if machines != c.hosts || whole != c.whole || room != c.room {
			t.Errorf("%s: %q %v %v", name, machines, whole, room)
		}
	}
}

func TestLaunchAt(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		mine  float64
		ready []float64
		want  float64 // 0: at once
	}{
		{0, []float64{0, 10}, 0},    // within half of the wait
		{0, []float64{0, 45}, 30},   // holds the image: half of the wait before the last
		{28, []float64{28, 45}, 30}, // fetches, and would still give up too soon
		{31, []float64{31, 45}, 0},  // fetches for as good as long
		{45, []float64{0, 45}, 0},
	} {
		var ready []time.Time
		for _, r := range c.ready {
			ready = append(ready, at(r))
		}
		got := LaunchAt(at(c.mine), ready, 30*time.Second)
		if c.want == 0 && !got.IsZero() || c.want != 0 && !got.Equal(at(c.want)) {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
