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

// maxGuaranteedWait is the promised bound on the wait of a task within its team's guarantee while
// other teams have filled all machines. It includes a leader failover (a 4 s lease, then a new
// view) and a 20 s outage of the state service.
const maxGuaranteedWait = 60 * time.Second

// hourSeconds is the simulated duration of the load, in seconds.
const hourSeconds = 3600

// tenants are the owners and job classes that submit the random load and the bursts.
var tenants = []struct{ owner, class string }{
	{"storefront", "lens"},
	{"storefront", "tags"},
	{"pricing", "sweep"},
	{"pricing", "audit"},
	{"pricing", "other"},
	{"modelli", "train"},
	{"modelli", "score"},
}

// hourOfTenants is the state of TestLimitsHoldUnderAnHourOfMixedLoad.
type hourOfTenants struct {
	s      *script
	rng    *rand.Rand
	count  int                      // jobs submitted
	probes map[string]time.Duration // submission times of the jobs of the team within its guarantee
}

func newHourOfTenants(t *testing.T) *hourOfTenants {
	t.Helper()
	sim := simulation.NewSimulator(11, slog.New(slog.DiscardHandler))
	s := &script{t: t, line: "hour", sim: sim, vars: map[string]string{}, applied: map[string]int{}}
	sim.HeartbeatS = 8 // as in large deployments
	s.set = baseSettings(sim)
	s.set.Cluster.Teams = []settings.Team{
		{Name: "storefront", Gpus: 8, GpusMax: 40},
		{Name: "pricing", Gpus: 8, GpusMax: 40},
		{Name: "stazioni", Gpus: 4, GpusMax: 20},
		{Name: "modelli", Gpus: 8},
	}
	for _, team := range s.set.Cluster.Teams {
		sim.TeamLimits[team.Name] = team.GpusMax
	}
	s.set.Operator.Quotas = s.quotas("hour")
	s.set.Operator.TaskBatching = settings.BatchingAlways
	sim.WatchTasks()
	sim.Cloud.Limit = 10 // 80 accelerators
	for range 10 {
		sim.Cloud.AddRunning("g8", "a", false)
	}
	s.stopsByCause = sim.WatchQuotas(s.set.TeamMap(), nil)
	sim.AddNodes(3, s.set)
	return &hourOfTenants{s: s, rng: rand.New(rand.NewPCG(7, 2)), probes: map[string]time.Duration{}}
}

