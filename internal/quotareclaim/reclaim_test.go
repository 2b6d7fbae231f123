package quotareclaim

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/testseed"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m)) }

func gpus(v float64) quota.Amount { return quota.Of(0, v, 0) }

var teams = map[string]quota.Team{
	"a": {Name: "a", Guaranteed: gpus(2)},
	"b": {Name: "b", Guaranteed: gpus(2)},
	"c": {Name: "c"},
}

// tree has a and b under one organisation with a limit, c beside it.
func tree(t interface{ Fatal(...any) }, limit float64) *quota.Tree {
	out, faults := quota.Build(
		&quota.Document{
			Organisations: []quota.Org{
				{Name: "o", Limit: &quota.Bounds{Accelerators: limit}, Teams: []quota.OfTeam{{Name: "a"}, {Name: "b"}}},
			},
		},
		teams,
		nil,
	)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return out
}

// runs enters a job whose tasks are on a machine since second at.
func runs(b *clusterstate.State, jobID, owner, shape, priority string, states []jobs.TaskState, at int64) {
	b.Now = time.Unix(at, 0)
	spec := jobs.Spec{
		ID:           jobID,
		Class:        "x",
		Team:         owner,
		Kind:         shape,
		Priority:     priority,
		TaskCount:    len(states),
		Cores:        1,
		Accelerators: 1,
		MemoryGB:     1,
		Image:        "i",
	}
	_ = b.ApplyJob(jobID, jobs.Encode(jobs.Record{State: jobs.Live, AcceptedMs: 1, Spec: spec}))
	var records []jobs.Task
	for _, s := range states {
		r := jobs.Task{State: s, Attempt: 1}
		if s == jobs.Placed || s == jobs.Stopping {
			r.Machine = "i-1"
		}
		records = append(records, r)
	}
	_, _ = b.ApplyTaskRange(jobs.TaskRangeKey(jobID, 0), jobs.EncodeTaskRange(records, 8192))
}

func placed(n int) []jobs.TaskState {
	var out []jobs.TaskState
	for range n {
		out = append(out, jobs.Placed)
	}
	return out
}

func names(stops []Stop) string {
	var out []string
	for _, s := range stops {
		out = append(out, s.Task.ID)
	}
	return strings.Join(out, " ")
}

func TestPlan(t *testing.T) {
	b := clusterstate.New(tree(t, 8), func(string) {})
	runs(b, "wk-1", "a", jobs.JobArray, "standard", placed(3), 10)
	runs(b, "wk-2", "b", jobs.JobArray, "standard", placed(2), 20)
	runs(b, "wk-3", "b", jobs.Gang, "standard", placed(2), 30)
	runs(b, "wk-4", "c", jobs.JobArray, "idle", placed(5), 40)
	runs(b, "wk-5", "a", jobs.JobArray, "idle", placed(1), 5)
	for limit, want := range map[float64]string{
		8: "", 7: "wk-5/0", 6: "wk-5/0 wk-3/0 wk-3/1", 5: "wk-5/0 wk-3/0 wk-3/1", 4: "wk-5/0 wk-3/0 wk-3/1 wk-2/0",
	} {
		if got := names(Plan(b, b.Account.On(tree(t, limit)), 50)); got != want {
			t.Errorf("limit %g: %s, not %s", limit, got, want)
		}
	}
	// What is released but on no machine goes first; what is on its way out counts.
	runs(b, "wk-6", "a", jobs.JobArray, "prod", []jobs.TaskState{jobs.Released, jobs.Stopping}, 1)
	if got := names(Plan(b, b.Account.On(tree(t, 8)), 50)); got != "wk-6/0" {
		t.Error(got)
	}
	if got := Plan(b, b.Account.On(tree(t, 4)), 3); len(got) < 3 || len(got) > 4 { // a gang goes whole
		t.Errorf("%d at most", len(got))
	}
}

func TestFor(t *testing.T) {
	b := clusterstate.New(tree(t, 8), func(string) {})
	runs(b, "wk-1", "a", jobs.JobArray, "urgent", placed(5), 10)
	runs(b, "wk-2", "a", jobs.Service, "prod", placed(2), 20)
	runs(b, "wk-3", "b", jobs.JobArray, "standard", placed(1), 30)
	spec := &jobs.Spec{Team: "b", Class: "x", Accelerators: 1}
	entitled := b.Account.Entitled(b.QuotaLeaf(spec), spec.Amount(), 1)
	if got := names(For(b, b.Account, entitled, spec, 1)); got != "wk-1/0" && got != "wk-1/4" {
		t.Errorf("one place: %s", got)
	}
	if got := For(b, b.Account, entitled, spec, 9); got != nil {
		t.Errorf("more than can be had: %s", names(got))
	}
	// It is coming already: nothing else is stopped.
	runs(b, "wk-4", "a", jobs.JobArray, "urgent", []jobs.TaskState{jobs.Stopping}, 40)
	runs(b, "wk-5", "a", jobs.JobArray, "urgent", nil, 40)
	if got := For(b, b.Account, entitled, spec, 1); len(got) != 1 {
		t.Errorf("with one too many on its way out: %s", names(got))
	}
}

