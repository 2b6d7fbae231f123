package reclaim

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Main(m)) }

func gpus(v float64) quota.Amount { return quota.Of(0, v, 0) }

var teams = map[string]quota.Team{"a": {Name: "a", Guaranteed: gpus(2)}, "b": {Name: "b", Guaranteed: gpus(2)}, "c": {Name: "c"}}

// tree has a and b under one organisation with a limit, c beside it.
func tree(t interface{ Fatal(...any) }, limit float64) *quota.Tree {
	out, faults := quota.Build(&quota.Document{Organisations: []quota.Org{{Name: "o", Limit: &quota.Bounds{Accelerators: limit}, Teams: []quota.OfTeam{{Name: "a"}, {Name: "b"}}}}}, teams, nil)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return out
}

// runs enters a job whose tasks are on a machine since second at.
func runs(b *book.Book, uid, owner, shape, rank string, states []jobs.TaskState, at int64) {
	b.Now = time.Unix(at, 0)
	spec := jobs.Spec{UID: uid, Class: "x", Owner: owner, Shape: shape, Rank: rank, Pieces: len(states), Cores: 1, Accel: 1, MemoryGB: 1, Bundle: "i"}
	_ = b.JobChanged(uid, jobs.Encode(jobs.Record{State: jobs.Live, AtMs: 1, Spec: spec}))
	var records []jobs.Task
	for _, s := range states {
		r := jobs.Task{State: s, Try: 1}
		if s == jobs.Placed || s == jobs.Stopping {
			r.Host = "i-1"
		}
		records = append(records, r)
	}
	_, _ = b.SliceChanged(jobs.SliceKey(uid, 0), jobs.EncodeSlice(records, 8192))
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
		out = append(out, s.Task.Piece)
	}
	return strings.Join(out, " ")
}

func TestPlan(t *testing.T) {
	b := book.New(tree(t, 8), func(string) {})
	runs(b, "wk-1", "a", jobs.Sweep, "standard", placed(3), 10)
	runs(b, "wk-2", "b", jobs.Sweep, "standard", placed(2), 20)
	runs(b, "wk-3", "b", jobs.Ensemble, "standard", placed(2), 30)
	runs(b, "wk-4", "c", jobs.Sweep, "idle", placed(5), 40)
	runs(b, "wk-5", "a", jobs.Sweep, "idle", placed(1), 5)
	for limit, want := range map[float64]string{
		8: "", 7: "wk-5/0", 6: "wk-5/0 wk-3/0 wk-3/1", 5: "wk-5/0 wk-3/0 wk-3/1", 4: "wk-5/0 wk-3/0 wk-3/1 wk-2/0",
	} {
		if got := names(Plan(b, b.Account.On(tree(t, limit)), 50)); got != want {
			t.Errorf("limit %g: %s, not %s", limit, got, want)
		}
	}
	// What is released but on no machine goes first; what is on its way out counts.
	runs(b, "wk-6", "a", jobs.Sweep, "prod", []jobs.TaskState{jobs.Released, jobs.Stopping}, 1)
	if got := names(Plan(b, b.Account.On(tree(t, 8)), 50)); got != "wk-6/0" {
		t.Error(got)
	}
	if got := Plan(b, b.Account.On(tree(t, 4)), 3); len(got) < 3 || len(got) > 4 { // a gang goes whole
		t.Errorf("%d at most", len(got))
	}
}

