package membership

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// TestGoldenRequests holds what a controller sends to join, call, answer, change the
// view, hand the lead over and leave.
func TestGoldenRequests(t *testing.T) {
	var sent bytes.Buffer
	var answers []func(int, []byte, error)
	client := store.New(func(method, target string, body []byte, _ time.Duration, done func(int, []byte, error)) {
		fmt.Fprintf(&sent, "%s %s %s\n", method, target, body)
		answers = append(answers, done)
	}, nil)
	client.SetBudget(1000, 1000, 1000)
	b := clusterstate.New(quota.Flat(nil), func(string) {})
	b.Now = time.UnixMilli(1e12)
	client.Dispatch(b.Now)
	var me *Membership
	var view *members.View
	mirror := store.NewMirror(func(key string, v json.RawMessage, _ uint64) {
		prefix, name, _ := strings.Cut(key, "/")
		switch prefix + "/" {
		case members.MemberPrefix:
			me.ApplyMember(name, v)
		case members.CapabilitiesPrefix:
			me.ApplyCapabilities(name, v)
		case members.ViewKey + "/":
			view, _ = members.Decode(v)
		}
	})
	me = New(b, Env{
		Name: "n0", LeaseTTL: 4 * time.Second, Client: client, Mirror: mirror, Log: slog.New(slog.DiscardHandler), MirrorLive: func() bool { return true },
		View: func() *members.View { return view }, Unreachable: func() map[string]bool { return map[string]bool{} }, Wake: func() {}, WatchNow: func() {}, MaxTxnWrites: 16, AnswersProbes: true,
		Lag: func() time.Duration { return 0 }, PendingChecks: func() []standby.Check { return nil },
	})
	step := func(name string, act func(), answer string) {
		t.Helper()
		fmt.Fprintf(&sent, "# %s\n", name)
		before := len(answers)
		act()
		for i := before; i < len(answers); i++ { // an answer may have more sent
			answers[i](200, []byte(answer), nil)
		}
	}
	step("lease and join", me.Reconcile, `{"hold":10,"epoch":100}`)
	if me.LeaseID() != 10 || me.Incarnation("n0") != 10 {
		t.Fatalf("lease %d, incarnation %d", me.LeaseID(), me.Incarnation("n0"))
	}
	for i, name := range []string{"n1", "n2"} {
		mirror.Put(members.MemberPrefix+name, jobs.Encode(uint64(11+i)), uint64(101+i))
		mirror.Put(members.CapabilitiesPrefix+name, jobs.Encode(members.Capabilities{Incarnation: uint64(11 + i), BatchFormat: taskbatch.FormatVersion, AnswersProbes: true}), uint64(101+i))
	}
	step("first view", me.changeView, `{"epoch":104}`)
	if view == nil || view.Leader != "n0" || len(view.Members) != 3 {
		t.Fatalf("the view is %+v", view)
	}
	step("call", func() { me.probe([]string{"n1"}, 1500*time.Millisecond) }, `{"epoch":105}`)
	mirror.Put(fleet.UnresponsivePrefix+"n1", jobs.Encode([]string{"m-1"}), 106)
	me.unansweredProbes = []string{"n1"}
	step("left out", me.changeView, `{"epoch":107}`)
	step("answer", me.answerProbe, `{"epoch":108}`)
	step("lead handed over", func() { me.handOver("n2") }, `{"epoch":109}`)
	mirror.Put(members.ViewKey, jobs.Encode(members.View{Leader: "n0", Members: view.Members, Epoch: 9}), 110)
	mirror.Put(fleet.UnresponsivePrefix+"n0", jobs.Encode([]string{"m-2"}), 111)
	step("leave", func() { me.resignTo("n2") }, `{"epoch":112}`)
	goldentest.Bytes(t, "requests.txt", sent.Bytes())
}
