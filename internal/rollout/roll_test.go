package rollout

import (
	"encoding/json"
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

var five = []Controller{{"n0", "a"}, {"n1", "b"}, {"n2", "a"}, {"n3", "b"}, {"n4", "b"}}

// rows is the state of a service whose five controllers are all well, led by n2.
func rows() []store.Item {
	v := members.View{Leader: "n2", Epoch: 9}
	var out []store.Item
	for i, c := range five {
		v.Members = append(v.Members, members.Member{Name: c.Name, Incarnation: uint64(10 + i)})
		out = append(out, store.Item{Key: members.MemberPrefix + c.Name, Value: jobs.Encode(10 + i)})
	}
	for i := range 100 {
		out = append(
			out,
			store.Item{
				Key:   fmt.Sprintf("%si-%03d", fleet.MachinePrefix, i),
				Value: jobs.Encode(fleet.MachineRecord{State: fleet.Up}),
			},
		)
	}
	return append(
		out,
		store.Item{Key: members.ViewKey, Value: jobs.Encode(v)},
		store.Item{Key: "host/odd", Value: []byte(`"odd"`)},
	)
}

// The leader goes last; zones take turns; one that follows the leader goes early, so that
// the lead passes to one that was replaced.
func TestOrder(t *testing.T) {
	for done, want := range map[string]string{"": "[n3 n0 n4 n1 n2]", "n3": "[n0 n4 n1 n2]", "n3,n0,n4,n1": "[n2]", "n2,n3": "[n0 n4 n1]"} {
		p := Make(five, strings.Split(done, ","), Read(rows()))
		if got := fmt.Sprint(p.Order); got != want || len(p.NotYet) > 0 || p.Leader != "n2" || p.Epoch != 9 {
			t.Errorf("done %q: %s, %v", done, got, p.NotYet)
		}
	}
}

// Whatever is not well stands against the next end, by name.
func TestNotYet(t *testing.T) {
	hears := func(owner string, most int) store.Item { // it does not hear so many of its machines
		var unresponsive []string
		for i := range 100 {
			if h := fmt.Sprintf(
				"i-%03d",
				i,
			); sharding.Owner(h, []string{"n0", "n1", "n2", "n3", "n4"}) == owner &&
				len(unresponsive) < most {
				unresponsive = append(unresponsive, h)
			}
		}
		return store.Item{Key: fleet.UnresponsivePrefix + owner, Value: jobs.Encode(unresponsive)}
	}
	for name, c := range map[string]struct {
		change func([]store.Item) []store.Item
		says   string
	}{
		"well":       {func(r []store.Item) []store.Item { return r }, ""},
		"no view":    {func(r []store.Item) []store.Item { return r[:10] }, "nobody leads"},
		"back anew":  {func(r []store.Item) []store.Item { r[1].Value = []byte("77"); return r }, "n1 has just ended or come back"},
		"key gone":   {func(r []store.Item) []store.Item { return r[1:] }, "n0 has just ended"},
		"called":     {func(r []store.Item) []store.Item { return append(r, store.Item{Key: standby.ProbePrefix + "n4"}) }, "n4 is called"},
		"few quiet":  {func(r []store.Item) []store.Item { return append(r, hears("n3", 1)) }, ""},
		"many quiet": {func(r []store.Item) []store.Item { return append(r, hears("n3", 9)) }, "n3 does not hear"},
		"many quiet, further lists": {func(r []store.Item) []store.Item {
			all := hears("n3", 9)
			var machines []string
			if err := json.Unmarshal(all.Value, &machines); err != nil {
				t.Fatal(err)
			}
			return append(r, store.Item{Key: fleet.UnresponsiveKey("n3", 1), Value: jobs.Encode([]string{machines[0], "more:3"})}, store.Item{Key: fleet.UnresponsiveKey("n3", 2), Value: jobs.Encode(append(machines[1:], "more:3"))})
		}, "n3 does not hear 9 of"},
		"quiet, odd": {func(r []store.Item) []store.Item { return append(r, store.Item{Key: "quiet/n1", Value: []byte("{")}) }, ""},
		"not in view": {func(r []store.Item) []store.Item {
			r[105].Value = jobs.Encode(members.View{Leader: "n0", Epoch: 3, Members: []members.Member{{Name: "n0", Incarnation: 10}}})
			return r
		}, "n4 is not in the view"},
	} {
		p := Make(five, nil, Read(c.change(rows())))
		if got := strings.Join(p.NotYet, "; "); (got == "") != (c.says == "") || !strings.Contains(got, c.says) {
			t.Errorf("%s: %q", name, got)
		}
	}
	p := Make(five, []string{"n3"}, Read(rows()))
	for name, says := range map[string]string{"n0": "", "n1": "", "n2": "leads", "n3": "is not among", "n9": "is not among"} {
		if got := strings.Join(p.May(name), "; "); (got == "") != (says == "") || !strings.Contains(got, says) {
			t.Errorf("%s: %q", name, got)
		}
	}
}
