package api

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

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