// submit submits one job and returns its ID.
func (h *hourOfTenants) submit(owner, class, shape string, pieces int, run float64) string {
	h.count++
	jobID := fmt.Sprintf("wk-%06d", h.count)
	h.s.submit(
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

// submitMix submits the jobs of one second: a steady random mix, replaced in the second half of
// every ten minutes by a burst of one tenant.
func (h *hourOfTenants) submitMix(at int) {
	if at < hourSeconds-900 && h.rng.IntN(10) == 0 {
		x := tenants[h.rng.IntN(len(tenants))]
		if at%600 > 300 {
			x = tenants[at/600%len(tenants)]
		}
		shape, pieces := "sweep", 1+h.rng.IntN(12)
		if h.rng.IntN(5) == 0 {
			shape, pieces = "ensemble", 2
		}
		run := float64(10 + h.rng.IntN(150))
		if x.class == "audit" { // its limit allows two at a time
			shape, pieces, run = "sweep", 1+h.rng.IntN(2), 20
		}
		h.submit(x.owner, x.class, shape, pieces, run)
	}
	if at%45 == 0 && at < hourSeconds-900 {
		h.probes[h.submit("stazioni", "probe", "sweep", 2, 20)] = h.s.sim.At()
	}
	h.fillBeforeLowering(at)
}

// fillBeforeLowering submits enough work to use the limits that are about to be lowered.
func (h *hourOfTenants) fillBeforeLowering(at int) {
	if at == 940 || at == 1440 {
		for _, x := range tenants {
			if x.class == "sweep" || x.class == "tags" || x.class == "train" {
				h.submit(x.owner, x.class, "sweep", 16, 150)
			}
		}
	}
}

// injectFaults crashes controllers, takes the state service down and applies other quota trees at
// fixed times.
func (h *hourOfTenants) injectFaults(at int) {
	switch at % 400 {
	case 150:
		h.s.sim.Nodes[h.s.sim.NodeNames[at/400%3]].Crash()
	case 156:
		h.s.sim.Nodes[h.s.sim.NodeNames[at/400%3]].Boot()
	}
	switch at {
	case 700, 2200:
		h.s.sim.Store.SetDown(true)
	case 720, 2220:
		h.s.sim.Store.SetDown(false)
	case 1000:
		h.s.sim.ApplyQuota(
			quota.Apply{Base: 1, Quotas: *h.s.quotas("hour-less")},
			func(status int, _ quota.Preview) { h.s.applied["less"] = status },
		)
	case 1500:
		h.s.sim.ApplyQuota(
			quota.Apply{Base: 2, Quotas: *h.s.quotas("hour-least")},
			func(status int, _ quota.Preview) { h.s.applied["least"] = status },
		)
	case 2100:
		h.s.sim.ApplyQuota(
			quota.Apply{Base: 3, Quotas: *h.s.quotas("hour")},
			func(status int, _ quota.Preview) { h.s.applied["back"] = status },
		)
	}
}

// checkWaits checks the waits of the team that stays within its guarantee, and returns them in
// ascending order.
func (h *hourOfTenants) checkWaits(t *testing.T) []time.Duration {
	t.Helper()
	var waits []time.Duration
	for jobID, at := range h.probes {
		j := h.s.sim.Jobs[jobID]
		if j.FirstStart.IsZero() {
			t.Errorf("job %s of the team within its guarantee never started", jobID)
			continue
		}
		waits = append(waits, j.FirstStart.Sub(h.s.sim.Start)-at)
	}
	slices.Sort(waits)
	if longest := waits[len(waits)-1]; longest > maxGuaranteedWait {
		t.Errorf("a task within its team's guarantee waited for %v", longest)
	}
	return waits
}

// checkAllDone checks that every job is done.
func (h *hourOfTenants) checkAllDone(t *testing.T) {
	t.Helper()
	open := 0
	for _, j := range h.s.sim.Jobs {
		if j.Status != "done" {
			t.Log(j.ID, j.Team, j.Kind, j.TaskCount, j.Status, len(j.Done))
			open++
		}
	}
	if open > 0 {
		t.Errorf("%d of %d jobs are not done", open, len(h.s.sim.Jobs))
	}
}

// checkStops checks that a lowered limit stopped tasks, and returns how many tasks were stopped for
// that and for other causes.
func (h *hourOfTenants) checkStops(t *testing.T) (lowered, others int) {
	t.Helper()
	for why, count := range h.s.stopsByCause {
		if len(why) > 8 && why[:8] == "quota of" {
			lowered += count
		} else {
			others += count
		}
	}
	if lowered == 0 {
		t.Error("no task was stopped for a lowered limit: the test exercises nothing")
	}
	return lowered, others
}

// TestLimitsHoldUnderAnHourOfMixedLoad submits more work than fits, for an hour, from tenants on
// three levels of the quota tree, with controller crashes, outages and two lowered limits. All
// limits hold at every commit (Store.Committed), by not even one task; every stopped task has a
// cause; a team within its guarantee starts within maxGuaranteedWait; and every job is done in the
// end.
func TestLimitsHoldUnderAnHourOfMixedLoad(t *testing.T) {
	t.Parallel()
	h := newHourOfTenants(t)
	s, sim := h.s, h.s.sim
	for at := 5; at < hourSeconds; at++ {
		sim.RunUntil(time.Duration(at) * time.Second)
		h.submitMix(at)
		h.injectFaults(at)
	}
	sim.RunUntil(hourSeconds * time.Second)
	for _, b := range sim.Violations {
		t.Error(b)
	}
	if len(s.applied) != 3 || s.applied["less"] != 200 || s.applied["least"] != 200 || s.applied["back"] != 200 {
		t.Errorf("statuses of the applied quota trees: %v", s.applied)
	}
	waits := h.checkWaits(t)
	h.checkAllDone(t)
	lowered, others := h.checkStops(t)
	t.Logf(
		"%d jobs; %d tasks stopped for a lowered limit, %d for others' guarantees or machines; "+
			"waits within the guarantee: median %v, longest %v",
		len(sim.Jobs),
		lowered,
		others,
		waits[len(waits)/2],
		waits[len(waits)-1],
	)
}
