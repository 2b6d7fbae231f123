package part

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/queue"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/rental"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/wire"
	"github.com/harrierreel/harrierreel/internal/workers"
)

// owner is the part of n0, with a worker that answers as the test says.
type owner struct {
	*Part
	t         *testing.T
	speaks    bool
	elsewhere string
	told      string // a job that was told to be cancelled
	unproven  bool   // not all that was told is known
	withheld  int
	calls     []string
	answer    func(body []byte) (int, []byte, error)
	taken     []decide.Decision
}

func newOwner(t *testing.T) *owner {
	o := &owner{t: t, speaks: true, elsewhere: "n0", answer: func([]byte) (int, []byte, error) { return 0, nil, errors.New("no answer") }}
	b := book.New(quota.Flat(map[string]quota.Team{"t": {Name: "t"}}), func(host string) { o.Touch(host) })
	b.Now = time.UnixMilli(1e12)
	log := slog.New(slog.DiscardHandler)
	cluster := settings.Cluster{Workers: settings.Workers{ReportS: 3, LeaseS: 30, CancelS: 60}, State: settings.State{TxnOps: 16}}
	not := func(string) bool { return false }
	q := queue.New(b, queue.Env{Me: "n0", TxnOps: 16, SliceLimit: 8192, SliceMost: 30, Packing: func() bool { return false }, Log: log, Busy: not, Allows: func(int, int) bool { return true }, Spare: func() bool { return true },
		Ready: func(m *book.Machine) bool { return o.Ready(m) }, CanPlace: func(x *book.Task, m *book.Machine) bool { return o.CanPlace(x, m) }, Commit: o.commit})
	re := rental.New(b, rental.Env{Cluster: cluster, Log: log, Queue: q, Leads: func() (bool, uint64) { return true, 5 }})
	o.Part = New(b, Env{Me: "n0", Cluster: cluster, SliceLimit: 8192, Log: log, Queue: q, Rental: re, Wake: func() {}, Speaks: func() bool { return o.speaks },
		Outside: func() bool { return !o.speaks }, Epoch: func() uint64 { return 5 }, Known: func() uint64 { return 9 }, Members: func() []string { return []string{"n0"} }, OwnerOf: func(string) string { return o.elsewhere }, Complain: func(string, string, bool) {},
		Busy: not, Allows: func(int, int) bool { return true }, Spare: func() bool { return true }, Commit: o.commit,
		Cancelled: func(uid string) bool { return o.told == uid }, Renews: func() bool { return !o.unproven }, Launches: func() bool { return !o.unproven }, Withheld: func() { o.withheld++ },
		Call: func(_, method, target string, body []byte, _ time.Duration, done func(int, []byte, error)) {
			o.calls = append(o.calls, method+" "+target+" "+string(body))
			done(o.answer(body))
		}})
	return o
}

func (o *owner) commit(ds []decide.Decision) {
	o.taken = append(o.taken, ds...)
	for i := range ds {
		if ds[i].Done != nil {
			ds[i].Done(true)
		}
	}
}

func (o *owner) beat(body string) (status int, answer string) {
	o.Beat([]byte(body), func(r wire.Reply) { status, answer = r.Status, string(r.Body) })
	return status, answer
}

const report = `{"host":"i-1","endpoint":"w:1","build":"g4","site":"a","tenure":1,"tick":%T,"baton":0,"pieces":[%P]}`

func text(tick, pieces string) string {
	return strings.NewReplacer("%T", tick, "%P", pieces).Replace(report)
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
	o.elsewhere = "n1"
	if s, body := o.beat(text("3", "")); s != 421 || body != `{"reports_to":"n1"}` {
		t.Errorf("another's machine: %d %s", s, body)
	}
	o.speaks = false
	if s, _ := o.beat(text("4", "")); s != 503 {
		t.Errorf("outside the view: %d", s)
	}
}

