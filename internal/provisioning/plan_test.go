package provisioning

import (
	"fmt"
	"testing"

	"github.com/harrierreel/harrierreel/internal/fleet"
)

// 4,000 machines that are not needed drain at the same time and are then deleted.
func TestDrain4000Machines(t *testing.T) {
	l := newLeader(t)
	for i := range 4000 {
		l.addRunning(fmt.Sprintf("i-%06d", i), "a")
	}
	drainingAtOnce := 0
	for range 40 {
		l.run(1)
		drainingAtOnce = max(drainingAtOnce, len(l.Summary.Draining))
	}
	if drainingAtOnce != 4000 {
		t.Errorf("at most %d machines drained at the same time, want 4000", drainingAtOnce)
	}
	deleting := 0
	for _, machine := range l.state.Machines {
		if machine.State == fleet.Deleting {
			deleting++
		}
	}
	if deleting != 4000 || len(l.Summary.Draining) != 0 {
		t.Errorf("%d machines are being deleted, want 4000; %d still drain", deleting, len(l.Summary.Draining))
	}
}
