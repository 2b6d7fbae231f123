package shard

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/reconcile"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// restarted is an owner that has just started, with machines i-1 to i-n whose leases ran
// out meanwhile, and a job with a task recorded on each.
func restarted(t *testing.T, n int, shape string) *owner {
	o := newOwner(t)
	o.state.MachineTypes["g4"] = &jobs.MachineType{Name: "g4", Cores: 8, Accelerators: 4, MemoryGB: 64}
	spec := jobs.Spec{ID: "wk-1", Class: "c", Team: "t", Kind: shape, Priority: "prod", TaskCount: n, Cores: 1, Accelerators: 1, MemoryGB: 1, Image: "b"}
	_ = o.state.ApplyJob("wk-1", jobs.Encode(jobs.Record{State: jobs.Live, Spec: spec}))
	var tasks []jobs.Task
	for i := range n {
		machine := fmt.Sprintf("i-%d", i+1)
		_ = o.state.ApplyMachine(machine, "n0", jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a", Endpoint: "w:" + machine}))
		tasks = append(tasks, jobs.Task{State: jobs.Placed, Machine: machine, Attempt: uint64(i + 1)})
	}
	_, _ = o.state.ApplyTaskRange("task/wk-1/0", jobs.EncodeTaskRange(tasks, 8192))
	o.NewView()
	return o
}

// shows is a report of a machine under the baton, in the session after its lease ran out.
func (o *owner) shows(machine, pieces string) {
	body := strings.NewReplacer(`"host":"i-1"`, `"host":"`+machine+`"`, `"tenure":1`, `"tenure":2`, `"baton":0`, `"baton":5242880`).Replace(text("1", pieces))
	o.beat(body)
}

// pass is one look; what it decides.
func (o *owner) pass() (ds []decide.Decision) {
	o.controller.decisions = nil
	o.state.Now = o.state.Now.Add(tuning.PlaceAgainEvery)
	o.Reconcile()
	for _, d := range o.controller.decisions {
		if len(d.Changes) > 0 {
			ds = append(ds, d)
		}
	}
	return ds
}

// What a lease's end killed is placed once more where it was, in one decision for a gang
// and only once all machines of the record have been heard or given up.
func TestPlacedAnew(t *testing.T) {
	for shape, decisions := range map[string]int{jobs.Gang: 1, jobs.JobArray: 3} {
		o := restarted(t, 3, shape)
		o.controller.call = func(string, string, string, []byte, time.Duration, func(int, []byte, error)) {} // no answer yet
		o.shows("i-1", "")
		o.shows("i-2", "")
		if ds := o.pass(); len(ds) != 0 {
			t.Fatalf("%s: decided before the third machine was heard: %v", shape, ds[0].String())
		}
		o.shows("i-3", "")
		ds := o.pass()
		if len(ds) != decisions {
			t.Fatalf("%s: %d decisions", shape, len(ds))
		}
		for _, d := range ds {
			for _, c := range d.Changes {
				if c.Next.State != jobs.Placed || c.Next.Machine != c.Task.Machine || c.Next.Attempt <= c.Task.Attempt || shape == jobs.Gang && c.Next.Attempt != 4 {
					t.Errorf("%s: %+v: a higher try, a gang's above all of its own, on the same machine", shape, c.Next)
				}
			}
		}
	}
}

// A gang that has lost a machine does not go on: its tasks are freed.
func TestGangNotWhole(t *testing.T) {
	o := restarted(t, 2, jobs.Gang)
	o.shows("i-1", "")
	for range 30 { // two calls to the other stay without an answer
		o.pass()
	}
	if o.Reconciling.Phase() == reconcile.Hearing {
		t.Fatal("a machine that does not answer is waited for")
	}
	ds := o.pass()
	if len(ds) != 1 || ds[0].Changes[0].Next.State != jobs.Pending {
		t.Fatalf("%d decisions", len(ds))
	}
}

// A task that still runs is left alone; one on a machine that will be taken is freed.
func TestLeftAlone(t *testing.T) {
	o := restarted(t, 2, jobs.JobArray)
	o.shows("i-1", `{"piece":"wk-1/0","try":1,"status":"running"}`)
	o.beat(strings.NewReplacer(`"host":"i-1"`, `"host":"i-2"`, `"baton":0`, `"baton":5242880,"warning_s":20`).Replace(text("1", "")))
	ds := o.pass()
	if len(ds) != 1 || ds[0].Changes[0].Task.Index != 1 || ds[0].Changes[0].Next.State != jobs.Pending {
		t.Fatalf("%d decisions", len(ds))
	}
}

// Machines that died hold up no call to one that runs, and one for which no call was free
// is called as soon as one is.
func TestCallsKeptBack(t *testing.T) {
	o := restarted(t, 200, jobs.JobArray)
	var ends []func()
	calls := 0
	o.controller.call = func(endpoint, _, _ string, _ []byte, _ time.Duration, done func(int, []byte, error)) {
		calls++
		ends = append(ends, func() { done(0, nil, errors.New("no answer")) })
	}
	o.Reconcile()
	if calls != tuning.AwaitedCalls {
		t.Fatalf("%d calls to machines that were never heard", calls)
	}
	for _, f := range ends {
		f()
	}
	o.state.Now = o.state.Now.Add(time.Millisecond) // no sweep
	o.Reconcile()
	if calls != 2*tuning.AwaitedCalls {
		t.Errorf("%d calls once those were over", calls)
	}
}
