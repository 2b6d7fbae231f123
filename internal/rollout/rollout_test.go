package rollout

import (
	"fmt"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
)

var fiveControllers = []Controller{
	{"n0", "a"},
	{"n1", "b"},
	{"n2", "a"},
	{"n3", "b"},
	{"n4", "b"},
}

// healthyRows returns the records of a cluster with five healthy controllers and n2 as leader.
func healthyRows() []store.Item {
	view := members.View{Leader: "n2", Epoch: 9}
	var out []store.Item
	for i, c := range fiveControllers {
		view.Members = append(view.Members, members.Member{Name: c.Name, Incarnation: uint64(10 + i)})
		out = append(out, store.Item{Key: members.MemberPrefix + c.Name, Value: jobs.Encode(10 + i)})
	}
	for i := range 100 {
		out = append(out, store.Item{
			Key:   fleet.MachinePrefix + machineName(i),
			Value: jobs.Encode(fleet.MachineRecord{State: fleet.Up}),
		})
	}
	return append(
		out,
		store.Item{Key: members.ViewKey, Value: jobs.Encode(view)},
		store.Item{Key: "host/odd", Value: []byte(`"odd"`)},
	)
}

func machineName(i int) string { return fmt.Sprintf("i-%03d", i) }

// ownedBy returns the first machines that a controller owns, at most limit of them.
func ownedBy(owner string, limit int) []string {
	var out []string
	for i := range 100 {
		machine := machineName(i)
		if len(out) < limit && sharding.Owner(machine, []string{"n0", "n1", "n2", "n3", "n4"}) == owner {
			out = append(out, machine)
		}
	}
	return out
}

// unresponsiveRow returns a record that lists the owner's first machines, at most limit of them,
// as unresponsive.
func unresponsiveRow(owner string, limit int) store.Item {
	return store.Item{Key: fleet.UnresponsivePrefix + owner, Value: jobs.Encode(ownedBy(owner, limit))}
}

// The order alternates between zones. Likely successors of the leader come early and the leader
// comes last, so that leadership passes to a controller that is already replaced.
func TestOrderAlternatesZonesWithLeaderLast(t *testing.T) {
	for _, c := range []struct {
		name, replaced, want string
	}{
		{"none replaced", "", "[n3 n0 n4 n1 n2]"},
		{"one replaced", "n3", "[n0 n4 n1 n2]"},
		{"only the leader left", "n3,n0,n4,n1", "[n2]"},
		{"leader replaced already", "n2,n3", "[n0 n4 n1]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPlan(fiveControllers, strings.Split(c.replaced, ","), DecodeState(healthyRows()))
			if got := fmt.Sprint(p.Order); got != c.want || len(p.Obstacles) > 0 || p.Leader != "n2" || p.Epoch != 9 {
				t.Errorf("replaced %q: order %s, obstacles %v", c.replaced, got, p.Obstacles)
			}
		})
	}
}

// planCases change the rows of a healthy cluster; reason is part of the obstacle that results.
var planCases = map[string]struct {
	change func([]store.Item) []store.Item
	reason string // "" for none
}{
	"all healthy": {
		change: func(rows []store.Item) []store.Item { return rows },
	},
	"no view": {
		change: func(rows []store.Item) []store.Item { return rows[:10] },
		reason: "nobody leads",
	},
	"member has a new incarnation": {
		change: func(rows []store.Item) []store.Item {
			rows[1].Value = []byte("77")
			return rows
		},
		reason: "n1 has just ended or come back",
	},
	"member's key is missing": {
		change: func(rows []store.Item) []store.Item { return rows[1:] },
		reason: "n0 has just ended",
	},
	"unanswered probe": {
		change: func(rows []store.Item) []store.Item {
			return append(rows, store.Item{Key: standby.ProbePrefix + "n4"})
		},
		reason: "n4 is called",
	},
	"few machines unresponsive": {
		change: func(rows []store.Item) []store.Item { return append(rows, unresponsiveRow("n3", 1)) },
	},
	"many machines unresponsive": {
		change: func(rows []store.Item) []store.Item { return append(rows, unresponsiveRow("n3", 9)) },
		reason: "n3 does not hear",
	},
	"many machines unresponsive, in several lists": {
		change: func(rows []store.Item) []store.Item {
			machines := ownedBy("n3", 9)
			return append(
				rows,
				store.Item{
					Key:   fleet.UnresponsiveKey("n3", 1),
					Value: jobs.Encode([]string{machines[0], "more:3"}),
				},
				store.Item{
					Key:   fleet.UnresponsiveKey("n3", 2),
					Value: jobs.Encode(append(machines[1:], "more:3")),
				},
			)
		},
		reason: "n3 does not hear 9 of",
	},
	"unresponsive list can't be read": {
		change: func(rows []store.Item) []store.Item {
			return append(rows, store.Item{Key: "quiet/n1", Value: []byte("{")})
		},
	},
	"controllers missing from the view": {
		change: func(rows []store.Item) []store.Item {
			rows[105].Value = jobs.Encode(members.View{
				Leader:  "n0",
				Epoch:   3,
				Members: []members.Member{{Name: "n0", Incarnation: 10}},
			})
			return rows
		},
		reason: "n4 is not in the view",
	},
}

// Every unhealthy condition is an obstacle that names the controller concerned.
func TestPlanListsObstacles(t *testing.T) {
	for name, c := range planCases {
		t.Run(name, func(t *testing.T) {
			p := NewPlan(fiveControllers, nil, DecodeState(c.change(healthyRows())))
			expectReason(t, p.Obstacles, c.reason)
		})
	}
	p := NewPlan(fiveControllers, []string{"n3"}, DecodeState(healthyRows()))
	for name, reason := range map[string]string{
		"n0": "",
		"n1": "",
		"n2": "leads",
		"n3": "is not among",
		"n9": "is not among",
	} {
		t.Run("reasons against "+name, func(t *testing.T) { expectReason(t, p.ReasonsAgainst(name), reason) })
	}
}

// expectReason checks that the reasons contain want, or that there are none if want is "".
func expectReason(t *testing.T, reasons []string, want string) {
	t.Helper()
	if got := strings.Join(reasons, "; "); (got == "") != (want == "") || !strings.Contains(got, want) {
		t.Errorf("reasons are %q, want %q", got, want)
	}
}
