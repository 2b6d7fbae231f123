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

func gpus(v float64) quota.Amount { return quota.NewAmount(0, v, 0) }

var teams = map[string]quota.Team{
	"a": {Name: "a", Guaranteed: gpus(2)},
	"b": {Name: "b", Guaranteed: gpus(2)},
	"c": {Name: "c"},
}

// limitedTree returns a tree with teams a and b in an organisation that has a limit, and team c
// outside it.
func limitedTree(t interface {
	Helper()
	Fatal(args ...any)
}, limit float64,
) *quota.Tree {
	t.Helper()
	document := &quota.Document{
		Organisations: []quota.Org{{
			Name:  "o",
			Limit: &quota.Bounds{Accelerators: limit},
			Teams: []quota.OfTeam{{Name: "a"}, {Name: "b"}},
		}},
	}
	tree, faults := quota.Build(document, teams, nil)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return tree
}

// addJob adds a job to the state, with one task in each of the given task states. Tasks on a
// machine have been there since Unix time at, in seconds.
func addJob(state *clusterstate.State, jobID, team, kind, priority string, states []jobs.TaskState, at int64) {
	state.Now = time.Unix(at, 0)
	spec := jobs.Spec{
		ID:           jobID,
		Class:        "x",
		Team:         team,
		Kind:         kind,
		Priority:     priority,
		TaskCount:    len(states),
		Cores:        1,
		Accelerators: 1,
		MemoryGB:     1,
		Image:        "i",
	}
	_ = state.ApplyJob(jobID, jobs.Encode(jobs.Record{State: jobs.Live, AcceptedMs: 1, Spec: spec}))
	var records []jobs.Task
	for _, s := range states {
		r := jobs.Task{State: s, Attempt: 1}
		if s == jobs.Placed || s == jobs.Stopping {
			r.Machine = "i-1"
		}
		records = append(records, r)
	}
	_, _ = state.ApplyTaskRange(jobs.TaskRangeKey(jobID, 0), jobs.EncodeTaskRange(records, 8192))
}

func placed(n int) []jobs.TaskState {
	var out []jobs.TaskState
	for range n {
		out = append(out, jobs.Placed)
	}
	return out
}

func taskIDs(stops []Stop) string {
	var ids []string
	for _, s := range stops {
		ids = append(ids, s.Task.ID)
	}
	return strings.Join(ids, " ")
}

func TestPlan(t *testing.T) {
	state := clusterstate.New(limitedTree(t, 8), func(string) {})
	addJob(state, "wk-1", "a", jobs.JobArray, "standard", placed(3), 10)
	addJob(state, "wk-2", "b", jobs.JobArray, "standard", placed(2), 20)
	addJob(state, "wk-3", "b", jobs.Gang, "standard", placed(2), 30)
	addJob(state, "wk-4", "c", jobs.JobArray, "idle", placed(5), 40)
	addJob(state, "wk-5", "a", jobs.JobArray, "idle", placed(1), 5)
	for limit, want := range map[float64]string{
		8: "",
		7: "wk-5/0",
		6: "wk-5/0 wk-3/0 wk-3/1",
		5: "wk-5/0 wk-3/0 wk-3/1",
		4: "wk-5/0 wk-3/0 wk-3/1 wk-2/0",
	} {
		if got := taskIDs(Plan(state, state.Account.RebasedOn(limitedTree(t, limit)), 50)); got != want {
			t.Errorf("limit %g: stops %q, want %q", limit, got, want)
		}
	}
	// A task that is released but not on a machine is stopped first; the stopping task counts as
	// gone.
	addJob(state, "wk-6", "a", jobs.JobArray, "prod", []jobs.TaskState{jobs.Assigned, jobs.Stopping}, 1)
	if got := taskIDs(Plan(state, state.Account.RebasedOn(limitedTree(t, 8)), 50)); got != "wk-6/0" {
		t.Error(got)
	}
	if got := Plan(
		state,
		state.Account.RebasedOn(limitedTree(t, 4)),
		3,
	); len(got) < 3 ||
		len(got) > 4 { // 4 if the last one chosen is a gang, which is stopped whole
		t.Errorf("%d tasks are stopped, want 3 or 4", len(got))
	}
}

func TestPlanForGuarantee(t *testing.T) {
	state := clusterstate.New(limitedTree(t, 8), func(string) {})
	addJob(state, "wk-1", "a", jobs.JobArray, "urgent", placed(5), 10)
	addJob(state, "wk-2", "a", jobs.Service, "prod", placed(2), 20)
	addJob(state, "wk-3", "b", jobs.JobArray, "standard", placed(1), 30)
	spec := &jobs.Spec{Team: "b", Class: "x", Accelerators: 1}
	entitled := state.Account.Entitled(state.QuotaLeaf(spec), spec.Amount(), 1)
	if got := taskIDs(PlanForGuarantee(state, state.Account, entitled, spec, 1)); got != "wk-1/0" && got != "wk-1/4" {
		t.Errorf("for one task: stops %s", got)
	}
	if got := PlanForGuarantee(state, state.Account, entitled, spec, 9); got != nil {
		t.Errorf("for more tasks than can be allowed: stops %s", taskIDs(got))
	}
	// A task that is stopping counts as gone.
	addJob(state, "wk-4", "a", jobs.JobArray, "urgent", []jobs.TaskState{jobs.Stopping}, 40)
	addJob(state, "wk-5", "a", jobs.JobArray, "urgent", nil, 40)
	if got := PlanForGuarantee(state, state.Account, entitled, spec, 1); len(got) != 1 {
		t.Errorf("with one task stopping: stops %s, want one task", taskIDs(got))
	}
}

