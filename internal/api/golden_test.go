package api

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// transcript is requests and answers as they go over the wire.
type transcript struct {
	*testServer
	out  bytes.Buffer
	kept map[string]string // records that the state service has
	post string            // its answer to transactions, "200 {...}"
}

func newTranscript(t *testing.T, on bool) *transcript {
	t.Helper()
	x := &transcript{testServer: newTestServer(t, on), kept: map[string]string{}, post: `200 {"epoch":8}`}
	x.store = func(method, target, _ string) (int, string) {
		key := strings.TrimPrefix(target, "/store/")
		switch {
		case method == "POST":
			status, answer, _ := strings.Cut(x.post, " ")
			code := 0
			_, _ = fmt.Sscan(status, &code)
			return code, answer
		case x.kept[key] != "":
			return 200, `{"key":"` + key + `","v":` + x.kept[key] + `,"stamp":5}`
		}
		return 404, `{"epoch":7}`
	}
	return x
}

func (x *transcript) note(title, method, target, body string) {
	x.advance(time.Second)
	var r http1.Reply
	x.Request(&http1.Message{Method: method, Target: target, Body: []byte(body)}, func(answer http1.Reply) { r = answer })
	for range 20 {
		if r.Status != 0 {
			break
		}
		x.advance(tuning.QueryRetry)
		x.ReleaseHeld()
		x.ReconcileQueries()
	}
	fmt.Fprintf(&x.out, "## %s\n", title)
	x.out.Write(http1.AppendRequest(nil, method, target, "n0:1", []byte(body), false))
	x.out.WriteString("\n")
	x.out.Write(http1.AppendResponse(nil, r.Status, r.Body, r.Close, r.RetryAfter))
	x.out.WriteString("\n\n")
}

func (x *transcript) check(t *testing.T, name string) {
	t.Helper()
	goldentest.Bytes(t, name, x.out.Bytes())
}

// Every answer about a job keeps its form, byte for byte.
func TestGoldenWork(t *testing.T) {
	x := newTranscript(t, false)
	x.noteJobStates()
	x.noteRouting()
	x.noteRefusedSubmissions()
	x.check(t, "work.txt")
}

// noteJobStates notes the answers about jobs in each state.
func (x *transcript) noteJobStates() {
	due := func(m map[string]any) { m["due_s"], m["expect_s"], m["pieces"] = 60, 30, 2 }
	x.note("accepted", "POST", "/work", validJob(due))
	x.kept["job/wk-1"] = string(jobs.Encode(x.state.Jobs["wk-1"].Record))
	x.note("accepted before", "POST", "/work", validJob(due))
	x.note("pending", "GET", "/work/wk-1", "")
	x.state.Now = x.state.Now.Add(45 * time.Second)
	x.note("late", "GET", "/work/wk-1", "")
	x.state.Now = x.state.Now.Add(45 * time.Second)
	x.note("overdue", "GET", "/work/wk-1", "")
	_ = x.state.ApplyMachine(
		"i-1",
		"n0",
		jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a", Endpoint: "w:1"}),
	)
	_, _ = x.state.ApplyTaskRange(
		"task/wk-1/0",
		jobs.EncodeTaskRange(
			[]jobs.Task{{State: jobs.Placed, Machine: "i-1", Attempt: 3}, {State: jobs.Finished, Attempt: 1}},
			8192,
		),
	)
	x.note("running", "GET", "/work/wk-1", "")
	x.note("cancelled by its user", "POST", "/work/wk-1/abort", "")
	x.note("once more", "POST", "/work/wk-1/abort", "")
	x.note("cancelled", "GET", "/work/wk-1", "")
	x.kept["final/wk-2"] = `{"s":"done","n":3}`
	x.note("done", "GET", "/work/wk-2", "")
	x.note("done, handed in again", "POST", "/work", validJob(func(m map[string]any) { m["uid"] = "wk-2" }))
	x.note("done, cancelled", "POST", "/work/wk-2/abort", "")
	x.kept["final/wk-3"] = `{"s":"cancelled","n":1}`
	x.note("cancelled with a task done", "GET", "/work/wk-3", "")
	x.note("unknown", "GET", "/work/wk-9", "")
	x.note("unknown, cancelled", "POST", "/work/wk-9/abort", "")
}

