package api

import (
	"strings"
	"testing"
	"time"
)

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
