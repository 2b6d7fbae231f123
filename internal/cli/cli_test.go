package cli

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipelines"
)

const pipelineFile = `name: p
owner: t
defaults: {cores: 1, memory_gb: 1, bundle: b}
steps:
  - name: a
  - {name: b, needs: a}
`

const jobFile = `owner: t
shape: sweep
rank: standard
jobclass: c
pieces: 2
cores: 1
memory_gb: 1
bundle: b
`

// fakeController gives the next of its responses to each request. Once none is left, requests fail
// with a network error.
type fakeController struct {
	responses []string // "STATUS BODY"
	requests  []string // "METHOD TARGET BODY"
}

func (f *fakeController) do(_, method, target string, body []byte) (*http1.Message, error) {
	f.requests = append(f.requests, method+" "+target+" "+string(body))
	if len(f.responses) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	status, response, _ := strings.Cut(f.responses[0], " ")
	f.responses = f.responses[1:]
	code, err := strconv.Atoi(status)
	return &http1.Message{Status: code, Body: []byte(response)}, err
}

// execute runs a command line against a fake controller, with a fake clock. It returns the exit
// code and what was printed to standard output and standard error.
func execute(t *testing.T, f *fakeController, height int, args ...string) (code int, out, errOut string) {
	t.Helper()
	var outBuffer, errBuffer bytes.Buffer
	a := &app{out: &outBuffer, errOut: &errBuffer, height: func() int { return height }}
	a.newClient = func(servers []string, patience time.Duration) *client.Client {
		c := client.New(servers, patience)
		now := time.Unix(0, 0)
		c.Do = f.do
		c.Now = func() time.Time { return now }
		c.Sleep = func(d time.Duration) { now = now.Add(d) }
		return c
	}
	root := &cobra.Command{Use: "harrierreel", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(a.commands()...)
	root.SetArgs(args)
	code, text := ExitCode(root.Execute())
	return code, outBuffer.String(), errBuffer.String() + text
}

// runResponse returns a controller's response about a run of pipelineFile, with the states of the
// run and of its steps a and b.
func runResponse(state pipelines.RunState, a, b pipelines.StepState) string {
	status := pipelines.Status{
		ID:        "run-x",
		Name:      "p",
		Team:      "t",
		Status:    state,
		DurationS: 3,
		Steps: []pipelines.StepStatus{
			{
				Name:   "a",
				Status: a,
				JobID:  "wk-1",
				Tasks:  1,
			},
			{
				Name:    "b",
				Status:  b,
				JobID:   "wk-2",
				Tasks:   1,
				Needs:   []string{"a"},
				Explain: "waits for a to end",
			},
		},
	}
	return "200 " + string(status.Encode())
}

// writeFile writes a file in a temporary directory and returns its name.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "p.yaml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestPipelineRunExitCodeReflectsResult(t *testing.T) {
	name := writeFile(t, pipelineFile)
	for end, wantCode := range map[pipelines.RunState]int{
		pipelines.RunSucceeded: ExitDone,
		pipelines.RunFailed:    ExitFailed,
		pipelines.RunCancelled: ExitCancelled,
	} {
		t.Run(string(end), func(t *testing.T) {
			f := &fakeController{responses: []string{
				runResponse(pipelines.RunLive, pipelines.Submitted, pipelines.Waiting),
				"503 {}",
				runResponse(pipelines.RunLive, pipelines.Succeeded, pipelines.Submitted),
				runResponse(end, pipelines.Succeeded, pipelines.Cancelled),
			}}
			code, out, _ := execute(t, f, 0, "pipeline", "run", name, "--id", "run-x", "--server", "a:1")
			if code != wantCode {
				t.Errorf("exit code %d, want %d", code, wantCode)
			}
			if lines := strings.Count(out, "\n"); lines != 6 ||
				!strings.Contains(out, "succeeded  a") ||
				!strings.HasSuffix(out, string(end)+" after 3.0 s\n") {
				t.Errorf("%d lines:\n%s", lines, out)
			}
			if !strings.HasPrefix(f.requests[0], `POST /pipelines {"id":"run-x","pipeline":{`) ||
				f.requests[1] != "GET /pipelines/run-x " {
				t.Error(f.requests)
			}
		})
	}
}

