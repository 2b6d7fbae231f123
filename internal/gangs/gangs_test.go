package gangs

import (
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/parts"
)

func TestPhaseOf(t *testing.T) {
	on := func(try uint64) *jobs.Task { return &jobs.Task{State: jobs.Placed, Host: "h", Try: try} }
	for name, c := range map[string]struct {
		tasks []*jobs.Task
		want  Phase
	}{
		"no records":          {nil, Resting},
		"all waiting again":   {[]*jobs.Task{{State: jobs.Pending, Try: 3}}, Resting},
		"offered":             {[]*jobs.Task{{State: jobs.Released}, {State: jobs.Released}}, Offered},
		"whole":               {[]*jobs.Task{on(2), on(2)}, Whole},
		"one missing":         {[]*jobs.Task{on(2)}, Broken},
		"old attempt remains": {[]*jobs.Task{on(2), on(1)}, Broken},
		"being stopped":       {[]*jobs.Task{on(2), {State: jobs.Stopping, Host: "h", Try: 2}}, Broken},
		"one done":            {[]*jobs.Task{on(2), {State: jobs.Finished}}, Complete},
	} {
		if got := PhaseOf(2, c.tasks); got != c.want {
			t.Errorf("%s: %s", name, got)
		}
	}
	if NextTry([]*jobs.Task{on(2), on(7)}) != 8 || NextTry(nil) != 1 {
		t.Error("the next try is above all")
	}
}

func TestFit(t *testing.T) {
	whole := parts.Room{Cores: 32, Accelerators: 4, MemoryGB: 256}
	cand := func(host, site, part string, free float64, cached bool) parts.Candidate {
		return parts.Candidate{Host: host, Site: site, Part: part, Whole: whole, Free: parts.Room{Cores: 32, Accelerators: free, MemoryGB: 256}, Cached: cached}
	}
	spec := &jobs.Spec{Shape: jobs.Ensemble, Pieces: 4, Cores: 1, Accel: 1, MemoryGB: 1}
	fit := func(change func(*jobs.Spec), cands ...parts.Candidate) (string, bool, bool) {
		s := *spec
		if change != nil {
			change(&s)
		}
		hosts, whole, room := Fit(&s, cands, map[string]int{}, func(_ int, cands []parts.Candidate, zones map[string]int) int {
			return parts.PickIf(s.Need(), false, cands, func(c *parts.Candidate) bool { return book.ZoneAllowed(&s, zones, c.Site) })
		})
		return strings.Join(hosts, " "), whole, room
	}
	same := func(s *jobs.Spec) { s.SamePlace = true }
	for name, c := range map[string]struct {
		change func(*jobs.Spec)
		cands  []parts.Candidate
		hosts  string
		whole  bool
		room   bool
	}{
		"in one part":      {nil, []parts.Candidate{cand("i-1", "a", "n0", 3, false), cand("i-2", "b", "n1", 4, false)}, "i-2 i-2 i-2 i-2", true, true},
		"across parts":     {nil, []parts.Candidate{cand("i-1", "a", "n0", 3, false), cand("i-2", "b", "n1", 1, false)}, "i-1 i-1 i-1 i-2", false, true},
		"images first":     {nil, []parts.Candidate{cand("i-1", "a", "n0", 4, false), cand("i-2", "b", "n1", 4, true)}, "i-2 i-2 i-2 i-2", true, true},
		"the tightest":     {nil, []parts.Candidate{cand("i-1", "a", "n0", 8, false), cand("i-2", "b", "n1", 4, false)}, "i-2 i-2 i-2 i-2", true, true},
		"in one zone":      {same, []parts.Candidate{cand("i-1", "a", "n0", 3, false), cand("i-2", "b", "n0", 3, false), cand("i-3", "b", "n1", 1, false)}, "i-2 i-2 i-2 i-3", false, true},
		"no zone holds it": {same, []parts.Candidate{cand("i-1", "a", "n0", 3, false), cand("i-2", "b", "n0", 3, false)}, "", false, false},
		"too little":       {nil, []parts.Candidate{cand("i-1", "a", "n0", 3, false)}, "", false, false},
	} {
		hosts, whole, room := fit(c.change, c.cands...)
		if hosts != c.hosts || whole != c.whole || room != c.room {
			t.Errorf("%s: %q %v %v", name, hosts, whole, room)
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
