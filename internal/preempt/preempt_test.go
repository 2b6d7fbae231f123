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

// fullCluster returns a cluster with two machines of four accelerators each, all in use.
func fullCluster(t *testing.T) *clusterstate.State {
	t.Helper()
	state := clusterstate.New(
		quota.Flat(map[string]quota.Team{
			"a": {Name: "a", Guaranteed: quota.NewAmount(0, 4, 0)},
			"b": {Name: "b", Guaranteed: quota.NewAmount(0, 2, 0)},
		}),
		func(string) {},
	)
	state.MachineTypes["g4"] = &jobs.MachineType{Name: "g4", Cores: 32, Accelerators: 4, MemoryGB: 256, CacheGB: 100}
	for _, machine := range []string{"i-1", "i-2"} {
		record := jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a"})
		if err := state.ApplyMachine(machine, "n0", record); err != nil {
			t.Fatal(err)
		}
	}
	for i, job := range []runningJob{
		{id: "wk-1", priority: "standard", kind: jobs.JobArray, machine: "i-1", image: "x", taskCount: 2},
		{id: "wk-2", priority: "idle", kind: jobs.JobArray, machine: "i-1", image: "y", taskCount: 1},
		{id: "wk-3", priority: "urgent", kind: jobs.Service, machine: "i-1", image: "x", taskCount: 1},
		{id: "wk-4", priority: "idle", kind: jobs.Gang, machine: "i-2", image: "x", taskCount: 2},
		{id: "wk-5", priority: "standard", kind: jobs.JobArray, machine: "i-2", image: "z", taskCount: 2},
	} {
		state.Now = time.Unix(int64(10*(i+1)), 0)
		job.addTo(t, state)
	}
	return state
}

// runningJob is a job of team b whose tasks all run on the same machine.
type runningJob struct {
	id        string
	priority  string
	kind      string
	machine   string
	image     string
	taskCount int
}

// addTo adds the job and its tasks to the state. The tasks have been running since state.Now.
func (j *runningJob) addTo(t *testing.T, state *clusterstate.State) {
	t.Helper()
	spec := jobs.Spec{
		ID:           j.id,
		Class:        "c",
		Team:         "b",
		Kind:         j.kind,
		Priority:     j.priority,
		TaskCount:    j.taskCount,
		Cores:        1,
		Accelerators: 1,
		MemoryGB:     1,
		Image:        j.image,
		ImageGB:      1,
	}
	record := jobs.Encode(jobs.Record{State: jobs.Live, AcceptedMs: 1, Spec: spec})
	if err := state.ApplyJob(j.id, record); err != nil {
		t.Fatal(err)
	}
	var records []jobs.Task
	for range j.taskCount {
		records = append(records, jobs.Task{State: jobs.Placed, Machine: j.machine, Attempt: 1})
	}
	_, _ = state.ApplyTaskRange(jobs.TaskRangeKey(j.id, 0), jobs.EncodeTaskRange(records, 8192))
}

// newSearch returns a search for a waiting task of a team that may be placed on any machine.
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
	job := &clusterstate.Job{ID: "wk-9", Record: &jobs.Record{Spec: spec}}
	return Search{
		Task:          &clusterstate.Task{Job: job},
		Priority:      spec.PriorityOrder(),
		Entitled:      state.Account.Entitled(state.QuotaLeaf(&spec), spec.Amount(), 1),
		Account:       state.Account,
		CanPlaceOn:    func(*clusterstate.Machine) bool { return true },
		InTransaction: func(string) bool { return false },
		Stopping:      map[*clusterstate.Task]bool{},
	}
}

// withoutGuarantee returns the search for a task that no guarantee covers.
func withoutGuarantee(search Search) Search {
	search.Entitled = -1
	return search
}

func taskIDs(tasks []*clusterstate.Task) string {
	var ids []string
	for _, t := range tasks {
		ids = append(ids, t.ID)
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

func TestVictims(t *testing.T) {
	state := fullCluster(t)
	for name, c := range map[string]struct {
		search Search
		want   string
	}{
		"lower priority is preempted where the image is cached": {
			search: newSearch(state, "b", "prod", 1),
			want:   "wk-5/0",
		},
		"task beyond its guarantee is preempted where the image is cached": {
			search: newSearch(state, "a", "standard", 1),
			want:   "wk-5/0",
		},
		"without a guarantee only lower priority is preempted": {
			search: withoutGuarantee(newSearch(state, "b", "standard", 1)),
			want:   "wk-2/0",
		},
		"idle task without a guarantee preempts nothing": {
			search: withoutGuarantee(newSearch(state, "b", "idle", 1)),
		},
		"whole machine: the one without a gang is cleared": {
			search: newSearch(state, "b", "prod", 4),
			want:   "wk-1/0 wk-1/1 wk-2/0 wk-3/0",
		},
	} {
		t.Run(name, func(t *testing.T) {
			if got := taskIDs(Victims(state, c.search)); got != c.want {
				t.Errorf("got victims %q, want %q", got, c.want)
			}
		})
	}
	checkAudit(t, state)
}

// No task is preempted if a stopping task will free enough capacity.
func TestNoVictimsWhereCapacityWillBeFree(t *testing.T) {
	state := fullCluster(t)
	search := newSearch(state, "a", "standard", 1)
	records := []jobs.Task{{State: jobs.Stopping, Machine: "i-1", Attempt: 1}}
	_, _ = state.ApplyTaskRange(jobs.TaskRangeKey("wk-2", 0), jobs.EncodeTaskRange(records, 8192))
	if got := taskIDs(Victims(state, search)); got != "" {
		t.Errorf("preempts %q although capacity will become free", got)
	}
}

// A task is not preempted while a transaction on its record is in flight, and a machine without the
// image cached is not considered if OnlyWithImage is set.
func TestNoVictimsOfBusyRecordsOrWithoutImage(t *testing.T) {
	state := fullCluster(t)
	search := withoutGuarantee(newSearch(state, "b", "standard", 1))
	search.InTransaction = func(key string) bool { return key == jobs.TaskRangeKey("wk-2", 0) }
	if got := taskIDs(Victims(state, search)); got != "" {
		t.Errorf("preempts %q, whose record has a transaction in flight", got)
	}
	search.OnlyWithImage = true
	if got := taskIDs(Victims(state, search)); got != "" {
		t.Errorf("preempts %q on a machine without the image", got)
	}
	checkAudit(t, state)
}

// checkAudit fails the test if derived fields of the state are inconsistent with its records.
func checkAudit(t *testing.T, state *clusterstate.State) {
	t.Helper()
	if fmt.Sprint(state.Audit()) != "[]" {
		t.Error(state.Audit())
	}
}
