package cli

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// allStepStates are the states of the steps of goldenRun, in the order of the golden files.
var allStepStates = []pipelines.StepState{
	pipelines.Waiting,
	pipelines.Ready,
	pipelines.Submitted,
	pipelines.Running,
	pipelines.Succeeded,
	pipelines.Failed,
	pipelines.Skipped,
	pipelines.Cancelling,
	pipelines.Cancelled,
}

// goldenRun returns a controller's response about a run with a step in each state.
func goldenRun(t *testing.T, runState pipelines.RunState) string {
	t.Helper()
	s := pipelines.Status{ID: "run-x", Name: "release", Team: "team", Status: runState, DurationS: 12.5}
	for i, state := range allStepStates {
		step := pipelines.StepStatus{
			Name:      fmt.Sprint("s", i),
			Status:    state,
			JobID:     fmt.Sprintf("wk-%06d", i),
			Attempt:   i % 2,
			Tasks:     4,
			Done:      i % 3,
			Running:   1,
			DurationS: float64(i) / 2,
			Explain:   "because",
		}
		if state == pipelines.Failed {
			step.Why = pipelines.TimedOut
			step.AllowFailure = true
			step.Needs = []string{"s1", "s2"}
		}
		s.Steps = append(s.Steps, step)
	}
	goldentest.RequireNonZeroFields(t, s.Steps[5])
	return "200 " + string(s.Encode())
}

var goldenBounds = quota.Bounds{Cores: 1.5, Accelerators: 2, MemoryGB: 3}

// goldenTree returns a response with a quota tree in which every field is set.
func goldenTree() string {
	return "200 " + string(quota.EncodeTree(7, []quota.View{
		{Kind: "root", Used: goldenBounds, Weight: 1},
		{
			Path:       "kenya",
			Kind:       quota.Organisation,
			Depth:      1,
			Used:       goldenBounds,
			Guaranteed: goldenBounds,
			Limit:      goldenBounds,
			Borrowed:   goldenBounds,
			Lent:       goldenBounds,
			Weight:     2,
			Waiting:    3,
			Why:        "at its limit",
		},
	}))
}

// goldenPreview returns a response about a quota tree that would put a node over its limit.
func goldenPreview() string {
	return "200 " + string(jobs.Encode(quota.Preview{
		Number: 7,
		Over:   []quota.Over{{Path: "kenya", By: goldenBounds}},
		Stops:  []quota.PreviewStop{{Task: "wk-000001/0", Path: "kenya"}},
	}))
}

// goldenCase is a command line with a controller's responses to its requests.
type goldenCase struct {
	args      string
	responses []string
}

func goldenJobCases() []goldenCase {
	const (
		late = `200 {"uid":"wk-000001","status":"running","done":1,"running":2,` +
			`"late":"its deadline passed 3 s ago with 2 tasks left"}`
		pending = `201 {"uid":"wk-000001","status":"pending"}`
		done    = `200 {"uid":"wk-000001","status":"done","done":4,"running":0}`
		stopped = `200 {"uid":"wk-000001","status":"cancelled","done":1,"running":0}`
	)
	return []goldenCase{
		{"submit testdata/golden/job.yaml", []string{pending}},
		{"submit testdata/golden/job.yaml --wait", []string{pending, late, done}},
		{"submit testdata/golden/job.yaml", []string{`422 {"error":"unknown team"}`}},
		{"submit testdata/golden/job-faults.yaml", nil},
		{"status wk-000001 wk-000002", []string{late, pending}},
		{"status wk-000001", []string{`404 {"error":"no such job"}`}},
		{"cancel wk-000001", []string{stopped}},
		{"wait wk-000001", []string{late, stopped}},
	}
}

func goldenPipelineCases(t *testing.T) []goldenCase {
	t.Helper()
	const neverRuns = `422 {"error":"steps that can never run","faults":[` +
		`{"path":"steps[1]","want":"can never run: unknown team"},` +
		`{"path":"steps[0].cores","want":"no","at_name":true}]}`
	live := goldenRun(t, pipelines.RunLive)
	failed := goldenRun(t, pipelines.RunFailed)
	return []goldenCase{
		{"pipeline check testdata/golden/pipeline.yaml", nil},
		{"pipeline check testdata/golden/pipeline-faults.yaml", nil},
		{"pipeline run testdata/golden/pipeline.yaml --id run-x", []string{live, live, failed}},
		{"pipeline run testdata/golden/pipeline.yaml --id run-x --detach", []string{live}},
		{"pipeline run testdata/golden/pipeline.yaml --id run-x", []string{neverRuns}},
		{"pipeline run testdata/golden/pipeline.yaml --id run-x", []string{`409 {"error":"another pipeline has this id"}`}},
		{"pipeline status run-x", []string{live}},
		{"pipeline status run-x --wait", []string{live, failed}},
		{"pipeline explain run-x", []string{live}},
		{"pipeline cancel run-x", []string{goldenRun(t, pipelines.RunCancelled)}},
		{"pipeline cancel run-x", []string{`404 {"error":"no such run"}`}},
	}
}