// A machine is adopted by a command under our baton; then what is recorded on it is
// launched, its end is committed, and only then reaped.
func TestFromLaunchToReap(t *testing.T) {
	o := newOwner(t)
	o.Builds["g4"] = &jobs.Build{Name: "g4", Cores: 8, Accel: 4, MemoryGB: 64}
	_ = o.HostChanged("i-1", "n0", jobs.Encode(fleet.Host{State: fleet.Up, Build: "g4", Site: "a", Endpoint: "w:1"}))
	spec := jobs.Spec{UID: "wk-1", Class: "c", Owner: "t", Shape: jobs.Standing, Rank: "prod", Pieces: 2, Cores: 1, Accel: 1, MemoryGB: 1, Bundle: "b"}
	_ = o.JobChanged("wk-1", jobs.Encode(jobs.Record{State: jobs.Live, Spec: spec}))
	held, tick := "", 1
	o.answer = func(body []byte) (int, []byte, error) {
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
		tick++
		return 200, []byte(strings.Replace(text(string(rune('0'+tick)), held), `"baton":0`, `"baton":5242880`, 1)), nil
	}
	o.beat(text("1", ""))
	for k := range 8 {
		if k == 3 { // placed once the machine is adopted
			_, _ = o.SliceChanged("task/wk-1/0", jobs.EncodeSlice([]jobs.Task{{State: jobs.Placed, Host: "i-1", Try: 3}}, 8192))
		}
		o.Now = o.Now.Add(time.Second)
		o.Touch("i-1")
		o.Pass()
	}
	if len(o.calls) < 2 || strings.Contains(o.calls[0], "launch") || !strings.Contains(strings.Join(o.calls, "\n"), `"verb":"launch","piece":"wk-1/0","try":3`) {
		t.Fatalf("calls:\n%s", strings.Join(o.calls, "\n"))
	}
	held = `{"piece":"wk-1/0","try":3,"status":"ended","cause":"error"}`
	_, answer := o.beat(strings.Replace(text("9", held), `"baton":0`, `"baton":5242880`, 1))
	if strings.Contains(answer, "reap") {
		t.Errorf("reaped before its end is committed: %s", answer)
	}
	o.Pass()
	ended := false
	for _, d := range o.taken {
		for _, c := range d.Changes {
			ended = ended || c.Next.State == jobs.Pending && c.Next.Fails == 1 && c.Next.Try == 3
		}
	}
	if !ended {
		t.Error("its end was not decided")
	}
	_, _ = o.SliceChanged("task/wk-1/0", jobs.EncodeSlice([]jobs.Task{{State: jobs.Pending, Try: 3, Fails: 1}}, 8192))
	_, answer = o.beat(strings.Replace(text("99", held), `"baton":0`, `"baton":5242880`, 1))
	if !strings.Contains(answer, `"verb":"reap","piece":"wk-1/0","try":3`) {
		t.Errorf("not reaped: %s", answer)
	}
}

// A machine whose reports stay out is written down as not heard, and heard again.
func TestQuiet(t *testing.T) {
	o := newOwner(t)
	_ = o.HostChanged("i-1", "n0", jobs.Encode(fleet.Host{State: fleet.Up, Build: "g4", Site: "a", Endpoint: "w:1"}))
	o.beat(text("1", ""))
	o.Pass()
	o.taken = nil
	for range 12 {
		o.Now = o.Now.Add(time.Second)
		o.Pass()
	}
	told := ""
	for _, d := range o.taken {
		for _, w := range d.Writes {
			if w.Put == fleet.QuietPrefix+"n0" {
				told = string(w.Value)
			}
		}
	}
	if told != `["i-1"]` {
		t.Fatalf("told %q", told)
	}
	if err := o.QuietChanged("n0", json.RawMessage(told)); err != nil {
		t.Fatal(err)
	}
	if m := o.Machines["i-1"]; o.InUse(m) || o.Ready(m) {
		t.Error("a machine that is not heard is in use")
	}
	if o.QuietChanged("n0", json.RawMessage("7")) == nil {
		t.Error("nonsense was read")
	}
}

// toldQuiet takes in what was decided of the lists of unresponsive machines, as the mirror
// does, and returns how many changes that were.
func (o *owner) toldQuiet() int {
	o.t.Helper()
	changes := 0
	for _, d := range o.taken {
		for _, w := range d.Writes {
			name, is := strings.CutPrefix(w.Put+w.Remove, fleet.QuietPrefix)
			if !is {
				continue
			}
			if len(w.Value) > o.SliceLimit {
				o.t.Errorf("%d bytes in %s", len(w.Value), w.Put)
			}
			if err := o.QuietChanged(name, w.Value); err != nil {
				o.t.Error(err)
			}
			changes++
		}
	}
	o.taken = nil
	return changes
}

