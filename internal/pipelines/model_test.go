package pipelines

import (
	"encoding/json"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// step contains the required job fields of every step in the tests' documents.
const step = `"cores":1,"memory_gb":1,"bundle":"b"`

// documents are the documents for the randomized tests: chains, diamonds, conditions, retries,
// allowed failures and a matrix.
var documents = []string{
	`{"name":"p","owner":"t","steps":[
		{"name":"a",` + step + `},
		{"name":"b","needs":"a","repeats":2,` + step + `},
		{"name":"c","needs":["b"],` + step + `}]}`,
	`{"name":"p","owner":"t","steps":[
		{"name":"d","needs":["b","c"],` + step + `},
		{"name":"a",` + step + `},
		{"name":"b","needs":"a","allow_failure":true,"repeats":1,` + step + `},
		{"name":"c","needs":"a",` + step + `}]}`,
	`{"name":"p","owner":"t","steps":[
		{"name":"a","matrix":{"x":[1,2,3,4,5,6,7,8,9]},` + step + `},
		{"name":"f","needs":"a","when":"failure()",` + step + `},
		{"name":"z","needs":["a","f"],"when":"always()",` + step + `},
		{"name":"y","needs":["z"],"when":"steps.a.outcome == 'failed' || success()","timeout_s":30,` + step + `}]}`,
}

// wideDocument has 64 steps that are ready at once.
const wideDocument = `{"name":"p","owner":"t","steps":[
	{"name":"a","matrix":{"x":[1,2,3,4,5,6,7,8],"y":[1,2,3,4,5,6,7,8]},` + step + `}]}`

// timedDocument has one step with a timeout of 30 s.
const timedDocument = `{"name":"p","owner":"t","steps":[{"name":"a","timeout_s":30,` + step + `}]}`

// plainDocument has one step.
const plainDocument = `{"name":"p","owner":"t","steps":[{"name":"a",` + step + `}]}`

func yes(string) bool { return true }

func no(string) bool { return false }

func unlimitedBudget(int) bool { return true }

// storeModel is a model of the state service with one run and its jobs.
type storeModel struct {
	run         json.RawMessage
	ended       bool
	revision    int
	jobs        map[string]jobs.JobState
	submissions map[string]int // number of committed submissions of each job ID
}

// testController is a controller with its own, possibly outdated, copy of the store.
type testController struct {
	keeper   *Keeper
	revision int
	jobs     map[string]jobs.JobState
	doubted  map[string]bool
	now      time.Time // the monotonic clock
	nowMs    int64     // the wall clock
}

func (c *testController) Job(jobID string) (JobView, bool) {
	state, ok := c.jobs[jobID]
	return JobView{State: state, Running: 1, Probing: c.doubted[jobID]}, ok
}
func (c *testController) Final(string) (jobs.JobState, bool) { return "", false }
func (c *testController) Why(string) string                  { return "" }
func (c *testController) Infeasible(*jobs.Spec) string       { return "" }

// pass reconciles all runs.
func (c *testController) pass() (changes []Change, reads []string) {
	return c.keeper.Reconcile(c.now, c.nowMs, yes, no, unlimitedBudget, c)
}

// wait advances both clocks.
func (c *testController) wait(d time.Duration) {
	c.now = c.now.Add(d)
	c.nowMs += d.Milliseconds()
}

// sync updates the controller's copy of the store.
func (c *testController) sync(t *rapid.T, m *storeModel) {
	c.jobs = maps.Clone(m.jobs)
	if c.revision == m.revision {
		for jobID := range m.jobs {
			c.keeper.JobChanged(jobID)
		}
		return
	}
	c.revision = m.revision
	value := m.run
	if m.ended {
		value = nil
	}
	if err := c.keeper.Changed("run-1", value); err != nil {
		t.Fatal(err)
	}
}

// allows reports whether the preconditions of a controller's change hold.
func (m *storeModel) allows(c *testController, change *Change) bool {
	if c.revision != m.revision || m.ended {
		return false
	}
	for _, spec := range change.Submit {
		if _, exists := m.jobs[spec.ID]; exists {
			return false
		}
	}
	for _, jobID := range change.Cancel {
		if m.jobs[jobID] != jobs.Live {
			return false
		}
	}
	return true
}

// commit applies a change if its preconditions hold, and checks the result. It reports whether the
// change was committed.
func (m *storeModel) commit(t *rapid.T, c *testController, change *Change, p *Plan) bool {
	if !m.allows(c, change) {
		return false
	}
	before, err := Decode(m.run)
	if err != nil {
		t.Fatal(err)
	}
	after, err := Decode(change.Record)
	if err != nil {
		t.Fatal(err)
	}
	if before.State != RunLive && len(change.Submit) > 0 {
		t.Fatalf("jobs submitted while the run is %s", before.State)
	}
	m.run = change.Record
	m.ended = change.Ended
	m.revision++
	for _, jobID := range change.Cancel {
		m.jobs[jobID] = jobs.Cancelled
	}
	for _, spec := range change.Submit {
		m.jobs[spec.ID] = jobs.Live
		if m.submissions[spec.ID]++; m.submissions[spec.ID] > 1 {
			t.Fatalf("%s submitted twice", spec.ID)
		}
	}
	if change.Ended != after.State.Ended() {
		t.Fatalf("Ended is %v, but the run is %s", change.Ended, after.State)
	}
	if change.Ops() > c.keeper.limits.TxnOps {
		t.Fatalf("%d writes in one transaction", change.Ops())
	}
	m.check(t, before, after, p)
	return true
}

// check checks the invariants of a run: an ended step never changes state, no step starts before
// the steps that it depends on have ended, and no step has two live jobs.
func (m *storeModel) check(t *rapid.T, before, after *Record, p *Plan) {
	for i, s := range after.Steps {
		if previous := before.Steps[i]; previous.State.Ended() && s.State != previous.State {
			t.Fatalf("%s went from %s to %s", p.Steps[i].Name, previous.State, s.State)
		}
		if s.State != Waiting && s.State != Cancelled {
			for _, need := range p.Groups[p.Steps[i].Group].Needs {
				if _, ended := groupOutcome(p, need, after.Steps); !ended {
					t.Fatalf("%s is %s before %s has ended", p.Steps[i].Name, s.State, p.Groups[need].Name)
				}
			}
		}
		live := 0
		for r := 0; r <= p.Steps[i].MaxRetries+1; r++ {
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

// newController returns a controller with one run of a document, and the run's plan.
func newController(t *testing.T, doc string) (*testController, *Plan) {
	t.Helper()
	p, faults := CompileJSON([]byte(doc))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	c := &testController{
		keeper:  NewKeeper(Limits{Runs: 10, Steps: 1000, ValueBytes: 8 << 10, TxnOps: 16}),
		jobs:    map[string]jobs.JobState{},
		doubted: map[string]bool{},
		now:     time.Unix(1_900_000_000, 0),
		nowMs:   1e12,
	}
	c.keeper.SetRate(c.now, 1000)
	if err := c.keeper.Changed("run-1", NewRecord(p, []byte(doc), "salt", c.nowMs).Encode()); err != nil {
		t.Fatal(err)
	}
	return c, p
}

// advance advances the clocks by one second, reconciles, and commits the changes.
func (c *testController) advance(t *testing.T) []Change {
	t.Helper()
	c.wait(time.Second)
	changes, _ := c.pass()
	for _, change := range changes {
		for _, spec := range change.Submit {
			c.jobs[spec.ID] = jobs.Live
		}
		for _, jobID := range change.Cancel {
			c.jobs[jobID] = jobs.Cancelled
		}
		value := change.Record
		if change.Ended {
			value = nil
		}
		if err := c.keeper.Changed(change.ID, value); err != nil {
			t.Fatal(err)
		}
	}
	return changes
}

// step returns the state of a step of the run.
func (c *testController) step(t *testing.T, i int) StepRun {
	t.Helper()
	record, _ := c.keeper.Known("run-1")
	if record == nil {
		t.Fatal("the run has ended")
	}
	return record.Steps[i]
}
