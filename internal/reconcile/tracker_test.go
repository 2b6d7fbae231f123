package reconcile

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.UnixMilli(1e12)

// newTracker makes a tracker whose workers send a heartbeat every 8 s.
func newTracker() *Tracker { return New(8, slog.New(slog.DiscardHandler)) }

// trackerModel is a tracker, and what it should know of its machines.
type trackerModel struct {
	t        *rapid.T
	tracker  *Tracker
	machines []string
	now      time.Time
	agreed   map[string]bool // machines that were compared and agreed under the newest fencing token
}

// apply applies an event to a machine.
func (m *trackerModel) apply(machine string, event Event) {
	if event == TokenChanged {
		m.tracker.SetView(1, m.machines, nil, m.now)
		clear(m.agreed)
		return
	}
	tracker, before := m.tracker, m.tracker.Phase()
	unregistered := []MachineState{MachineUnregistered, MachineDecommissioned, ""}
	registered := !tracker.Steady() && !slices.Contains(unregistered, tracker.machines[machine])
	tracker.Record(machine, event, m.now)
	m.agreed[machine] = event == RecordsMatch && registered || m.agreed[machine] && event != RecordsDiffer
	tracker.Advance(m.now, 9)
	if before == Reconciling && tracker.Phase() == Hearing || before == Steady && tracker.Phase() != Steady {
		m.t.Fatalf("%s after %s", tracker.Phase(), before)
	}
}

// check checks the tracker against the model; machine is the one that an event was applied to.
func (m *trackerModel) check(machine string) {
	tracker := m.tracker
	if tracker.Steady() {
		if !tracker.AcceptsTasks(machine) || tracker.machines != nil {
			m.t.Fatal("something is held back though steady")
		}
		return
	}
	if tracker.AcceptsTasks(machine) != m.agreed[machine] {
		m.t.Fatalf("%s is open: %v, agreed: %v", machine, tracker.AcceptsTasks(machine), m.agreed[machine])
	}
	var recounted Counts
	for _, state := range tracker.machines {
		*recounted.of(state)++
	}
	if recounted != tracker.counts {
		m.t.Fatalf("%+v, recounted %+v", tracker.counts, recounted)
	}
	if tracker.Permits(ScaleOut) && tracker.counts.Unregistered > 0 && m.now.Sub(start) < tracker.hearWithin {
		m.t.Fatal("scales out before all machines have registered")
	}
}

// Whatever happens to machines in whatever sequence: the counts are those of a recount, phases only advance except at a
// later view, a machine is open only once it was compared and agreed under the newest fencing token, and in the end the
// tracker is steady.
func TestTrackerBecomesSteadyWhateverHappens(t *testing.T) {
	events := []Event{HeartbeatReceived, RecordsMatch, RecordsDiffer, CallUnanswered, TokenChanged}
	rapid.Check(t, func(t *rapid.T) {
		m := &trackerModel{
			t:        t,
			tracker:  newTracker(),
			machines: []string{"i-1", "i-2", "i-3", "i-4"},
			now:      start,
			agreed:   map[string]bool{},
		}
		if m.tracker.Permits(ApplyHeartbeats) || m.tracker.Permits(ScaleOut) {
			t.Fatal("something may be done before the first view")
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
			t.Fatal("never steady")
		}
	})
}

// Another owner's machine takes no task until its owner has reported that it heard its machines under the newest view,
// or had the time to; nothing is scaled out until the queue was offered them. A machine that is removed is waited for
// no longer.
func TestOtherOwnersMachinesAreOpenOnceHeardOrAfterABound(t *testing.T) {
	for name, c := range map[string]struct {
		reported  bool
		openAfter int // seconds
	}{
		"reported":     {true, 2},
		"not reported": {false, 5},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker()
			tracker.SetView(4, []string{"i-1", "i-2"}, []string{"n1", "n2"}, start)
			tracker.OwnerHeard("n2", 5, 9) // it knows the next view already
			tracker.SetView(5, []string{"i-1"}, []string{"n1", "n2"}, start)
			tracker.OwnerHeard("n1", 4, 9) // under the former one
			tracker.OwnerHeard("n2", 5, 9)
			if tracker.MachinesHeardEpoch() != 0 {
				t.Error("reports that it heard its machine")
			}
			tracker.Record("i-1", HeartbeatReceived, start)
			tracker.Record("i-1", RecordsDiffer, start)
			if tracker.MachinesHeardEpoch() != 5 {
				t.Error("does not report that it heard its machine")
			}
			for s := range 6 {
				now := start.Add(time.Duration(s) * time.Second)
				if c.reported && s == c.openAfter {
					tracker.OwnerHeard("n1", 5, 9)
				}
				tracker.Advance(now, 9)
				if tracker.AcceptsTasks("i-9") != (s >= c.openAfter) || tracker.AcceptsTasks("i-1") {
					t.Errorf("after %d s %s, open %v", s, tracker.Phase(), tracker.AcceptsTasks("i-9"))
				}
				if tracker.MayScaleOut(now) != (s >= c.openAfter+2) {
					t.Errorf("after %d s %s, may scale out %v", s, tracker.Phase(), tracker.MayScaleOut(now))
				}
			}
			tracker.Remove("i-1")
			tracker.Advance(start.Add(6*time.Second), 9)
			if !tracker.Steady() {
				t.Error("waits for a machine that was removed")
			}
		})
	}
}

// Which machines another member does not hear must be known here before its report counts.
func TestOwnersReportCountsOnceItsUnresponsiveMachinesAreKnown(t *testing.T) {
	tracker := newTracker()
	tracker.SetView(5, []string{"i-1"}, []string{"n1"}, start)
	tracker.Record("i-1", HeartbeatReceived, start)
	tracker.Record("i-1", RecordsMatch, start)
	tracker.OwnerHeard("n1", 5, 20)
	if tracker.Advance(start, 19); tracker.AcceptsTasks("i-9") {
		t.Error("open before its owner's list is known")
	}
	if tracker.Advance(start, 20); !tracker.AcceptsTasks("i-9") {
		t.Error("not open")
	}
}
