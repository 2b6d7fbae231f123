package preempt

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// full is a book with two machines of four places that others have filled.
func full(t *testing.T) *book.Book {
	t.Helper()
	b := book.New(quota.Flat(map[string]quota.Team{"a": {Name: "a", Guaranteed: quota.Of(0, 4, 0)}, "b": {Name: "b", Guaranteed: quota.Of(0, 2, 0)}}), func(string) {})
	b.Builds["g4"] = &jobs.Build{Name: "g4", Cores: 32, Accel: 4, MemoryGB: 256, CacheGB: 100}
	at := int64(0)
	enter := func(uid, owner, rank, shape, host, image string, pieces int) {
		at += 10
		b.Now = time.Unix(at, 0)
		spec := jobs.Spec{UID: uid, Class: "c", Owner: owner, Shape: shape, Rank: rank, Pieces: pieces, Cores: 1, Accel: 1, MemoryGB: 1, Bundle: image, PullGB: 1}
		if err := b.JobChanged(uid, jobs.Encode(jobs.Record{State: jobs.Live, AtMs: 1, Spec: spec})); err != nil {
			t.Fatal(err)
		}
		var on []jobs.Task
		for range pieces {
			on = append(on, jobs.Task{State: jobs.Placed, Host: host, Try: 1})
		}
		_, _ = b.SliceChanged(jobs.SliceKey(uid, 0), jobs.EncodeSlice(on, 8192))
	}
	for _, h := range []string{"i-1", "i-2"} {
		if err := b.HostChanged(h, "n0", jobs.Encode(fleet.Host{State: fleet.Up, Build: "g4", Site: "a"})); err != nil {
			t.Fatal(err)
		}
	}
	enter("wk-1", "b", "standard", jobs.Sweep, "i-1", "x", 2)
	enter("wk-2", "b", "idle", jobs.Sweep, "i-1", "y", 1)
	enter("wk-3", "b", "urgent", jobs.Standing, "i-1", "x", 1)
	enter("wk-4", "b", "idle", jobs.Ensemble, "i-2", "x", 2)
	enter("wk-5", "b", "standard", jobs.Sweep, "i-2", "z", 2)
	return b
}

func search(b *book.Book, owner, rank string, accel float64) Search {
	spec := jobs.Spec{UID: "wk-9", Class: "c", Owner: owner, Shape: jobs.Sweep, Rank: rank, Pieces: 1, Cores: 1, Accel: accel, MemoryGB: 1, Bundle: "z"}
	j := &book.Job{UID: "wk-9", Rec: &jobs.Record{Spec: spec}}
	return Search{Task: &book.Task{Job: j}, Rank: spec.RankOrder(), Entitled: b.Account.Entitled(b.Leaf(&spec), spec.Amount(), 1), Account: b.Account,
		Open: func(*book.Machine) bool { return true }, Busy: func(string) bool { return false }, Stopping: map[*book.Task]bool{}}
}

func names(ts []*book.Task) string {
	var out []string
	for _, t := range ts {
		out = append(out, t.Piece)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

func TestVictims(t *testing.T) {
	b := full(t)
	for name, c := range map[string]struct {
		s    Search
		want string
	}{
		"the lower rank yields, where the image is":            {search(b, "b", "prod", 1), "wk-5/1"},
		"a guarantee, where the image is":                      {search(b, "a", "standard", 1), "wk-5/1"},
		"within no guarantee nothing of the same rank":         {func() Search { s := search(b, "b", "standard", 1); s.Entitled = -1; return s }(), "wk-2/0"},
		"idle work beyond its guarantee stops nobody":          {func() Search { s := search(b, "b", "idle", 1); s.Entitled = -1; return s }(), ""},
		"more than a machine can give without gang or service": {search(b, "b", "prod", 4), "wk-1/0 wk-1/1 wk-2/0 wk-3/0"},
	} {
		got := names(Victims(b, c.s))
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
	s := search(b, "a", "standard", 1)
	on := []jobs.Task{{State: jobs.Stopping, Host: "i-1", Try: 1}}
	_, _ = b.SliceChanged(jobs.SliceKey("wk-2", 0), jobs.EncodeSlice(on, 8192))
	if got := names(Victims(b, s)); got != "" {
		t.Errorf("stopped %q for room that is coming", got)
	}
	// What is under a transaction, or stopped by this look, is left alone.
	b = full(t)
	s = search(b, "b", "standard", 1)
	s.Entitled = -1
	s.Busy = func(key string) bool { return key == jobs.SliceKey("wk-2", 0) }
	if got := names(Victims(b, s)); got != "" {
		t.Errorf("stopped %q", got)
	}
	s.OnlyCached = true
	if got := names(Victims(b, s)); got != "" {
		t.Errorf("stopped %q where its image is not", got)
	}
	if fmt.Sprint(b.Audit()) != "[]" {
		t.Error(b.Audit())
	}
}