// With JSON output, every line is an object that names its event.
func TestJSONOutputHasOneEventPerLine(t *testing.T) {
	f := &fakeController{responses: []string{
		runResponse(pipelines.RunLive, pipelines.Submitted, pipelines.Waiting),
		runResponse(pipelines.RunFailed, pipelines.Failed, pipelines.Skipped),
	}}
	name := writeFile(t, pipelineFile)
	code, out, _ := execute(t, f, 24, "pipeline", "run", name, "--server", "a:1", "-o", "json")
	var events []string
	for _, line := range strings.Split(strings.TrimSpace(out), "\n") {
		var v struct {
			Event, Run, Name, Status string
		}
		if err := json.Unmarshal([]byte(line), &v); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		events = append(events, v.Event)
	}
	if got := strings.Join(events, " "); code != ExitFailed || got != "accepted step step step ended" {
		t.Errorf("%d: %s", code, got)
	}
	code, out, _ = execute(t, &fakeController{}, 0, "pipeline", "check", writeFile(t, "name: x\n"), "-o", "json")
	if code != ExitUsage || strings.Count(out, `"event":"fault"`) != 2 {
		t.Errorf("%d: %s", code, out)
	}
}

func TestRunTableIsRedrawnInPlace(t *testing.T) {
	f := &fakeController{responses: []string{
		runResponse(pipelines.RunLive, pipelines.Running, pipelines.Waiting),
		runResponse(pipelines.RunSucceeded, pipelines.Succeeded, pipelines.Succeeded),
	}}
	_, out, _ := execute(t, f, 24, "pipeline", "run", writeFile(t, pipelineFile), "--server", "a:1")
	if strings.Count(out, "\x1b[4A\x1b[J") != 1 || strings.Count(out, "STEP") != 2 {
		t.Errorf("%q", out)
	}
}

func TestRunTableShowsActiveStepsFirstWithinLimit(t *testing.T) {
	status := &pipelines.Status{Status: pipelines.RunLive}
	for range 100 {
		status.Steps = append(status.Steps, pipelines.StepStatus{Name: "x", Status: pipelines.Waiting})
	}
	status.Steps[70].Status = pipelines.Running
	text := runTable(status, 10)
	if strings.Count(text, "\n") != 13 ||
		!strings.Contains(strings.Split(text, "\n")[1], "running") ||
		!strings.Contains(text, "and 90 more") ||
		!strings.Contains(text, "99 waiting") {
		t.Error(text)
	}
}

// commandCase is a command line with a controller's response and the expected result. If response
// is empty, the command sends no request or reaches no controller.
type commandCase struct {
	args     string
	response string
	code     int
	errOut   string // text that standard error must contain
}

func checkCommands(t *testing.T, cases map[string]commandCase) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &fakeController{}
			if c.response != "" {
				f.responses = []string{c.response}
			}
			code, out, errOut := execute(t, f, 0, strings.Fields(c.args)...)
			if code != c.code || !strings.Contains(errOut, c.errOut) {
				t.Errorf("%s: exit code %d, want %d; stdout %q, stderr %q", c.args, code, c.code, out, errOut)
			}
		})
	}
}

func TestPipelineRunExitCodes(t *testing.T) {
	run := "pipeline run " + writeFile(t, pipelineFile)
	const neverRuns = `422 {"error":"steps that can never run",` +
		`"faults":[{"path":"steps[1]","want":"can never run: unknown team"}]}`
	checkCommands(t, map[string]commandCase{
		"detached": {
			args:     run + " --server a:1 --detach",
			response: runResponse(pipelines.RunLive, pipelines.Ready, pipelines.Waiting),
		},
		"step can never run": {
			args:     run + " --server a:1",
			response: neverRuns,
			code:     2,
			errOut:   "p.yaml:6:5: steps[1]: can never run: unknown team",
		},
		"id is in use": {
			args:     run + " --server a:1",
			response: `409 {"error":"another pipeline has this id"}`,
			code:     2,
			errOut:   "another pipeline",
		},
		"invalid id":            {args: run + " --server a:1 --id RUN", code: 2, errOut: "--id"},
		"no server is given":    {args: run, code: 2, errOut: "HARRIERREEL_SERVER"},
		"server without a port": {args: run + " --server nowhere", code: 2, errOut: "not address:port"},
		"no controller answers": {args: run + " --server a:1,b:2", code: 4, errOut: "no controller reachable"},
		"file does not exist":   {args: "pipeline run none.yaml --server a:1", code: 2, errOut: "can't be opened"},
		"unknown command":       {args: "pipeline nonsense", code: 2, errOut: "unknown command"},
		"invalid id of status":  {args: "pipeline status nonsense --server a:1", code: 2, errOut: "no run's id"},
	})
}

