package api

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

const pipeline = `{"id":"run-1","pipeline":{"name":"p","owner":"team","steps":[{"name":"a","cores":1,"memory_gb":1,"bundle":"b"}]}}`

func TestRequestsAreRefusedWithTheirStatus(t *testing.T) {
	for _, c := range []struct {
		on, able             bool
		method, target, body string
		status               int
		says                 string
	}{
		{false, true, "POST", "/pipelines", pipeline, 404, ""},
		{false, true, "GET", "/quota", "", 404, ""},
		{false, true, "POST", "/agent/beat", "", 299, ""},
		{true, true, "GET", "/pipelines", "", 405, ""},
		{true, true, "POST", "/pipelines", "nonsense", 400, "body"},
		{true, true, "POST", "/pipelines", strings.Replace(pipeline, `"cores":1,`, `"cores":-1,"speed":2,`, 1), 400, `"path":"steps[0].speed"`},
		{true, true, "POST", "/pipelines", strings.Replace(pipeline, `"cores":1`, `"cores":100`, 1), 422, `"path":"steps[0]"`},
		{true, true, "POST", "/pipelines", strings.Replace(pipeline, `"owner":"team"`, `"owner":"nobody"`, 1), 422, "unknown team"},
		{true, false, "POST", "/pipelines", pipeline, 503, ""},
		{true, true, "GET", "/pipelines/run-9", "", 404, "no such run"},
		{true, true, "POST", "/pipelines/run-9/abort", "", 404, ""},
		{true, true, "GET", "/pipelines/RUN/explain", "", 404, ""},
		{true, true, "GET", "/pipelines/run-9/nonsense", "", 404, ""},
		{true, false, "POST", "/pipelines/run-9/abort", "", 503, ""},
		{true, true, "POST", "/quota", `{"base":1,"quotas":{"teams":[{"name":"nobody"}]}}`, 400, "no team is called"},
		{true, true, "POST", "/quota", `{"base":1,"quotas":{"speed":1}}`, 400, "speed"},
		{true, true, "DELETE", "/work", "", 405, ""},
		{true, true, "GET", "/up", "", 200, ""},
		{true, false, "GET", "/up", "", 503, ""},
		{true, true, "GET", "/nowhere", "", 404, ""},
	} {
		server := newTestServer(t, c.on)
		server.fake.able = c.able
		r := server.request(c.method, c.target, c.body)
		if r.Status != c.status || !strings.Contains(string(r.Body), c.says) || c.status == 503 && r.RetryAfter == 0 {
			t.Errorf("%s %s able %v: %d %s", c.method, c.target, c.able, r.Status, r.Body)
		}
	}
}

