package preempt

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// fullCluster has two machines of four accelerators each, all in use.
func fullCluster(t *testing.T) *clusterstate.State {
	t.Helper()
	state := clusterstate.New(
		quota.Flat(
			map[string]quota.Team{
				"a": {Name: "a", Guaranteed: quota.Of(0, 4, 0)},
				"b": {Name: "b", Guaranteed: quota.Of(0, 2, 0)},
			},
		),
		func(string) {},
	)
	state.MachineTypes["g4"] = &jobs.MachineType{Name: "g4", Cores: 32, Accelerators: 4, MemoryGB: 256, CacheGB: 100}
	at := int64(0)
	enter := func(jobID, team, priority, kind, machine, image string, taskCount int) {
		at += 10
		state.Now = time.Unix(at, 0)
		spec := jobs.Spec{
			ID:           jobID,
			Class:        "c",
			Team:         team,
			Kind:         kind,
			Priority:     priority,
			TaskCount:    taskCount,
			Cores:        1,
			Accelerators: 1,
			MemoryGB:     1,
			Image:        image,
			ImageGB:      1,
		}
		if err := state.ApplyJob(jobID, jobs.Encode(jobs.Record{State: jobs.Live, AcceptedMs: 1, Spec: spec})); err != nil {
			t.Fatal(err)
		}
		var records []jobs.Task
		for range taskCount {
			records = append(records, jobs.Task{State: jobs.Placed, Machine: machine, Attempt: 1})
		}
		_, _ = state.ApplyTaskRange(jobs.TaskRangeKey(jobID, 0), jobs.EncodeTaskRange(records, 8192))
	}
	for _, machine := range []string{"i-1", "i-2"} {
		if err := state.ApplyMachine(
			machine,
			"n0",
			jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a"}),
		); err != nil {
			t.Fatal(err)
		}
	}
	enter("wk-1", "b", "standard", jobs.JobArray, "i-1", "x", 2)
	enter("wk-2", "b", "idle", jobs.JobArray, "i-1", "y", 1)
	enter("wk-3", "b", "urgent", jobs.Service, "i-1", "x", 1)
	enter("wk-4", "b", "idle", jobs.Gang, "i-2", "x", 2)
	enter("wk-5", "b", "standard", jobs.JobArray, "i-2", "z", 2)
	return state
}

func newSearch(state *clusterstate.State, team, priority string, accelerators float64) Search {
	spec := jobs.Spec{
		ID:           "wk-9",
		Class:        "c",
		Team:         team,
		Kind:         jobs.JobArray,
		Priority:     priority,
		TaskCount:    1,
		Cores:        1,
		Accelerators: accelerators,
		MemoryGB:     1,
		Image:        "z",
	}
	j := &clusterstate.Job{ID: "wk-9", Record: &jobs.Record{Spec: spec}}
	return Search{
		Task: &clusterstate.Task{
			Job: j,
		},
		Priority: spec.PriorityOrder(),
		Entitled: state.Account.Entitled(state.QuotaLeaf(&spec), spec.Amount(), 1),
		Account:  state.Account,
		Open:     func(*clusterstate.Machine) bool { return true },
		Busy:     func(string) bool { return false },
		Stopping: map[*clusterstate.Task]bool{},
	}
}

func taskIDs(tasks []*clusterstate.Task) string {
	var out []string
	for _, t := range tasks {
		out = append(out, t.ID)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

func TestVictims(t *testing.T) {
	state := fullCluster(t)
	for name, c := range map[string]struct {
		s    Search
		want string
	}{
		"the lower rank yields, where the image is":            {newSearch(state, "b", "prod", 1), "wk-5/1"},
		"a guarantee, where the image is":                      {newSearch(state, "a", "standard", 1), "wk-5/1"},
		"within no guarantee nothing of the same rank":         {func() Search { s := newSearch(state, "b", "standard", 1); s.Entitled = -1; return s }(), "wk-2/0"},
		"idle work beyond its guarantee stops nobody":          {func() Search { s := newSearch(state, "b", "idle", 1); s.Entitled = -1; return s }(), ""},
		"more than a machine can give without gang or service": {newSearch(state, "b", "prod", 4), "wk-1/0 wk-1/1 wk-2/0 wk-3/0"},
	} {
		got := taskIDs(Victims(state, c.s))
		if name == "the lower rank yields, where the image is" || name == "a guarantee, where the image is" {
			if got != "wk-5/0" && got != "wk-5/1" {
				t.Errorf("%s: %q", name, got)
			}
			continue
		}
		if got != c.want {
			t.Errorf("%s: %q, not %q", name, got, c.want)
		}
	}
	// What is on its way out makes room already.
	s := newSearch(state, "a", "standard", 1)
	records := []jobs.Task{{State: jobs.Stopping, Machine: "i-1", Attempt: 1}}
	_, _ = state.ApplyTaskRange(jobs.TaskRangeKey("wk-2", 0), jobs.EncodeTaskRange(records, 8192))
	if got := taskIDs(Victims(state, s)); got != "" {
		t.Errorf("stopped %q for room that is coming", got)
	}
	// What is under a transaction, or stopped by this look, is left alone.
	state = fullCluster(t)
	s = newSearch(state, "b", "standard", 1)
	s.Entitled = -1
	s.Busy = func(key string) bool { return key == jobs.TaskRangeKey("wk-2", 0) }
	if got := taskIDs(Victims(state, s)); got != "" {
		t.Errorf("stopped %q", got)
	}
	s.OnlyWithImage = true
	if got := taskIDs(Victims(state, s)); got != "" {
		t.Errorf("stopped %q where its image is not", got)
	}
	if fmt.Sprint(state.Audit()) != "[]" {
		t.Error(state.Audit())
	}
}
