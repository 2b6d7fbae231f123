package membership

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Batch records may be written only once all members have declared, for their current incarnation,
// that they can read them. Once there are batch records, a controller that cannot read them is not
// a candidate for the view.
func TestBatchesRequireTheCapabilityOfEveryCurrentIncarnation(t *testing.T) {
	f := newFixture(t, func(string, string, []byte, func(int, []byte, error)) {})
	m := f.membership
	f.controller.view = &members.View{
		Leader:  "n0",
		Epoch:   3,
		Members: []members.Member{{Name: "n0", Incarnation: 10}, {Name: "n1", Incarnation: 11}},
	}
	for name, incarnation := range map[string]string{"n0": "10", "n1": "11"} {
		m.ApplyMember(name, json.RawMessage(incarnation))
	}
	m.ApplyCapabilities("n0", json.RawMessage(`{"inc":10,"pack":1}`))
	if m.AllSupportBatches() || len(m.candidates()) != 2 {
		t.Error("before n1 declares capabilities, batch records must be unsupported and both controllers candidates")
	}
	m.ApplyCapabilities("n1", json.RawMessage(`{"inc":9,"pack":1}`))
	if m.AllSupportBatches() {
		t.Error("batch records are supported by the capabilities of n1's previous incarnation")
	}
	m.ApplyCapabilities("n1", json.RawMessage(`{"inc":11,"pack":2}`))
	if !m.AllSupportBatches() {
		t.Error("batch records are unsupported although all members can read them")
	}
	placed := jobs.Task{State: jobs.Placed, Machine: "i-1", Attempt: 1}
	batch := taskbatch.Encode([]taskbatch.Entry{{JobID: "wk-1", Index: 0, Task: placed}})
	_, _ = f.state.ApplyBatch("pack/1", batch, 1)
	m.ApplyCapabilities("n1", nil)
	m.ApplyMember("n2", json.RawMessage("12"))
	if got := m.candidates(); len(got) != 1 || got["n0"] != 10 {
		t.Errorf("candidates with a batch record in the store: %v", got)
	}
	f.controller.view = nil
	if m.AllSupportBatches() {
		t.Error("batch records are supported without a view")
	}
}

// removalFixture is a fixture that records transactions. Its view contains n0, n1 and n2 and is led
// by n0.
type removalFixture struct {
	*fixture
	sent      []store.Txn
	responses []func(int, []byte, error)
}

func newRemovalFixture(t *testing.T) *removalFixture {
	t.Helper()
	r := &removalFixture{}
	r.fixture = newFixture(t, func(_, target string, body []byte, done func(int, []byte, error)) {
		var txn store.Txn
		if target == "/multi" && json.Unmarshal(body, &txn) == nil {
			r.sent, r.responses = append(r.sent, txn), append(r.responses, done)
		}
		if target == "/grants" {
			done(200, []byte(`{"hold":10}`), nil)
		}
	})
	r.advance(0)
	view := members.View{Leader: "n0", Epoch: 3}
	for i, name := range []string{"n0", "n1", "n2"} {
		r.putMember(name, uint64(10+i), uint64(101+i))
		view.Members = append(view.Members, members.Member{Name: name, Incarnation: uint64(10 + i)})
	}
	r.put(members.ViewKey, view, 104)
	r.sent, r.responses = nil, nil
	return r
}

// wantSent fails the test unless count transactions have been sent.
func (r *removalFixture) wantSent(count int, reason string) {
	r.t.Helper()
	if len(r.sent) != count {
		r.t.Fatalf("%s: %d transactions, want %d: %+v", reason, len(r.sent), count, r.sent)
	}
}