// TestEnough draws what runs and a limit: what Plan stops is enough, nothing of it is
// needless but for the rest of a gang, nothing outside the organisation goes, and the
// order in which things were entered changes nothing.
func TestEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			owner, shape, rank string
			pieces             int
		}
		var all []entry
		for range rapid.IntRange(1, 12).Draw(t, "jobs") {
			all = append(all, entry{
				rapid.SampledFrom([]string{"a", "b", "c"}).
					Draw(t, "owner"),
				rapid.SampledFrom([]string{jobs.JobArray, jobs.Gang, jobs.Service}).Draw(t, "shape"),
				rapid.SampledFrom([]string{"prod", "standard", "idle"}).Draw(t, "rank"),
				rapid.IntRange(1, 4).Draw(t, "pieces"),
			})
		}
		plan := func(backward bool, limit float64) (*quota.Account, []Stop) {
			b := clusterstate.New(tree(t, 1000), func(string) {})
			for k := range all {
				i := k
				if backward {
					i = len(all) - 1 - k
				}
				runs(b, fmt.Sprintf("wk-%d", i), all[i].owner, all[i].shape, all[i].rank, placed(all[i].pieces), int64(i))
			}
			account := b.Account.On(tree(t, limit))
			return account, Plan(b, account, 1000)
		}
		limit := float64(rapid.IntRange(4, 20).Draw(t, "limit"))
		account, stops := plan(false, limit)
		_, again := plan(true, limit)
		if names(stops) != names(again) {
			t.Fatalf("%s, entered backward %s", names(stops), names(again))
		}
		after := account.Clone()
		for _, s := range stops {
			if s.Task.Job.Record.Spec.Team == "c" {
				t.Fatalf("%s is outside", s.Task.ID)
			}
			after.Charge(s.Task.Job.Record.Spec.QuotaKey(), s.Task.Job.Record.Spec.Amount(), -1)
		}
		if len(after.Over()) > 0 {
			t.Fatalf("not enough: %v", after.Excesses())
		}
		if len(stops) > 0 {
			last := stops[len(stops)-1].Task.Job
			for _, s := range stops {
				if s.Task.Job == last && (last.Record.Spec.Kind == jobs.Gang || s.Task == stops[len(stops)-1].Task) {
					after.Charge(last.Record.Spec.QuotaKey(), last.Record.Spec.Amount(), 1)
				}
			}
			if len(after.Over()) == 0 {
				t.Fatalf("%s need not stop", last.ID)
			}
		}
	})
}

// TestGuaranteesAreReached draws what runs under a full organisation: whoever is within
// a guarantee and kept out by a limit alone gets in by what For stops, nobody falls
// below his own guarantee for it, and gangs and services are left alone.
func TestGuaranteesAreReached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := float64(rapid.IntRange(4, 12).Draw(t, "limit"))
		b := clusterstate.New(tree(t, limit), func(string) {})
		fixed := 0
		for i := range rapid.IntRange(1, 14).Draw(t, "jobs") {
			owner := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner")
			shape := rapid.SampledFrom([]string{jobs.JobArray, jobs.JobArray, jobs.Service}).Draw(t, "shape")
			spec := jobs.Spec{Team: owner, Class: "x", Accelerators: 1}
			if !b.Account.Allows(b.QuotaLeaf(&spec), gpus(1), 1) {
				break
			}
			runs(b, fmt.Sprintf("wk-%d", i), owner, shape, "standard", placed(1), int64(i))
			if shape == jobs.Service {
				fixed++
			}
		}
		for _, owner := range []string{"a", "b"} {
			spec := &jobs.Spec{Team: owner, Class: "x", Accelerators: 1}
			entitled := b.Account.Entitled(b.QuotaLeaf(spec), gpus(1), 1)
			if entitled < 0 || b.Account.Allows(b.QuotaLeaf(spec), gpus(1), 1) {
				continue
			}
			after := b.Account.Clone()
			stops := For(b, b.Account, entitled, spec, 1)
			for _, s := range stops {
				if s.Task.Job.Record.Spec.Kind == jobs.Service {
					t.Fatal("a service was stopped")
				}
				after.Charge(s.Task.Job.Record.Spec.QuotaKey(), gpus(1), -1)
			}
			if fixed == 0 && len(stops) != 1 {
				t.Fatalf("%d stopped for one place", len(stops))
			}
			if len(stops) > 0 &&
				(!after.Allows(b.QuotaLeaf(spec), gpus(1), 1) || after.Used(after.Tree().Leaf(quota.Key{Team: "a"})).Accelerators < 2e6 && owner == "b" || after.Used(after.Tree().Leaf(quota.Key{Team: "b"})).Accelerators < 2e6 && owner == "a") {
				t.Fatal("not enough, or too much")
			}
		}
	})
}
