package shard

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

func (o *owner) beat(body string) (status int, answer string) {
	o.Heartbeat([]byte(body), func(r http1.Reply) { status, answer = r.Status, string(r.Body) })
	return status, answer
}

const report = `{"host":"i-1","endpoint":"w:1","build":"g4","site":"a","tenure":1,"tick":%T,"baton":0,"pieces":[%P]}`

func text(heartbeatSeq, pieces string) string {
	return strings.NewReplacer("%T", heartbeatSeq, "%P", pieces).Replace(report)
}

// Only the owner answers 200, and only while it may; everyone else sends the worker on.
func TestBeat(t *testing.T) {
	o := newOwner(t)
	for _, name := range []string{"", "i 1", "i-1\n", strings.Repeat("i", 151)} { // no keys
		if s, _ := o.beat(string(jobs.Encode(map[string]string{"host": name}))); s != 400 {
			t.Errorf("%q: %d", name, s)
		}
	}
	if s, body := o.beat(text("1", "")); s != 200 || !strings.Contains(body, `"baton":5242880`) {
		t.Errorf("%d %s: the baton is the epoch's", s, body)
	}
	if s, _ := o.beat(strings.Replace(text("2", ""), `"baton":0`, `"baton":99999999`, 1)); s != 421 {
		t.Errorf("a worker that has seen a later baton: %d", s)
	}
	o.controller.owner = "n1"
	if s, body := o.beat(text("3", "")); s != 421 || body != `{"reports_to":"n1"}` {
		t.Errorf("another's machine: %d %s", s, body)
	}
	o.controller.inView = false
	if s, _ := o.beat(text("4", "")); s != 503 {
		t.Errorf("outside the view: %d", s)
	}
}

