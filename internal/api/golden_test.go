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

// transcript records requests and responses as they are sent over the wire.
type transcript struct {
	*testServer
	out         bytes.Buffer
	records     map[string]string // the records in the state service, by key
	txnResponse string            // the state service's response to transactions, as "200 {...}"
}

func newTranscript(t *testing.T, optional bool) *transcript {
	t.Helper()
	tr := &transcript{testServer: newTestServer(t, optional), records: map[string]string{}, txnResponse: `200 {"epoch":8}`}
	tr.store = func(method, target, _ string) (int, string) {
		key := strings.TrimPrefix(target, "/store/")
		switch {
		case method == "POST":
			status, response, _ := strings.Cut(tr.txnResponse, " ")
			code := 0
			_, _ = fmt.Sscan(status, &code)
			return code, response
		case tr.records[key] != "":
			return 200, `{"key":"` + key + `","v":` + tr.records[key] + `,"stamp":5}`
		}
		return 404, `{"epoch":7}`
	}
	return tr
}

// exchange makes a request, waits until there is a response, and appends both to the transcript.
func (tr *transcript) exchange(title, method, target, body string) {
	tr.advance(time.Second)
	var r http1.Reply
	tr.Request(&http1.Message{Method: method, Target: target, Body: []byte(body)}, func(reply http1.Reply) { r = reply })
	for range 20 {
		if r.Status != 0 {
			break
		}
		tr.advance(tuning.QueryRetry)
		tr.ReleaseHeld()
		tr.ReconcileQueries()
	}
	fmt.Fprintf(&tr.out, "## %s\n", title)
	tr.out.Write(http1.AppendRequest(nil, method, target, "n0:1", []byte(body), false))
	tr.out.WriteString("\n")
	tr.out.Write(http1.AppendResponse(nil, r.Status, r.Body, r.Close, r.RetryAfter))
	tr.out.WriteString("\n\n")
}

// check compares the transcript with a golden file.
func (tr *transcript) check(t *testing.T, name string) {
	t.Helper()
	goldentest.Bytes(t, name, tr.out.Bytes())
}

// All responses about jobs equal the golden file byte for byte.
func TestGoldenWork(t *testing.T) {
	tr := newTranscript(t, false)
	tr.recordJobStates()
	tr.recordRouting()
	tr.recordRefusedSubmissions()
	tr.check(t, "work.txt")
}

// recordJobStates records the responses about jobs in each state.
func (tr *transcript) recordJobStates() {
	due := func(m map[string]any) { m["due_s"], m["expect_s"], m["pieces"] = 60, 30, 2 }
	tr.exchange("accepted", "POST", "/work", validJob(due))
	tr.records["job/wk-1"] = string(jobs.Encode(tr.state.Jobs["wk-1"].Record))
	tr.exchange("accepted before", "POST", "/work", validJob(due))
	tr.exchange("pending", "GET", "/work/wk-1", "")
	tr.state.Now = tr.state.Now.Add(45 * time.Second)
	tr.exchange("late", "GET", "/work/wk-1", "")
	tr.state.Now = tr.state.Now.Add(45 * time.Second)
	tr.exchange("overdue", "GET", "/work/wk-1", "")
	_ = tr.state.ApplyMachine(
		"i-1",
		"n0",
		jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a", Endpoint: "w:1"}),
	)
	_, _ = tr.state.ApplyTaskRange(
		"task/wk-1/0",
		jobs.EncodeTaskRange(
			[]jobs.Task{{State: jobs.Placed, Machine: "i-1", Attempt: 3}, {State: jobs.Finished, Attempt: 1}},
			8192,
		),
	)
	tr.exchange("running", "GET", "/work/wk-1", "")
	tr.exchange("cancelled by its user", "POST", "/work/wk-1/abort", "")
	tr.exchange("once more", "POST", "/work/wk-1/abort", "")
	tr.exchange("cancelled", "GET", "/work/wk-1", "")
	tr.records["final/wk-2"] = `{"s":"done","n":3}`
	tr.exchange("done", "GET", "/work/wk-2", "")
	tr.exchange("done, handed in again", "POST", "/work", validJob(func(m map[string]any) { m["uid"] = "wk-2" }))
	tr.exchange("done, cancelled", "POST", "/work/wk-2/abort", "")
	tr.records["final/wk-3"] = `{"s":"cancelled","n":1}`
	tr.exchange("cancelled with a task done", "GET", "/work/wk-3", "")
	tr.exchange("unknown", "GET", "/work/wk-9", "")
	tr.exchange("unknown, cancelled", "POST", "/work/wk-9/abort", "")
}