func TestPipelineStatusExitCodes(t *testing.T) {
	failed := runResponse(pipelines.RunFailed, pipelines.Failed, pipelines.Skipped)
	checkCommands(t, map[string]commandCase{
		"status of a failed run": {args: "pipeline status run-x --server a:1", response: failed},
		"wait for a failed run":  {args: "pipeline status run-x --wait --server a:1", response: failed, code: 1},
		"status of an unknown run": {
			args:     "pipeline status run-x --server a:1",
			response: `404 {"error":"no such run"}`,
			code:     2,
			errOut:   "no such run",
		},
		"cancel": {
			args:     "pipeline cancel run-x --server a:1",
			response: runResponse(pipelines.RunCancelled, pipelines.Cancelled, pipelines.Cancelled),
		},
		"explain": {
			args:     "pipeline explain run-x --server a:1",
			response: runResponse(pipelines.RunLive, pipelines.Running, pipelines.Waiting),
		},
	})
}

func TestQuotaExitCodes(t *testing.T) {
	unknownField := writeFile(t, "quotas {\n  team {}\n  speed = 1\n}\n")
	checkCommands(t, map[string]commandCase{
		"show": {
			args: "quota show --server a:1",
			response: `200 {"number":2,"nodes":[{"path":"kenya/pricing","kind":"team","depth":2,` +
				`"used":{"accelerators":4},"waiting":3}]}`,
		},
		"show without quotas": {
			args:     "quota show --server a:1",
			response: `404 {"error":"no such path"}`,
			code:     2,
			errOut:   "no such path",
		},
		"apply without a flag": {
			args:   "quota apply " + writeFile(t, "quotas {}\n") + " --server a:1",
			code:   2,
			errOut: "--dry-run",
		},
		"apply a file without quotas": {
			args:   "quota apply " + writeFile(t, "pipelines {}\n") + " --server a:1 --yes",
			code:   2,
			errOut: "no quotas block",
		},
		"apply a file with an unknown field": {
			args:   "quota apply " + unknownField + " --server a:1 --yes",
			code:   2,
			errOut: "Unsupported argument",
		},
	})
}

func TestJobExitCodes(t *testing.T) {
	const cancelled = `200 {"uid":"wk-1","status":"cancelled"}`
	checkCommands(t, map[string]commandCase{
		"status": {
			args:     "status wk-1 --server a:1",
			response: `200 {"uid":"wk-1","status":"running","done":1,"running":2}`,
		},
		"invalid id":               {args: "status x --server a:1", code: 2, errOut: "no job's uid"},
		"cancel":                   {args: "cancel wk-1 --server a:1", response: cancelled},
		"wait for a cancelled job": {args: "wait wk-1 --server a:1", response: cancelled, code: 3},
		"wait for a job that is done": {
			args:     "wait wk-1 --server a:1 -o json",
			response: `200 {"uid":"wk-1","status":"done","done":1}`,
		},
		"unknown output format": {args: "wait wk-1 --server a:1 -o yaml", code: 2, errOut: "--output"},
		"wait for no job":       {args: "wait --server a:1", code: 2, errOut: "requires at least 1 arg"},
		"submit": {
			args:     "submit " + writeFile(t, jobFile) + " --server a:1",
			response: `201 {"uid":"wk-1","status":"pending"}`,
		},
		"submit a file with faults": {
			args:   "submit " + writeFile(t, "owner: t\npieces: 0\n") + " --server a:1",
			code:   2,
			errOut: "2:9: pieces",
		},
	})
}

