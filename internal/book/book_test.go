package book

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Main(m)) }

var tree = quota.Flat(map[string]quota.Team{"t": {Name: "t"}})

var shapes = []string{jobs.Sweep, jobs.Ensemble, jobs.Standing}

// record is a job's record of three tasks.
func record(uid string, state jobs.JobState, shape int) []byte {
	return jobs.Encode(jobs.Record{State: state, AtMs: 1, Spec: jobs.Spec{UID: uid, Class: "c", Owner: "t", Shape: shapes[shape], Rank: "standard",
		Pieces: 3, Cores: 1.5, Accel: 1, MemoryGB: 4, Bundle: "b", PullGB: 1, Scatter: shape == 0}})
}

// TestAnyChanges enters records in any order, also of jobs, slices and machines
// that are not known yet or gone already, with reservations between, and counts
// everything again after each.
func TestAnyChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(tree, func(string) {})
		uids := []string{"wk-1", "wk-2", "wk-3"}
		hosts := []string{"i-1", "i-2"}
		uid := func(t *rapid.T) string { return rapid.SampledFrom(uids).Draw(t, "uid") }
		host := func(t *rapid.T) string { return rapid.SampledFrom(hosts).Draw(t, "host") }
		task := func(t *rapid.T) jobs.Task {
			switch rapid.IntRange(0, 4).Draw(t, "state") {
			case 0:
				return jobs.Task{State: jobs.Released, Part: "n0", Site: "a", Want: rapid.SampledFrom([]string{"", "i-1", "i-2"}).Draw(t, "want")}
			case 1:
				return jobs.Task{State: jobs.Placed, Host: host(t), Site: "a", Try: 1}
			case 2:
				return jobs.Task{State: jobs.Stopping, Host: host(t), Site: "a", Try: 1}
			case 3:
				return jobs.Task{State: jobs.Finished, Try: 1}
			}
			return jobs.Task{State: jobs.Pending, Try: 1, Bad: []string{host(t)}}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for _, bad := range b.Audit() {
					t.Error(bad)
				}
			},
			"job": func(t *rapid.T) {
				id := uid(t)
				state := rapid.SampledFrom([]jobs.JobState{jobs.Live, jobs.Live, jobs.Cancelled, jobs.Done}).Draw(t, "job state")
				if err := b.JobChanged(id, record(id, state, rapid.IntRange(0, 2).Draw(t, "shape"))); err != nil {
					t.Fatal(err)
				}
			},
			"job gone": func(t *rapid.T) {
				if err := b.JobChanged(uid(t), nil); err != nil {
					t.Fatal(err)
				}
			},
			"slice": func(t *rapid.T) {
				var records []jobs.Task
				for range rapid.IntRange(1, 3).Draw(t, "tasks") {
					records = append(records, task(t))
				}
				if _, err := b.SliceChanged(jobs.SliceKey(uid(t), 0), jobs.EncodeSlice(records, 8192)); err != nil {
					t.Fatal(err)
				}
			},
			"slice gone": func(t *rapid.T) { _, _ = b.SliceChanged(jobs.SliceKey(uid(t), 0), nil) },
			"slice odd":  func(t *rapid.T) { _, _ = b.SliceChanged(jobs.SliceKey(uid(t), 0), []byte(`{"v":9}`)) },
			"machine": func(t *rapid.T) {
				if err := b.HostChanged(host(t), "n0", jobs.Encode(fleet.Host{State: fleet.Up, Build: "g", Site: "a"})); err != nil {
					t.Fatal(err)
				}
			},
			"machine gone": func(t *rapid.T) { _ = b.HostChanged(host(t), "n0", nil) },
			"reserve": func(t *rapid.T) {
				j := b.Jobs[uid(t)]
				if j == nil || j.Rec == nil {
					t.Skip("no such job")
				}
				x := &Task{Task: jobs.Task{State: jobs.Pending}, Piece: jobs.Piece(j.UID, 2), N: 2, Job: j}
				if have := j.Tasks[2]; have != nil {
					x = have
				}
				b.Reserve(x, host(t), "a")
			},
			"unreserve": func(t *rapid.T) { b.Unreserve(jobs.Piece(uid(t), 2)) },
		})
	})
}

// What can't be read is told, and nothing is decided from it.
func TestUnreadable(t *testing.T) {
	b := New(tree, func(string) {})
	if err := b.JobChanged("wk-1", []byte(`{}`)); err == nil || b.Jobs["wk-1"] != nil && b.Jobs["wk-1"].Rec != nil {
		t.Error("a job without a specification was read")
	}
	if _, err := b.SliceChanged("task/odd", nil); err == nil {
		t.Error("a slice with a strange key was read")
	}
	if err := b.HostChanged("i-1", "", []byte(`7`)); err == nil || len(b.Machines) > 0 {
		t.Error("a strange machine was read")
	}
	if err := b.JobChanged("wk-2", record("wk-2", jobs.Live, 0)); err != nil {
		t.Fatal(err)
	}
	if _, err := b.SliceChanged("task/wk-2/0", []byte(`[]`)); err == nil || !b.Jobs["wk-2"].Unreadable || b.Account.Used(tree.Leaf(quota.Key{Team: "t"})) != quota.Of(1.5, 1, 4) {
		t.Errorf("%v %+v", err, b.Jobs["wk-2"])
	}
}

// Zones count what is released, what is on machines in any attempt, and what is
// under way.
func TestZones(t *testing.T) {
	var touched []string
	b := New(tree, func(h string) { touched = append(touched, h) })
	b.Now = time.Unix(1, 0)
	_ = b.JobChanged("wk-1", record("wk-1", jobs.Live, 0))
	_ = b.HostChanged("i-1", "n0", jobs.Encode(fleet.Host{State: fleet.Up, Build: "g", Site: "b"}))
	_, _ = b.SliceChanged("task/wk-1/0", jobs.EncodeSlice([]jobs.Task{{State: jobs.Released, Site: "a"}, {State: jobs.Stopping, Host: "i-1", Site: "a", Try: 1}}, 8192))
	j := b.Jobs["wk-1"]
	b.Reserve(&Task{Task: jobs.Task{State: jobs.Pending}, Piece: "wk-1/2", N: 2, Job: j}, "i-1", "b")
	if got := fmt.Sprint(b.Zones(j)); got != "map[a:1 b:2]" {
		t.Error(got)
	}
	if !slices.Contains(touched, "i-1") {
		t.Error("nobody was told of the machine")
	}
	if ZoneAllowed(&j.Rec.Spec, b.Zones(j), "b") || !ZoneAllowed(&j.Rec.Spec, b.Zones(j), "a") {
		t.Error("at most two of three tasks may be in a zone")
	}
}
