package fleet

import "testing"

func TestNextMachineState(t *testing.T) {
	for _, c := range []struct {
		state   State
		event   Event
		want    State
		changed bool
	}{
		{Up, HeartbeatsMissed, LegacyUnresponsive, true},
		{LegacyUnresponsive, HeartbeatReceived, Up, true},
		{Deleting, HeartbeatReceived, Deleting, false},
		{Deleted, Decommission, Deleted, false},
		{Up, DeleteConfirmed, Up, false},
		{Deleting, DeleteConfirmed, Deleted, true},
		{Faulty, HeartbeatReceived, Faulty, false},
		{Warned, Unhealthy, Faulty, true},
		{Faulty, Decommission, Deleting, true},
	} {
		if got, changed := NextState(c.state, c.event); got != c.want || changed != c.changed {
			t.Errorf("%s on %s: %s, changed %v; want %s, %v", c.state, c.event, got, changed, c.want, c.changed)
		}
	}
	if _, err := DecodeMachineRecord([]byte(`{"s":"odd"}`)); err == nil {
		t.Error("a record with an unknown state was accepted")
	}
}

// Checks every event in every state against the state that follows.
func TestNextMachineStateExhaustively(t *testing.T) {
	states := []State{"", Up, LegacyUnresponsive, Warned, Faulty, Deleting, Deleted}
	for event, targets := range map[Event][]State{
		// In the order of states above.
		HeartbeatReceived: {Up, Up, Up, Warned, Faulty, Deleting, Deleted},
		HeartbeatsMissed:  {"", LegacyUnresponsive, LegacyUnresponsive, LegacyUnresponsive, Faulty, Deleting, Deleted},
		PreemptionNotice:  {"", Warned, Warned, Warned, Faulty, Deleting, Deleted},
		Unhealthy:         {"", Faulty, Faulty, Faulty, Faulty, Deleting, Deleted},
		Decommission:      {Deleting, Deleting, Deleting, Deleting, Deleting, Deleting, Deleted},
		DeleteConfirmed:   {"", Up, LegacyUnresponsive, Warned, Faulty, Deleted, Deleted},
		"unknown":         states,
	} {
		for i, state := range states {
			got, changed := NextState(state, event)
			if got != targets[i] || changed != (state != targets[i]) {
				t.Errorf("%q on %s: %q, changed %v; want %q", state, event, got, changed, targets[i])
			}
		}
	}
}
