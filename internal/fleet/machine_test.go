package fleet

import (
	"testing"
)

func TestNext(t *testing.T) {
	for _, c := range []struct {
		s    State
		e    Event
		want State
		ok   bool
	}{
		{Up, Unregistered, Lost, true},
		{Lost, Heard, Up, true},
		{Deleting, Heard, Deleting, false},
		{Deleted, Decommission, Deleted, false},
		{Up, Removed, Up, false},
		{Deleting, Removed, Deleted, true},
		{Faulty, Heard, Faulty, false},
		{Warned, Unhealthy, Faulty, true},
		{Faulty, Decommission, Deleting, true},
	} {
		if got, ok := Next(c.s, c.e); got != c.want || ok != c.ok {
			t.Errorf("%s on %s: %s %v", c.s, c.e, got, ok)
		}
	}
	if _, err := Decode([]byte(`{"s":"odd"}`)); err == nil {
		t.Error("an odd state must be refused")
	}
}