// noteRouting notes the answers that depend on the path and the method alone.
func (x *transcript) noteRouting() {
	x.note("no uid", "GET", "/work/x", "")
	x.note("other methods", "GET", "/work", "")
	x.note("other methods", "POST", "/work/wk-1", "")
	x.note("other methods", "GET", "/work/wk-1/abort", "")
	x.note("other methods", "GET", "/agent/beat", "")
	x.note("other methods", "POST", "/up", "")
	x.note("up", "GET", "/up", "")
	x.note("no path", "GET", "/nowhere", "")
	x.note("no quotas", "GET", "/quota", "")
	x.note("no pipelines", "GET", "/pipelines/run-1", "")
}

// noteRefusedSubmissions notes the submissions that are not accepted.
func (x *transcript) noteRefusedSubmissions() {
	other := func(change func(map[string]any)) string {
		return validJob(func(m map[string]any) { m["uid"] = "wk-4"; change(m) })
	}
	x.note("a field lacks", "POST", "/work", other(func(m map[string]any) { delete(m, "cores") }))
	x.note("a field of another kind", "POST", "/work", other(func(m map[string]any) { m["cores"] = "two" }))
	x.note("no JSON", "POST", "/work", "nonsense")
	x.note("too long", "POST", "/work", other(func(m map[string]any) {
		types := []string{}
		for range 60 {
			types = append(types, strings.Repeat("b", 150))
		}
		m["builds"] = append(types, "g4")
	}))
	x.note("fits no type", "POST", "/work", other(func(m map[string]any) { m["builds"] = []string{"g9"} }))
	x.note(
		"over its team's limit",
		"POST",
		"/work",
		other(func(m map[string]any) { m["shape"], m["pieces"] = "ensemble", 5 }),
	)
	x.note("no such team", "POST", "/work", other(func(m map[string]any) { m["owner"] = "x" }))
	x.post = `409 {"failed":["view"],"epoch":8}`
	x.note("another view", "POST", "/work", other(func(map[string]any) {}))
	x.post = `500 {}`
	x.note("no answer from the state service", "POST", "/work", other(func(map[string]any) {}))
	x.fake.able = false
	x.note("not able", "POST", "/work", other(func(map[string]any) {}))
	x.note("not able", "POST", "/work/wk-4/abort", "")
	x.note("not up", "GET", "/up", "")
	x.fake.able = true
	x.state.MachineTypes = nil
	x.note("no types known", "POST", "/work", other(func(map[string]any) {}))
	x.shedLoad("wk-4", func(r http1.Reply) {
		fmt.Fprintf(&x.out, "## too many questions\n%s\n", http1.AppendResponse(nil, r.Status, r.Body, r.Close, r.RetryAfter))
	})
}

// goldenRun is a submission of a run of three steps.
const goldenRun = `{"id":"run-1","pipeline":{"name":"p","owner":"team",` +
	`"defaults":{"cores":1,"memory_gb":1,"bundle":"b"},"steps":[` +
	`{"name":"a","timeout_s":600,"pieces":2},` +
	`{"name":"b","needs":"a","allow_failure":true,"repeats":2},` +
	`{"name":"c","needs":["a","b"],"when":"always()"}]}}`

// goldenRunWith is goldenRun after replacements.
func goldenRunWith(oldnew ...string) string {
	return strings.NewReplacer(oldnew...).Replace(goldenRun)
}

