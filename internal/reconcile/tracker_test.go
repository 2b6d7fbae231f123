package reconcile

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

var start = time.UnixMilli(1e12)

// Whatever happens to machines in whatever order, the counts are those of a recount,
// phases only go on but for a later view, a machine is open only once it was compared and
// agreed under the newest baton, and in the end all is steady.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New(8, slog.New(slog.DiscardHandler))
		machines := []string{"i-1", "i-2", "i-3", "i-4"}
		now, agreed := start, map[string]bool{}
		if tr.Permits(Settle) || tr.Permits(Rent) {
			t.Fatal("something may be done before the first view")
		}
		tr.View(1, machines, nil, now)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			h := rapid.SampledFrom(machines).Draw(t, "host")
			before := tr.Phase()
			switch e := rapid.SampledFrom([]Event{Shows, Agrees, Departs, Silent, PlaceAgain}).Draw(t, "event"); e {
			case PlaceAgain:
				tr.View(1, machines, nil, now)
				clear(agreed)
			default:
				heard := !tr.Steady() && !slices.Contains([]Machine{MachineUnheard, MachineDecommissioned, ""}, tr.machines[h])
				tr.Record(h, e, now)
				agreed[h] = e == Agrees && heard || agreed[h] && e != Departs
				tr.Settle(now, 9)
				if before == Reconciling && tr.Phase() == Hearing || before == Steady && tr.Phase() != Steady {
					t.Fatalf("%s after %s", tr.Phase(), before)
				}
			}
			if tr.Steady() {
				if !tr.Open(h) || tr.machines != nil {
					t.Fatal("steady holds something back")
				}
				continue
			}
			if tr.Open(h) != agreed[h] {
				t.Fatalf("%s is open: %v, agreed: %v", h, tr.Open(h), agreed[h])
			}
			var again Counts
			for _, m := range tr.machines {
				*again.of(m)++
			}
			if again != tr.counts {
				t.Fatalf("%+v, recounted %+v", tr.counts, again)
			}
			if tr.Permits(Rent) && tr.counts.Unregistered > 0 && now.Sub(start) < tr.within {
				t.Fatal("rents before all are heard")
			}
		}
		tr.Settle(now.Add(2*tr.limit), 9)
		if !tr.Steady() {
			t.Fatal("never steady")
		}
	})
}

// Another's machine takes nothing until its owner has told that it heard its machines
// under the newest view, or had the time to; nothing is rented until the queue was offered
// them. A machine that goes is waited for no longer.
func TestOthers(t *testing.T) {
	for _, told := range []bool{false, true} {
		tr := New(8, slog.New(slog.DiscardHandler))
		tr.View(4, []string{"i-1", "i-2"}, []string{"n1", "n2"}, start)
		tr.OtherHeard("n2", 5, 9) // it knows the next view already
		tr.View(5, []string{"i-1"}, []string{"n1", "n2"}, start)
		tr.OtherHeard("n1", 4, 9) // under the former one
		tr.OtherHeard("n2", 5, 9)
		if tr.Heard() != 0 {
			t.Error("tells that it heard its machine")
		}
		tr.Record("i-1", Shows, start)
		tr.Record("i-1", Departs, start)
		if tr.Heard() != 5 {
			t.Error("does not tell that it heard its machine")
		}
		open := 5
		if told {
			open = 2
		}
		for s := range 6 {
			now := start.Add(time.Duration(s) * time.Second)
			if told && s == open {
				tr.OtherHeard("n1", 5, 9)
			}
			tr.Settle(now, 9)
			if is := s >= open; tr.Open("i-9") != is || tr.Open("i-1") || tr.MayRent(now) != (s >= open+2) {
				t.Errorf("told %v, after %d s %s, open %v, rents %v", told, s, tr.Phase(), tr.Open("i-9"), tr.MayRent(now))
			}
		}
		tr.Lost("i-1")
		tr.Settle(start.Add(6*time.Second), 9)
		if !tr.Steady() {
			t.Error("waits for a machine that is gone")
		}
	}
}

// What another member does not hear must be known here before its word counts.
func TestOthersKnown(t *testing.T) {
	tr := New(8, slog.New(slog.DiscardHandler))
	tr.View(5, []string{"i-1"}, []string{"n1"}, start)
	tr.Record("i-1", Shows, start)
	tr.Record("i-1", Agrees, start)
	tr.OtherHeard("n1", 5, 20)
	if tr.Settle(start, 19); tr.Open("i-9") {
		t.Error("open before its owner's list is known")
	}
	if tr.Settle(start, 20); !tr.Open("i-9") {
		t.Error("not open")
	}
}

// Every difference has one answer.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		r    Recorded
		want string
	}{
		{Recorded{Verdict: agent.Unclear, Over: true}, fmt.Sprint(Unclear, Wait)},
		{Recorded{Verdict: agent.Sent}, fmt.Sprint(UnderWay, Wait)},
		{Recorded{Verdict: agent.ToLaunch}, fmt.Sprint(Unsent, Launch)},
		{Recorded{Verdict: agent.ToLaunch, Over: true}, fmt.Sprint(OverHere, Free)},
		{Recorded{Verdict: agent.ToLaunch, Stopping: true}, fmt.Sprint(OverHere, Free)},
		{Recorded{Verdict: agent.ToLaunch, Leaving: true}, fmt.Sprint(NoMachine, Free)},
		{Recorded{Verdict: agent.OnIt}, fmt.Sprint(Alike, Keep)},
		{Recorded{Verdict: agent.OnIt, Leaving: true}, fmt.Sprint(Alike, Keep)},
		{Recorded{Verdict: agent.OnIt, Over: true}, fmt.Sprint(OverHere, Stop)},
		{Recorded{Verdict: agent.OnIt, Stopping: true}, fmt.Sprint(OverHere, Stop)},
		{Recorded{Verdict: agent.OnIt, Save: true}, fmt.Sprint(NoticeRuns, Stop)},
		{Recorded{Verdict: agent.Over, Over: true}, fmt.Sprint(EndedHere, End)},
		{Recorded{Verdict: agent.Missing, Over: true}, fmt.Sprint(Vanished, Free)},
	} {
		if d, a := OfRecorded(c.r); fmt.Sprint(d, a) != c.want {
			t.Errorf("%+v: %s, %s", c.r, d, a)
		}
	}
	for _, c := range []struct {
		status            string
		recorded, writing bool
		want              Answer
	}{
		{agent.Running, true, false, Keep},
		{agent.Ended, true, false, Keep},
		{agent.Running, false, true, Wait},
		{agent.Ended, false, true, Wait},
		{agent.Running, false, false, Stop},
		{agent.Ended, false, false, Forget},
	} {
		if _, a := OfReported(c.status, c.recorded, c.writing); a != c.want {
			t.Errorf("%+v: %s", c, a)
		}
	}
}

// What a rule hangs on goes first, then what ends, serving, gangs and the rest.
func TestTurns(t *testing.T) {
	spec := func(shape string, pieces int) *jobs.Spec { return &jobs.Spec{Kind: shape, TaskCount: pieces} }
	got := []Order{
		OrderOf(spec(jobs.JobArray, 1), true, true), OrderOf(spec(jobs.Service, 1), false, false), OrderOf(spec(jobs.Service, 3), false, true),
		OrderOf(spec(jobs.Gang, 2), false, true), OrderOf(spec(jobs.JobArray, 9), false, true),
	}
	if !slices.Equal(got, []Order{Cancelled, Ends, Serving, Gangs, Rest}) {
		t.Error(got)
	}
}
