package cancellation

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
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

// relayNetwork implements the dependencies of a controller that owns no machine, and records the
// endpoints that it calls.
type relayNetwork struct{ called []string }

func (n *relayNetwork) SendToPeer(string, Message) {}
func (n *relayNetwork) OwnerOf(string) string      { return "n1" }
func (n *relayNetwork) ReviewMachine(string)       {}
func (n *relayNetwork) Unavailable() bool          { return false }

func (n *relayNetwork) CallAgent(endpoint, _, _ string, _ []byte, _ time.Duration, _ func(int, []byte, error)) {
	n.called = append(n.called, endpoint)
}

// The machines of a cancelled job must be called in the order of its tasks, so that two runs of the
// same scenario send the same messages.
func TestStopRelayCallsMachinesInTheOrderOfTasks(t *testing.T) {
	const tasks = tuning.MaxStopRelayCalls
	network := &relayNetwork{}
	state := clusterstate.New(quota.Flat(nil), func(string) {})
	state.Now = start
	job := &clusterstate.Job{ID: "wk-000001", Active: map[int]*clusterstate.Task{}}
	state.Jobs[job.ID] = job
	var want []string
	for index := range tasks {
		machine := fmt.Sprintf("i-%d", tasks-index)
		state.Machines[machine] = &clusterstate.Machine{
			Name:          machine,
			MachineRecord: fleet.MachineRecord{Endpoint: machine + ":1"},
		}
		job.Active[index] = &clusterstate.Task{
			Task:  jobs.Task{State: jobs.Placed, Machine: machine},
			Index: index,
			Job:   job,
		}
		want = append(want, machine+":1")
	}
	config := Config{
		Name:         "n0",
		Peers:        []string{"n1"},
		ProofWindow:  20 * time.Second,
		CancelWithin: 60 * time.Second,
		Log:          slog.New(slog.DiscardHandler),
	}
	collaborators := Collaborators{Peers: network, Agents: network, Shards: network, Store: network}
	service := New(state, config, collaborators, func() uint64 { return 8 })
	service.Acknowledge(job.ID)
	state.Now = state.Now.Add(tuning.StopRelayAfter)
	service.Reconcile()
	if !slices.Equal(network.called, want) {
		t.Errorf("called %v, want %v", network.called, want)
	}
}
