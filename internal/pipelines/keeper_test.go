package pipelines

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/testseed"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m)) }

const step = `"cores":1,"memory_gb":1,"bundle":"b"`

// documents that the properties are tried on: chains, diamonds, conditions,
// repeats, failures that are allowed, a matrix.
var documents = []string{
	`{"name":"p","owner":"t","steps":[{"name":"a",` + step + `},{"name":"b","needs":"a","repeats":2,` + step + `},{"name":"c","needs":["b"],` + step + `}]}`,
	`{"name":"p","owner":"t","steps":[{"name":"d","needs":["b","c"],` + step + `},{"name":"a",` + step + `},{"name":"b","needs":"a","allow_failure":true,"repeats":1,` + step + `},{"name":"c","needs":"a",` + step + `}]}`,
	`{"name":"p","owner":"t","steps":[{"name":"a","matrix":{"x":[1,2,3,4,5,6,7,8,9]},` + step + `},{"name":"f","needs":"a","when":"failure()",` + step + `},{"name":"z","needs":["a","f"],"when":"always()",` + step + `},
		{"name":"y","needs":["z"],"when":"steps.a.outcome == 'failed' || success()","timeout_s":30,` + step + `}]}`,
}

// storeModel is the state service: a run, its jobs, and who saw what of them.
type storeModel struct {
	run   json.RawMessage
	over  bool
	stamp int
	jobs  map[string]jobs.JobState
	sent  map[string]int // submissions of each uid that took effect
}

// seat is a controller with its own, perhaps older, copy of the store.
type seat struct {
	k     *Keeper
	stamp int
	jobs  map[string]jobs.JobState
	doubt map[string]bool
	now   time.Time
	ms    int64
}

func (s *seat) Job(jobID string) (JobView, bool) {
	st, ok := s.jobs[jobID]
	return JobView{State: st, Running: 1, Probing: s.doubt[jobID]}, ok
}
func (s *seat) Final(string) (jobs.JobState, bool) { return "", false }
func (s *seat) Why(string) string                  { return "" }
func (s *seat) Judge(*jobs.Spec) string            { return "" }

func (s *seat) sync(t *rapid.T, m *storeModel) {
	s.jobs = maps.Clone(m.jobs)
	if s.stamp == m.stamp {
		for jobID := range m.jobs {
			s.k.JobChanged(jobID)
		}
		return
	}
	s.stamp = m.stamp
	value := m.run
	if m.over {
		value = nil
	}
	if err := s.k.Changed("run-1", value); err != nil {
		t.Fatal(err)
	}
}

// commit applies a change if its conditions hold, and checks what it does.
func (m *storeModel) commit(t *rapid.T, s *seat, c *Change, p *Plan) bool {
	ok := s.stamp == m.stamp && !m.over
	for _, spec := range c.Submit {
		_, there := m.jobs[spec.ID]
		ok = ok && !there
	}
	for _, jobID := range c.Cancel {
		ok = ok && m.jobs[jobID] == jobs.Live
	}
	if !ok {
		return false
	}
	before, err := Decode(m.run)
	if err != nil {
		t.Fatal(err)
	}
	after, err := Decode(c.Record)
	if err != nil {
		t.Fatal(err)
	}
	if before.State != RunLive && len(c.Submit) > 0 {
		t.Fatalf("submits while the run is %s", before.State)
	}
	m.run, m.over, m.stamp = c.Record, c.Over, m.stamp+1
	for _, jobID := range c.Cancel {
		m.jobs[jobID] = jobs.Cancelled
	}
	for _, spec := range c.Submit {
		m.jobs[spec.ID] = jobs.Live
		if m.sent[spec.ID]++; m.sent[spec.ID] > 1 {
			t.Fatalf("%s submitted twice", spec.ID)
		}
	}
	if c.Over != after.State.Over() {
		t.Fatalf("moved away: %v, but it is %s", c.Over, after.State)
	}
	if c.Ops() > s.k.limits.TxnOps {
		t.Fatalf("%d writes in one transaction", c.Ops())
	}
	m.check(t, before, after, p)
	return true
}

