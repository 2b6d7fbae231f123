package scenario

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
)

// guaranteeWithin is the bound that is promised: for so long may a task within its
// team's guarantee wait while others have filled everything, a leader's end (4 s of
// its lease, a new view) and an outage of 20 s of the state service included.
const guaranteeWithin = 60 * time.Second

// TestAnHourOfTenants plays an hour of mixed submissions of three levels of tenants,
// more than there is room for, with controllers that end, outages and two lowered
// limits. At every commit all limits hold (Store.Committed, not one task above);
// whatever is stopped has a cause; a team that stays within its guarantee is served
// within the bound; and in the end everything is done.
func TestAnHourOfTenants(t *testing.T) {
	t.Parallel()
	w := simulation.NewSimulator(11, slog.New(slog.DiscardHandler))
	s := &script{t: t, line: "hour", w: w, vars: map[string]string{}, applied: map[string]int{}}
	w.ReportS = 8 // as on large deployments
	s.set = baseSettings(w)
	s.set.Cluster.Teams = []settings.Team{
		{Name: "storefront", Gpus: 8, GpusMax: 40},
		{Name: "pricing", Gpus: 8, GpusMax: 40},
		{Name: "stazioni", Gpus: 4, GpusMax: 20},
		{Name: "modelli", Gpus: 8},
	}
	for _, team := range s.set.Cluster.Teams {
		w.TeamLimits[team.Name] = team.GpusMax
	}
	s.set.Operator.Quotas = s.quotas("hour")
	s.set.Operator.TaskBatching = settings.BatchingAlways
	w.WatchTasks()
	w.Cloud.Limit = 10 // 80 accelerators
	for range 10 {
		w.Cloud.AddRunning("g8", "a", false)
	}
	s.stops = w.WatchQuotas(s.set.TeamMap(), nil)
	w.AddNodes(3, s.set)

	rng := rand.New(rand.NewPCG(1, 2))
	tenants := []struct{ owner, class string }{
		{"storefront", "lens"},
		{"storefront", "tags"},
		{"pricing", "sweep"},
		{"pricing", "audit"},
		{"pricing", "other"},
		{"modelli", "train"},
		{"modelli", "score"},
	}
	n := 0
	submitted := map[string]time.Duration{} // probes of the team that stays within its guarantee
	submit := func(owner, class, shape string, pieces int, run float64) string {
		n++
		jobID := fmt.Sprintf("wk-%06d", n)
		s.submit(
			[]string{
				jobID,
				shape,
				"owner=" + owner,
				"class=" + class,
				fmt.Sprint("pieces=", pieces),
				fmt.Sprint("run=", run),
				"cores=1",
				"snapshot=10",
			},
		)
		return jobID
	}
	const hour = 3600
	for at := 5; at < hour; at++ {
		w.RunUntil(time.Duration(at) * time.Second)
		// Bursts of one tenant after another, for minutes, on top of a steady mix.
		if at < hour-900 && rng.IntN(10) == 0 {
			x := tenants[rng.IntN(len(tenants))]
			if at%600 > 300 {
				x = tenants[at/600%len(tenants)]
			}
			shape, pieces := "sweep", 1+rng.IntN(12)
			if rng.IntN(5) == 0 {
				shape, pieces = "ensemble", 2
			}
			run := float64(10 + rng.IntN(150))
			if x.class == "audit" { // two at a time, which is all that it may have
				shape, pieces, run = "sweep", 1+rng.IntN(2), 20
			}
			submit(x.owner, x.class, shape, pieces, run)
		}
		if at%45 == 0 && at < hour-900 {
			submitted[submit("stazioni", "probe", "sweep", 2, 20)] = w.At()
		}
		// Before a limit is lowered all that it is about to allow less of is in use.
		if at == 940 || at == 1440 {
			for _, x := range tenants {
				if x.class == "sweep" || x.class == "tags" || x.class == "train" {
					submit(x.owner, x.class, "sweep", 16, 150)
				}
			}
		}
		switch at % 400 {
		case 150:
			w.Nodes[w.NodeNames[at/400%3]].Crash()
		case 156:
			w.Nodes[w.NodeNames[at/400%3]].Boot()
		}
		switch at {
		case 700, 2200:
			w.Store.SetDown(true)
		case 720, 2220:
			w.Store.SetDown(false)
		case 1000:
			w.ApplyQuota(
				quota.Apply{Base: 1, Quotas: *s.quotas("hour-less")},
				func(status int, _ quota.Preview) { s.applied["less"] = status },
			)
		case 1500:
			w.ApplyQuota(
				quota.Apply{Base: 2, Quotas: *s.quotas("hour-least")},
				func(status int, _ quota.Preview) { s.applied["least"] = status },
			)
		case 2100:
			w.ApplyQuota(
				quota.Apply{Base: 3, Quotas: *s.quotas("hour")},
				func(status int, _ quota.Preview) { s.applied["back"] = status },
			)
		}
	}
	w.RunUntil(hour * time.Second)
	for _, b := range w.Broken {
		t.Error(b)
	}
	if len(s.applied) != 3 || s.applied["less"] != 200 || s.applied["least"] != 200 || s.applied["back"] != 200 {
		t.Errorf("trees were answered %v", s.applied)
	}
	var waits []time.Duration
	for jobID, at := range submitted {
		j := w.Jobs[jobID]
		if j.FirstStart.IsZero() {
			t.Errorf("%s of the guaranteed team never ran", jobID)
			continue
		}
		waits = append(waits, j.FirstStart.Sub(w.Start)-at)
	}
	slices.Sort(waits)
	if longest := waits[len(waits)-1]; longest > guaranteeWithin {
		t.Errorf("a task within its team's guarantee waited for %v", longest)
	}
	open := 0
	for _, j := range w.Jobs {
		if j.Status != "done" {
			t.Log(j.ID, j.Team, j.Kind, j.TaskCount, j.Status, len(j.Done))
			open++
		}
	}
	if open > 0 {
		t.Errorf("%d of %d jobs are not done", open, len(w.Jobs))
	}
	lowered, others := 0, 0
	for why, count := range s.stops {
		if len(why) > 8 && why[:8] == "quota of" {
			lowered += count
		} else {
			others += count
		}
	}
	if lowered == 0 {
		t.Error("nothing was stopped for a lowered limit: the hour tests nothing")
	}
	t.Logf(
		"%d jobs; %d tasks stopped for a lowered limit, %d for others' guarantees or machines; "+
			"waits within the guarantee: median %v, longest %v",
		len(w.Jobs),
		lowered,
		others,
		waits[len(waits)/2],
		waits[len(waits)-1],
	)
}