// A machine is adopted by a command under our baton; then what is recorded on it is
// launched, its end is committed, and only then reaped.
func TestFromLaunchToReap(t *testing.T) {
	o := newOwner(t)
	o.state.MachineTypes["g4"] = &jobs.MachineType{Name: "g4", Cores: 8, Accelerators: 4, MemoryGB: 64}
	_ = o.state.ApplyMachine("i-1", "n0", jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a", Endpoint: "w:1"}))
	spec := jobs.Spec{ID: "wk-1", Class: "c", Team: "t", Kind: jobs.Service, Priority: "prod", TaskCount: 2, Cores: 1, Accelerators: 1, MemoryGB: 1, Image: "b"}
	_ = o.state.ApplyJob("wk-1", jobs.Encode(jobs.Record{State: jobs.Live, Spec: spec}))
	held, heartbeatSeq := "", 1
	o.controller.answer = func(body []byte) (int, []byte, error) {
		var c struct {
			Baton  uint64
			Orders []struct{ Verb, Piece string }
		}
		_ = json.Unmarshal(body, &c)
		for _, x := range c.Orders {
			if x.Verb == "launch" {
				held = `{"piece":"wk-1/0","try":3,"status":"running"}`
			}
		}
		heartbeatSeq++
		return 200, []byte(strings.Replace(text(string(rune('0'+heartbeatSeq)), held), `"baton":0`, `"baton":5242880`, 1)), nil
	}
	o.beat(text("1", ""))
	for k := range 8 {
		if k == 3 { // placed once the machine is adopted
			_, _ = o.state.ApplyTaskRange("task/wk-1/0", jobs.EncodeTaskRange([]jobs.Task{{State: jobs.Placed, Machine: "i-1", Attempt: 3}}, 8192))
		}
		o.state.Now = o.state.Now.Add(time.Second)
		o.ReviewMachine("i-1")
		o.Reconcile()
	}
	if len(o.controller.calls) < 2 || strings.Contains(o.controller.calls[0], "launch") || !strings.Contains(strings.Join(o.controller.calls, "\n"), `"verb":"launch","piece":"wk-1/0","try":3`) {
		t.Fatalf("calls:\n%s", strings.Join(o.controller.calls, "\n"))
	}
	held = `{"piece":"wk-1/0","try":3,"status":"ended","cause":"error"}`
	_, answer := o.beat(strings.Replace(text("9", held), `"baton":0`, `"baton":5242880`, 1))
	if strings.Contains(answer, "reap") {
		t.Errorf("reaped before its end is committed: %s", answer)
	}
	o.Reconcile()
	ended := false
	for _, d := range o.controller.decisions {
		for _, c := range d.Changes {
			ended = ended || c.Next.State == jobs.Pending && c.Next.Failures == 1 && c.Next.Attempt == 3
		}
	}
	if !ended {
		t.Error("its end was not decided")
	}
	_, _ = o.state.ApplyTaskRange("task/wk-1/0", jobs.EncodeTaskRange([]jobs.Task{{State: jobs.Pending, Attempt: 3, Failures: 1}}, 8192))
	_, answer = o.beat(strings.Replace(text("99", held), `"baton":0`, `"baton":5242880`, 1))
	if !strings.Contains(answer, `"verb":"reap","piece":"wk-1/0","try":3`) {
		t.Errorf("not reaped: %s", answer)
	}
}

// A machine whose reports stay out is written down as not heard, and heard again.
func TestQuiet(t *testing.T) {
	o := newOwner(t)
	_ = o.state.ApplyMachine("i-1", "n0", jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a", Endpoint: "w:1"}))
	o.beat(text("1", ""))
	o.Reconcile()
	o.controller.decisions = nil
	for range 12 {
		o.state.Now = o.state.Now.Add(time.Second)
		o.Reconcile()
	}
	told := ""
	for _, d := range o.controller.decisions {
		for _, w := range d.Writes {
			if w.Put == fleet.UnresponsivePrefix+"n0" {
				told = string(w.Value)
			}
		}
	}
	if told != `["i-1"]` {
		t.Fatalf("told %q", told)
	}
	if err := o.ApplyUnresponsive("n0", json.RawMessage(told)); err != nil {
		t.Fatal(err)
	}
	if m := o.state.Machines["i-1"]; o.InUse(m) || o.Ready(m) {
		t.Error("a machine that is not heard is in use")
	}
	if o.ApplyUnresponsive("n0", json.RawMessage("7")) == nil {
		t.Error("nonsense was read")
	}
}

// toldQuiet takes in what was decided of the lists of unresponsive machines, as the mirror
// does, and returns how many changes that were.
func (o *owner) toldQuiet() int {
	o.t.Helper()
	changes := 0
	for _, d := range o.controller.decisions {
		for _, w := range d.Writes {
			name, is := strings.CutPrefix(w.Put+w.Remove, fleet.UnresponsivePrefix)
			if !is {
				continue
			}
			if len(w.Value) > o.config.ValueBytes {
				o.t.Errorf("%d bytes in %s", len(w.Value), w.Put)
			}
			if err := o.ApplyUnresponsive(name, w.Value); err != nil {
				o.t.Error(err)
			}
			changes++
		}
	}
	o.controller.decisions = nil
	return changes
}

// One controller owns 4,000 machines, and a third of them, and then all, are unresponsive at
// once: each is told as such, and told once; when they report again that is told, too.
func TestQuietOf4000Machines(t *testing.T) {
	const machines = 4000
	o := newOwner(t)
	machine := func(i int) string { return fmt.Sprintf("i-%06d", i) }
	for i := range machines {
		if err := o.state.ApplyMachine(machine(i), "n0", jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a", Endpoint: "w:1"})); err != nil {
			t.Fatal(err)
		}
	}
	heartbeatSeq := 0
	pass := func(reports func(i int) bool) {
		for range 7 {
			o.state.Now = o.state.Now.Add(time.Second)
			heartbeatSeq++
			for i := range machines {
				if reports(i) {
					o.beat(strings.Replace(text(strconv.Itoa(heartbeatSeq), ""), "i-1", machine(i), 1))
				}
			}
			o.Reconcile()
		}
	}
	for _, c := range []struct {
		name    string
		reports func(i int) bool
		quiet   int
	}{
		{"all report", func(int) bool { return true }, 0},
		{"a third does not", func(i int) bool { return i%3 != 0 }, 1334},
		{"none does", func(int) bool { return false }, machines},
		{"a third does", func(i int) bool { return i%3 == 0 }, 2666},
		{"all report again", func(int) bool { return true }, 0},
	} {
		o.controller.decisions = nil
		pass(c.reports)
		o.toldQuiet()
		pass(c.reports)
		o.toldQuiet()
		if len(o.sessions) != machines || len(o.state.Unresponsive["n0"]) != c.quiet {
			t.Errorf("%s: %d sessions, %d machines told unresponsive, not %d", c.name, len(o.sessions), len(o.state.Unresponsive["n0"]), c.quiet)
		}
		used := 0
		for i := range machines {
			if o.InUse(o.state.Machines[machine(i)]) {
				used++
			}
		}
		if used != machines-c.quiet {
			t.Errorf("%s: %d machines in use", c.name, used)
		}
		pass(c.reports)
		if n := o.toldQuiet(); n != 0 {
			t.Errorf("%s: told again in %d changes", c.name, n)
		}
	}
	if keys := o.UnresponsiveKeys(); len(keys) != 1 {
		t.Errorf("further lists are left: %v", keys)
	}
}

// While not all that was told is known no lease is renewed, but the machine is heard; and
// each answer that renews one carries a stop for what was told to be cancelled, also while
// the machine's reports prove nothing yet.
func TestWhatWasTold(t *testing.T) {
	o := newOwner(t)
	_ = o.state.ApplyMachine("i-1", "n0", jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a", Endpoint: "w:1"}))
	held := `{"piece":"wk-000001/0","try":3,"status":"running"},{"piece":"wk-000002/0","try":1,"status":"running"},{"piece":"wk-000001/1","try":1,"status":"ended","cause":"done"}`
	o.controller.cancellationsUnknown = true
	if s, _ := o.beat(text("1", held)); s != 503 || o.controller.leasesWithheld != 1 {
		t.Errorf("%d while unproven, %d withheld", s, o.controller.leasesWithheld)
	}
	if s := o.sessions["i-1"]; s == nil || s.HeartbeatSeq != 1 {
		t.Errorf("the report was not taken in: %+v", s)
	}
	o.controller.cancellationsUnknown, o.controller.cancelled = false, "wk-000001"
	const stop = `"orders":[{"verb":"stop","piece":"wk-000001/0","try":3,"wind_down_s":0}]`
	if s, body := o.beat(text("2", held)); s != 200 || o.sessions["i-1"].State != agent.Unseen || !strings.Contains(body, stop) {
		t.Errorf("%d %s in %s", s, body, o.sessions["i-1"].State)
	}
}

// A task of a job that was told to be cancelled is stopped though its record is under a
// transaction that nobody answers, and none is launched; nor is any launched while not all
// that was told is known.
func TestStopsWithoutTheStateService(t *testing.T) {
	for _, told := range []bool{false, true} {
		o := newOwner(t)
		o.state.MachineTypes["g4"] = &jobs.MachineType{Name: "g4", Cores: 8, Accelerators: 4, MemoryGB: 64}
		_ = o.state.ApplyMachine("i-1", "n0", jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a", Endpoint: "w:1"}))
		spec := jobs.Spec{ID: "wk-000001", Class: "c", Team: "t", Kind: jobs.Service, Priority: "prod", TaskCount: 3, Cores: 1, Accelerators: 1, MemoryGB: 1, Image: "b"}
		_ = o.state.ApplyJob("wk-000001", jobs.Encode(jobs.Record{State: jobs.Live, Spec: spec}))
		_, _ = o.state.ApplyTaskRange("task/wk-000001/0", jobs.EncodeTaskRange([]jobs.Task{{State: jobs.Placed, Machine: "i-1", Attempt: 3}}, 8192))
		_, _ = o.state.ApplyTaskRange("task/wk-000001/1", jobs.EncodeTaskRange([]jobs.Task{{State: jobs.Placed, Machine: "i-1", Attempt: 1}}, 8192))
		o.controller.busy = func(key string) bool { return key == "task/wk-000001/0" }
		if told {
			o.controller.cancelled = "wk-000001"
		} else {
			o.controller.cancellationsUnknown = true
		}
		s := o.sessionOf("i-1")
		s.State, s.AgentEpoch, s.HeartbeatSeq = agent.Known, 1, 1
		s.Tasks = map[string][]agent.TaskStatus{"wk-000001/0": {{TaskID: "wk-000001/0", Attempt: 3, Status: agent.Running}}}
		stops, launches := 0, 0
		for _, x := range o.review(s, ignoreDifference).commands {
			switch {
			case x.Verb == agent.Launch:
				launches++
			case x.Verb == agent.Stop && x.TaskID == "wk-000001/0" && x.Attempt == 3:
				stops++
			}
		}
		if launches != 0 || (stops == 1) != told {
			t.Errorf("told %v: %d stops, %d launches", told, stops, launches)
		}
	}
}