// One controller owns 4,000 machines, and a third of them, and then all, are unresponsive at
// once: each is told as such, and told once; when they report again that is told, too.
func TestQuietOf4000Machines(t *testing.T) {
	const machines = 4000
	o := newOwner(t)
	host := func(i int) string { return fmt.Sprintf("i-%06d", i) }
	for i := range machines {
		if err := o.HostChanged(host(i), "n0", jobs.Encode(fleet.Host{State: fleet.Up, Build: "g4", Site: "a", Endpoint: "w:1"})); err != nil {
			t.Fatal(err)
		}
	}
	tick := 0
	pass := func(reports func(i int) bool) {
		for range 7 {
			o.Now = o.Now.Add(time.Second)
			tick++
			for i := range machines {
				if reports(i) {
					o.beat(strings.Replace(text(fmt.Sprint(tick), ""), "i-1", host(i), 1))
				}
			}
			o.Pass()
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
		o.taken = nil
		pass(c.reports)
		o.toldQuiet()
		pass(c.reports)
		o.toldQuiet()
		if len(o.sessions) != machines || len(o.Quiet["n0"]) != c.quiet {
			t.Errorf("%s: %d sessions, %d machines told unresponsive, not %d", c.name, len(o.sessions), len(o.Quiet["n0"]), c.quiet)
		}
		used := 0
		for i := range machines {
			if o.InUse(o.Machines[host(i)]) {
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
	if keys := o.QuietKeys(); len(keys) != 1 {
		t.Errorf("further lists are left: %v", keys)
	}
}

// While not all that was told is known no lease is renewed, but the machine is heard; and
// each answer that renews one carries a stop for what was told to be cancelled, also while
// the machine's reports prove nothing yet.
func TestWhatWasTold(t *testing.T) {
	o := newOwner(t)
	_ = o.HostChanged("i-1", "n0", jobs.Encode(fleet.Host{State: fleet.Up, Build: "g4", Site: "a", Endpoint: "w:1"}))
	held := `{"piece":"wk-000001/0","try":3,"status":"running"},{"piece":"wk-000002/0","try":1,"status":"running"},{"piece":"wk-000001/1","try":1,"status":"ended","cause":"done"}`
	o.unproven = true
	if s, _ := o.beat(text("1", held)); s != 503 || o.withheld != 1 {
		t.Errorf("%d while unproven, %d withheld", s, o.withheld)
	}
	if s := o.sessions["i-1"]; s == nil || s.Tick != 1 {
		t.Errorf("the report was not taken in: %+v", s)
	}
	o.unproven, o.told = false, "wk-000001"
	const stop = `"orders":[{"verb":"stop","piece":"wk-000001/0","try":3,"wind_down_s":0}]`
	if s, body := o.beat(text("2", held)); s != 200 || o.sessions["i-1"].State != workers.Unseen || !strings.Contains(body, stop) {
		t.Errorf("%d %s in %s", s, body, o.sessions["i-1"].State)
	}
}

// A task of a job that was told to be cancelled is stopped though its record is under a
// transaction that nobody answers, and none is launched; nor is any launched while not all
// that was told is known.
func TestStopsWithoutTheStateService(t *testing.T) {
	for _, told := range []bool{false, true} {
		o := newOwner(t)
		o.Builds["g4"] = &jobs.Build{Name: "g4", Cores: 8, Accel: 4, MemoryGB: 64}
		_ = o.HostChanged("i-1", "n0", jobs.Encode(fleet.Host{State: fleet.Up, Build: "g4", Site: "a", Endpoint: "w:1"}))
		spec := jobs.Spec{UID: "wk-000001", Class: "c", Owner: "t", Shape: jobs.Standing, Rank: "prod", Pieces: 3, Cores: 1, Accel: 1, MemoryGB: 1, Bundle: "b"}
		_ = o.JobChanged("wk-000001", jobs.Encode(jobs.Record{State: jobs.Live, Spec: spec}))
		_, _ = o.SliceChanged("task/wk-000001/0", jobs.EncodeSlice([]jobs.Task{{State: jobs.Placed, Host: "i-1", Try: 3}}, 8192))
		_, _ = o.SliceChanged("task/wk-000001/1", jobs.EncodeSlice([]jobs.Task{{State: jobs.Placed, Host: "i-1", Try: 1}}, 8192))
		o.Busy = func(key string) bool { return key == "task/wk-000001/0" }
		if told {
			o.told = "wk-000001"
		} else {
			o.unproven = true
		}
		s := o.session("i-1")
		s.State, s.Tenure, s.Tick = workers.Known, 1, 1
		s.Pieces = map[string][]workers.Piece{"wk-000001/0": {{Piece: "wk-000001/0", Try: 3, Status: workers.Running}}}
		stops, launches := 0, 0
		for _, x := range o.review(s).orders {
			switch {
			case x.Verb == workers.Launch:
				launches++
			case x.Verb == workers.Stop && x.Piece == "wk-000001/0" && x.Try == 3:
				stops++
			}
		}
		if launches != 0 || (stops == 1) != told {
			t.Errorf("told %v: %d stops, %d launches", told, stops, launches)
		}
	}
}
