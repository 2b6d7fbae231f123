package shard

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// A machine is adopted by a command under the token in force; then what is recorded on it
// is launched, its end is committed, and only then forgotten.
func TestAttemptFromLaunchToForget(t *testing.T) {
	o := newOwner(t)
	o.addMachineType()
	o.addMachine("i-1", "n0", "w:1")
	o.addJob(specOf("wk-1", jobs.Service, 2))
	held, heartbeatSeq := "", 1
	o.controller.answer = func(body []byte) (int, []byte, error) {
		if bytes.Contains(body, []byte(`"verb":"launch"`)) {
			held = `{"piece":"wk-1/0","try":3,"status":"running"}`
		}
		heartbeatSeq++
		return 200, []byte(withToken(heartbeatBody(strconv.Itoa(heartbeatSeq), held))), nil
	}
	o.heartbeat(heartbeatBody("1", ""))
	for second := range 8 {
		if second == 3 { // placed once the machine is adopted
			o.putTasks("task/wk-1/0", jobs.Task{State: jobs.Placed, Machine: "i-1", Attempt: 3})
		}
		o.state.Now = o.state.Now.Add(time.Second)
		o.ReviewMachine("i-1")
		o.Reconcile()
	}
	calls := strings.Join(o.controller.calls, "\n")
	const launch = `"verb":"launch","piece":"wk-1/0","try":3`
	if len(o.controller.calls) < 2 || strings.Contains(o.controller.calls[0], "launch") ||
		!strings.Contains(calls, launch) {
		t.Fatalf("calls:\n%s", calls)
	}
	held = `{"piece":"wk-1/0","try":3,"status":"ended","cause":"error"}`
	_, answer := o.heartbeat(withToken(heartbeatBody("9", held)))
	if strings.Contains(answer, "reap") {
		t.Errorf("forgotten before its end is committed: %s", answer)
	}
	o.Reconcile()
	if !o.decided(func(next jobs.Task) bool {
		return next.State == jobs.Pending && next.Failures == 1 && next.Attempt == 3
	}) {
		t.Error("its end was not decided")
	}
	o.putTasks("task/wk-1/0", jobs.Task{State: jobs.Pending, Attempt: 3, Failures: 1})
	_, answer = o.heartbeat(withToken(heartbeatBody("99", held)))
	if !strings.Contains(answer, `"verb":"reap","piece":"wk-1/0","try":3`) {
		t.Errorf("not forgotten: %s", answer)
	}
}

// decided tells whether a decision brings a task into a state that the test looks for.
func (o *owner) decided(matches func(next jobs.Task) bool) bool {
	for _, decision := range o.controller.decisions {
		for _, change := range decision.Changes {
			if matches(change.Next) {
				return true
			}
		}
	}
	return false
}

// A task of a job whose cancellation was acknowledged is stopped though its record is under
// a transaction that nobody answers, and none is launched; nor is any launched while not
// all acknowledged cancellations are known.
func TestCancelledTaskIsStoppedWithoutTheStore(t *testing.T) {
	for _, c := range []struct {
		name      string
		set       func(controller *fakeController)
		wantStops int
	}{
		{"cancellations unknown", func(c *fakeController) { c.cancellationsUnknown = true }, 0},
		{"job known to be cancelled", func(c *fakeController) { c.cancelled = "wk-000001" }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOwner(t)
			o.addMachineType()
			o.addMachine("i-1", "n0", "w:1")
			o.addJob(specOf("wk-000001", jobs.Service, 3))
			o.putTasks("task/wk-000001/0", jobs.Task{State: jobs.Placed, Machine: "i-1", Attempt: 3})
			o.putTasks("task/wk-000001/1", jobs.Task{State: jobs.Placed, Machine: "i-1", Attempt: 1})
			o.controller.busy = func(key string) bool { return key == "task/wk-000001/0" }
			c.set(o.controller)
			session := o.sessionOf("i-1")
			session.State, session.AgentEpoch, session.HeartbeatSeq = agent.Known, 1, 1
			session.Tasks = map[string][]agent.TaskStatus{
				"wk-000001/0": {{TaskID: "wk-000001/0", Attempt: 3, Status: agent.Running}},
			}
			stops, launches := 0, 0
			for _, command := range o.review(session, ignoreDifference).commands {
				switch {
				case command.Verb == agent.Launch:
					launches++
				case command.Verb == agent.Stop && command.TaskID == "wk-000001/0" && command.Attempt == 3:
					stops++
				}
			}
			if launches != 0 || stops != c.wantStops {
				t.Errorf("%d stops, %d launches", stops, launches)
			}
		})
	}
}