func goldenOperatorCases() []goldenCase {
	const faults = `400 {"error":"2 faults in the quotas","faults":["kenya: wrong","italia: wrong"]}`
	tree := goldenTree()
	preview := goldenPreview()
	return []goldenCase{
		{"quota show", []string{tree}},
		{"quota show", []string{`404 {"error":"no such path"}`}},
		{"quota apply testdata/golden/quotas.hcl --dry-run", []string{tree, preview}},
		{"quota apply testdata/golden/quotas.hcl --dry-run", []string{tree, `200 {"number":7}`}},
		{"quota apply testdata/golden/quotas.hcl --yes", []string{tree, `200 {"number":8}`}},
		{"quota apply testdata/golden/quotas.hcl --yes", []string{tree, `409 {"number":8}`}},
		{"quota apply testdata/golden/quotas.hcl --yes", []string{tree, faults}},
		{"quota apply testdata/golden/quotas.hcl --yes", []string{tree, `413 {"error":"too long"}`}},
		{"quota apply testdata/golden/calendar.hcl --yes", nil},
		{"calendar plan testdata/golden/calendar.hcl --from 2026-03-28 --days 2", nil},
		{"calendar plan testdata/golden/quotas.hcl --from 2026-03-28 --days 2", nil},
	}
}

// The requests, the output and the exit code of each command match the golden file.
func TestGoldenCommands(t *testing.T) {
	var out bytes.Buffer
	for _, c := range slices.Concat(goldenJobCases(), goldenPipelineCases(t), goldenOperatorCases()) {
		for _, format := range []string{"text", "json"} {
			args := strings.Fields(c.args)
			if args[0] != "calendar" && !strings.HasPrefix(c.args, "pipeline check") {
				args = append(args, "--server", "a:1")
			}
			f := &fakeController{responses: c.responses}
			code, printed, errOut := execute(t, f, 0, append(args, "-o", format)...)
			fmt.Fprintf(&out, "## %s, as %s: ends with %d\n", c.args, format, code)
			for _, request := range f.requests {
				fmt.Fprintf(&out, "asked: %s\n", request)
			}
			fmt.Fprintf(&out, "printed:\n%snoted:\n%s\n\n", printed, errOut)
		}
	}
	goldentest.Bytes(t, "verbs.txt", out.Bytes())
}

// The output on a terminal matches the golden file.
func TestGoldenTable(t *testing.T) {
	f := &fakeController{responses: []string{goldenRun(t, pipelines.RunLive), goldenRun(t, pipelines.RunSucceeded)}}
	_, out, _ := execute(t, f, 12, "pipeline", "run", "testdata/golden/pipeline.yaml", "--id", "run-x", "--server", "a:1")
	goldentest.Bytes(t, "drawn.txt", []byte(out))
}

// The commands, their flags and their help match the golden file.
func TestGoldenHelp(t *testing.T) {
	t.Setenv("HARRIERREEL_SERVER", "")
	var out bytes.Buffer
	a := &app{out: &bytes.Buffer{}, errOut: &bytes.Buffer{}, height: func() int { return 0 }}
	root := &cobra.Command{Use: "harrierreel"}
	root.AddCommand(a.commands()...)
	var visit func(c *cobra.Command)
	visit = func(c *cobra.Command) {
		fmt.Fprintf(&out, "## %s: %s\n%s", c.CommandPath(), c.Short, c.Flags().FlagUsages())
		for _, sub := range c.Commands() {
			visit(sub)
		}
	}
	visit(root)
	goldentest.Bytes(t, "help.txt", out.Bytes())
}

// The client's requests, messages and errors for each status match the golden file.
func TestGoldenClient(t *testing.T) {
	var out bytes.Buffer
	for _, status := range []int{200, 201, 400, 404, 405, 409, 413, 421, 422, 429, 500, 503, 504} {
		c := client.New([]string{"a:1", "b:2"}, 3*time.Second)
		now := time.Unix(0, 0)
		c.Now = func() time.Time { return now }
		c.Sleep = func(d time.Duration) { now = now.Add(d) }
		c.OnRetry = func(message string) { fmt.Fprintf(&out, "  %s\n", message) }
		c.Do = func(server, method, target string, body []byte) (*http1.Message, error) {
			fmt.Fprintf(&out, "  %s: %s %s %s\n", server, method, target, body)
			return &http1.Message{Status: status, Body: []byte(`{"error":"x"}`), RetryAfter: 1}, nil
		}
		fmt.Fprintf(&out, "answered %d\n", status)
		response, err := c.Call("POST", "/work", []byte(`{}`))
		if err != nil {
			fmt.Fprintf(&out, "  %v\n", err)
			continue
		}
		fmt.Fprintf(
			&out,
			"  %d %s by %s after %s; %v\n",
			response.Status,
			response.Body,
			response.Server,
			now.Sub(time.Unix(0, 0)),
			refusalError("wk-000001", response),
		)
	}
	for _, text := range []string{"", "a", "a:1, b:2,", "a:1,b"} {
		servers, err := client.Addresses(text)
		fmt.Fprintf(&out, "%q: %q %v\n", text, servers, err)
	}
	goldentest.Bytes(t, "client.txt", out.Bytes())
}
