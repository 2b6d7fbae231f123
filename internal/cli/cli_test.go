package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipelines"
)

const file = "name: p\nowner: t\ndefaults: {cores: 1, memory_gb: 1, bundle: b}\nsteps:\n  - name: a\n  - {name: b, needs: a}\n"

// front answers as a controller: each request takes the next answer.
type front struct {
	answers []string // "STATUS BODY"
	asked   []string
}

func (f *front) do(_, method, target string, body []byte) (*http1.Message, error) {
	f.asked = append(f.asked, method+" "+target+" "+string(body))
	if len(f.answers) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	status, answer, _ := strings.Cut(f.answers[0], " ")
	f.answers = f.answers[1:]
	m := &http1.Message{Body: []byte(answer)}
	for _, c := range status {
		m.Status = m.Status*10 + int(c-'0')
	}
	return m, nil
}

// play runs a command line against a front, on a clock that does not wait.
func play(t *testing.T, f *front, height int, args ...string) (code int, out, note string) {
	t.Helper()
	var o, n bytes.Buffer
	a := &app{out: &o, note: &n, height: func() int { return height }}
	a.dial = func(servers []string, patience time.Duration) *client.Client {
		c := client.New(servers, patience)
		now := time.Unix(0, 0)
		c.Do, c.Now, c.Sleep = f.do, func() time.Time { return now }, func(d time.Duration) { now = now.Add(d) }
		return c
	}
	root := &cobra.Command{Use: "harrierreel", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(a.commands()...)
	root.SetArgs(args)
	code, text := Code(root.Execute())
	return code, o.String(), n.String() + text
}

func runStatus(state pipelines.RunState, a, b pipelines.StepState) string {
	s := pipelines.Status{ID: "run-x", Name: "p", Owner: "t", Status: state, TookS: 3, Steps: []pipelines.StepStatus{
		{
			Name:   "a",
			Status: a,
			Job:    "wk-1",
			Tasks:  1,
		},
		{Name: "b", Status: b, Job: "wk-2", Tasks: 1, Needs: []string{"a"}, Explain: "waits for a to end"},
	}}
	return "200 " + string(s.Encode())
}

func write(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "p.yaml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestRunToItsEnd(t *testing.T) {
	name := write(t, file)
	for _, c := range []struct {
		end  pipelines.RunState
		code int
	}{{pipelines.RunSucceeded, ExitDone}, {pipelines.RunFailed, ExitFailed}, {pipelines.RunCancelled, ExitCancelled}} {
		f := &front{answers: []string{
			runStatus(pipelines.RunLive, pipelines.Submitted, pipelines.Waiting), "503 {}",
			runStatus(pipelines.RunLive, pipelines.Succeeded, pipelines.Submitted),
			runStatus(c.end, pipelines.Succeeded, pipelines.Cancelled),
		}}
		code, out, _ := play(t, f, 0, "pipeline", "run", name, "--id", "run-x", "--server", "a:1")
		if code != c.code {
			t.Errorf("%s ends with %d, not %d", c.end, code, c.code)
		}
		if n := strings.Count(
			out,
			"\n",
		); n != 6 || !strings.Contains(out, "succeeded  a") ||
			!strings.HasSuffix(out, string(c.end)+" after 3.0 s\n") {
			t.Errorf("%d lines:\n%s", n, out)
		}
		if !strings.HasPrefix(f.asked[0], `POST /pipelines {"id":"run-x","pipeline":{`) ||
			f.asked[1] != "GET /pipelines/run-x " {
			t.Error(f.asked)
		}
	}
}

// Every line of JSON is an object with a known event, whatever happens.
func TestJSONLines(t *testing.T) {
	f := &front{
		answers: []string{
			runStatus(pipelines.RunLive, pipelines.Submitted, pipelines.Waiting),
			runStatus(pipelines.RunFailed, pipelines.Failed, pipelines.Skipped),
		},
	}
	code, out, _ := play(t, f, 24, "pipeline", "run", write(t, file), "--server", "a:1", "-o", "json")
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
	code, out, _ = play(t, &front{}, 0, "pipeline", "check", write(t, "name: x\n"), "-o", "json")
	if code != ExitUsage || strings.Count(out, `"event":"fault"`) != 2 {
		t.Errorf("%d: %s", code, out)
	}
}

// On a terminal the table is drawn over itself, and fits.
func TestLiveView(t *testing.T) {
	f := &front{
		answers: []string{
			runStatus(pipelines.RunLive, pipelines.Running, pipelines.Waiting),
			runStatus(pipelines.RunSucceeded, pipelines.Succeeded, pipelines.Succeeded),
		},
	}
	_, out, _ := play(t, f, 24, "pipeline", "run", write(t, file), "--server", "a:1")
	if strings.Count(out, "\x1b[4A\x1b[J") != 1 || strings.Count(out, "STEP") != 2 {
		t.Errorf("%q", out)
	}
	s := &pipelines.Status{Status: pipelines.RunLive}
	for range 100 {
		s.Steps = append(s.Steps, pipelines.StepStatus{Name: "x", Status: pipelines.Waiting})
	}
	s.Steps[70].Status = pipelines.Running
	table := runTable(s, 10)
	if strings.Count(table, "\n") != 13 || !strings.Contains(strings.Split(table, "\n")[1], "running") ||
		!strings.Contains(table, "and 90 more") ||
		!strings.Contains(table, "99 waiting") {
		t.Error(table)
	}
}

func TestExits(t *testing.T) {
	good := write(t, file)
	fault := `422 {"error":"steps that can never run","faults":[{"path":"steps[1]","want":"can never run: unknown team"}]}`
	for _, c := range []struct {
		args   string
		answer string
		code   int
		says   string
	}{
		{"pipeline run " + good + " --server a:1 --detach", runStatus(pipelines.RunLive, pipelines.Ready, pipelines.Waiting), 0, ""},
		{"pipeline run " + good + " --server a:1", fault, 2, "p.yaml:6:5: steps[1]: can never run: unknown team"},
		{"pipeline run " + good + " --server a:1", `409 {"error":"another pipeline has this id"}`, 2, "another pipeline"},
		{"pipeline run " + good + " --server a:1 --id RUN", "", 2, "--id"},
		{"pipeline run " + good, "", 2, "HARRIERREEL_SERVER"},
		{"pipeline run " + good + " --server nowhere", "", 2, "not address:port"},
		{"pipeline run " + good + " --server a:1,b:2", "", 4, "no controller reachable"},
		{"pipeline run none.yaml --server a:1", "", 2, "can't be opened"},
		{"pipeline status run-x --server a:1", runStatus(pipelines.RunFailed, pipelines.Failed, pipelines.Skipped), 0, ""},
		{"pipeline status run-x --wait --server a:1", runStatus(pipelines.RunFailed, pipelines.Failed, pipelines.Skipped), 1, ""},
		{"pipeline status run-x --server a:1", `404 {"error":"no such run"}`, 2, "no such run"},
		{"pipeline status nonsense --server a:1", "", 2, "no run's id"},
		{"pipeline cancel run-x --server a:1", runStatus(pipelines.RunCancelled, pipelines.Cancelled, pipelines.Cancelled), 0, ""},
		{"pipeline explain run-x --server a:1", runStatus(pipelines.RunLive, pipelines.Running, pipelines.Waiting), 0, ""},
		{"pipeline nonsense", "", 2, "unknown command"},
		{"status wk-1 --server a:1", `200 {"uid":"wk-1","status":"running","done":1,"running":2}`, 0, ""},
		{"quota show --server a:1", `200 {"number":2,"nodes":[{"path":"kenya/pricing","kind":"team","depth":2,"used":{"accelerators":4},"waiting":3}]}`, 0, ""},
		{"quota show --server a:1", `404 {"error":"no such path"}`, 2, "no such path"},
		{"quota apply " + write(t, "quotas {}\n") + " --server a:1", "", 2, "--dry-run"},
		{"quota apply " + write(t, "pipelines {}\n") + " --server a:1 --yes", "", 2, "no quotas block"},
		{"quota apply " + write(t, "quotas {\n  team {}\n  speed = 1\n}\n") + " --server a:1 --yes", "", 2, "Unsupported argument"},
		{"status x --server a:1", "", 2, "no job's uid"},
		{"cancel wk-1 --server a:1", `200 {"uid":"wk-1","status":"cancelled"}`, 0, ""},
		{"wait wk-1 --server a:1", `200 {"uid":"wk-1","status":"cancelled"}`, 3, ""},
		{"wait wk-1 --server a:1 -o json", `200 {"uid":"wk-1","status":"done","done":1}`, 0, ""},
		{"wait wk-1 --server a:1 -o yaml", "", 2, "--output"},
		{"wait --server a:1", "", 2, "requires at least 1 arg"},
		{"submit " + write(t, "owner: t\nshape: sweep\nrank: standard\njobclass: c\npieces: 2\ncores: 1\nmemory_gb: 1\nbundle: b\n") + " --server a:1", `201 {"uid":"wk-1","status":"pending"}`, 0, ""},
		{"submit " + write(t, "owner: t\npieces: 0\n") + " --server a:1", "", 2, "2:9: pieces"},
	} {
		f := &front{}
		if c.answer != "" {
			f.answers = []string{c.answer}
		}
		code, out, note := play(t, f, 0, strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(note, c.says) {
			t.Errorf("%s: ends with %d, not %d; says %q, %q", c.args, code, c.code, out, note)
		}
	}
}

// Why a job will be late stands below the table, and in its JSON line.
func TestLateJobTold(t *testing.T) {
	const answer = `200 {"uid":"wk-1","status":"running","done":1,"running":2,"late":"its deadline passed 3 s ago with 2 tasks left"}`
	for args, want := range map[string]string{
		"status wk-1 --server a:1":         "wk-1  running  1     2\nwk-1: its deadline passed 3 s ago with 2 tasks left\n",
		"status wk-1 --server a:1 -o json": `"late":"its deadline passed 3 s ago with 2 tasks left"`,
	} {
		if _, out, _ := play(t, &front{answers: []string{answer}}, 0, strings.Fields(args)...); !strings.Contains(out, want) {
			t.Errorf("%s: %q", args, out)
		}
	}
}

// A tree is applied on the base that was just looked at; faults and races are told.
func TestApplyQuota(t *testing.T) {
	name := write(t, "quotas {\n  organisation \"kenya\" {\n    limit {\n      accelerators = 8\n    }\n  }\n}\n")
	for answer, want := range map[string]string{
		`200 {"number":8}`: "0 tree 8 is in force", `409 {"number":8}`: "2 another tree was put in force meanwhile",
		`400 {"error":"1 faults","faults":["kenya: wrong"]}`: "2 kenya: wrong", `503 {}`: "4 no controller reachable",
	} {
		f := &front{answers: []string{`200 {"number":7,"nodes":[]}`, answer}}
		code, out, note := play(t, f, 0, "quota", "apply", name, "--yes", "--server", "a:1")
		if got := fmt.Sprint(
			code,
			" ",
			out,
			note,
		); !strings.Contains(got, strings.TrimPrefix(want, want[:2])) ||
			code != int(want[0]-'0') {
			t.Errorf("%s: %s", answer, got)
		}
		if !strings.HasPrefix(
			f.asked[1],
			`POST /quota {"base":7,"quotas":{"organisations":[{"name":"kenya","limit":{"accelerators":8}}]}}`,
		) {
			t.Error(f.asked[1])
		}
	}
	f := &front{
		answers: []string{
			`200 {"number":7}`,
			`200 {"number":7,"over":[{"path":"kenya","by":{"accelerators":2}}],"stops":[{"task":"wk-1/0","path":"kenya"}]}`,
		},
	}
	code, out, _ := play(t, f, 0, "quota", "apply", name, "--dry-run", "--server", "a:1")
	if code != 0 || !strings.Contains(out, "kenya would be over its limit by 2g\nwk-1/0 would be stopped for kenya") ||
		!strings.Contains(f.asked[1], `"dry_run":true`) {
		t.Error(code, out, f.asked)
	}
}

// What is submitted without a uid gets one of the protocol's form, and goes out with every
// field that a submission has to have, also those that the file leaves out.
func TestSubmitted(t *testing.T) {
	f := &front{answers: []string{`201 {"uid":"wk-1","status":"pending"}`}}
	play(
		t,
		f,
		0,
		"submit",
		write(
			t,
			`{"owner":"t","shape":"standing","rank":"prod","jobclass":"c","pieces":2,"cores":1,"memory_gb":1,"bundle":"b","scatter":true}`,
		),
		"--server",
		"a:1",
	)
	var sent struct {
		UID     string
		Scatter bool
	}
	if err := json.Unmarshal(
		[]byte(strings.TrimPrefix(f.asked[0], "POST /work ")),
		&sent,
	); err != nil || len(sent.UID) != 21 ||
		!sent.Scatter {
		t.Errorf("%v %+v", err, f.asked)
	}
	if _, err := jobs.ParseSpec([]byte(strings.TrimPrefix(f.asked[0], "POST /work "))); err != nil {
		t.Errorf("%v %+v", err, f.asked)
	}
}