// The reason why a job will be late is printed below the table, or in the job's JSON line.
func TestLateJobIsShownWithReason(t *testing.T) {
	const response = `200 {"uid":"wk-1","status":"running","done":1,"running":2,` +
		`"late":"its deadline passed 3 s ago with 2 tasks left"}`
	for format, want := range map[string]string{
		"text": "wk-1  running  1     2\nwk-1: its deadline passed 3 s ago with 2 tasks left\n",
		"json": `"late":"its deadline passed 3 s ago with 2 tasks left"`,
	} {
		t.Run(format, func(t *testing.T) {
			f := &fakeController{responses: []string{response}}
			_, out, _ := execute(t, f, 0, "status", "wk-1", "--server", "a:1", "-o", format)
			if !strings.Contains(out, want) {
				t.Errorf("output %q, want %q", out, want)
			}
		})
	}
}

const quotaFile = `quotas {
  organisation "kenya" {
    limit {
      accelerators = 8
    }
  }
}
`

// quota apply sends the number of the tree that it has just read, and reports faults and
// conflicting changes.
func TestQuotaApplySendsBaseAndReportsRefusals(t *testing.T) {
	name := writeFile(t, quotaFile)
	const request = `POST /quota {"base":7,"quotas":{"organisations":[` +
		`{"name":"kenya","limit":{"accelerators":8}}]}}`
	for result, c := range map[string]struct {
		response string
		code     int
		text     string
	}{
		"in force":               {`200 {"number":8}`, ExitDone, "tree 8 is in force"},
		"another tree meanwhile": {`409 {"number":8}`, ExitUsage, "another tree was put in force meanwhile"},
		"faults":                 {`400 {"error":"1 faults","faults":["kenya: wrong"]}`, ExitUsage, "kenya: wrong"},
		"unavailable":            {`503 {}`, ExitUnreachable, "no controller reachable"},
	} {
		t.Run(result, func(t *testing.T) {
			f := &fakeController{responses: []string{`200 {"number":7,"nodes":[]}`, c.response}}
			code, out, errOut := execute(t, f, 0, "quota", "apply", name, "--yes", "--server", "a:1")
			if code != c.code || !strings.Contains(out+errOut, c.text) {
				t.Errorf("exit code %d: %s%s; want %d: %s", code, out, errOut, c.code, c.text)
			}
			if !strings.HasPrefix(f.requests[1], request) {
				t.Error(f.requests[1])
			}
		})
	}
}

func TestQuotaDryRunShowsOverLimitAndStops(t *testing.T) {
	f := &fakeController{responses: []string{
		`200 {"number":7}`,
		`200 {"number":7,"over":[{"path":"kenya","by":{"accelerators":2}}],` +
			`"stops":[{"task":"wk-1/0","path":"kenya"}]}`,
	}}
	code, out, _ := execute(t, f, 0, "quota", "apply", writeFile(t, quotaFile), "--dry-run", "--server", "a:1")
	if code != 0 ||
		!strings.Contains(out, "kenya would be over its limit by 2g\nwk-1/0 would be stopped for kenya") ||
		!strings.Contains(f.requests[1], `"dry_run":true`) {
		t.Error(code, out, f.requests)
	}
}

// A job without an ID gets a random one in the protocol's format. The request has all required
// fields, including those that the file omits.
func TestSubmitSendsRandomIDAndAllFields(t *testing.T) {
	f := &fakeController{responses: []string{`201 {"uid":"wk-1","status":"pending"}`}}
	name := writeFile(t, `{"owner":"t","shape":"standing","rank":"prod","jobclass":"c","pieces":2,`+
		`"cores":1,"memory_gb":1,"bundle":"b","scatter":true}`)
	execute(t, f, 0, "submit", name, "--server", "a:1")
	body := []byte(strings.TrimPrefix(f.requests[0], "POST /work "))
	var sent struct {
		UID     string
		Scatter bool
	}
	if err := json.Unmarshal(body, &sent); err != nil || len(sent.UID) != 21 || !sent.Scatter {
		t.Errorf("%v %+v", err, f.requests)
	}
	if _, err := jobs.ParseSpec(body); err != nil {
		t.Errorf("%v %+v", err, f.requests)
	}
}
