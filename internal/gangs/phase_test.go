package gangs

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

func onMachine(attempt uint64) *jobs.Task {
	return &jobs.Task{State: jobs.Placed, Machine: "h", Attempt: attempt}
}

func TestPhaseFollowsFromTaskRecords(t *testing.T) {
	for name, c := range map[string]struct {
		tasks []*jobs.Task
		want  Phase
	}{
		"no records":          {nil, Resting},
		"all waiting again":   {[]*jobs.Task{{State: jobs.Pending, Attempt: 3}}, Resting},
		"released":            {[]*jobs.Task{{State: jobs.Assigned}, {State: jobs.Assigned}}, Released},
		"whole":               {[]*jobs.Task{onMachine(2), onMachine(2)}, Whole},
		"one missing":         {[]*jobs.Task{onMachine(2)}, Broken},
		"old attempt remains": {[]*jobs.Task{onMachine(2), onMachine(1)}, Broken},
		"being stopped": {
			[]*jobs.Task{onMachine(2), {State: jobs.Stopping, Machine: "h", Attempt: 2}},
			Broken,
		},
		"one done": {[]*jobs.Task{onMachine(2), {State: jobs.Finished}}, Complete},
	} {
		t.Run(name, func(t *testing.T) {
			if got := PhaseOf(2, c.tasks); got != c.want {
				t.Errorf("%s, not %s", got, c.want)
			}
		})
	}
}

func TestNextAttemptIsAboveAllTasks(t *testing.T) {
	if NextAttempt([]*jobs.Task{onMachine(2), onMachine(7)}) != 8 || NextAttempt(nil) != 1 {
		t.Error("the next attempt is not above all")
	}
}
