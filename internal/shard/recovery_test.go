package shard

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/reconcile"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// restarted is an owner that has just started, with machines i-1 to i-n whose leases
// expired meanwhile, and a job with a task recorded on each.
func restarted(t *testing.T, machines int, kind string) *owner {
	t.Helper()
	o := newOwner(t)
	o.addMachineType()
	o.addJob(specOf("wk-1", kind, machines))
	var tasks []jobs.Task
	for i := range machines {
		machine := fmt.Sprintf("i-%d", i+1)
		o.addMachine(machine, "n0", "w:"+machine)
		tasks = append(tasks, jobs.Task{State: jobs.Placed, Machine: machine, Attempt: uint64(i + 1)})
	}
	o.putTasks("task/wk-1/0", tasks...)
	o.NewView()
	return o
}

// reports is a heartbeat of a machine under the token in force, in the agent epoch after its
// lease expired.
func (o *owner) reports(machine, statuses string) {
	named := strings.NewReplacer(`"host":"i-1"`, `"host":"`+machine+`"`, `"tenure":1`, `"tenure":2`)
	o.heartbeat(withToken(named.Replace(heartbeatBody("1", statuses))))
}

// reconciled is what one reconciliation decides about tasks.
func (o *owner) reconciled() (decisions []decide.Decision) {
	o.controller.decisions = nil
	o.state.Now = o.state.Now.Add(tuning.PlaceAgainEvery)
	o.Reconcile()
	for _, decision := range o.controller.decisions {
		if len(decision.Changes) > 0 {
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

// What an expired lease killed is placed once more where it was, in one decision for a gang
// and only once all machines of the record have been heard or given up.
func TestVanishedTasksArePlacedAgain(t *testing.T) {
	for kind, wantDecisions := range map[string]int{jobs.Gang: 1, jobs.JobArray: 3} {
		o := restarted(t, 3, kind)
		// No call is answered yet.
		o.controller.call = func(string, string, string, []byte, time.Duration, func(int, []byte, error)) {}
		o.reports("i-1", "")
		o.reports("i-2", "")
		if decisions := o.reconciled(); len(decisions) != 0 {
			t.Fatalf("%s: decided before the third machine was heard: %v", kind, decisions[0].String())
		}
		o.reports("i-3", "")
		decisions := o.reconciled()
		if len(decisions) != wantDecisions {
			t.Fatalf("%s: %d decisions", kind, len(decisions))
		}
		for _, decision := range decisions {
			for _, change := range decision.Changes {
				before, next := change.Task, change.Next
				if next.State != jobs.Placed || next.Machine != before.Machine || next.Attempt <= before.Attempt {
					t.Errorf("%s: %+v: not a higher attempt on the same machine", kind, next)
				}
				if kind == jobs.Gang && next.Attempt != 4 {
					t.Errorf("%s: %+v: not above all attempts of the gang", kind, next)
				}
			}
		}
	}
}

// A gang that has lost a machine does not go on: its tasks are freed.
func TestIncompleteGangIsFreed(t *testing.T) {
	o := restarted(t, 2, jobs.Gang)
	o.reports("i-1", "")
	for range 30 { // two calls to the other stay without an answer
		o.reconciled()
	}
	if o.Reconciling.Phase() == reconcile.Hearing {
		t.Fatal("a machine that does not answer is waited for")
	}
	decisions := o.reconciled()
	if len(decisions) != 1 || decisions[0].Changes[0].Next.State != jobs.Pending {
		t.Fatalf("%d decisions", len(decisions))
	}
}

// A task that still runs is left alone; one on a machine that will be taken is freed.
func TestRunningTaskStaysAndNoticedMachineIsFreed(t *testing.T) {
	o := restarted(t, 2, jobs.JobArray)
	o.reports("i-1", `{"piece":"wk-1/0","try":1,"status":"running"}`)
	noticed := strings.NewReplacer(`"host":"i-1"`, `"host":"i-2"`, `"baton":0`, `"baton":0,"warning_s":20`)
	o.heartbeat(withToken(noticed.Replace(heartbeatBody("1", ""))))
	decisions := o.reconciled()
	if len(decisions) != 1 {
		t.Fatalf("%d decisions", len(decisions))
	}
	if freed := decisions[0].Changes[0]; freed.Task.Index != 1 || freed.Next.State != jobs.Pending {
		t.Errorf("decided %s", decisions[0].String())
	}
}

// Machines that died delay no call to one that runs, and one for which no call was free
// is called as soon as one is.
func TestCallsToDeadMachinesAreLimited(t *testing.T) {
	o := restarted(t, 200, jobs.JobArray)
	var endCalls []func()
	calls := 0
	o.controller.call = func(endpoint, _, _ string, _ []byte, _ time.Duration, done func(int, []byte, error)) {
		calls++
		endCalls = append(endCalls, func() { done(0, nil, errors.New("no answer")) })
	}
	o.Reconcile()
	if calls != tuning.AwaitedCalls {
		t.Fatalf("%d calls to machines that were never heard", calls)
	}
	for _, endCall := range endCalls {
		endCall()
	}
	o.state.Now = o.state.Now.Add(time.Millisecond) // no sweep
	o.Reconcile()
	if calls != 2*tuning.AwaitedCalls {
		t.Errorf("%d calls once those were over", calls)
	}
}
