package shard

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// noted writes down a report and its answer as they go over the wire.
func (o *owner) noted(out *bytes.Buffer, title, body string) {
	fmt.Fprintf(out, "## %s\n%s\n", title, body)
	o.Heartbeat([]byte(body), func(r http1.Reply) {
		out.Write(http1.AppendResponse(nil, r.Status, r.Body, r.Close, r.RetryAfter))
		out.WriteString("\n\n")
	})
}

// shown is a report with the baton in force.
func (o *owner) shown(report string) string {
	fencingToken := uint64(0)
	if s := o.sessions["i-1"]; s != nil {
		fencingToken = s.FencingToken()
	}
	return strings.Replace(report, `"baton":0`, fmt.Sprintf(`"baton":%d`, fencingToken), 1)
}

// Every answer to a report keeps its form, byte for byte.
func TestGoldenBeats(t *testing.T) {
	var out bytes.Buffer
	o := newOwner(t)
	o.state.MachineTypes["g4"] = &jobs.MachineType{Name: "g4", Cores: 8, Accelerators: 4, MemoryGB: 64}
	o.noted(&out, "no report", `{"host":`)
	o.noted(&out, "no name", `{"host":"i 1"}`)
	o.noted(&out, "a machine without a record", text("1", ""))
	o.noted(&out, "has seen a later baton", strings.Replace(text("2", ""), `"baton":0`, `"baton":99999999`, 1))
	o.controller.owner = "n1"
	o.noted(&out, "another's machine", text("3", ""))
	o.controller.owner = ""
	o.noted(&out, "nobody's machine", text("4", ""))
	o.controller.owner, o.controller.inView = "n0", false
	o.noted(&out, "outside the view", text("5", ""))
	o.controller.inView, o.controller.cancellationsUnknown = true, true
	o.noted(&out, "not all cancellations are known", text("6", ""))
	o.controller.cancellationsUnknown, o.controller.cancelled = false, "wk-000001"
	o.noted(&out, "told to be cancelled, baton not shown", text("7", `{"piece":"wk-000001/0","try":3,"status":"running"}`))
	o.noted(&out, "unknown tasks, baton shown", strings.Replace(text("8", `{"piece":"wk-000002/0","try":1,"status":"running"},{"piece":"wk-000002/1","try":2,"status":"ended","cause":"done"}`), `"baton":0`, `"baton":5242880`, 1))
	for i := range tuning.MaxSessions {
		o.sessions[fmt.Sprint("x-", i)] = nil
	}
	o.noted(&out, "too many machines", strings.Replace(text("1", ""), `"i-1"`, `"i-2"`, 1))
	goldentest.Bytes(t, "beats.txt", out.Bytes())
}

// Every direct command keeps its form, and what is made of its answers keeps.
func TestGoldenCommands(t *testing.T) {
	var out bytes.Buffer
	o := newOwner(t)
	o.state.MachineTypes["g4"] = &jobs.MachineType{Name: "g4", Cores: 8, Accelerators: 4, MemoryGB: 64}
	_ = o.state.ApplyMachine("i-1", "n0", jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a", Endpoint: "w:1"}))
	spec := jobs.Spec{ID: "wk-000001", Class: "c", Team: "t", Kind: jobs.JobArray, Priority: "prod", TaskCount: 3, Cores: 1, Accelerators: 1, MemoryGB: 1, Image: "b", CheckpointIntervalS: 10, CheckpointTimeS: 4}
	_ = o.state.ApplyJob("wk-000001", jobs.Encode(jobs.Record{State: jobs.Live, Spec: spec}))
	var answer string
	status := 0
	o.controller.call = func(endpoint, method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
		fmt.Fprintf(&out, "%s within %s\n", endpoint, timeout)
		out.Write(http1.AppendRequest(nil, method, target, endpoint, body, false))
		said := o.shown(answer)
		fmt.Fprintf(&out, "\n-> %d %s\n", status, said)
		done(status, []byte(said), nil)
	}
	step := func(title string, gave int, said string) {
		status, answer = gave, said
		fmt.Fprintf(&out, "## %s\n", title)
		o.state.Now = o.state.Now.Add(tuning.AdoptAgain << 3)
		o.ReviewMachine("i-1")
		o.Reconcile()
		s := o.sessions["i-1"]
		fmt.Fprintf(&out, "state %s, tenure %d, tick %d, tasks %d, build %q, site %q, loaner %v\n\n", s.State, s.AgentEpoch, s.HeartbeatSeq, len(s.Tasks), s.MachineType, s.Zone, s.Spot)
	}
	o.beat(text("1", ""))
	step("baton shown, refused", 409, strings.Replace(text("2", ""), `"tenure":1`, `"tenure":2`, 1))
	two := func(heartbeatSeq, pieces string) string {
		return strings.NewReplacer(`"tenure":1`, `"loaner":true,"warning_s":500,"tenure":2`).Replace(text(heartbeatSeq, pieces))
	}
	step("baton shown, taken", 200, two("3", ""))
	step("no report", 200, `{}`)
	step("another's answer", 200, strings.Replace(two("4", ""), `"i-1"`, `"i-9"`, 1))
	step("another status", 421, two("4", ""))
	o.beat(o.shown(two("5", "")))
	_, _ = o.state.ApplyTaskRange("task/wk-000001/0", jobs.EncodeTaskRange([]jobs.Task{
		{State: jobs.Placed, Machine: "i-1", Attempt: 3}, {State: jobs.Stopping, Machine: "i-1", Attempt: 1}, {State: jobs.Placed, Machine: "i-1", Attempt: 1},
	}, 8192))
	held := `{"piece":"wk-000001/1","try":1,"status":"running"},{"piece":"wk-000009/0","try":2,"status":"ended","cause":"done"}`
	o.beat(o.shown(two("6", held)))
	step("launch, stop with time to save, reap", 200, two("7", `{"piece":"wk-000001/0","try":3,"status":"pulling"},{"piece":"wk-000001/2","try":1,"status":"running"}`))
	o.controller.cancelled = "wk-000001"
	step("stops of what was told to be cancelled", 200, two("8", `{"piece":"wk-000001/0","try":3,"status":"ended","cause":"error","saved":true}`))
	if o.sessions["i-1"].State != agent.Known {
		t.Error("the machine's reports prove nothing")
	}
	goldentest.Bytes(t, "commands.txt", out.Bytes())
}
