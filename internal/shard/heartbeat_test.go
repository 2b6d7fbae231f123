package shard

import (
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// Only the owner answers 200, and only while it may; everyone else sends the worker on.
func TestHeartbeatAnsweredByItsOwnerOnly(t *testing.T) {
	o := newOwner(t)
	for _, name := range []string{"", "i 1", "i-1\n", strings.Repeat("i", 151)} { // not valid in keys
		if s, _ := o.heartbeat(string(jobs.Encode(map[string]string{"host": name}))); s != 400 {
			t.Errorf("%q: %d", name, s)
		}
	}
	if s, body := o.heartbeat(heartbeatBody("1", "")); s != 200 || !strings.Contains(body, `"baton":5242880`) {
		t.Errorf("%d %s: the fencing token is not the epoch's", s, body)
	}
	if s, _ := o.heartbeat(strings.Replace(heartbeatBody("2", ""), `"baton":0`, `"baton":99999999`, 1)); s != 421 {
		t.Errorf("a worker that has seen a higher token: %d", s)
	}
	o.controller.owner = "n1"
	if s, body := o.heartbeat(heartbeatBody("3", "")); s != 421 || body != `{"reports_to":"n1"}` {
		t.Errorf("another's machine: %d %s", s, body)
	}
	o.controller.inView = false
	if s, _ := o.heartbeat(heartbeatBody("4", "")); s != 503 {
		t.Errorf("outside the view: %d", s)
	}
}

// While not all acknowledged cancellations are known no lease is renewed, but the status
// counts; and each answer that renews one carries a stop for what was acknowledged as
// cancelled, also while the machine's heartbeats prove nothing yet.
func TestLeaseWithheldUntilCancellationsAreKnown(t *testing.T) {
	o := newOwner(t)
	o.addMachine("i-1", "n0", "w:1")
	held := strings.Join([]string{
		`{"piece":"wk-000001/0","try":3,"status":"running"}`,
		`{"piece":"wk-000002/0","try":1,"status":"running"}`,
		`{"piece":"wk-000001/1","try":1,"status":"ended","cause":"done"}`,
	}, ",")
	o.controller.cancellationsUnknown = true
	if s, _ := o.heartbeat(heartbeatBody("1", held)); s != 503 || o.controller.leasesWithheld != 1 {
		t.Errorf("%d while cancellations are unknown, %d leases withheld", s, o.controller.leasesWithheld)
	}
	if s := o.sessions["i-1"]; s == nil || s.HeartbeatSeq != 1 {
		t.Errorf("the heartbeat was not taken in: %+v", s)
	}
	o.controller.cancellationsUnknown, o.controller.cancelled = false, "wk-000001"
	const stop = `"orders":[{"verb":"stop","piece":"wk-000001/0","try":3,"wind_down_s":0}]`
	status, body := o.heartbeat(heartbeatBody("2", held))
	state := o.sessions["i-1"].State
	if status != 200 || state != agent.Unseen || !strings.Contains(body, stop) {
		t.Errorf("%d %s in %s", status, body, state)
	}
}
