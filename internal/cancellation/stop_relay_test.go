package cancellation

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/agent"
)

func TestStopCommandsCoverCancelledTasksThatHaveNotEnded(t *testing.T) {
	got := StopCommands([]agent.TaskStatus{
		{TaskID: "wk-000001/0", Attempt: 3, Status: agent.Running},
		{TaskID: "wk-000001/1", Attempt: 1, Status: agent.Ended},
		{TaskID: "wk-000002/0", Attempt: 1, Status: agent.Running},
		{TaskID: "odd", Status: agent.Running},
	}, func(jobID string) bool { return jobID == "wk-000001" })
	if len(got) != 1 || got[0].TaskID != "wk-000001/0" || got[0].Attempt != 3 || *got[0].GracePeriodS != 0 {
		t.Errorf("stop commands: %+v", got)
	}
}
