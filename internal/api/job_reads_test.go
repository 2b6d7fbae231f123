package api

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// A job whose record can't be read is known all the same, until its final state is there.
func TestUnreadableJobIsAnswered(t *testing.T) {
	for _, c := range []struct{ name, final, want string }{
		{
			name:  "not ended",
			final: "",
			want:  `{"uid":"wk-000001","status":"pending","done":0,"running":0}`,
		},
		{
			name:  "done",
			final: `{"key":"final/wk-000001","v":{"s":"done","n":3},"stamp":6}`,
			want:  `{"uid":"wk-000001","status":"done","done":3,"running":0}`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := newTestServer(t, false)
			server.store = func(_, target, _ string) (int, string) {
				switch {
				case target == "/store/job/wk-000001":
					return 200, `{"key":"job/wk-000001","v":{"s":"what"},"stamp":5}`
				case target == "/store/final/wk-000001" && c.final != "":
					return 200, c.final
				}
				return 404, `{"epoch":7}`
			}
			if reply := server.request("GET", "/work/wk-000001", ""); reply.Status != 200 || string(reply.Body) != c.want {
				t.Errorf("%d %s, not %s", reply.Status, reply.Body, c.want)
			}
		})
	}
}

// That a job is live is told only by a read that was answered at once: a later answer may be
// older than what another controller has told the user since.
func TestLateReadIsNoAnswer(t *testing.T) {
	const live = `{"key":"job/wk-000001","v":{"s":"live","spec":{"uid":"wk-000001","pieces":1,"rank":"prod"}},"stamp":5}`
	for _, c := range []struct {
		name string
		took time.Duration
		want int
	}{
		{"just fresh", tuning.ReadFresh, 200},
		{"just late", tuning.ReadFresh + time.Millisecond, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := newTestServer(t, false)
			server.store = func(_, target, _ string) (int, string) {
				if target == "/store/job/wk-000001" {
					server.state.Now = server.state.Now.Add(c.took)
					return 200, live
				}
				return 404, `{"epoch":7}`
			}
			server.mirror.Changed = func(string, json.RawMessage, uint64) {}
			if reply := server.request("GET", "/work/wk-000001", ""); reply.Status != c.want {
				t.Errorf("after %v: %d %s", c.took, reply.Status, reply.Body)
			}
		})
	}
}