// check holds a run's records against the rules.
func (m *storeModel) check(t *rapid.T, before, after *Record, p *Plan) {
	for i, s := range after.Steps {
		if was := before.Steps[i]; was.State.Over() && s.State != was.State {
			t.Fatalf("%s went from %s to %s", p.Steps[i].Name, was.State, s.State)
		}
		if s.State != Waiting && s.State != Cancelled {
			for _, need := range p.Groups[p.Steps[i].Group].Needs {
				if _, over := groupOutcome(p, need, after.Steps); !over {
					t.Fatalf("%s is %s before %s has ended", p.Steps[i].Name, s.State, p.Groups[need].Name)
				}
			}
		}
		live := 0
		for r := 0; r <= p.Steps[i].Repeats+1; r++ {
			if m.jobs[JobID("run-1", after.Salt, p.Steps[i].Name, r)] == jobs.Live {
				live++
			}
		}
		if live > 1 {
			t.Fatalf("%s has %d live jobs", p.Steps[i].Name, live)
		}
		if live == 1 && !s.State.HasJob() {
			t.Fatalf("%s is %s with a live job", p.Steps[i].Name, s.State)
		}
	}
}

// TestAnyOrder plays events in any order on two controllers that both believe to
// own the run: late copies, changes that are lost or whose answers are, ends,
// restarts, jumps of the time of day, jobs that fail or are cancelled.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := []byte(documents[rapid.IntRange(0, len(documents)-1).Draw(t, "document")])
		p, faults := CompileJSON(doc)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		limits := Limits{Runs: 10, Steps: 1000, ValueBytes: 8 << 10, TxnOps: rapid.IntRange(4, 16).Draw(t, "ops")}
		m := &storeModel{jobs: map[string]jobs.JobState{}, sent: map[string]int{}, stamp: 1}
		start := time.Unix(1_900_000_000, 0)
		seats := []*seat{{now: start, ms: 1e12}, {now: start, ms: 1e12}}
		boot := func(s *seat) {
			s.k, s.stamp = NewKeeper(limits), 0
			s.k.SetRate(s.now, 1000)
			s.sync(t, m)
		}
		m.run = NewRecord(p, doc, "salt", 1e12).Encode()
		for _, s := range seats {
			s.doubt = map[string]bool{}
			boot(s)
		}
		any := func(t *rapid.T) *seat { return seats[rapid.IntRange(0, 1).Draw(t, "seat")] }
		tell := func(s *seat, c *Change, applied bool) {
			if applied && rapid.IntRange(0, 3).Draw(t, "answer") > 0 {
				s.sync(t, m)
				return
			}
			s.k.Touch(c.ID) // lost, refused, or without answer
		}
		pass := func(s *seat, lose bool) {
			changes, _ := s.k.Pass(
				s.now,
				s.ms,
				func(string) bool { return true },
				func(string) bool { return false },
				func(int) bool { return true },
				s,
			)
			for i := range changes {
				tell(s, &changes[i], !lose && m.commit(t, s, &changes[i], p))
			}
		}
		job := func(t *rapid.T) string {
			var live []string
			for _, jobID := range slices.Sorted(maps.Keys(m.jobs)) {
				if m.jobs[jobID] == jobs.Live {
					live = append(live, jobID)
				}
			}
			if len(live) == 0 {
				t.Skip("no live job")
			}
			return rapid.SampledFrom(live).Draw(t, "job")
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { pass(any(t), false) },
			"lost": func(t *rapid.T) { pass(any(t), true) },
			"sync": func(t *rapid.T) { any(t).sync(t, m) },
			"done": func(t *rapid.T) { m.jobs[job(t)] = jobs.Done },
			"user": func(t *rapid.T) {
				if rapid.IntRange(0, 5).Draw(t, "rare") == 0 {
					m.jobs[job(t)] = jobs.Cancelled
				}
			},
			"doubt": func(t *rapid.T) {
				s, jobID := any(t), job(t)
				s.doubt[jobID] = !s.doubt[jobID]
			},
			"time": func(t *rapid.T) {
				d := rapid.IntRange(1, 100).Draw(t, "seconds")
				for _, s := range seats {
					s.now, s.ms = s.now.Add(time.Duration(d)*time.Second), s.ms+int64(d)*1000
				}
			},
			"jump": func(t *rapid.T) { any(t).ms += int64(rapid.IntRange(-5000, 5000).Draw(t, "ms")) },
			"boot": func(t *rapid.T) { boot(any(t)) },
			"cancel": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") > 0 {
					return
				}
				s := any(t)
				if c := s.k.CancelRun("run-1", s.now, s.ms, s); c != nil {
					tell(s, c, m.commit(t, s, c, p))
				}
			},
		})
		// Once all its jobs end, the run ends.
		for range 200 {
			if m.over {
				return
			}
			for jobID, st := range m.jobs {
				if st == jobs.Live {
					m.jobs[jobID] = jobs.Done
				}
			}
			s := seats[0]
			s.now, s.ms = s.now.Add(time.Second), s.ms+1000
			s.sync(t, m)
			pass(s, false)
		}
		t.Fatalf("the run never ends: %s", m.run)
	})
}