func TestFor(t *testing.T) {
	b := book.New(tree(t, 8), func(string) {})
	runs(b, "wk-1", "a", jobs.Sweep, "urgent", placed(5), 10)
	runs(b, "wk-2", "a", jobs.Standing, "prod", placed(2), 20)
	runs(b, "wk-3", "b", jobs.Sweep, "standard", placed(1), 30)
	spec := &jobs.Spec{Owner: "b", Class: "x", Accel: 1}
	entitled := b.Account.Entitled(b.Leaf(spec), spec.Amount(), 1)
	if got := names(For(b, b.Account, entitled, spec, 1)); got != "wk-1/0" && got != "wk-1/4" {
		t.Errorf("one place: %s", got)
	}
	if got := For(b, b.Account, entitled, spec, 9); got != nil {
		t.Errorf("more than can be had: %s", names(got))
	}
	// It is coming already: nothing else is stopped.
	runs(b, "wk-4", "a", jobs.Sweep, "urgent", []jobs.TaskState{jobs.Stopping}, 40)
	runs(b, "wk-5", "a", jobs.Sweep, "urgent", nil, 40)
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
			all = append(all, entry{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "owner"), rapid.SampledFrom([]string{jobs.Sweep, jobs.Ensemble, jobs.Standing}).Draw(t, "shape"),
				rapid.SampledFrom([]string{"prod", "standard", "idle"}).Draw(t, "rank"), rapid.IntRange(1, 4).Draw(t, "pieces")})
		}
		plan := func(backward bool, limit float64) (*quota.Account, []Stop) {
			b := book.New(tree(t, 1000), func(string) {})
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
			if s.Task.Job.Rec.Spec.Owner == "c" {
				t.Fatalf("%s is outside", s.Task.Piece)
			}
			after.Charge(s.Task.Job.Rec.Spec.Key(), s.Task.Job.Rec.Spec.Amount(), -1)
		}
		if len(after.Over()) > 0 {
			t.Fatalf("not enough: %v", after.Excesses())
		}
		if len(stops) > 0 {
			last := stops[len(stops)-1].Task.Job
			for _, s := range stops {
				if s.Task.Job == last && (last.Rec.Spec.Shape == jobs.Ensemble || s.Task == stops[len(stops)-1].Task) {
					after.Charge(last.Rec.Spec.Key(), last.Rec.Spec.Amount(), 1)
				}
			}
			if len(after.Over()) == 0 {
				t.Fatalf("%s need not stop", last.UID)
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
		b := book.New(tree(t, limit), func(string) {})
		fixed := 0
		for i := range rapid.IntRange(1, 14).Draw(t, "jobs") {
			owner := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner")
			shape := rapid.SampledFrom([]string{jobs.Sweep, jobs.Sweep, jobs.Standing}).Draw(t, "shape")
			spec := jobs.Spec{Owner: owner, Class: "x", Accel: 1}
			if !b.Account.Allows(b.Leaf(&spec), gpus(1), 1) {
				break
			}
			runs(b, fmt.Sprintf("wk-%d", i), owner, shape, "standard", placed(1), int64(i))
			if shape == jobs.Standing {
				fixed++
			}
		}
		for _, owner := range []string{"a", "b"} {
			spec := &jobs.Spec{Owner: owner, Class: "x", Accel: 1}
			entitled := b.Account.Entitled(b.Leaf(spec), gpus(1), 1)
			if entitled < 0 || b.Account.Allows(b.Leaf(spec), gpus(1), 1) {
				continue
			}
			after := b.Account.Clone()
			stops := For(b, b.Account, entitled, spec, 1)
			for _, s := range stops {
				if s.Task.Job.Rec.Spec.Shape == jobs.Standing {
					t.Fatal("a service was stopped")
				}
				after.Charge(s.Task.Job.Rec.Spec.Key(), gpus(1), -1)
			}
			if fixed == 0 && len(stops) != 1 {
				t.Fatalf("%d stopped for one place", len(stops))
			}
			if len(stops) > 0 && (!after.Allows(b.Leaf(spec), gpus(1), 1) || after.Used(after.Tree().Leaf(quota.Key{Team: "a"})).Accelerators < 2e6 && owner == "b" || after.Used(after.Tree().Leaf(quota.Key{Team: "b"})).Accelerators < 2e6 && owner == "a") {
				t.Fatal("not enough, or too much")
			}
		}
	})
}