// A run is accepted with the jobs of its first steps in one transaction; the same
// again is 200, another under its id 409.
func TestRunIsAcceptedOnce(t *testing.T) {
	server := newTestServer(t, true)
	body := ""
	server.store = func(method, _, sent string) (int, string) {
		if method == "POST" {
			body = sent
			return 200, `{"epoch":8}`
		}
		return 404, `{"epoch":7}`
	}
	if r := server.request(
		"POST",
		"/pipelines",
		pipeline,
	); r.Status != 201 ||
		!strings.Contains(string(r.Body), `"status":"submitted"`) {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
	if strings.Count(body, `"write":`) != 2 || !strings.Contains(body, `"key":"ran/run-1"`) ||
		!strings.Contains(body, `"key":"view"`) {
		t.Error(body)
	}
	server.mirror.Epoch = 8
	if r := server.request("POST", "/pipelines", pipeline); r.Status != 200 {
		t.Errorf("again: %d %s", r.Status, r.Body)
	}
	if r := server.request("POST", "/pipelines", strings.Replace(pipeline, `"cores":1`, `"cores":2`, 1)); r.Status != 409 {
		t.Errorf("another: %d %s", r.Status, r.Body)
	}
}

// A question about a job, and a run's explanation, say that a deadline cannot be met once
// it can't, and only then.
func TestMissedDeadlineIsReported(t *testing.T) {
	server := newTestServer(t, true)
	server.store = func(method, _, _ string) (int, string) {
		if method == "POST" {
			return 200, `{"epoch":8}`
		}
		return 404, `{"epoch":7}`
	}
	if r := server.request(
		"POST",
		"/work",
		`{"uid":"wk-1","jobclass":"c","owner":"team","shape":"sweep","rank":"standard","pieces":2,"cores":1,"accelerators":1,"memory_gb":1,"bundle":"b","pull_gb":1,"same_place":false,"scatter":false,"loaner":false,"expect_s":30,"snapshot_s":0,"stash_s":0,"due_s":60}`,
	); r.Status != 201 {
		t.Fatalf("%d %s", r.Status, r.Body)
	}
	tell := func(after time.Duration) (status, why string) {
		server.state.Now = server.state.Now.Add(after - time.Second)
		return string(server.request("GET", "/work/wk-1", "").Body), runResources{server.Server}.Why("wk-1")
	}
	for _, c := range []struct {
		after time.Duration
		says  string
	}{
		{20 * time.Second, ""},
		{20 * time.Second, "its deadline in 20 s cannot be met: by expect_s it is done in 30 s at the earliest, with 2 tasks left"},
		{30 * time.Second, "its deadline passed 10 s ago with 2 tasks left"},
	} {
		status, why := tell(c.after)
		if !strings.Contains(status, `"status":"pending"`) || strings.Contains(status, "late") != (c.says != "") ||
			!strings.Contains(status, c.says) {
			t.Errorf("after %s more: %s", c.after, status)
		}
		if !strings.HasPrefix(why, "2 tasks wait") || strings.Contains(why, "deadline") != (c.says != "") ||
			!strings.HasSuffix(why, c.says) {
			t.Errorf("after %s more, explained: %s", c.after, why)
		}
	}
}

// A job whose record would pass a value's limit once its end is added could never end:
// it is refused as it comes, the largest that can end is not.
func TestAcceptedRecordFitsWithItsEnd(t *testing.T) {
	body := func(image int) string {
		return `{"uid":"wk-1","jobclass":"c","owner":"team","shape":"sweep","rank":"standard","pieces":100000,"cores":1,"accelerators":1,"memory_gb":1,"bundle":"` + strings.Repeat(
			"b",
			image,
		) + `","pull_gb":1,"same_place":false,"scatter":false,"loaner":false,"expect_s":1,"snapshot_s":0,"stash_s":0}`
	}
	accepted := 0
	for image := 8192; image > 0; image-- {
		server := newTestServer(t, false)
		record := ""
		server.store = func(method, _, sent string) (int, string) {
			if method == "POST" {
				record = sent
				return 200, `{"epoch":8}`
			}
			return 404, `{"epoch":7}`
		}
		r := server.request("POST", "/work", body(image))
		if r.Status == 400 && record == "" {
			continue
		}
		if accepted++; r.Status != 201 {
			t.Fatal(r.Status, string(r.Body))
		}
		j := server.state.Jobs["wk-1"]
		j.DoneCount = j.Record.Spec.TaskCount - 1
		for _, state := range []jobs.JobState{jobs.Done, jobs.Cancelled} {
			for _, w := range completion.FinalWrites(j, state, 1<<62) {
				if len(w.Value) > 8192 {
					t.Fatalf("%d bytes in %s as %s", len(w.Value), w.Put, state)
				}
			}
		}
		break
	}
	if accepted != 1 {
		t.Error("no job was accepted")
	}
}

// That a job is cancelled is noted before any answer that tells it leaves, whoever
// cancelled it; that it is done is not.
func TestCancellationIsAcknowledgedBeforeItsAnswer(t *testing.T) {
	server := newTestServer(t, false)
	finals := map[string]string{"final/wk-000001": "cancelled", "final/wk-000002": "done"}
	server.store = func(_, target, _ string) (int, string) {
		key := strings.TrimPrefix(target, "/store/")
		if s, ok := finals[key]; ok {
			return 200, `{"key":"` + key + `","v":{"s":"` + s + `","n":1},"stamp":5}`
		}
		return 404, `{"epoch":7}`
	}
	for _, c := range []struct{ method, target, want string }{
		{"GET", "/work/wk-000001", "wk-000001"},
		{"POST", "/work/wk-000001/abort", "wk-000001"},
		{"GET", "/work/wk-000002", ""},
		{"POST", "/work/wk-000002/abort", ""},
	} {
		server.fake.acknowledged = nil
		before := []string(nil)
		server.advance(time.Second)
		answered := false
		server.Request(&http1.Message{Method: c.method, Target: c.target}, func(r http1.Reply) {
			before, answered = slices.Clone(server.fake.acknowledged), r.Status == 200
		})
		if !answered || strings.Join(before, " ") != c.want {
			t.Errorf("%s %s: answered %v, noted %v", c.method, c.target, answered, before)
		}
	}
}

// What another controller has told is not answered with something older, though neither
// the mirror nor the state service shows it here yet.
func TestAnswerIsNoOlderThanOneAcknowledgedElsewhere(t *testing.T) {
	server := newTestServer(t, false)
	rec := jobs.Record{
		State: jobs.Live,
		Spec: jobs.Spec{
			ID:        "wk-000001",
			Class:     "c",
			Team:      "team",
			Kind:      jobs.JobArray,
			Priority:  "standard",
			TaskCount: 1,
			Cores:     1,
			MemoryGB:  1,
			Image:     "b",
		},
	}
	server.mirror.Put("job/wk-000001", jobs.Encode(rec), 9)
	for _, heard := range []string{"", "wk-000001"} {
		server.fake.cancelledElsewhere, server.fake.acknowledged = heard, nil
		want := "pending"
		if heard != "" {
			want = "cancelled"
		}
		if r := server.request("GET", "/work/wk-000001", ""); r.Status != 200 || !strings.Contains(string(r.Body), want) {
			t.Errorf("heard %q: %d %s", heard, r.Status, r.Body)
		}
		if heard != "" && !slices.Equal(server.fake.acknowledged, []string{heard}) {
			t.Errorf("noted %v", server.fake.acknowledged)
		}
	}
}