// removeN1 makes n1 leave its probe unanswered and returns the transaction that removes it.
func (r *removalFixture) removeN1() store.Txn {
	r.t.Helper()
	r.membership.PeerDisconnected("n1")
	r.advance(time.Second)
	r.wantSent(1, "the connection to n1 ended")
	probe := r.sent[0]
	if probe.Writes[0].Put != "call/n1" ||
		!slices.Contains(probe.Preconditions, store.Precondition{Key: "call/n1"}) ||
		!slices.Contains(probe.Preconditions, store.Precondition{Key: "member/n1", Revision: 102}) {
		r.t.Fatalf("transaction that probes n1: %+v", probe)
	}
	r.responses[0](200, []byte(`{"epoch":110}`), nil)
	r.advance(tuning.ProbeTimeout / 2)
	r.wantSent(1, "removed before the probe timed out")
	r.advance(tuning.ProbeTimeout)
	r.wantSent(1, "removed before the watch of the prober reached the probe")
	r.mirror.ApplyEvents(110, nil)
	r.advance(0)
	r.wantSent(2, "the probe is unanswered")
	return r.sent[1]
}

// The change of the view that removes a member has the unchanged probe as a precondition and
// deletes the member key.
func TestUnansweredProbeRemovesTheMemberUnderPreconditions(t *testing.T) {
	r := newRemovalFixture(t)
	// The lists of unresponsive machines of n1 are deleted with it: the first one, and as many more
	// as fit into one transaction.
	for number := range 20 {
		r.put(fleet.UnresponsiveKey("n1", number+1), []string{"i-1"}, 104)
	}
	removal := r.removeN1()
	removed := map[string]bool{}
	lists := 0
	for _, w := range removal.Writes {
		removed[w.Remove] = true
		if strings.HasPrefix(w.Remove, "quiet/n1") {
			lists++
		}
	}
	if !removed["quiet/n1"] || lists != 12 || len(removal.Writes) != 16 {
		t.Errorf("%d lists of n1 are deleted, in %d writes", lists, len(removal.Writes))
	}
	for _, precondition := range []store.Precondition{
		{Key: "view", Revision: 104},
		{Key: "member/n0", Revision: 101},
		{Key: "call/n1", Revision: 110},
		{Key: "member/n1", Revision: 102},
	} {
		if !slices.Contains(removal.Preconditions, precondition) {
			t.Errorf("the change of the view lacks the precondition %+v", precondition)
		}
	}
	if !removed["call/n1"] || !removed["member/n1"] || !removed["form/n1"] {
		t.Errorf("writes that remove n1: %+v", removal.Writes)
	}
}

// A controller that is probed answers. One that is removed comes back as a new incarnation.
func TestProbedControllerAnswersAndReturnsAsANewIncarnation(t *testing.T) {
	r := newRemovalFixture(t)
	r.removeN1()
	r.put("call/n0", standby.Probe{Incarnation: 10, By: "n2", WaitMs: 500}, 120)
	r.advance(100 * time.Millisecond)
	answer := r.sent[len(r.sent)-1]
	if len(answer.Writes) != 1 || answer.Writes[0].Remove != "call/n0" ||
		answer.Preconditions[0] != (store.Precondition{Key: "call/n0", Revision: 120}) {
		t.Errorf("transaction that answers the probe: %+v", answer)
	}
	r.mirror.Remove("member/n0", 130)
	if r.membership.LeaseID() == 10 {
		t.Error("the removed controller kept its incarnation")
	}
}

// A leader that has restarted observes its new incarnation before the members do. It must still
// leave its replacement to them, and lead again only if none of them acts.
func TestRestartedLeaderLeavesItsReplacementToMembers(t *testing.T) {
	r := newRemovalFixture(t)
	former := members.View{Leader: "n0", Epoch: 4, Members: []members.Member{
		{Name: "n0", Incarnation: 9},
		{Name: "n1", Incarnation: 11},
	}}
	r.put(members.ViewKey, former, 105)
	r.advance(0)
	r.advance(tuning.TakeoverDeference - time.Millisecond)
	r.wantSent(0, "n1 is live")
	r.advance(time.Millisecond)
	r.wantSent(1, "n1 has not replaced the leader")
	if next, _ := members.Decode(r.sent[0].Writes[0].Value); next == nil || next.Leader != "n0" || next.Epoch != 5 {
		t.Errorf("transaction that changes the view: %+v", r.sent[0])
	}
}
