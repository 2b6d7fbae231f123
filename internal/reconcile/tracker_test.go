package reconcile

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.UnixMilli(1e12)

// newTracker returns a tracker whose workers send a heartbeat every 8 s.
func newTracker() *Tracker { return New(8, slog.New(slog.DiscardHandler)) }

// trackerModel is a tracker together with the expected state of its machines.
type trackerModel struct {
	t        *rapid.T
	tracker  *Tracker
	machines []string
	now      time.Time
	agrees   map[string]bool // machines whose records and heartbeats agree under the newest fencing token
}

// apply applies an event to a machine.
func (m *trackerModel) apply(machine string, event Event) {
	if event == TokenChanged {
		m.tracker.SetView(1, m.machines, nil, m.now)
		clear(m.agrees)
		return
	}
	tracker, before := m.tracker, m.tracker.Phase()
	unregistered := []MachineState{MachineUnregistered, MachineDecommissioned, ""}
	registered := !tracker.Steady() && !slices.Contains(unregistered, tracker.machines[machine])
	tracker.ApplyEvent(machine, event, m.now)
	m.agrees[machine] = event == RecordsMatch && registered || m.agrees[machine] && event != RecordsDiffer
	tracker.Advance(m.now, 9)
	if before == Reconciling && tracker.Phase() == Hearing || before == Steady && tracker.Phase() != Steady {
		m.t.Fatalf("phase %s after %s", tracker.Phase(), before)
	}
}

// check compares the tracker with the model after an event was applied to machine.
func (m *trackerModel) check(machine string) {
	tracker := m.tracker
	if tracker.Steady() {
		if !tracker.AcceptsTasks(machine) || tracker.machines != nil {
			m.t.Fatal("a steady tracker restricts tasks or still holds machines")
		}
		return
	}
	if tracker.AcceptsTasks(machine) != m.agrees[machine] {
		m.t.Fatalf("%s accepts tasks: %v, agrees: %v", machine, tracker.AcceptsTasks(machine), m.agrees[machine])
	}
	var recounted Counts
	for _, state := range tracker.machines {
		*recounted.of(state)++
	}
	if recounted != tracker.counts {
		m.t.Fatalf("counts %+v, recounted %+v", tracker.counts, recounted)
	}
	if tracker.Permits(ScaleOut) && tracker.counts.Unregistered > 0 && m.now.Sub(start) < tracker.heartbeatsWithin {
		m.t.Fatal("scale-out is permitted before all machines have registered")
	}
}

// For any sequence of machine events: the counts match a recount, phases go back only at a later
// view, a machine accepts tasks only while its records and heartbeats agree under the newest
// fencing token, and the tracker becomes steady in the end.
func TestTrackerBecomesSteadyAfterAnyEvents(t *testing.T) {
	events := []Event{HeartbeatReceived, RecordsMatch, RecordsDiffer, CallUnanswered, TokenChanged}
	rapid.Check(t, func(t *rapid.T) {
		m := &trackerModel{
			t:        t,
			tracker:  newTracker(),
			machines: []string{"i-1", "i-2", "i-3", "i-4"},
			now:      start,
			agrees:   map[string]bool{},
		}
		if m.tracker.Permits(ApplyHeartbeats) || m.tracker.Permits(ScaleOut) {
			t.Fatal("something is permitted before the first view")
		}
		m.tracker.SetView(1, m.machines, nil, m.now)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			machine := rapid.SampledFrom(m.machines).Draw(t, "machine")
			m.apply(machine, rapid.SampledFrom(events).Draw(t, "event"))
			m.check(machine)
		}
		m.tracker.Advance(m.now.Add(2*m.tracker.finishWithin), 9)
		if !m.tracker.Steady() {
			t.Fatal("the tracker does not become steady")
		}
	})
}

// A machine of another owner accepts no tasks until the owner has reported, under the newest view,
// that it has heard from its machines, or had enough time to do so. Scaling out is delayed until
// the queue had time to use those machines. A machine that was removed is no longer awaited.
func TestOtherOwnersMachinesAcceptTasksAfterReportOrTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		reported     bool
		acceptsAfter int // seconds
	}{
		"reported":     {true, 2},
		"not reported": {false, 5},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker()
			tracker.SetView(4, []string{"i-1", "i-2"}, []string{"n1", "n2"}, start)
			tracker.OwnerHeard("n2", 5, 9) // n2 already knows the next view
			tracker.SetView(5, []string{"i-1"}, []string{"n1", "n2"}, start)
			tracker.OwnerHeard("n1", 4, 9) // a report under the previous view
			tracker.OwnerHeard("n2", 5, 9)
			if tracker.MachinesHeardEpoch() != 0 {
				t.Error("the machine counts as heard from before its heartbeat")
			}
			tracker.ApplyEvent("i-1", HeartbeatReceived, start)
			tracker.ApplyEvent("i-1", RecordsDiffer, start)
			if tracker.MachinesHeardEpoch() != 5 {
				t.Error("the machine does not count as heard from after its heartbeat")
			}
			for s := range 6 {
				now := start.Add(time.Duration(s) * time.Second)
				if c.reported && s == c.acceptsAfter {
					tracker.OwnerHeard("n1", 5, 9)
				}
				tracker.Advance(now, 9)
				if tracker.AcceptsTasks("i-9") != (s >= c.acceptsAfter) || tracker.AcceptsTasks("i-1") {
					t.Errorf("after %d s, %s: accepts tasks %v", s, tracker.Phase(), tracker.AcceptsTasks("i-9"))
				}
				if tracker.MayScaleOut(now) != (s >= c.acceptsAfter+2) {
					t.Errorf("after %d s, %s: may scale out %v", s, tracker.Phase(), tracker.MayScaleOut(now))
				}
			}
			tracker.Remove("i-1")
			tracker.Advance(start.Add(6*time.Second), 9)
			if !tracker.Steady() {
				t.Error("still waiting for a machine that was removed")
			}
		})
	}
}

// The report of another owner counts only once the list of machines that it has not heard from is
// known here.
func TestOwnersReportCountsOnceItsListIsKnown(t *testing.T) {
	tracker := newTracker()
	tracker.SetView(5, []string{"i-1"}, []string{"n1"}, start)
	tracker.ApplyEvent("i-1", HeartbeatReceived, start)
	tracker.ApplyEvent("i-1", RecordsMatch, start)
	tracker.OwnerHeard("n1", 5, 20)
	if tracker.Advance(start, 19); tracker.AcceptsTasks("i-9") {
		t.Error("the machine accepts tasks before its owner's list is known")
	}
	if tracker.Advance(start, 20); !tracker.AcceptsTasks("i-9") {
		t.Error("the machine accepts no tasks after its owner's list is known")
	}
}