// one is a keeper with one run of a document, its world and its plan.
func one(t *testing.T, doc string) (*seat, *Plan) {
	t.Helper()
	p, faults := CompileJSON([]byte(doc))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	s := &seat{
		k:     NewKeeper(Limits{Runs: 10, Steps: 1000, ValueBytes: 8 << 10, TxnOps: 16}),
		jobs:  map[string]jobs.JobState{},
		doubt: map[string]bool{},
		now:   time.Unix(1_900_000_000, 0),
		ms:    1e12,
	}
	s.k.SetRate(s.now, 1000)
	if err := s.k.Changed("run-1", NewRecord(p, []byte(doc), "salt", s.ms).Encode()); err != nil {
		t.Fatal(err)
	}
	return s, p
}

// turn lets a second pass and commits what the keeper decides.
func (s *seat) turn(t *testing.T) []Change {
	t.Helper()
	s.now, s.ms = s.now.Add(time.Second), s.ms+1000
	changes, _ := s.k.Pass(
		s.now,
		s.ms,
		func(string) bool { return true },
		func(string) bool { return false },
		func(int) bool { return true },
		s,
	)
	for _, c := range changes {
		for _, spec := range c.Submit {
			s.jobs[spec.ID] = jobs.Live
		}
		for _, jobID := range c.Cancel {
			s.jobs[jobID] = jobs.Cancelled
		}
		value := c.Record
		if c.Over {
			value = nil
		}
		if err := s.k.Changed(c.ID, value); err != nil {
			t.Fatal(err)
		}
	}
	return changes
}

func (s *seat) state(t *testing.T, i int) StepRun {
	t.Helper()
	rec, _ := s.k.Known("run-1")
	if rec == nil {
		t.Fatal("the run is over")
	}
	return rec.Steps[i]
}

// A jump of the time of day by an hour must not end a step that may take 30 s;
// 30 s by the steady clock must.
func TestClockJumps(t *testing.T) {
	s, _ := one(t, `{"name":"p","owner":"t","steps":[{"name":"a","timeout_s":30,`+step+`}]}`)
	s.turn(t)
	s.turn(t)
	s.ms += 3600_000
	for range 20 {
		s.turn(t)
	}
	if st := s.state(t, 0); !st.State.HasJob() {
		t.Fatalf("after a jump it is %+v", st)
	}
	s.ms -= 7200_000
	ended := false
	for range 15 {
		for _, c := range s.turn(t) {
			ended = ended || c.Over
		}
	}
	if !ended {
		t.Fatal("not ended after its time")
	}
}

// A look at a run that is under a transaction must not restart its clocks: the time
// of day, which the next would then count from, may have jumped.
func TestBusyKeepsItsClocks(t *testing.T) {
	s, _ := one(t, `{"name":"p","owner":"t","steps":[{"name":"a","timeout_s":30,`+step+`}]}`)
	s.turn(t)
	s.turn(t)
	s.ms += 3600_000
	s.k.Touch("run-1")
	yes := func(string) bool { return true }
	if c, _ := s.k.Pass(s.now, s.ms, yes, yes, func(int) bool { return true }, s); len(c) > 0 {
		t.Fatalf("decided on a run under a transaction: %+v", c)
	}
	for range 20 {
		s.turn(t)
	}
	if st := s.state(t, 0); !st.State.HasJob() {
		t.Fatalf("after a jump it is %+v", st)
	}
}