// recordRouting records the responses that depend only on the path and the method.
func (tr *transcript) recordRouting() {
	tr.exchange("no uid", "GET", "/work/x", "")
	tr.exchange("other methods", "GET", "/work", "")
	tr.exchange("other methods", "POST", "/work/wk-1", "")
	tr.exchange("other methods", "GET", "/work/wk-1/abort", "")
	tr.exchange("other methods", "GET", "/agent/beat", "")
	tr.exchange("other methods", "POST", "/up", "")
	tr.exchange("up", "GET", "/up", "")
	tr.exchange("no path", "GET", "/nowhere", "")
	tr.exchange("no quotas", "GET", "/quota", "")
	tr.exchange("no pipelines", "GET", "/pipelines/run-1", "")
}

// recordRefusedSubmissions records submissions that are refused.
func (tr *transcript) recordRefusedSubmissions() {
	other := func(change func(map[string]any)) string {
		return validJob(func(m map[string]any) { m["uid"] = "wk-4"; change(m) })
	}
	tr.exchange("a field lacks", "POST", "/work", other(func(m map[string]any) { delete(m, "cores") }))
	tr.exchange("a field of another kind", "POST", "/work", other(func(m map[string]any) { m["cores"] = "two" }))
	tr.exchange("no JSON", "POST", "/work", "nonsense")
	tr.exchange("too long", "POST", "/work", other(func(m map[string]any) {
		types := []string{}
		for range 60 {
			types = append(types, strings.Repeat("b", 150))
		}
		m["builds"] = append(types, "g4")
	}))
	tr.exchange("fits no type", "POST", "/work", other(func(m map[string]any) { m["builds"] = []string{"g9"} }))
	tr.exchange(
		"over its team's limit",
		"POST",
		"/work",
		other(func(m map[string]any) { m["shape"], m["pieces"] = "ensemble", 5 }),
	)
	tr.exchange("no such team", "POST", "/work", other(func(m map[string]any) { m["owner"] = "x" }))
	tr.txnResponse = `409 {"failed":["view"],"epoch":8}`
	tr.exchange("another view", "POST", "/work", other(func(map[string]any) {}))
	tr.txnResponse = `500 {}`
	tr.exchange("no answer from the state service", "POST", "/work", other(func(map[string]any) {}))
	tr.fake.ready = false
	tr.exchange("not able", "POST", "/work", other(func(map[string]any) {}))
	tr.exchange("not able", "POST", "/work/wk-4/abort", "")
	tr.exchange("not up", "GET", "/up", "")
	tr.fake.ready = true
	tr.state.MachineTypes = nil
	tr.exchange("no types known", "POST", "/work", other(func(map[string]any) {}))
	tr.shedLoad("wk-4", func(r http1.Reply) {
		fmt.Fprintf(&tr.out, "## too many questions\n%s\n",
			http1.AppendResponse(nil, r.Status, r.Body, r.Close, r.RetryAfter))
	})
}

// goldenRun is a submission of a run with three steps.
const goldenRun = `{"id":"run-1","pipeline":{"name":"p","owner":"team",` +
	`"defaults":{"cores":1,"memory_gb":1,"bundle":"b"},"steps":[` +
	`{"name":"a","timeout_s":600,"pieces":2},` +
	`{"name":"b","needs":"a","allow_failure":true,"repeats":2},` +
	`{"name":"c","needs":["a","b"],"when":"always()"}]}}`

// goldenRunWith returns goldenRun with pairs of old and new strings replaced.
func goldenRunWith(replacements ...string) string {
	return strings.NewReplacer(replacements...).Replace(goldenRun)
}

// All responses about runs equal the golden file byte for byte.
func TestGoldenRuns(t *testing.T) {
	tr := newTranscript(t, true)
	tr.recordLiveRun()
	tr.recordRunRouting()
	tr.recordRefusedRuns()
	tr.recordEndedRuns(t)
	full := newTranscript(t, true)
	full.settings.Operator.Pipelines.MaxRuns = 1
	full.newRuns()
	full.exchange("the first", "POST", "/pipelines", goldenRun)
	full.exchange("too many runs", "POST", "/pipelines", goldenRunWith(`run-1`, `run-2`))
	tr.out.Write(full.out.Bytes())
	tr.check(t, "runs.txt")
}

