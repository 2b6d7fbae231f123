package gangs

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

func TestPhaseOf(t *testing.T) {
	on := func(try uint64) *jobs.Task { return &jobs.Task{State: jobs.Placed, Host: "h", Try: try} }
	for name, c := range map[string]struct {
		tasks []*jobs.Task
		want  Phase
	}{
		"no records":          {nil, Resting},
		"all waiting again":   {[]*jobs.Task{{State: jobs.Pending, Try: 3}}, Resting},
		"offered":             {[]*jobs.Task{{State: jobs.Released}, {State: jobs.Released}}, Offered},
		"whole":               {[]*jobs.Task{on(2), on(2)}, Whole},
		"one missing":         {[]*jobs.Task{on(2)}, Broken},
		"old attempt remains": {[]*jobs.Task{on(2), on(1)}, Broken},
		"being stopped":       {[]*jobs.Task{on(2), {State: jobs.Stopping, Host: "h", Try: 2}}, Broken},
		"one done":            {[]*jobs.Task{on(2), {State: jobs.Finished}}, Complete},
	} {
		if got := PhaseOf(2, c.tasks); got != c.want {
			t.Errorf("%s: %s", name, got)
		}
	}
	if NextTry([]*jobs.Task{on(2), on(7)}) != 8 || NextTry(nil) != 1 {
		t.Error("the next try is above all")
	}
}