// Every answer about a run keeps its form, byte for byte.
func TestGoldenRuns(t *testing.T) {
	x := newTranscript(t, true)
	x.noteLiveRun()
	x.noteRunRouting()
	x.noteRefusedRuns()
	x.noteEndedRuns(t)
	full := newTranscript(t, true)
	full.settings.Operator.Pipelines.MaxRuns = 1
	full.newRuns()
	full.note("the first", "POST", "/pipelines", goldenRun)
	full.note("too many runs", "POST", "/pipelines", goldenRunWith(`run-1`, `run-2`))
	x.out.Write(full.out.Bytes())
	x.check(t, "runs.txt")
}

// noteLiveRun notes the answers about a live run.
func (x *transcript) noteLiveRun() {
	x.note("accepted", "POST", "/pipelines", goldenRun)
	x.note("accepted before", "POST", "/pipelines", goldenRun)
	x.note("another under its id", "POST", "/pipelines", goldenRunWith(`"cores":1`, `"cores":2`))
	x.note("status", "GET", "/pipelines/run-1", "")
	x.note("explained", "GET", "/pipelines/run-1/explain", "")
	jobID := ""
	for known := range x.state.Jobs {
		jobID = known
	}
	_ = x.state.ApplyMachine(
		"i-1",
		"n0",
		jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a", Endpoint: "w:1"}),
	)
	_, _ = x.state.ApplyTaskRange(
		"task/"+jobID+"/0",
		jobs.EncodeTaskRange([]jobs.Task{{State: jobs.Placed, Machine: "i-1", Attempt: 3}, {State: jobs.Pending}}, 8192),
	)
	x.note("status, running", "GET", "/pipelines/run-1", "")
	x.note("explained, running", "GET", "/pipelines/run-1/explain", "")
}

// noteRunRouting notes the answers that depend on the path and the method alone.
func (x *transcript) noteRunRouting() {
	x.note("unknown", "GET", "/pipelines/run-9", "")
	x.note("unknown, cancelled", "POST", "/pipelines/run-9/abort", "")
	x.note("no id", "GET", "/pipelines/RUN", "")
	x.note("no verb", "GET", "/pipelines/run-1/nonsense", "")
	x.note("other methods", "GET", "/pipelines", "")
	x.note("other methods", "POST", "/pipelines/run-1", "")
	x.note("other methods", "GET", "/pipelines/run-1/abort", "")
}

// noteRefusedRuns notes the submissions of runs that are not accepted.
func (x *transcript) noteRefusedRuns() {
	x.note("no JSON", "POST", "/pipelines", "nonsense")
	x.note("fields of another kind", "POST", "/pipelines", `{"id":7,"pipeline":{}}`)
	x.note("no id", "POST", "/pipelines", goldenRunWith(`run-1`, `RUN`))
	faults := goldenRunWith(`run-1`, `run-2`, `"cores":1,`, `"cores":-1,"speed":2,`, `"needs":"a"`, `"needs":"z"`)
	x.note("faults", "POST", "/pipelines", faults)
	x.note("can never run", "POST", "/pipelines", goldenRunWith(`run-1`, `run-2`, `"cores":1`, `"cores":100`))
	x.note("no such team", "POST", "/pipelines", goldenRunWith(`run-1`, `run-2`, `"owner":"team"`, `"owner":"x"`))
	var long []string
	for i := range 150 { // of texts that can't be compressed
		var image strings.Builder
		for k := range 3 {
			fmt.Fprintf(&image, "%x", sha256.Sum256([]byte{byte(i), byte(k)}))
		}
		long = append(long, fmt.Sprintf(`{"name":"s%d","cores":1,"memory_gb":1,"bundle":"%s"}`, i, image.String()))
	}
	x.note(
		"too long",
		"POST",
		"/pipelines",
		`{"id":"run-2","pipeline":{"name":"p","owner":"team","steps":[`+strings.Join(long, ",")+`]}}`,
	)
	x.post = `409 {"failed":["view"],"epoch":8}`
	x.note("another view", "POST", "/pipelines", goldenRunWith(`run-1`, `run-2`))
	x.fake.able = false
	x.note("not able", "POST", "/pipelines", goldenRunWith(`run-1`, `run-2`))
	x.note("not able", "POST", "/pipelines/run-1/abort", "")
	x.fake.able = true
}

