package api

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// A cancellation is acknowledged to the other controllers before any response that reports it is
// sent, whoever cancelled the job. The completion of a job needs no such acknowledgement.
func TestCancellationIsAcknowledgedBeforeResponse(t *testing.T) {
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
		{"query of a finished job", "GET", "/work/wk-000002", ""},
		{"cancellation of a finished job", "POST", "/work/wk-000002/abort", ""},
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
				t.Errorf("answered %v, acknowledged before the response: %v", answered, before)
			}
		})
	}
}

// A response is no older than what another controller has told a user, even if this controller does
// not see that state in the mirror or the state service yet.
func TestResponseIsNoOlderThanOneAcknowledgedElsewhere(t *testing.T) {
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
		{"nothing reported elsewhere", "", "pending"},
		{"reported as cancelled elsewhere", "wk-000001", "cancelled"},
	} {
		t.Run(c.name, func(t *testing.T) {
			server.fake.cancelledElsewhere, server.fake.acknowledged = c.cancelledElsewhere, nil
			reply := server.request("GET", "/work/wk-000001", "")
			if reply.Status != 200 || !strings.Contains(string(reply.Body), c.want) {
				t.Errorf("got %d %s, want %s", reply.Status, reply.Body, c.want)
			}
			acknowledged := server.fake.acknowledged
			if c.cancelledElsewhere != "" && !slices.Equal(acknowledged, []string{c.cancelledElsewhere}) {
				t.Errorf("acknowledged %v", acknowledged)
			}
		})
	}
}