// TestPlanStopsEnoughAndNoMore draws running jobs and a limit. Plan must stop enough tasks, none
// that is not needed except the rest of a gang, and none outside the organisation. The order in
// which the jobs were added must make no difference.
func TestPlanStopsEnoughAndNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			team, kind, priority string
			taskCount            int
		}
		var entries []entry
		for range rapid.IntRange(1, 12).Draw(t, "jobs") {
			entries = append(entries, entry{
				team:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
				kind:      rapid.SampledFrom([]string{jobs.JobArray, jobs.Gang, jobs.Service}).Draw(t, "kind"),
				priority:  rapid.SampledFrom([]string{"prod", "standard", "idle"}).Draw(t, "priority"),
				taskCount: rapid.IntRange(1, 4).Draw(t, "task count"),
			})
		}
		plan := func(reverse bool, limit float64) (*quota.Account, []Stop) {
			state := clusterstate.New(limitedTree(t, 1000), func(string) {})
			for n := range entries {
				i := n
				if reverse {
					i = len(entries) - 1 - n
				}
				e := entries[i]
				addJob(state, fmt.Sprintf("wk-%d", i), e.team, e.kind, e.priority, placed(e.taskCount), int64(i))
			}
			account := state.Account.RebasedOn(limitedTree(t, limit))
			return account, Plan(state, account, 1000)
		}
		limit := float64(rapid.IntRange(4, 20).Draw(t, "limit"))
		account, stops := plan(false, limit)
		_, reversed := plan(true, limit)
		if taskIDs(stops) != taskIDs(reversed) {
			t.Fatalf("stops %s, but %s with the jobs added in reverse order", taskIDs(stops), taskIDs(reversed))
		}
		after := account.Clone()
		for _, s := range stops {
			if s.Task.Job.Record.Spec.Team == "c" {
				t.Fatalf("%s is stopped, but is outside the organisation", s.Task.ID)
			}
			after.Charge(s.Task.Job.Record.Spec.QuotaKey(), s.Task.Job.Record.Spec.Amount(), -1)
		}
		if len(after.NodesOverLimit()) > 0 {
			t.Fatalf("still above the limit: %v", after.Excesses())
		}
		if len(stops) > 0 {
			last := stops[len(stops)-1].Task.Job
			for _, s := range stops {
				if s.Task.Job == last && (last.Record.Spec.Kind == jobs.Gang || s.Task == stops[len(stops)-1].Task) {
					after.Charge(last.Record.Spec.QuotaKey(), last.Record.Spec.Amount(), 1)
				}
			}
			if len(after.NodesOverLimit()) == 0 {
				t.Fatalf("%s is stopped needlessly", last.ID)
			}
		}
	})
}

// drawFullOrganisation draws jobs of teams a and b, up to the first that the limit does not allow,
// and returns the state and the number of services among them.
func drawFullOrganisation(t *rapid.T, limit float64) (state *clusterstate.State, services int) {
	state = clusterstate.New(limitedTree(t, limit), func(string) {})
	for i := range rapid.IntRange(1, 14).Draw(t, "jobs") {
		team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
		kind := rapid.SampledFrom([]string{jobs.JobArray, jobs.JobArray, jobs.Service}).Draw(t, "kind")
		spec := jobs.Spec{Team: team, Class: "x", Accelerators: 1}
		if !state.Account.Allows(state.QuotaLeaf(&spec), gpus(1), 1) {
			break
		}
		addJob(state, fmt.Sprintf("wk-%d", i), team, kind, "standard", placed(1), int64(i))
		if kind == jobs.Service {
			services++
		}
	}
	return state, services
}

// TestPlanForGuaranteeReachesGuarantees draws running jobs of an organisation at its limit. For a
// task within a guarantee that only a limit keeps out, PlanForGuarantee must stop enough to let it
// start, must not take the other team below its guarantee, and must not stop services.
func TestPlanForGuaranteeReachesGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := float64(rapid.IntRange(4, 12).Draw(t, "limit"))
		state, services := drawFullOrganisation(t, limit)
		for _, team := range []string{"a", "b"} {
			spec := &jobs.Spec{Team: team, Class: "x", Accelerators: 1}
			entitled := state.Account.Entitled(state.QuotaLeaf(spec), gpus(1), 1)
			if entitled < 0 || state.Account.Allows(state.QuotaLeaf(spec), gpus(1), 1) {
				continue
			}
			after := state.Account.Clone()
			stops := PlanForGuarantee(state, state.Account, entitled, spec, 1)
			for _, s := range stops {
				if s.Task.Job.Record.Spec.Kind == jobs.Service {
					t.Fatal("a service was stopped")
				}
				after.Charge(s.Task.Job.Record.Spec.QuotaKey(), gpus(1), -1)
			}
			if services == 0 && len(stops) != 1 {
				t.Fatalf("%d tasks are stopped for one", len(stops))
			}
			if len(stops) == 0 {
				continue
			}
			other := map[string]string{"a": "b", "b": "a"}[team]
			otherUsed := after.Used(after.Tree().Leaf(quota.Key{Team: other}))
			if !after.Allows(state.QuotaLeaf(spec), gpus(1), 1) || !otherUsed.Covers(teams[other].Guaranteed) {
				t.Fatal("too few tasks are stopped, or the other team falls below its guarantee")
			}
		}
	})
}
