package clusterstate

import (
	"fmt"
	"math"
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Audit counts again, from the records alone, what is kept up with each change,
// and reports what differs. The scenarios run it; it looks at everything.
func (b *State) Audit() []string {
	var out []string
	room := map[string]sharding.Resources{}
	account := quota.NewAccount(b.Account.Tree())
	var onRank [jobs.Priorities]int
	book := func(machine string, need sharding.Resources) { room[machine] = room[machine].Add(need) }
	for jobID, j := range b.Jobs {
		done, on, active := 0, 0, 0
		for _, sl := range j.Ranges {
			for i, t := range sl.Tasks {
				if j.Tasks[sl.FirstIndex+i] != t || t.Stored != sl || t.Index != sl.FirstIndex+i {
					out = append(out, fmt.Sprintf("%s: task %d is not where its slice has it", jobID, sl.FirstIndex+i))
				}
			}
		}
		for n, t := range j.Tasks {
			if t.Index != n || t.Job != j || !slices.Contains(t.Stored.Tasks, t) || t.Stored.IsBatch() && b.Batches[t.Stored.Key] != t.Stored {
				out = append(out, fmt.Sprintf("%s: task %d is not in its slice %s", jobID, n, t.Stored.Key))
			}
			switch {
			case t.OnMachine():
				on++
				if j.Record != nil {
					onRank[j.Record.Spec.PriorityOrder()]++
				}
				book(t.Machine, t.Resources)
			case t.State == jobs.Released && t.PreferredMachine != "" && !t.PreferenceReleased:
				book(t.PreferredMachine, t.Resources)
			case t.State == jobs.Finished:
				done++
			}
			if t.Charged() || t.State == Unreadable {
				active++
			}
		}
		if done != j.DoneCount || on != j.PlacedCount || active != len(j.Active) {
			out = append(out, fmt.Sprintf("%s: %d done, %d on machines, %d active; kept %d, %d, %d", jobID, done, on, active, j.DoneCount, j.PlacedCount, len(j.Active)))
		}
		if j.Record == nil {
			continue
		}
		account.Charge(j.Record.Spec.QuotaKey(), j.Record.Spec.Amount(), active)
		if live := j.Record.State == jobs.Live; live == (b.Closed[jobID] != nil) {
			out = append(out, fmt.Sprintf("%s: live %v, but closed %v", jobID, live, b.Closed[jobID] != nil))
		}
	}
	if onRank != b.PlacedByPriority {
		out = append(out, fmt.Sprintf("%v tasks on machines by rank, kept %v", onRank, b.PlacedByPriority))
	}
	for _, r := range b.Reservations {
		book(r.Machine, r.Resources)
		if r.QuotaKey.Team != "" {
			account.Charge(r.QuotaKey, r.Amount, 1)
		}
	}
	for machine, u := range b.Usages {
		if !near(room[machine].Cores, u.Resources.Cores) || !near(room[machine].Accelerators, u.Resources.Accelerators) || !near(room[machine].MemoryGB, u.Resources.MemoryGB) {
			out = append(out, fmt.Sprintf("%s: %v used, kept %v", machine, room[machine], u.Resources))
		}
		delete(room, machine)
	}
	for machine, r := range room {
		if r != (sharding.Resources{}) {
			out = append(out, fmt.Sprintf("%s: %v used, none kept", machine, r))
		}
	}
	for i, path := range b.Account.Tree().Paths() {
		if got, kept := account.Used(i), b.Account.Used(i); got != kept {
			out = append(out, fmt.Sprintf("node %q: %s charged, kept %s", path, got, kept))
		}
	}
	return out
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-6 }
