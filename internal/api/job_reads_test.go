package api

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// A job whose live record can't be decoded is reported as live until it has a final record.
func TestUnreadableJobIsReported(t *testing.T) {
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
				t.Errorf("got %d %s, want %s", reply.Status, reply.Body, c.want)
			}
		})
	}
}

// A job is reported as live only if the read was fast enough: the result of a slow read may be
// older than what another controller has told the user since.
func TestSlowReadIsNotReportedAsLive(t *testing.T) {
	const live = `{"key":"job/wk-000001","v":{"s":"live","spec":{"uid":"wk-000001","pieces":1,"rank":"prod"}},"stamp":5}`
	for _, c := range []struct {
		name     string
		readTime time.Duration
		want     int
	}{
		{"just fast enough", tuning.MaxReadAge, 200},
		{"just too slow", tuning.MaxReadAge + time.Millisecond, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := newTestServer(t, false)
			server.store = func(_, target, _ string) (int, string) {
				if target == "/store/job/wk-000001" {
					server.state.Now = server.state.Now.Add(c.readTime)
					return 200, live
				}
				return 404, `{"epoch":7}`
			}
			server.mirror.Changed = func(string, json.RawMessage, uint64) {}
			if reply := server.request("GET", "/work/wk-000001", ""); reply.Status != c.want {
				t.Errorf("read took %v: %d %s", c.readTime, reply.Status, reply.Body)
			}
		})
	}
}
