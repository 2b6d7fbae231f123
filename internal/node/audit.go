package node

import (
	"fmt"
	"math"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/parts"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Audit counts again, from the records alone, what is kept up with each change,
// and reports what differs. The scenarios run it; it looks at everything.
func (n *Node) Audit() []string {
	var out []string
	room := map[string]parts.Room{}
	account := quota.NewAccount()
	var onRank [jobs.Ranks]int
	book := func(host string, need parts.Room) { room[host] = room[host].Add(need) }
	for uid, j := range n.jobs {
		done, on, active := 0, 0, 0
		for _, sl := range j.slices {
			for i, t := range sl.tasks {
				if j.tasks[sl.from+i] != t || t.slice != sl || t.n != sl.from+i {
					out = append(out, fmt.Sprintf("%s: task %d is not where its slice has it", uid, sl.from+i))
				}
				switch {
				case t.On():
					on++
					if j.rec != nil {
						onRank[j.rec.Spec.RankOrder()]++
					}
					book(t.Host, t.need)
				case t.State == jobs.Released && t.Want != "" && !t.unwanted:
					book(t.Want, t.need)
				case t.State == jobs.Finished:
					done++
				}
				if t.Charged() || t.State == unreadable {
					active++
				}
			}
		}
		if done != j.done || on != j.on || active != len(j.active) {
			out = append(out, fmt.Sprintf("%s: %d done, %d on machines, %d active; kept %d, %d, %d", uid, done, on, active, j.done, j.on, len(j.active)))
		}
		if j.rec == nil {
			continue
		}
		account.Charge(j.rec.Spec.Owner, j.rec.Spec.Amount(), float64(active))
		if live := j.rec.State == jobs.Live; live == (n.closed[uid] != nil) {
			out = append(out, fmt.Sprintf("%s: live %v, but closed %v", uid, live, n.closed[uid] != nil))
		}
	}
	if onRank != n.onRank {
		out = append(out, fmt.Sprintf("%v tasks on machines by rank, kept %v", onRank, n.onRank))
	}
	for _, r := range n.reserve {
		book(r.host, r.need)
		if r.owner != "" {
			account.Charge(r.owner, r.amount, 1)
		}
	}
	for host, u := range n.usage {
		if !near(room[host].Cores, u.room.Cores) || !near(room[host].Accelerators, u.room.Accelerators) || !near(room[host].MemoryGB, u.room.MemoryGB) {
			out = append(out, fmt.Sprintf("%s: %v used, kept %v", host, room[host], u.room))
		}
		delete(room, host)
	}
	for host, r := range room {
		if r != (parts.Room{}) {
			out = append(out, fmt.Sprintf("%s: %v used, none kept", host, r))
		}
	}
	for team := range n.teams {
		if got, kept := account.Used(team), n.account.Used(team); !near(got.Cores, kept.Cores) || !near(got.Accelerators, kept.Accelerators) {
			out = append(out, fmt.Sprintf("team %s: %v charged, kept %v", team, got, kept))
		}
	}
	return out
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-6 }
