package gangs

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

func placedTask(attempt uint64) *jobs.Task {
	return &jobs.Task{State: jobs.Placed, Machine: "h", Attempt: attempt}
}

func TestPhaseFollowsFromTaskRecords(t *testing.T) {
	for name, c := range map[string]struct {
		tasks []*jobs.Task
		want  Phase
	}{
		"no records":                         {nil, Idle},
		"all pending again":                  {[]*jobs.Task{{State: jobs.Pending, Attempt: 3}}, Idle},
		"released":                           {[]*jobs.Task{{State: jobs.Assigned}, {State: jobs.Assigned}}, Released},
		"whole":                              {[]*jobs.Task{placedTask(2), placedTask(2)}, Whole},
		"one task missing":                   {[]*jobs.Task{placedTask(2)}, Partial},
		"task of an earlier attempt remains": {[]*jobs.Task{placedTask(2), placedTask(1)}, Partial},
		"one task stopping": {
			[]*jobs.Task{placedTask(2), {State: jobs.Stopping, Machine: "h", Attempt: 2}},
			Partial,
		},
		"one task finished": {[]*jobs.Task{placedTask(2), {State: jobs.Finished}}, Complete},
	} {
		t.Run(name, func(t *testing.T) {
			if got := PhaseOf(2, c.tasks); got != c.want {
				t.Errorf("got phase %s, want %s", got, c.want)
			}
		})
	}
}

func TestNextAttemptExceedsAllTasks(t *testing.T) {
	if NextAttempt([]*jobs.Task{placedTask(2), placedTask(7)}) != 8 || NextAttempt(nil) != 1 {
		t.Error("next attempt is not one above the highest attempt")
	}
}