// noteEndedRuns notes the answers about runs that have ended.
func (x *transcript) noteEndedRuns(t *testing.T) {
	t.Helper()
	x.fake.commit = func(decisions []decide.Decision) {
		for _, decision := range decisions {
			x.mirror.ApplyCommit(decision.Writes, 9)
			for _, write := range decision.Writes {
				x.kept[write.Put] = string(write.Value)
			}
			decision.OnSettled(true)
		}
	}
	x.note("cancelled by its user", "POST", "/pipelines/run-1/abort", "")
	x.note("explained, cancelled", "GET", "/pipelines/run-1/explain", "")
	x.kept["ran/run-3"] = string(ended(t))
	x.note("ended", "GET", "/pipelines/run-3", "")
	x.note("ended, explained", "GET", "/pipelines/run-3/explain", "")
	x.note("ended, cancelled", "POST", "/pipelines/run-3/abort", "")
	x.kept["ran/run-4"] = `{"v":99}`
	x.note("of another version", "GET", "/pipelines/run-4", "")
}

// ended is a run's record with a step in each state and for each cause.
func ended(t *testing.T) json.RawMessage {
	t.Helper()
	steps := []pipelines.StepRun{
		{State: pipelines.Succeeded},
		{State: pipelines.Failed, Cause: pipelines.TimedOut},
		{State: pipelines.Failed, Cause: pipelines.InDoubt},
		{State: pipelines.Failed, Cause: pipelines.JobAborted},
		{State: pipelines.Failed, Cause: pipelines.NeverRuns},
		{State: pipelines.Failed, Cause: pipelines.JobIDTaken},
		{State: pipelines.Failed, Cause: pipelines.JobForgotten},
		{State: pipelines.Skipped, Cause: pipelines.WhenFalse},
		{State: pipelines.Skipped, Cause: pipelines.WhenBroken},
		{State: pipelines.Cancelled, Cause: pipelines.RunAborted},
		{State: pipelines.Cancelling},
		{State: pipelines.Ready},
		{State: pipelines.Waiting},
	}
	var doc []string
	for i := range steps {
		doc = append(
			doc,
			fmt.Sprintf(`{"name":"s%d","cores":1,"memory_gb":1,"bundle":"b","repeats":2,"allow_failure":%v}`, i, i == 3),
		)
	}
	request, refusal := pipelines.ParseRequest(
		[]byte(`{"id":"run-3","pipeline":{"name":"p","owner":"team","steps":[` + strings.Join(doc, ",") + `]}}`),
	)
	if refusal != nil {
		t.Fatal(refusal)
	}
	record := pipelines.NewRecord(request.Plan, request.Document, "salt", 1e12)
	record.State, record.EndMs = pipelines.RunFailed, 1e12+5500
	for i, s := range steps {
		if s.Repeat = i % 3; s.State == pipelines.Succeeded || s.State == pipelines.Failed {
			s.AcceptedMs, s.EndMs = 1e12+500, 1e12+2750
		}
		record.Steps[i] = s
	}
	return record.Encode()
}

// goldenQuota is a quota tree that fits the teams.
const goldenQuota = `{"grace_s":30,"organisations":[{"name":"kenya","weight":2,` +
	`"guarantee":{"accelerators":2},"limit":{"accelerators":3},` +
	`"teams":[{"name":"team","classes":[{"name":"c","limit":{"accelerators":2}}]}]}]}`

// Every answer about quotas keeps its form, byte for byte.
func TestGoldenQuota(t *testing.T) {
	x := newTranscript(t, true)
	x.noteQuotaInForce()
	x.noteReplacedQuota()
	x.noteRefusedQuotas()
	x.check(t, "quota.txt")
}

