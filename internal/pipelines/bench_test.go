package pipelines

import (
	"encoding/json"
	"fmt"
	"maps"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// thousandRuns returns the records of 1,000 runs with five steps and one live job each, and the
// jobs' states.
func thousandRuns(b *testing.B) (map[string]json.RawMessage, map[string]jobs.JobState) {
	b.Helper()
	var steps []string
	for i := range 5 {
		need := ""
		if i > 0 {
			need = fmt.Sprintf(`"needs":"s%d",`, i-1)
		}
		steps = append(steps, fmt.Sprintf(`{"name":"s%d",%s"timeout_s":900,%s}`, i, need, step))
	}
	doc := []byte(`{"name":"p","owner":"t","steps":[` + strings.Join(steps, ",") + `]}`)
	p, faults := CompileJSON(doc)
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	records, live := map[string]json.RawMessage{}, map[string]jobs.JobState{}
	for i := range 1000 {
		id := fmt.Sprintf("run-%d", i)
		r := NewRecord(p, doc, id, 1e12)
		r.Steps[0] = StepRun{State: Submitted, AcceptedMs: 1e12}
		records[id] = r.Encode()
		live[JobID(id, id, "s0", 0)] = jobs.Live
	}
	return records, live
}

func benchKeeper(b *testing.B, records map[string]json.RawMessage) *Keeper {
	b.Helper()
	k := NewKeeper(Limits{Runs: 2000, Steps: 20000, ValueBytes: 8 << 10, TxnOps: 16})
	for id, value := range records {
		if err := k.Changed(id, value); err != nil {
			b.Fatal(err)
		}
	}
	return k
}

// BenchmarkSweep measures the periodic examination of 1,000 owned runs of which nothing has
// changed, and the memory taken by an owned live run.
func BenchmarkSweep(b *testing.B) {
	records, live := thousandRuns(b)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	k := benchKeeper(b, records)
	c := &testController{keeper: k, jobs: live, now: time.Unix(1_900_000_000, 0), nowMs: 1e12}
	sweep := func() {
		c.now = c.now.Add(10 * time.Millisecond)
		k.lastSweep = time.Time{}
		for first := true; first || len(k.dirty) > 0; first = false {
			if changes, _ := c.pass(); len(changes) > 0 {
				b.Fatal("a run without events was changed")
			}
			k.lastSweep = c.now
		}
	}
	sweep()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		sweep()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(records)), "B/run")
}

// BenchmarkTakeOver measures decoding the records of 1,000 runs and examining the runs, as a
// controller does when it takes all of them over.
func BenchmarkTakeOver(b *testing.B) {
	records, live := thousandRuns(b)
	for b.Loop() {
		k := benchKeeper(b, maps.Clone(records))
		c := &testController{keeper: k, jobs: live, now: time.Unix(1_900_000_000, 0), nowMs: 1e12}
		for len(k.dirty) > 0 {
			c.pass()
		}
	}
}

// BenchmarkCompile measures the compilation of a document with a matrix of 200 steps.
func BenchmarkCompile(b *testing.B) {
	doc := []byte(`{"name":"p","owner":"t","steps":[{"name":"a",` + step + `},
		{"name":"m","needs":"a","when":"steps.a.outcome == 'succeeded'","matrix":{
			"x":[1,2,3,4,5,6,7,8,9,10],
			"y":[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20]},` + step + `}]}`)
	for b.Loop() {
		if p, _ := CompileJSON(doc); p == nil {
			b.Fatal("refused")
		}
	}
}
