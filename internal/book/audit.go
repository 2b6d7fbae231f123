package book

import (
	"fmt"
	"math"
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/parts"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Audit counts again, from the records alone, what is kept up with each change,
// and reports what differs. The scenarios run it; it looks at everything.
func (b *Book) Audit() []string {
	var out []string
	room := map[string]parts.Room{}
	account := quota.NewAccount(b.Account.Tree())
	var onRank [jobs.Ranks]int
	book := func(host string, need parts.Room) { room[host] = room[host].Add(need) }
	for uid, j := range b.Jobs {
		done, on, active := 0, 0, 0
		for _, sl := range j.Slices {
			for i, t := range sl.Tasks {
				if j.Tasks[sl.From+i] != t || t.Slice != sl || t.N != sl.From+i {
					out = append(out, fmt.Sprintf("%s: task %d is not where its slice has it", uid, sl.From+i))
				}
			}
		}
		for n, t := range j.Tasks {
			if t.N != n || t.Job != j || !slices.Contains(t.Slice.Tasks, t) || t.Slice.Packed() && b.Packs[t.Slice.Key] != t.Slice {
				out = append(out, fmt.Sprintf("%s: task %d is not in its slice %s", uid, n, t.Slice.Key))
			}
			switch {
			case t.On():
				on++
				if j.Rec != nil {
					onRank[j.Rec.Spec.RankOrder()]++
				}
				book(t.Host, t.Need)
			case t.State == jobs.Released && t.Want != "" && !t.Unwanted:
				book(t.Want, t.Need)
			case t.State == jobs.Finished:
				done++
			}
			if t.Charged() || t.State == Unreadable {
				active++
			}
		}
		if done != j.Done || on != j.On || active != len(j.Active) {
			out = append(out, fmt.Sprintf("%s: %d done, %d on machines, %d active; kept %d, %d, %d", uid, done, on, active, j.Done, j.On, len(j.Active)))
		}
		if j.Rec == nil {
			continue
		}
		account.Charge(j.Rec.Spec.Key(), j.Rec.Spec.Amount(), active)
		if live := j.Rec.State == jobs.Live; live == (b.Closed[uid] != nil) {
			out = append(out, fmt.Sprintf("%s: live %v, but closed %v", uid, live, b.Closed[uid] != nil))
		}
	}
	if onRank != b.OnRank {
		out = append(out, fmt.Sprintf("%v tasks on machines by rank, kept %v", onRank, b.OnRank))
	}
	for _, r := range b.Reserved {
		book(r.Host, r.Need)
		if r.Key.Team != "" {
			account.Charge(r.Key, r.Amount, 1)
		}
	}
	for host, u := range b.Usages {
		if !near(room[host].Cores, u.Room.Cores) || !near(room[host].Accelerators, u.Room.Accelerators) || !near(room[host].MemoryGB, u.Room.MemoryGB) {
			out = append(out, fmt.Sprintf("%s: %v used, kept %v", host, room[host], u.Room))
		}
		delete(room, host)
	}
	for host, r := range room {
		if r != (parts.Room{}) {
			out = append(out, fmt.Sprintf("%s: %v used, none kept", host, r))
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
