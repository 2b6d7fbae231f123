package decide

import (
	"fmt"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
)

// sliced is a book with jobs of three tasks on a machine each, in one slice.
func sliced(t *testing.T, count int) (*book.Book, []*book.Task) {
	t.Helper()
	b := book.New(quota.Flat(nil), func(string) {})
	var out []*book.Task
	for i := range count {
		uid := fmt.Sprintf("wk-%d", i)
		spec := jobs.Spec{UID: uid, Class: "c", Owner: "t", Shape: jobs.Sweep, Rank: "standard", Pieces: 3, Cores: 1, MemoryGB: 1, Bundle: "b"}
		if err := b.JobChanged(uid, jobs.Encode(jobs.Record{State: jobs.Live, Spec: spec})); err != nil {
			t.Fatal(err)
		}
		on := jobs.Task{State: jobs.Placed, Host: "i-1", Try: 1}
		if _, err := b.SliceChanged(jobs.SliceKey(uid, 0), jobs.EncodeSlice([]jobs.Task{on, on, on}, 8192)); err != nil {
			t.Fatal(err)
		}
		for k := range 3 {
			out = append(out, b.Jobs[uid].Tasks[k])
		}
	}
	return b, out
}

func packer(ops int, budget int) *Packer {
	return &Packer{Form: formOf(ops), Busy: func(string) bool { return false }, Allows: func(spent, writes int) bool { return spent+writes <= budget },
		Size: func(string) int { return 100 }, SetAside: func(d *Decision, why string) { panic(d.String() + ": " + why) }}
}

// formOf is the limits of a state service that takes so many changes at once.
func formOf(ops int) Form {
	return Form{Limits: store.Limits{Ops: ops, Conds: 4 * ops, Body: 64 << 10, Value: 8192}, Always: []string{"view", "fence/n0"}, Stamp: func(string) uint64 { return 1 }}
}

func end(t *book.Task) Decision {
	next, _ := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Complete})
	return Decision{Changes: Become(t, next)}
}

// All that is decided about a slice is one write.
func TestOneWriteForASlice(t *testing.T) {
	_, tasks := sliced(t, 4)
	var ds []Decision
	for _, x := range tasks {
		ds = append(ds, end(x))
	}
	batches := packer(16, 100).Pack(ds)
	if len(batches) != 1 || len(batches[0].Txn.Writes) != 4 || len(batches[0].Decisions) != 12 {
		t.Fatalf("%d batches", len(batches))
	}
	w := batches[0].Txn.Writes[0]
	if records, err := jobs.DecodeSlice(w.Value); err != nil || records[0].State != jobs.Finished || records[2].State != jobs.Finished {
		t.Errorf("%s %v", w.Value, err)
	}
	// A task is decided on once; a slice of a job that is over and on no machine goes.
	twice := packer(16, 100).Pack([]Decision{end(tasks[0]), end(tasks[0])})
	if len(twice[0].Decisions) != 1 {
		t.Error("one task was decided on twice")
	}
	tasks[0].Job.Rec.State = jobs.Cancelled
	if w := packer(16, 100).Pack(ds[:3])[0].Txn.Writes; len(w) != 1 || w[0].Remove == "" {
		t.Errorf("%+v", w)
	}
}

// No transaction passes a limit of the state service, whatever is packed.
func TestLimits(t *testing.T) {
	_, tasks := sliced(t, 40)
	var ds []Decision
	for i, x := range tasks {
		d := end(x)
		for k := range i % 5 {
			d.Seen = append(d.Seen, fmt.Sprintf("host/i-%d-%d", i, k))
		}
		ds = append(ds, d)
	}
	ds = append(ds, Decision{Writes: nil}) // decides nothing
	for i := range 30 {
		ds = append(ds, Decision{Writes: []store.Write{Put(fmt.Sprint("host/x", i), strings.Repeat("x", 3000)), Remove(fmt.Sprint("host/y", i))}})
	}
	p := packer(8, 1000)
	taken := 0
	for _, b := range p.Pack(ds) {
		taken += len(b.Decisions)
		if why := p.Limits.Fault(&b.Txn); why != "" {
			t.Error(why)
		}
	}
	if taken < 120 {
		t.Errorf("%d of %d decisions were taken", taken, len(ds))
	}
}

// What the budget does not allow is told so at once, to be decided again; what is
// urgent goes, but ends only as many as about one transaction holds.
func TestBudget(t *testing.T) {
	dropped := 0
	write := func(i int, urgent, ends bool) Decision {
		return Decision{Writes: []store.Write{Put(fmt.Sprint("k/", i), 1)}, Urgent: urgent, Ends: ends, Done: func(ok bool) {
			if !ok {
				dropped++
			}
		}}
	}
	var ds []Decision
	for i := range 20 {
		ds = append(ds, write(i, i >= 15, false))
	}
	p := packer(16, 6)
	if p.Pack(ds); dropped != 9 {
		t.Errorf("%d of 15 were dropped with a budget of 6", dropped)
	}
	dropped = 0
	var ends []Decision
	for i := range 40 {
		ends = append(ends, write(i, true, true))
	}
	p = packer(16, 0)
	p.Ending = 4
	if p.Pack(ends); p.Ending != 16 || dropped != 28 {
		t.Errorf("%d ends under way, %d dropped", p.Ending, dropped)
	}
	dropped = 0
	p = packer(16, 100)
	p.Busy = func(key string) bool { return key == "k/3" }
	if p.Pack([]Decision{write(3, true, false), write(4, false, false), write(4, false, false)}); dropped != 2 {
		t.Errorf("%d dropped: one under a transaction, one written already", dropped)
	}
}
