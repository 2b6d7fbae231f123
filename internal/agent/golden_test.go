package agent

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

// Heartbeats are compared with the golden files byte for byte, and read back from them.
func TestGoldenHeartbeats(t *testing.T) {
	notice, zero := 12.5, 0.0
	full := Heartbeat{
		Machine:           "i-0042",
		Endpoint:          "10.0.0.9:7000",
		MachineType:       "g4",
		Zone:              "north",
		Spot:              true,
		AgentEpoch:        3,
		HeartbeatSeq:      77,
		FencingToken:      5242881,
		PreemptionNoticeS: &notice,
		Tasks: []TaskStatus{
			{TaskID: "wk-000412/0", Attempt: 2, Status: Ended, Cause: CauseError, Checkpointed: true},
			{TaskID: "wk-000412/1", Attempt: 1, Status: Ended, Cause: CauseDone},
			{TaskID: "wk-000412/2", Attempt: 1, Status: Ended, Cause: CauseNoRoom},
			{TaskID: "wk-000412/3", Attempt: 1, Status: Ended, Cause: CauseInUse},
			{TaskID: "wk-000412/4", Attempt: 1, Status: Ended, Cause: CauseNoSuch},
			{TaskID: "wk-000412/5", Attempt: 1, Status: Running},
			{TaskID: "wk-000412/6", Attempt: 1, Status: Pulling},
			{TaskID: "wk-000412/7", Attempt: 1, Status: Waiting},
			{TaskID: "wk-000412/8", Attempt: 1, Status: Saving},
		},
	}
	goldentest.RequireNonZeroFields(t, full)
	for name, want := range map[string]Heartbeat{
		"report-full.json":  full,
		"report-empty.json": {Machine: "i-0042", PreemptionNoticeS: &zero, Tasks: []TaskStatus{}},
		"report-null.json":  {Machine: "i-0042"},
	} {
		goldentest.JSON(t, name, want)
		var got Heartbeat
		if err := json.Unmarshal(goldentest.Read(t, name), &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: read as %+v, want %+v: %v", name, got, want, err)
		}
	}
}

// Commands and the bodies of direct commands are compared with the golden files byte for byte.
func TestGoldenCommands(t *testing.T) {
	grace, zero := 7.5, 0.0
	commands := []Command{
		{Verb: Stop, TaskID: "wk-000412/0", Attempt: 2, GracePeriodS: &grace},
		{Verb: Stop, TaskID: "wk-000412/1", Attempt: 1, GracePeriodS: &zero},
		{Verb: Launch, TaskID: "wk-000412/2", Attempt: 1},
		{Verb: Forget, TaskID: "wk-000412/3", Attempt: 4},
	}
	goldentest.RequireNonZeroFields(t, commands)
	goldentest.JSON(t, "orders.json", commands)
	goldentest.Bytes(t, "commands-full.json", EncodeCommands(5242881, 3, commands))
	goldentest.Bytes(t, "commands-empty.json", EncodeCommands(5242881, 3, []Command{}))
	goldentest.Bytes(t, "commands-null.json", EncodeCommands(5242881, 3, nil))
}
