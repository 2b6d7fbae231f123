package api

import (
	"strings"
	"testing"
	"time"
)

// The response to a query and the explanation of a run report a missed deadline if and only if the
// deadline can no longer be met.
func TestMissedDeadlineIsReported(t *testing.T) {
	server := newTestServer(t, true)
	server.store = func(method, _, _ string) (int, string) {
		if method == "POST" {
			return 200, `{"epoch":8}`
		}
		return 404, `{"epoch":7}`
	}
	body := validJob(func(m map[string]any) { m["pieces"], m["expect_s"], m["due_s"] = 2, 30, 60 })
	if reply := server.request("POST", "/work", body); reply.Status != 201 {
		t.Fatalf("the job was not accepted: %d %s", reply.Status, reply.Body)
	}
	for _, c := range []struct {
		name    string
		elapsed time.Duration // time since the previous case
		want    string
	}{
		{"can be met", 20 * time.Second, ""},
		{
			"cannot be met",
			20 * time.Second,
			"its deadline in 20 s cannot be met: by expect_s it is done in 30 s at the earliest, with 2 tasks left",
		},
		{"passed", 30 * time.Second, "its deadline passed 10 s ago with 2 tasks left"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server.state.Now = server.state.Now.Add(c.elapsed - time.Second)
			status := string(server.request("GET", "/work/wk-1", "").Body)
			if !strings.Contains(status, `"status":"pending"`) || strings.Contains(status, "late") != (c.want != "") ||
				!strings.Contains(status, c.want) {
				t.Errorf("status: %s", status)
			}
			reason := runResources{server.Server}.Why("wk-1")
			if !strings.HasPrefix(reason, "2 tasks wait") || strings.Contains(reason, "deadline") != (c.want != "") ||
				!strings.HasSuffix(reason, c.want) {
				t.Errorf("explanation: %s", reason)
			}
		})
	}
}
