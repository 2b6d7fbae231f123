package membership

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// A controller that stands still twice must not take the answer to what it asked
// after the first time for one that was asked after the second.
func TestTwoStandstills(t *testing.T) {
	var answers []func(int, []byte, error)
	client := store.New(func(method, target string, _ []byte, _ time.Duration, done func(int, []byte, error)) {
		if method == "GET" && strings.HasPrefix(target, "/store/") {
			answers = append(answers, done)
		}
	}, nil)
	client.SetBudget(100, 100, 100)
	b := clusterstate.New(quota.Flat(nil), func(string) {})
	b.Now = time.UnixMilli(1e12)
	n := New(b, Env{
		Name: "n0", LeaseTTL: 4 * time.Second, Client: client, Mirror: store.NewMirror(func(string, json.RawMessage, uint64) {}), Log: slog.New(slog.DiscardHandler),
		MirrorLive: func() bool { return true }, Wake: func() {}, WatchNow: func() {},
	})
	wake := func() {
		n.Now = n.Now.Add(time.Minute)
		n.Client.Dispatch(n.Now)
		n.Stalled(time.Minute)
		n.leaseConfirmed(n.Now)
	}
	wake()
	wake()
	if len(answers) != 1 || n.certainty.State != members.LeaseKnown {
		t.Fatalf("%d questions, %s", len(answers), n.certainty.State)
	}
	answers[0](404, []byte(`{"epoch":5}`), nil)
	if n.certainty.State != members.LeaseKnown {
		t.Fatalf("%s by an answer from before", n.certainty.State)
	}
	n.RestoreCertainty()
	if len(answers) != 2 {
		t.Fatal("not asked again")
	}
	answers[1](404, []byte(`{"epoch":9999}`), nil)
	if n.certainty.State != members.CatchingUp || n.certainty.RequiredEpoch != 9999 {
		t.Fatalf("%+v", n.certainty)
	}
}

// Packs are begun only while all members say, for their present incarnation, that they
// read them; once there are any, a controller that does not is no candidate.
func TestWhoReadsPacks(t *testing.T) {
	b := clusterstate.New(quota.Flat(nil), func(string) {})
	view := &members.View{Leader: "n0", Epoch: 3, Members: []members.Member{{Name: "n0", Incarnation: 10}, {Name: "n1", Incarnation: 11}}}
	n := New(b, Env{Name: "n0", View: func() *members.View { return view }})
	for name, incarnation := range map[string]string{"n0": "10", "n1": "11"} {
		n.ApplyMember(name, json.RawMessage(incarnation))
	}
	n.ApplyCapabilities("n0", json.RawMessage(`{"inc":10,"pack":1}`))
	if n.AllSupportBatches() || len(n.candidates()) != 2 {
		t.Error("n1 has not said what it reads; there are no packs")
	}
	n.ApplyCapabilities("n1", json.RawMessage(`{"inc":9,"pack":1}`))
	if n.AllSupportBatches() {
		t.Error("that was n1's last incarnation")
	}
	n.ApplyCapabilities("n1", json.RawMessage(`{"inc":11,"pack":2}`))
	if !n.AllSupportBatches() {
		t.Error("all have said that they read them")
	}
	entry := []taskbatch.Entry{{JobID: "wk-1", Index: 0, Task: jobs.Task{State: jobs.Placed, Machine: "i-1", Attempt: 1}}}
	_, _ = b.ApplyBatch("pack/1", taskbatch.Encode(entry), 1)
	n.ApplyCapabilities("n1", nil)
	n.ApplyMember("n2", json.RawMessage("12"))
	if got := n.candidates(); len(got) != 1 || got["n0"] != 10 {
		t.Errorf("%v with a pack in the store", got)
	}
	view = nil
	if n.AllSupportBatches() {
		t.Error("without a view")
	}
}