// recordLiveRun records the responses about a live run.
func (tr *transcript) recordLiveRun() {
	tr.exchange("accepted", "POST", "/pipelines", goldenRun)
	tr.exchange("accepted before", "POST", "/pipelines", goldenRun)
	tr.exchange("another under its id", "POST", "/pipelines", goldenRunWith(`"cores":1`, `"cores":2`))
	tr.exchange("status", "GET", "/pipelines/run-1", "")
	tr.exchange("explained", "GET", "/pipelines/run-1/explain", "")
	jobID := ""
	for known := range tr.state.Jobs {
		jobID = known
	}
	_ = tr.state.ApplyMachine(
		"i-1",
		"n0",
		jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a", Endpoint: "w:1"}),
	)
	_, _ = tr.state.ApplyTaskRange(
		"task/"+jobID+"/0",
		jobs.EncodeTaskRange([]jobs.Task{{State: jobs.Placed, Machine: "i-1", Attempt: 3}, {State: jobs.Pending}}, 8192),
	)
	tr.exchange("status, running", "GET", "/pipelines/run-1", "")
	tr.exchange("explained, running", "GET", "/pipelines/run-1/explain", "")
}

// recordRunRouting records the responses that depend only on the path and the method.
func (tr *transcript) recordRunRouting() {
	tr.exchange("unknown", "GET", "/pipelines/run-9", "")
	tr.exchange("unknown, cancelled", "POST", "/pipelines/run-9/abort", "")
	tr.exchange("no id", "GET", "/pipelines/RUN", "")
	tr.exchange("no verb", "GET", "/pipelines/run-1/nonsense", "")
	tr.exchange("other methods", "GET", "/pipelines", "")
	tr.exchange("other methods", "POST", "/pipelines/run-1", "")
	tr.exchange("other methods", "GET", "/pipelines/run-1/abort", "")
}

// recordRefusedRuns records submissions of runs that are refused.
func (tr *transcript) recordRefusedRuns() {
	tr.exchange("no JSON", "POST", "/pipelines", "nonsense")
	tr.exchange("fields of another kind", "POST", "/pipelines", `{"id":7,"pipeline":{}}`)
	tr.exchange("no id", "POST", "/pipelines", goldenRunWith(`run-1`, `RUN`))
	faults := goldenRunWith(`run-1`, `run-2`, `"cores":1,`, `"cores":-1,"speed":2,`, `"needs":"a"`, `"needs":"z"`)
	tr.exchange("faults", "POST", "/pipelines", faults)
	tr.exchange("can never run", "POST", "/pipelines", goldenRunWith(`run-1`, `run-2`, `"cores":1`, `"cores":100`))
	tr.exchange("no such team", "POST", "/pipelines", goldenRunWith(`run-1`, `run-2`, `"owner":"team"`, `"owner":"x"`))
	var elements []string
	for i := range 150 { // with incompressible image names
		var image strings.Builder
		for k := range 3 {
			fmt.Fprintf(&image, "%x", sha256.Sum256([]byte{byte(i), byte(k)}))
		}
		elements = append(elements, fmt.Sprintf(`{"name":"s%d","cores":1,"memory_gb":1,"bundle":"%s"}`, i, image.String()))
	}
	tr.exchange(
		"too long",
		"POST",
		"/pipelines",
		`{"id":"run-2","pipeline":{"name":"p","owner":"team","steps":[`+strings.Join(elements, ",")+`]}}`,
	)
	tr.txnResponse = `409 {"failed":["view"],"epoch":8}`
	tr.exchange("another view", "POST", "/pipelines", goldenRunWith(`run-1`, `run-2`))
	tr.fake.ready = false
	tr.exchange("not able", "POST", "/pipelines", goldenRunWith(`run-1`, `run-2`))
	tr.exchange("not able", "POST", "/pipelines/run-1/abort", "")
	tr.fake.ready = true
}

// recordEndedRuns records the responses about runs that have ended.
func (tr *transcript) recordEndedRuns(t *testing.T) {
	t.Helper()
	tr.fake.commit = func(decisions []decide.Decision) {
		for _, decision := range decisions {
			tr.mirror.ApplyCommit(decision.Writes, 9)
			for _, write := range decision.Writes {
				tr.records[write.Put] = string(write.Value)
			}
			decision.OnSettled(true)
		}
	}
	tr.exchange("cancelled by its user", "POST", "/pipelines/run-1/abort", "")
	tr.exchange("explained, cancelled", "GET", "/pipelines/run-1/explain", "")
	tr.records["ran/run-3"] = string(endedRunRecord(t))
	tr.exchange("ended", "GET", "/pipelines/run-3", "")
	tr.exchange("ended, explained", "GET", "/pipelines/run-3/explain", "")
	tr.exchange("ended, cancelled", "POST", "/pipelines/run-3/abort", "")
	tr.records["ran/run-4"] = `{"v":99}`
	tr.exchange("of another version", "GET", "/pipelines/run-4", "")
}

