package preempt

import (
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// clusterOfOneTeam returns a cluster with one machine, on which team b runs four tasks of standard
// priority, with the given guarantee in accelerators.
func clusterOfOneTeam(t *testing.T, guaranteed float64) *clusterstate.State {
	t.Helper()
	state := clusterstate.New(
		quota.Flat(map[string]quota.Team{
			"a": {Name: "a", Guaranteed: quota.NewAmount(0, 2, 0)},
			"b": {Name: "b", Guaranteed: quota.NewAmount(0, guaranteed, 0)},
		}),
		func(string) {},
	)
	state.MachineTypes["g4"] = &jobs.MachineType{Name: "g4", Cores: 32, Accelerators: 4, MemoryGB: 256, CacheGB: 100}
	record := jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a"})
	if err := state.ApplyMachine("i-1", "n0", record); err != nil {
		t.Fatal(err)
	}
	state.Now = time.Unix(10, 0)
	job := runningJob{id: "wk-1", priority: "standard", kind: jobs.JobArray, machine: "i-1", image: "x", taskCount: 4}
	job.addTo(t, state)
	return state
}

// A team that has to give up more than it runs beyond its guarantee would preempt back.
func TestPreemptionLeavesTheVictimsTeamItsGuarantee(t *testing.T) {
	for _, c := range []struct {
		guaranteed, wanted float64
		victims            int
	}{
		{guaranteed: 2, wanted: 2, victims: 2},
		{guaranteed: 3, wanted: 1, victims: 1},
		{guaranteed: 3, wanted: 2, victims: 0},
		{guaranteed: 4, wanted: 1, victims: 0},
	} {
		state := clusterOfOneTeam(t, c.guaranteed)
		search := newSearch(state, "a", "standard", c.wanted)
		used := state.Account.Used(state.QuotaLeaf(&search.Task.Job.Record.Spec))
		if got := len(Victims(state, search)); got != c.victims {
			t.Errorf("guarantee %v, %v wanted: %d victims, want %d", c.guaranteed, c.wanted, got, c.victims)
		}
		if state.Account.Used(state.QuotaLeaf(&search.Task.Job.Record.Spec)) != used {
			t.Error("the search has changed the account")
		}
	}
}

// Work of higher priority beyond its team's guarantee would be preempted back by what it displaces.
func TestPriorityDoesNotPreemptWhatWouldPreemptItBack(t *testing.T) {
	for name, c := range map[string]struct {
		guaranteed float64
		change     func(*Search)
		victims    int
	}{
		"beyond its guarantee, victim within": {4, func(*Search) {}, 0},
		"victim beyond its guarantee, too":    {3, func(*Search) {}, 1},
		"within its own guarantee":            {4, func(s *Search) { s.Entitled = 1 }, 1},
		"a replica, which is not preempted": {4, func(s *Search) {
			s.Task.Job.Record.Spec.Kind = jobs.Service
		}, 1},
	} {
		state := clusterOfOneTeam(t, c.guaranteed)
		search := withoutGuarantee(newSearch(state, "a", "urgent", 1))
		c.change(&search)
		if got := len(Victims(state, search)); got != c.victims {
			t.Errorf("%s: %d victims, want %d", name, got, c.victims)
		}
	}
}