// noteQuotaInForce notes the answers before and after the first tree is in force.
func (x *transcript) noteQuotaInForce() {
	x.settings.Cluster.Objectives = []settings.Objective{{Class: "c"}}
	x.note("none in force", "POST", "/quota", `{"base":0,"quotas":`+goldenQuota+`}`)
	x.note("none in force", "GET", "/quota", "")
	x.mirror.Changed = func(key string, value json.RawMessage, _ uint64) {
		if key == quota.StoreKey {
			x.ApplyQuota(value)
		}
	}
	x.mirror.Put(quota.StoreKey, jobs.Encode(quota.NewStored(3, 1e12, quota.Document{})), 9)
	_ = x.state.ApplyJob(
		"wk-1",
		jobs.Encode(
			jobs.Record{
				State: jobs.Live,
				Spec: jobs.Spec{
					ID:           "wk-1",
					Class:        "c",
					Team:         "team",
					Kind:         jobs.JobArray,
					Priority:     "standard",
					TaskCount:    4,
					Cores:        1,
					Accelerators: 1,
					MemoryGB:     1,
					Image:        "b",
				},
			},
		),
	)
	_ = x.state.ApplyMachine(
		"i-1",
		"n0",
		jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a", Endpoint: "w:1"}),
	)
	_, _ = x.state.ApplyTaskRange(
		"task/wk-1/0",
		jobs.EncodeTaskRange(
			[]jobs.Task{
				{State: jobs.Placed, Machine: "i-1", Attempt: 1},
				{State: jobs.Placed, Machine: "i-1", Attempt: 1},
				{State: jobs.Placed, Machine: "i-1", Attempt: 1},
			},
			8192,
		),
	)
	x.note("the tree", "GET", "/quota", "")
}

// noteReplacedQuota notes the answers to another tree.
func (x *transcript) noteReplacedQuota() {
	x.note("tried", "POST", "/quota", `{"base":3,"dry_run":true,"quotas":`+goldenQuota+`}`)
	x.note("of another base", "POST", "/quota", `{"base":2,"quotas":`+goldenQuota+`}`)
	x.post = `409 {"failed":["quota"],"epoch":8}`
	x.note("another came first", "POST", "/quota", `{"base":3,"quotas":`+goldenQuota+`}`)
	x.post = `500 {}`
	x.note("no answer from the state service", "POST", "/quota", `{"base":3,"quotas":`+goldenQuota+`}`)
	x.post = `200 {"epoch":10}`
	x.note("put in force", "POST", "/quota", `{"base":3,"quotas":`+goldenQuota+`}`)
	x.note("put in force before", "POST", "/quota", `{"base":3,"quotas":`+goldenQuota+`}`)
	x.note("the tree", "GET", "/quota", "")
}

// noteRefusedQuotas notes the trees that are refused.
func (x *transcript) noteRefusedQuotas() {
	x.note(
		"faults",
		"POST",
		"/quota",
		`{"base":4,"quotas":{"grace_s":-1,"teams":[{"name":"nobody","weight":-1,"classes":[{"name":"z"}]}]}}`,
	)
	x.note("no such field", "POST", "/quota", `{"base":4,"quotas":{"speed":1}}`)
	x.note("a field of another kind", "POST", "/quota", `{"base":"4","quotas":{}}`)
	x.note("a field of another kind, further in", "POST", "/quota", `{"base":4,"quotas":{"organisations":[{"name":7}]}}`)
	x.note("no JSON", "POST", "/quota", "nonsense")
	x.note("another method", "DELETE", "/quota", "")
	var long []string
	for i := range 200 {
		long = append(long, fmt.Sprintf(`{"name":"organisation-with-a-long-name-%d","weight":2}`, i))
	}
	x.note("too long", "POST", "/quota", `{"base":4,"quotas":{"organisations":[`+strings.Join(long, ",")+`]}}`)
	x.fake.able = false
	x.note("not able", "POST", "/quota", `{"base":4,"quotas":{}}`)
}
