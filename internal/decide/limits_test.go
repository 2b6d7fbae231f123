package decide

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// TestAnyDecisionsKeepAnyLimits draws limits, records and decisions: every transaction is within all
// limits as it is sent, no record is written by two, and every decision is in one
// transaction or told that it was not taken, once. Before what is sent was counted, a
// new pack's own condition was not: transactions of 65 conditions were refused, and
// made again alike (docs/incidents/refused-transactions.md).
func TestAnyDecisionsKeepAnyLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplica()
		limits := store.Limits{Ops: rapid.IntRange(1, 24).Draw(t, "ops"), ValueBytes: rapid.SampledFrom([]int{300, 1000, 8192}).Draw(t, "value")}
		limits.Preconditions, limits.BodyBytes = 4*limits.Ops, rapid.SampledFrom([]int{1500, 9000, 64 << 10}).Draw(t, "body")
		machine := rapid.SampledFrom([]string{"i-1", "i-2", "i-3", "i-4"})
		var on []jobs.Task
		draw := func(count int) []jobs.Task {
			on = nil
			for range count {
				on = append(on, jobs.Task{State: jobs.Placed, Machine: machine.Draw(t, "host"), Zone: "a", Attempt: 1})
			}
			return on
		}
		for i := range 6 {
			_ = r.state.ApplyJob(fmt.Sprint("wk-", i), jobs.Encode(liveJob(fmt.Sprint("wk-", i))))
		}
		for i := range 3 { // jobs in slices, then jobs in packs
			for from := range rapid.IntRange(1, 5).Draw(t, "slices") {
				_, _ = r.state.ApplyTaskRange(jobs.TaskRangeKey(fmt.Sprint("wk-", i), 4*from), jobs.EncodeTaskRange(draw(4), limits.ValueBytes))
			}
		}
		for k := range rapid.IntRange(0, 12).Draw(t, "packs") {
			var entries []taskbatch.Entry
			for n, x := range draw(rapid.IntRange(1, 8).Draw(t, "tasks")) {
				entries = append(entries, taskbatch.Entry{JobID: fmt.Sprint("wk-", 3+k%3), Index: 10*k + n, Task: x})
			}
			_, _ = r.state.ApplyBatch(fmt.Sprint("pack/", k), taskbatch.Encode(entries), 1)
		}
		keys := 0
		batcher := testBatcher(limits.Ops, rapid.IntRange(0, 60).Draw(t, "budget"))
		batcher.Context.Limits = limits
		batcher.Context.Machines = ownerFunc(func(machine string) bool { return machine != "i-4" })
		batcher.Context.BatchKeys = batchKeyFunc(func() string {
			keys++
			return fmt.Sprint("pack/new-", keys)
		})
		quarantined := 0
		batcher.Quarantine = quarantineFunc(func(*Decision, string) { quarantined++ })

		drops := map[int]int{} // decision to how often it was dropped
		var decisions []Decision
		add := func(d Decision) {
			i := len(decisions)
			d.OnSettled = func(ok bool) {
				if ok {
					t.Fatal("nothing was committed")
				}
				drops[i]++
			}
			for range rapid.IntRange(0, 6).Draw(t, "seen") {
				d.ReadSet = append(d.ReadSet, fmt.Sprint("host/seen-", rapid.IntRange(0, 300).Draw(t, "which")))
			}
			d.Urgent = rapid.Bool().Draw(t, "urgent")
			decisions = append(decisions, d)
		}
		for range rapid.IntRange(0, 60).Draw(t, "decisions") {
			j := r.state.Jobs[fmt.Sprint("wk-", rapid.IntRange(0, 5).Draw(t, "job"))]
			n := rapid.IntRange(0, 119).Draw(t, "n")
			x := j.Tasks[n]
			switch {
			case rapid.IntRange(0, 7).Draw(t, "kind") == 0:
				add(Decision{Writes: []store.Write{Put(fmt.Sprint("host/w-", len(decisions)), strings.Repeat("x", rapid.IntRange(1, limits.ValueBytes).Draw(t, "bytes")))}})
			case x == nil:
				task := jobs.Task{State: jobs.Placed, Machine: "i-1", Attempt: 1, Reason: strings.Repeat("w", rapid.IntRange(0, 200).Draw(t, "why"))}
				add(Decision{BatchEntries: []BatchEntry{{rapid.SampledFrom([]string{"n0", "n1"}).Draw(t, "part"), taskbatch.Entry{JobID: j.ID, Index: n, Task: task}}}})
			case x.OnMachine():
				next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: rapid.SampledFrom([]jobs.TaskEventKind{jobs.Complete, jobs.Lost, jobs.Fail}).Draw(t, "end")})
				add(Decision{Changes: TransitionTask(x, next)})
			}
		}
		taken := 0
		written := map[string]bool{}
		check := func(bs []*Transaction) {
			for _, b := range bs {
				if why := limits.Fault(&b.Txn); why != "" {
					t.Fatal(why)
				}
				taken += len(b.Decisions)
				for _, w := range b.Txn.Writes {
					if written[WriteKey(w)] {
						t.Fatalf("%s is written twice", WriteKey(w))
					}
					written[WriteKey(w)] = true
				}
			}
		}
		batches := batcher.Build(decisions)
		check(batches)
		dropped := func() int {
			for i, times := range drops {
				if times != 1 {
					t.Fatalf("decision %d was dropped %d times", i, times)
				}
			}
			return len(drops)
		}
		if taken+dropped() != len(decisions) {
			t.Fatalf("%d decisions: %d taken, %d dropped", len(decisions), taken, dropped())
		}
		// What is refused all the same is halved, down to single decisions.
		for len(batches) > 0 {
			b := batches[0]
			batches = batches[1:]
			taken -= len(b.Decisions)
			for _, w := range b.Txn.Writes {
				delete(written, WriteKey(w))
			}
			if len(b.Decisions) == 1 {
				b.Decisions[0].Drop()
			} else {
				halves := batcher.Split(b)
				check(halves)
				batches = append(batches, halves...)
			}
			if taken+dropped() != len(decisions) {
				t.Fatalf("%d decisions: %d taken, %d dropped", len(decisions), taken, dropped())
			}
		}
	})
}