// endedRunRecord returns the record of an ended run that has a step for each state and cause.
func endedRunRecord(t *testing.T) json.RawMessage {
	t.Helper()
	steps := []pipelines.StepRun{
		{State: pipelines.Succeeded},
		{State: pipelines.Failed, Cause: pipelines.TimedOut},
		{State: pipelines.Failed, Cause: pipelines.InDoubt},
		{State: pipelines.Failed, Cause: pipelines.JobAborted},
		{State: pipelines.Failed, Cause: pipelines.NeverRuns},
		{State: pipelines.Failed, Cause: pipelines.JobIDTaken},
		{State: pipelines.Failed, Cause: pipelines.JobNotFound},
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
		if s.Attempt = i % 3; s.State == pipelines.Succeeded || s.State == pipelines.Failed {
			s.AcceptedMs, s.EndMs = 1e12+500, 1e12+2750
		}
		record.Steps[i] = s
	}
	return record.Encode()
}

// goldenQuota is a valid quota tree for the teams of testSettings.
const goldenQuota = `{"grace_s":30,"organisations":[{"name":"kenya","weight":2,` +
	`"guarantee":{"accelerators":2},"limit":{"accelerators":3},` +
	`"teams":[{"name":"team","classes":[{"name":"c","limit":{"accelerators":2}}]}]}]}`

// All responses about quotas equal the golden file byte for byte.
func TestGoldenQuota(t *testing.T) {
	tr := newTranscript(t, true)
	tr.recordQuotaInForce()
	tr.recordReplacedQuota()
	tr.recordRefusedQuotas()
	tr.check(t, "quota.txt")
}

// recordQuotaInForce records the responses before and after the first tree is in force.
func (tr *transcript) recordQuotaInForce() {
	tr.settings.Cluster.Objectives = []settings.Objective{{Class: "c"}}
	tr.exchange("none in force", "POST", "/quota", `{"base":0,"quotas":`+goldenQuota+`}`)
	tr.exchange("none in force", "GET", "/quota", "")
	tr.mirror.Changed = func(key string, value json.RawMessage, _ uint64) {
		if key == quota.StoreKey {
			tr.ApplyQuota(value)
		}
	}
	tr.mirror.Put(quota.StoreKey, jobs.Encode(quota.NewStored(3, 1e12, quota.Document{})), 9)
	_ = tr.state.ApplyJob(
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
	_ = tr.state.ApplyMachine(
		"i-1",
		"n0",
		jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a", Endpoint: "w:1"}),
	)
	_, _ = tr.state.ApplyTaskRange(
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
	tr.exchange("the tree", "GET", "/quota", "")
}

// recordReplacedQuota records the responses to requests that replace the tree.
func (tr *transcript) recordReplacedQuota() {
	tr.exchange("tried", "POST", "/quota", `{"base":3,"dry_run":true,"quotas":`+goldenQuota+`}`)
	tr.exchange("of another base", "POST", "/quota", `{"base":2,"quotas":`+goldenQuota+`}`)
	tr.txnResponse = `409 {"failed":["quota"],"epoch":8}`
	tr.exchange("another came first", "POST", "/quota", `{"base":3,"quotas":`+goldenQuota+`}`)
	tr.txnResponse = `500 {}`
	tr.exchange("no answer from the state service", "POST", "/quota", `{"base":3,"quotas":`+goldenQuota+`}`)
	tr.txnResponse = `200 {"epoch":10}`
	tr.exchange("put in force", "POST", "/quota", `{"base":3,"quotas":`+goldenQuota+`}`)
	tr.exchange("put in force before", "POST", "/quota", `{"base":3,"quotas":`+goldenQuota+`}`)
	tr.exchange("the tree", "GET", "/quota", "")
}

// recordRefusedQuotas records the trees that are refused.
func (tr *transcript) recordRefusedQuotas() {
	tr.exchange(
		"faults",
		"POST",
		"/quota",
		`{"base":4,"quotas":{"grace_s":-1,"teams":[{"name":"nobody","weight":-1,"classes":[{"name":"z"}]}]}}`,
	)
	tr.exchange("no such field", "POST", "/quota", `{"base":4,"quotas":{"speed":1}}`)
	tr.exchange("a field of another kind", "POST", "/quota", `{"base":"4","quotas":{}}`)
	tr.exchange("a field of another kind, further in", "POST", "/quota",
		`{"base":4,"quotas":{"organisations":[{"name":7}]}}`)
	tr.exchange("no JSON", "POST", "/quota", "nonsense")
	tr.exchange("another method", "DELETE", "/quota", "")
	var elements []string
	for i := range 200 {
		elements = append(elements, fmt.Sprintf(`{"name":"organisation-with-a-long-name-%d","weight":2}`, i))
	}
	tr.exchange("too long", "POST", "/quota", `{"base":4,"quotas":{"organisations":[`+strings.Join(elements, ",")+`]}}`)
	tr.fake.ready = false
	tr.exchange("not able", "POST", "/quota", `{"base":4,"quotas":{}}`)
}