// Whoever takes a run over counts what went before, but never less than nothing
// if its own clock is behind.
func TestTakenOver(t *testing.T) {
	s, _ := one(t, `{"name":"p","owner":"t","steps":[{"name":"a","timeout_s":30,`+step+`}]}`)
	s.turn(t)
	rec, _ := s.k.Known("run-1")
	for _, behind := range []int64{0, 10_000} {
		k := &seat{k: NewKeeper(s.k.limits), jobs: maps.Clone(s.jobs), now: time.Unix(5, 0), ms: s.ms + 20_000 - 3*behind}
		k.k.SetRate(k.now, 1000)
		if err := k.k.Changed("run-1", rec.Encode()); err != nil {
			t.Fatal(err)
		}
		n := 0
		for ; n < 100; n++ {
			if c := k.turn(t); len(c) > 0 && c[0].Over {
				break
			}
		}
		if want := map[int64]int{0: 9, 10_000: 30}[behind]; n < want || n > want+2 {
			t.Errorf("with a clock %d ms behind it ended after %d s, not %d", behind, n, want)
		}
	}
}

// A job that is in no record fails its step, on the condition that it still is
// in none; a uid that another job has is not taken.
func TestStrangeJobs(t *testing.T) {
	s, p := one(t, `{"name":"p","owner":"t","steps":[{"name":"a",`+step+`}]}`)
	s.turn(t)
	jobID := JobID("run-1", "salt", p.Steps[0].Name, 0)
	delete(s.jobs, jobID)
	s.k.JobChanged(jobID)
	_, ask := s.k.Pass(
		s.now,
		s.ms,
		func(string) bool { return true },
		func(string) bool { return false },
		func(int) bool { return true },
		s,
	)
	if !slices.Equal(ask, []string{jobID}) {
		t.Fatalf("asked for %v", ask)
	}
	s.k.JobMissing(jobID)
	if c := s.turn(t); len(c) != 1 || !c[0].Over || !slices.Equal(c[0].Absent, []string{jobID}) {
		t.Fatalf("%+v", c)
	}
	s, _ = one(t, `{"name":"p","owner":"t","steps":[{"name":"a",`+step+`}]}`)
	s.jobs[jobID] = jobs.Live
	c := s.turn(t)
	if rec, err := Decode(c[0].Record); err != nil || rec.Steps[0].Why != JobIDTaken || len(c[0].Submit) > 0 {
		t.Fatalf("%+v %v", c, err)
	}
}

// While a user's cancellation is under way, the owner submits nothing that
// would make it fail.
func TestCancellationGoesFirst(t *testing.T) {
	s, _ := one(
		t,
		`{"name":"p","owner":"t","steps":[{"name":"a","matrix":{"x":[1,2,3,4,5,6,7,8],"y":[1,2,3,4,5,6,7,8]},`+step+`}]}`,
	)
	s.turn(t)
	if c := s.k.CancelRun("run-1", s.now, s.ms, s); c == nil || !c.Urgent || len(c.Submit) > 0 {
		t.Fatalf("%+v", c)
	}
	// It was refused, since another change came between; the user asks again.
	if c := s.turn(t); len(c) > 0 {
		t.Fatalf("%+v", c)
	}
	for range 4 {
		s.turn(t)
	}
	if len(s.jobs) < 20 {
		t.Errorf("%d jobs after the user never came back", len(s.jobs))
	}
}

// Changes beyond the runs' share wait, and none is lost.
func TestPaced(t *testing.T) {
	wide := `{"name":"p","owner":"t","steps":[{"name":"a","matrix":{"x":[1,2,3,4,5,6,7,8],"y":[1,2,3,4,5,6,7,8]},` + step + `}]}`
	s, p := one(t, wide)
	s.k.SetRate(s.now, 5)
	turns := 0
	for ; len(s.jobs) < len(p.Steps) && turns < 100; turns++ {
		s.turn(t)
	}
	if turns < 10 || turns > 20 {
		t.Errorf("64 jobs went out in %d s at 5 changes a second", turns)
	}
}

