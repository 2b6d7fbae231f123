package api

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// That a job is cancelled is acknowledged before any answer that tells it is sent, whoever
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
	for _, c := range []struct{ name, method, target, want string }{
		{"query of a cancelled job", "GET", "/work/wk-000001", "wk-000001"},
		{"cancellation of a cancelled job", "POST", "/work/wk-000001/abort", "wk-000001"},
		{"query of a job that is done", "GET", "/work/wk-000002", ""},
		{"cancellation of a job that is done", "POST", "/work/wk-000002/abort", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			server.fake.acknowledged = nil
			before := []string(nil)
			server.advance(time.Second)
			answered := false
			server.Request(&http1.Message{Method: c.method, Target: c.target}, func(reply http1.Reply) {
				before, answered = slices.Clone(server.fake.acknowledged), reply.Status == 200
			})
			if !answered || strings.Join(before, " ") != c.want {
				t.Errorf("answered %v, acknowledged before: %v", answered, before)
			}
		})
	}
}

// An answer is no older than what another controller has told a user, though neither the mirror
// nor the state service shows that here yet.
func TestAnswerIsNoOlderThanOneAcknowledgedElsewhere(t *testing.T) {
	server := newTestServer(t, false)
	record := jobs.Record{
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
	server.mirror.Put("job/wk-000001", jobs.Encode(record), 9)
	for _, c := range []struct{ name, cancelledElsewhere, want string }{
		{"nothing told elsewhere", "", "pending"},
		{"told cancelled elsewhere", "wk-000001", "cancelled"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server.fake.cancelledElsewhere, server.fake.acknowledged = c.cancelledElsewhere, nil
			reply := server.request("GET", "/work/wk-000001", "")
			if reply.Status != 200 || !strings.Contains(string(reply.Body), c.want) {
				t.Errorf("%d %s, not %s", reply.Status, reply.Body, c.want)
			}
			acknowledged := server.fake.acknowledged
			if c.cancelledElsewhere != "" && !slices.Equal(acknowledged, []string{c.cancelledElsewhere}) {
				t.Errorf("acknowledged %v", acknowledged)
			}
		})
	}
}
