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
		{Recorded{Verdict: agent.Unclear, Over: true}, Unclear, Wait},
		{Recorded{Verdict: agent.Sent}, UnderWay, Wait},
		{Recorded{Verdict: agent.ToLaunch}, Unsent, Launch},
		{Recorded{Verdict: agent.ToLaunch, Over: true}, JobOver, Free},
		{Recorded{Verdict: agent.ToLaunch, Stopping: true}, JobOver, Free},
		{Recorded{Verdict: agent.ToLaunch, Leaving: true}, MachineLeaving, Free},
		{Recorded{Verdict: agent.OnMachine}, Alike, Continue},
		{Recorded{Verdict: agent.OnMachine, Leaving: true}, Alike, Continue},
		{Recorded{Verdict: agent.OnMachine, Over: true}, JobOver, Stop},
		{Recorded{Verdict: agent.OnMachine, Stopping: true}, JobOver, Stop},
		{Recorded{Verdict: agent.OnMachine, Checkpoint: true}, RunsReclaimed, Stop},
		{Recorded{Verdict: agent.EndReported, Over: true}, EndReported, End},
		{Recorded{Verdict: agent.Missing, Over: true}, Vanished, Free},
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
