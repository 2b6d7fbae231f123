package membership

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/members"
)

// TestGoldenRequests compares the requests that a controller sends to join, probe, answer a probe,
// change the view, hand over leadership and resign with the recorded ones.
func TestGoldenRequests(t *testing.T) {
	var sent bytes.Buffer
	var responses []func(int, []byte, error)
	f := newFixture(t, func(method, target string, body []byte, done func(int, []byte, error)) {
		fmt.Fprintf(&sent, "%s %s %s\n", method, target, body)
		responses = append(responses, done)
	})
	f.client.Dispatch(f.state.Now)
	m := f.membership
	step := func(name string, action func(), response string) {
		t.Helper()
		fmt.Fprintf(&sent, "# %s\n", name)
		first := len(responses)
		action()
		for i := first; i < len(responses); i++ { // a response may trigger further requests
			responses[i](200, []byte(response), nil)
		}
	}
	step("lease and join", m.Reconcile, `{"hold":10,"epoch":100}`)
	if m.LeaseID() != 10 || m.Incarnation("n0") != 10 {
		t.Fatalf("lease %d, incarnation %d", m.LeaseID(), m.Incarnation("n0"))
	}
	f.putMember("n1", 11, 101)
	f.putMember("n2", 12, 102)
	step("first view", m.changeView, `{"epoch":104}`)
	view := f.controller.view
	if view == nil || view.Leader != "n0" || len(view.Members) != 3 {
		t.Fatalf("the view is %+v", view)
	}
	step("call", func() { m.probe([]string{"n1"}, 1500*time.Millisecond) }, `{"epoch":105}`)
	f.put(fleet.UnresponsivePrefix+"n1", []string{"m-1"}, 106)
	m.unansweredProbes = []string{"n1"}
	step("left out", m.changeView, `{"epoch":107}`)
	step("answer", m.answerProbe, `{"epoch":108}`)
	step("lead handed over", func() { m.handOver("n2") }, `{"epoch":109}`)
	next := members.View{Leader: "n0", Members: f.controller.view.Members, Epoch: 9}
	f.put(members.ViewKey, next, 110)
	f.put(fleet.UnresponsivePrefix+"n0", []string{"m-2"}, 111)
	step("leave", func() { m.resignTo("n2") }, `{"epoch":112}`)
	goldentest.Bytes(t, "requests.txt", sent.Bytes())
}
