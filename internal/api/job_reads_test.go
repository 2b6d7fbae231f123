package api

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// A job whose record can't be read is known all the same, until its final state is there.
func TestUnreadableJobIsAnswered(t *testing.T) {
	for _, c := range []struct{ final, want string }{
		{`{"epoch":7}`, `{"uid":"wk-000001","status":"pending","done":0,"running":0}`},
		{`{"key":"final/wk-000001","v":{"s":"done","n":3},"stamp":6}`, `{"uid":"wk-000001","status":"done","done":3,"running":0}`},
	} {
		server := newTestServer(t, false)
		server.store = func(_, target, _ string) (int, string) {
			switch target {
			case "/store/job/wk-000001":
				return 200, `{"key":"job/wk-000001","v":{"s":"what"},"stamp":5}`
			case "/store/final/wk-000001":
				if c.final[2] == 'k' {
					return 200, c.final
				}
			}
			return 404, `{"epoch":7}`
		}
		if r := server.request("GET", "/work/wk-000001", ""); r.Status != 200 || string(r.Body) != c.want {
			t.Errorf("%d %s, not %s", r.Status, r.Body, c.want)
		}
	}
}

// That a job is live is told only by a read that came at once: what came late may be older
// than what another controller has told the user since.
func TestLateReadIsNoAnswer(t *testing.T) {
	for took, want := range map[time.Duration]int{tuning.ReadFresh: 200, tuning.ReadFresh + time.Millisecond: 503} {
		server := newTestServer(t, false)
		server.store = func(_, target, _ string) (int, string) {
			if target == "/store/job/wk-000001" {
				server.state.Now = server.state.Now.Add(took)
				return 200, `{"key":"job/wk-000001","v":{"s":"live","spec":{"uid":"wk-000001","pieces":1,"rank":"prod"}},"stamp":5}`
			}
			return 404, `{"epoch":7}`
		}
		server.mirror.Changed = func(string, json.RawMessage, uint64) {}
		if r := server.request("GET", "/work/wk-000001", ""); r.Status != want {
			t.Errorf("after %v: %d %s", took, r.Status, r.Body)
		}
	}
}
