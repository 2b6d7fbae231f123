package shard

import (
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// Only the machine's owner replies with 200, and only while it is in the view. Other controllers
// redirect the worker to the owner.
func TestOnlyOwnerAcceptsHeartbeat(t *testing.T) {
	f := newFixture(t)
	for _, name := range []string{"", "i 1", "i-1\n", strings.Repeat("i", 151)} { // not valid in keys
		if s, _ := f.heartbeat(string(jobs.Encode(map[string]string{"host": name}))); s != 400 {
			t.Errorf("machine name %q: status %d", name, s)
		}
	}
	if s, body := f.heartbeat(heartbeatBody("1", "")); s != 200 || !strings.Contains(body, `"baton":5242880`) {
		t.Errorf("status %d, body %s, want 200 and the fencing token of epoch 5", s, body)
	}
	if s, _ := f.heartbeat(strings.Replace(heartbeatBody("2", ""), `"baton":0`, `"baton":99999999`, 1)); s != 421 {
		t.Errorf("a worker that has seen a higher token: status %d, want 421", s)
	}
	f.controller.owner = "n1"
	if s, body := f.heartbeat(heartbeatBody("3", "")); s != 421 || body != `{"reports_to":"n1"}` {
		t.Errorf("another controller's machine: status %d, body %s", s, body)
	}
	f.controller.inView = false
	if s, _ := f.heartbeat(heartbeatBody("4", "")); s != 503 {
		t.Errorf("outside the view: status %d, want 503", s)
	}
}

// While some acknowledged cancellations are unknown, no lease is renewed, but the reported status
// is applied. Each reply that renews a lease carries a stop for every task whose cancellation was
// acknowledged, even while the machine's session is unseen.
func TestLeaseWithheldUntilCancellationsAreKnown(t *testing.T) {
	f := newFixture(t)
	f.addMachine("i-1", "n0", "w:1")
	statuses := strings.Join([]string{
		`{"piece":"wk-000001/0","try":3,"status":"running"}`,
		`{"piece":"wk-000002/0","try":1,"status":"running"}`,
		`{"piece":"wk-000001/1","try":1,"status":"ended","cause":"done"}`,
	}, ",")
	f.controller.cancellationsUnknown = true
	if s, _ := f.heartbeat(heartbeatBody("1", statuses)); s != 503 || f.controller.leasesWithheld != 1 {
		t.Errorf("status %d while cancellations are unknown, %d leases withheld", s, f.controller.leasesWithheld)
	}
	if s := f.sessions["i-1"]; s == nil || s.HeartbeatSeq != 1 {
		t.Errorf("the heartbeat was not applied: %+v", s)
	}
	f.controller.cancellationsUnknown, f.controller.cancelled = false, "wk-000001"
	const stop = `"orders":[{"verb":"stop","piece":"wk-000001/0","try":3,"wind_down_s":0}]`
	status, body := f.heartbeat(heartbeatBody("2", statuses))
	state := f.sessions["i-1"].State
	if status != 200 || state != agent.Unseen || !strings.Contains(body, stop) {
		t.Errorf("status %d, body %s, session %s", status, body, state)
	}
}
