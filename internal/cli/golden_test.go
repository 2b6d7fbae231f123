package cli

import (
	"bytes"
	"fmt"
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

// goldenRun is a run's status with a step in each state.
func goldenRun(t *testing.T, state pipelines.RunState) string {
	t.Helper()
	s := pipelines.Status{ID: "run-x", Name: "release", Owner: "team", Status: state, TookS: 12.5}
	for i, x := range []pipelines.StepState{pipelines.Waiting, pipelines.Ready, pipelines.Submitted, pipelines.Running, pipelines.Succeeded, pipelines.Failed, pipelines.Skipped, pipelines.Cancelling, pipelines.Cancelled} {
		step := pipelines.StepStatus{
			Name:    fmt.Sprint("s", i),
			Status:  x,
			Job:     fmt.Sprintf("wk-%06d", i),
			Repeat:  i % 2,
			Tasks:   4,
			Done:    i % 3,
			Running: 1,
			TookS:   float64(i) / 2,
			Explain: "because",
		}
		if x == pipelines.Failed {
			step.Why, step.AllowFailure, step.Needs = pipelines.TimedOut, true, []string{"s1", "s2"}
		}
		s.Steps = append(s.Steps, step)
	}
	goldentest.Filled(t, s.Steps[5])
	return "200 " + string(s.Encode())
}

// Every verb sends what it sent, and prints and ends as it did, byte for byte.
func TestGoldenVerbs(t *testing.T) {
	const at = "testdata/golden/"
	bound := quota.Bounds{Cores: 1.5, Accelerators: 2, MemoryGB: 3}
	tree := "200 " + string(quota.EncodeTree(7, []quota.View{
		{Kind: "root", Used: bound, Weight: 1},
		{
			Path:       "kenya",
			Kind:       quota.Organisation,
			Depth:      1,
			Used:       bound,
			Guaranteed: bound,
			Limit:      bound,
			Borrowed:   bound,
			Lent:       bound,
			Weight:     2,
			Waiting:    3,
			Why:        "at its limit",
		},
	}))
	preview := "200 " + string(
		jobs.Encode(
			quota.Preview{
				Number: 7,
				Over:   []quota.Over{{Path: "kenya", By: bound}},
				Stops:  []quota.PreviewStop{{Task: "wk-000001/0", Path: "kenya"}},
			},
		),
	)
	const (
		late    = `200 {"uid":"wk-000001","status":"running","done":1,"running":2,"late":"its deadline passed 3 s ago with 2 tasks left"}`
		plain   = `201 {"uid":"wk-000001","status":"pending"}`
		done    = `200 {"uid":"wk-000001","status":"done","done":4,"running":0}`
		stopped = `200 {"uid":"wk-000001","status":"cancelled","done":1,"running":0}`
		never   = `422 {"error":"steps that can never run","faults":[{"path":"steps[1]","want":"can never run: unknown team"},{"path":"steps[0].cores","want":"no","at_name":true}]}`
	)
	live, failed := goldenRun(t, pipelines.RunLive), goldenRun(t, pipelines.RunFailed)
	var out bytes.Buffer
	for _, c := range []struct {
		args    string
		answers []string
	}{
		{"submit " + at + "job.yaml", []string{plain}},
		{"submit " + at + "job.yaml --wait", []string{plain, late, done}},
		{"submit " + at + "job.yaml", []string{`422 {"error":"unknown team"}`}},
		{"submit " + at + "job-faults.yaml", nil},
		{"status wk-000001 wk-000002", []string{late, plain}},
		{"status wk-000001", []string{`404 {"error":"no such job"}`}},
		{"cancel wk-000001", []string{stopped}},
		{"wait wk-000001", []string{late, stopped}},
		{"pipeline check " + at + "pipeline.yaml", nil},
		{"pipeline check " + at + "pipeline-faults.yaml", nil},
		{"pipeline run " + at + "pipeline.yaml --id run-x", []string{live, live, failed}},
		{"pipeline run " + at + "pipeline.yaml --id run-x --detach", []string{live}},
		{"pipeline run " + at + "pipeline.yaml --id run-x", []string{never}},
		{"pipeline run " + at + "pipeline.yaml --id run-x", []string{`409 {"error":"another pipeline has this id"}`}},
		{"pipeline status run-x", []string{live}},
		{"pipeline status run-x --wait", []string{live, failed}},
		{"pipeline explain run-x", []string{live}},
		{"pipeline cancel run-x", []string{goldenRun(t, pipelines.RunCancelled)}},
		{"pipeline cancel run-x", []string{`404 {"error":"no such run"}`}},
		{"quota show", []string{tree}},
		{"quota show", []string{`404 {"error":"no such path"}`}},
		{"quota apply " + at + "quotas.hcl --dry-run", []string{tree, preview}},
		{"quota apply " + at + "quotas.hcl --dry-run", []string{tree, `200 {"number":7}`}},
		{"quota apply " + at + "quotas.hcl --yes", []string{tree, `200 {"number":8}`}},
		{"quota apply " + at + "quotas.hcl --yes", []string{tree, `409 {"number":8}`}},
		{"quota apply " + at + "quotas.hcl --yes", []string{tree, `400 {"error":"2 faults in the quotas","faults":["kenya: wrong","italia: wrong"]}`}},
		{"quota apply " + at + "quotas.hcl --yes", []string{tree, `413 {"error":"too long"}`}},
		{"quota apply " + at + "calendar.hcl --yes", nil},
		{"calendar plan " + at + "calendar.hcl --from 2026-03-28 --days 2", nil},
		{"calendar plan " + at + "quotas.hcl --from 2026-03-28 --days 2", nil},
	} {
		for _, form := range []string{"text", "json"} {
			args := strings.Fields(c.args)
			if args[0] != "calendar" && !strings.HasPrefix(c.args, "pipeline check") {
				args = append(args, "--server", "a:1")
			}
			f := &front{answers: c.answers}
			code, printed, note := play(t, f, 0, append(args, "-o", form)...)
			fmt.Fprintf(&out, "## %s, as %s: ends with %d\n", c.args, form, code)
			for _, asked := range f.asked {
				fmt.Fprintf(&out, "asked: %s\n", asked)
			}
			fmt.Fprintf(&out, "printed:\n%snoted:\n%s\n\n", printed, note)
		}
	}
	goldentest.Bytes(t, "verbs.txt", out.Bytes())
}

// What a terminal is drawn keeps.
func TestGoldenTable(t *testing.T) {
	f := &front{answers: []string{goldenRun(t, pipelines.RunLive), goldenRun(t, pipelines.RunSucceeded)}}
	_, out, _ := play(t, f, 12, "pipeline", "run", "testdata/golden/pipeline.yaml", "--id", "run-x", "--server", "a:1")
	goldentest.Bytes(t, "drawn.txt", []byte(out))
}

// The verbs, their flags and their help keep.
func TestGoldenHelp(t *testing.T) {
	t.Setenv("HARRIERREEL_SERVER", "")
	var out bytes.Buffer
	a := &app{out: &bytes.Buffer{}, note: &bytes.Buffer{}, height: func() int { return 0 }}
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

// A client asks one controller after the other, and says so, as ever.
func TestGoldenClient(t *testing.T) {
	var out bytes.Buffer
	for _, status := range []int{200, 201, 400, 404, 405, 409, 413, 421, 422, 429, 500, 503, 504} {
		c := client.New([]string{"a:1", "b:2"}, 3*time.Second)
		now := time.Unix(0, 0)
		c.Now, c.Sleep = func() time.Time { return now }, func(d time.Duration) { now = now.Add(d) }
		c.Note = func(what string) { fmt.Fprintf(&out, "  %s\n", what) }
		c.Do = func(server, method, target string, body []byte) (*http1.Message, error) {
			fmt.Fprintf(&out, "  %s: %s %s %s\n", server, method, target, body)
			return &http1.Message{Status: status, Body: []byte(`{"error":"x"}`), RetryAfter: 1}, nil
		}
		fmt.Fprintf(&out, "answered %d\n", status)
		ans, err := c.Call("POST", "/work", []byte(`{}`))
		if err != nil {
			fmt.Fprintf(&out, "  %v\n", err)
			continue
		}
		fmt.Fprintf(
			&out,
			"  %d %s by %s after %s; %v\n",
			ans.Status,
			ans.Body,
			ans.Server,
			now.Sub(time.Unix(0, 0)),
			refused("wk-000001", ans),
		)
	}
	for _, text := range []string{"", "a", "a:1, b:2,", "a:1,b"} {
		servers, err := client.Addresses(text)
		fmt.Fprintf(&out, "%q: %q %v\n", text, servers, err)
	}
	goldentest.Bytes(t, "client.txt", out.Bytes())
}