// The change of view that leaves a member out holds only if its call still stands as it
// was read, and takes its key away; whoever was left out comes back as another incarnation.
func TestLeftOut(t *testing.T) {
	var sent []store.Txn
	var answers []func(int, []byte, error)
	client := store.New(func(method, target string, body []byte, _ time.Duration, done func(int, []byte, error)) {
		var x store.Txn
		if target == "/multi" && json.Unmarshal(body, &x) == nil {
			sent, answers = append(sent, x), append(answers, done)
		}
		if target == "/grants" {
			done(200, []byte(`{"hold":10}`), nil)
		}
	}, nil)
	client.SetBudget(1000, 1000, 1000)
	b := clusterstate.New(quota.Flat(nil), func(string) {})
	b.Now = time.UnixMilli(1e12)
	var me *Membership
	var view *members.View
	mirror := store.NewMirror(func(key string, v json.RawMessage, _ uint64) {
		prefix, name, _ := strings.Cut(key, "/")
		switch prefix + "/" {
		case members.MemberPrefix:
			me.ApplyMember(name, v)
		case members.CapabilitiesPrefix:
			me.ApplyCapabilities(name, v)
		case standby.ProbePrefix:
			me.ApplyProbe(name, v)
		case fleet.UnresponsivePrefix: // of no concern here
		default:
			view, _ = members.Decode(v)
		}
	})
	me = New(b, Env{
		Name: "n0", LeaseTTL: 4 * time.Second, Client: client, Mirror: mirror, Log: slog.New(slog.DiscardHandler), MirrorLive: func() bool { return true },
		View: func() *members.View { return view }, Unreachable: func() map[string]bool { return map[string]bool{} }, Wake: func() {}, WatchNow: func() {}, MaxTxnWrites: 16, AnswersProbes: true,
		Lag: func() time.Duration { return 0 }, PendingChecks: func() []standby.Check { return nil },
	})
	keep := func(pass time.Duration) {
		b.Now = b.Now.Add(pass)
		client.Dispatch(b.Now)
		me.renewedAt = b.Now
		me.Reconcile()
	}
	keep(0)
	put := func(key string, v any, revision uint64) { mirror.Put(key, jobs.Encode(v), revision) }
	for i, name := range []string{"n0", "n1", "n2"} {
		put(members.MemberPrefix+name, 10+i, uint64(101+i))
		put(members.CapabilitiesPrefix+name, members.Capabilities{Incarnation: uint64(10 + i), BatchFormat: taskbatch.FormatVersion, AnswersProbes: true}, uint64(101+i))
	}
	put(members.ViewKey, members.View{Leader: "n0", Epoch: 3, Members: []members.Member{{Name: "n0", Incarnation: 10}, {Name: "n1", Incarnation: 11}, {Name: "n2", Incarnation: 12}}}, 104)
	// What n1 does not hear goes with its place: the first list, and as many more as one
	// transaction takes.
	for number := range 20 {
		put(fleet.UnresponsiveKey("n1", number+1), []string{"i-1"}, 104)
	}
	sent, answers = nil, nil
	me.PeerDisconnected("n1")
	keep(time.Second)
	if len(sent) != 1 || sent[0].Writes[0].Put != "call/n1" || !slices.Contains(sent[0].Preconditions, store.Precondition{Key: "call/n1"}) || !slices.Contains(sent[0].Preconditions, store.Precondition{Key: "member/n1", Revision: 102}) {
		t.Fatalf("%+v", sent)
	}
	answers[0](200, []byte(`{"epoch":110}`), nil)
	keep(tuning.ProbeTimeout / 2)
	if len(sent) != 1 {
		t.Fatalf("left out too early: %+v", sent[1:])
	}
	keep(tuning.ProbeTimeout)
	if len(sent) != 1 {
		t.Fatalf("left out by one whose watch has not come to the call: %+v", sent[1:])
	}
	mirror.ApplyEvents(110, nil)
	keep(0)
	if len(sent) != 2 {
		t.Fatalf("%d transactions", len(sent))
	}
	lists := 0
	for _, w := range sent[1].Writes {
		if strings.HasPrefix(w.Remove, "quiet/n1") {
			lists++
		}
	}
	if !slices.ContainsFunc(sent[1].Writes, func(w store.Write) bool { return w.Remove == "quiet/n1" }) || lists != 12 || len(sent[1].Writes) != 16 {
		t.Errorf("%d lists of n1 are taken away, in %d changes", lists, len(sent[1].Writes))
	}
	for _, c := range []store.Precondition{{Key: "view", Revision: 104}, {Key: "member/n0", Revision: 101}, {Key: "call/n1", Revision: 110}, {Key: "member/n1", Revision: 102}} {
		if !slices.Contains(sent[1].Preconditions, c) {
			t.Errorf("the change of view is not conditional on %+v", c)
		}
	}
	removed := map[string]bool{}
	for _, w := range sent[1].Writes {
		removed[w.Remove] = true
	}
	if !removed["call/n1"] || !removed["member/n1"] || !removed["form/n1"] {
		t.Errorf("%+v", sent[1].Writes)
	}
	// And the other way round: this controller is called, answers, and is left out.
	put("call/n0", standby.Probe{Incarnation: 10, By: "n2", WaitMs: 500}, 120)
	keep(100 * time.Millisecond)
	if last := sent[len(sent)-1]; len(last.Writes) != 1 || last.Writes[0].Remove != "call/n0" || last.Preconditions[0] != (store.Precondition{Key: "call/n0", Revision: 120}) {
		t.Errorf("%+v", last)
	}
	mirror.Remove("member/n0", 130)
	if me.LeaseID() == 10 {
		t.Error("it would come back as the same incarnation")
	}
}