func TestUIDs(t *testing.T) {
	seen := map[string]bool{}
	for _, id := range []string{"run-1", "run-12"} {
		for _, salt := range []string{"a", "b"} {
			for _, name := range []string{"2a", "a", "a[x=1]"} {
				for repeat := range 3 {
					jobID := JobID(id, salt, name, repeat)
					if len(jobID) != 21 || !jobs.ValidID(jobID) || seen[jobID] || jobID != JobID(id, salt, name, repeat) {
						t.Errorf("%s for %s %s %s %d", jobID, id, salt, name, repeat)
					}
					seen[jobID] = true
				}
			}
		}
	}
}

// Records of earlier versions are read for ever: the files are never changed,
// one is added with each version.
func TestOldRecords(t *testing.T) {
	for v := 1; v <= recordVersion; v++ {
		b, err := os.ReadFile(fmt.Sprintf("testdata/run-v%d.json", v))
		if err != nil {
			t.Fatal(err)
		}
		r, err := Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		s := r.Steps[1]
		if r.State != RunLive || r.AtMs != 1e12 || len(r.Steps) != 3 || r.Steps[0].State != Succeeded ||
			s != (StepRun{State: Running, Repeat: 1, Why: InDoubt, AtMs: 1e12 + 5000, DoubtMs: 1e12 + 9000}) {
			t.Errorf("version %d: %+v", v, r)
		}
		if p, faults := CompileJSON(r.Doc); p == nil {
			t.Errorf("version %d: %v", v, faults)
		}
	}
}

func TestOddRecords(t *testing.T) {
	k := NewKeeper(Limits{Runs: 2, Steps: 10, TxnOps: 16})
	good := NewRecord(&Plan{Steps: make([]Step, 2)}, []byte(`{}`), "s", 1).Encode()
	for _, bad := range []string{
		`null`, `[]`, `{"v":2}`, `{"v":1,"s":"odd"}`, `{"v":1,"s":"running","doc":"x","t":""}`, `{"v":1,"s":"running","doc":{},"t":"AAAA"}`,
		strings.Replace(string(good), `"v":1`, `"v":9`, 1),
	} {
		if k.Changed("run-1", json.RawMessage(bad)) == nil {
			t.Errorf("%s was read", bad)
		}
		if _, aside := k.Known("run-1"); !aside {
			t.Errorf("%s is not set aside", bad)
		}
	}
	// A record that can be read with a document that can't is set aside as well.
	if err := k.Changed("run-1", good); err != nil {
		t.Fatal(err)
	}
	k.Pass(
		time.Now(),
		1,
		func(string) bool { return true },
		func(string) bool { return false },
		func(int) bool { return true },
		&seat{},
	)
	if _, aside := k.Known("run-1"); !aside || k.openSteps != 0 {
		t.Errorf("aside %v, %d steps open", aside, k.openSteps)
	}
}

// FuzzDecode: no record makes a controller panic, or unpack without bound.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"v":1,"s":"running","doc":{},"t":""}`))
	f.Add([]byte(NewRecord(&Plan{Steps: make([]Step, 2)}, []byte(documents[0]), "s", 1).Encode()))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		if again, err := Decode(r.Encode()); err != nil || len(again.Steps) != len(r.Steps) {
			t.Errorf("written anew it can't be read: %v", err)
		}
	})
}

func TestSteps(t *testing.T) {
	at := int64(1e12)
	for i, state := range stepStates {
		for j, why := range causes {
			want := []StepRun{
				{State: state, Why: why, Repeat: i + j, AtMs: at + int64(i)*1e6, EndMs: at + 9e8},
				{State: Waiting},
			}
			got, err := unpackSteps(packSteps(want, at), at)
			if err != nil || !slices.Equal(got, want) {
				t.Fatalf("%+v became %+v: %v", want, got, err)
			}
		}
	}
}
