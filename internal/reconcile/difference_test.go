package reconcile

import (
	"fmt"
	"testing"

	"github.com/harrierreel/harrierreel/internal/agent"
)

func TestEachDifferenceOfARecordedAttemptHasOneAction(t *testing.T) {
	for _, c := range []struct {
		recorded   Recorded
		difference Difference
		action     Action
	}{
		{Recorded{AttemptState: agent.Unclear, JobOver: true}, Unclear, Wait},
		{Recorded{AttemptState: agent.Sent}, UnderWay, Wait},
		{Recorded{AttemptState: agent.ToLaunch}, Unsent, Launch},
		{Recorded{AttemptState: agent.ToLaunch, JobOver: true}, JobOver, Free},
		{Recorded{AttemptState: agent.ToLaunch, Stopping: true}, JobOver, Free},
		{Recorded{AttemptState: agent.ToLaunch, Leaving: true}, MachineLeaving, Free},
		{Recorded{AttemptState: agent.OnMachine}, Alike, Continue},
		{Recorded{AttemptState: agent.OnMachine, Leaving: true}, Alike, Continue},
		{Recorded{AttemptState: agent.OnMachine, JobOver: true}, JobOver, Stop},
		{Recorded{AttemptState: agent.OnMachine, Stopping: true}, JobOver, Stop},
		{Recorded{AttemptState: agent.OnMachine, Checkpoint: true}, RunsReclaimed, Stop},
		{Recorded{AttemptState: agent.EndReported, JobOver: true}, EndReported, End},
		{Recorded{AttemptState: agent.Missing, JobOver: true}, Vanished, Free},
	} {
		t.Run(fmt.Sprintf("%+v", c.recorded), func(t *testing.T) {
			if difference, action := OfRecorded(c.recorded); difference != c.difference || action != c.action {
				t.Errorf("difference %q, action %s", difference, action)
			}
		})
	}
}

func TestEachReportedAttemptHasOneAction(t *testing.T) {
	for _, c := range []struct {
		status            string
		recorded, writing bool
		want              Action
	}{
		{agent.Running, true, false, Continue},
		{agent.Ended, true, false, Continue},
		{agent.Running, false, true, Wait},
		{agent.Ended, false, true, Wait},
		{agent.Running, false, false, Stop},
		{agent.Ended, false, false, Forget},
	} {
		t.Run(fmt.Sprintf("%s, recorded %v, writing %v", c.status, c.recorded, c.writing), func(t *testing.T) {
			if _, action := OfReported(c.status, c.recorded, c.writing); action != c.want {
				t.Error(action)
			}
		})
	}
}