// A decision that no transaction holds is set aside by itself, and what was with it goes.
func TestOversizedDecisionIsQuarantinedAlone(t *testing.T) {
	batcher := testBatcher(4, 100)
	var why []string
	batcher.Quarantine = quarantineFunc(func(decision *Decision, exceeded string) {
		why = append(why, decision.String()+": "+exceeded)
	})
	large := Decision{Writes: []store.Write{Put("host/large", strings.Repeat("x", 9000))}}
	many := Decision{}
	for i := range 40 {
		many.ReadSet = append(many.ReadSet, fmt.Sprint("host/", i))
	}
	many.Writes = []store.Write{Remove("host/many")}
	batches := batcher.Build([]Decision{{Writes: []store.Write{Put("host/1", 1)}}, large, many, {Writes: []store.Write{Put("host/2", 2)}}, {Writes: []store.Write{Put("host/two words", 2)}}})
	taken := 0
	for _, b := range batches {
		taken += len(b.Decisions)
	}
	if taken != 2 || len(why) != 3 || !strings.Contains(fmt.Sprint(why), "host/many: 43 conditions of 16") {
		t.Errorf("%d taken, %q", taken, why)
	}
}

// What is set aside is not made again before its pause is over, which doubles.
func TestQuarantinePauseDoubles(t *testing.T) {
	_, tasks := stateWithTaskRanges(t, 2)
	d, other := complete(tasks[0]), complete(tasks[1])
	now := time.Unix(0, 0)
	var a Quarantine
	if a.Contains(&d, now) || !a.Add(&d, now) || !a.Contains(&d, now) || a.Contains(&other, now) {
		t.Error("not just this one is set aside")
	}
	for want := tuning.QuarantineFirst; want < tuning.MaxQuarantine; want *= 2 {
		if !a.Contains(&d, now.Add(want-1)) || a.Contains(&d, now.Add(want)) {
			t.Fatalf("not set aside for %v", want)
		}
		now = now.Add(want)
		if a.Add(&d, now) {
			t.Error("drops as news twice")
		}
	}
	for i := range 2 * tuning.MaxQuarantined {
		a.Add(&Decision{Writes: []store.Write{Remove(fmt.Sprint("host/", i))}}, now)
	}
	if len(a.entries) > tuning.MaxQuarantined {
		t.Errorf("%d are kept", len(a.entries))
	}
}

// A fault that concerns each of 4,000 machines keeps none of them from being set aside.
func TestQuarantineHolds4000Machines(t *testing.T) {
	now := time.Unix(0, 0)
	about := func(i int) *Decision {
		return &Decision{Writes: []store.Write{Put(fmt.Sprintf("host/i-%06d", i), i)}}
	}
	var a Quarantine
	for i := range 4000 {
		a.Add(about(i), now)
	}
	for i := range 4000 {
		if !a.Contains(about(i), now.Add(tuning.QuarantineFirst/2)) {
			t.Fatalf("the decision about machine %d is made again", i)
		}
	}
}
