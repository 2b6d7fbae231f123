package shard

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// publish takes in an owner's list of unresponsive machines.
func (o *owner) publish(owner, list string) {
	o.t.Helper()
	if err := o.ApplyUnresponsive(owner, json.RawMessage(list)); err != nil {
		o.t.Fatal(err)
	}
}

// comes has three heartbeats of i-1, which another controller owns, come here.
func (o *owner) comes(token uint64) {
	o.t.Helper()
	for heartbeatSeq := range 3 {
		o.state.Now = o.state.Now.Add(time.Second)
		next := o.newestHeartbeats["i-1"][1] + uint64(heartbeatSeq) + 1
		body := fmt.Sprintf(`{"host":"i-1","tenure":1,"tick":%d,"baton":%d}`, next, token)
		if status, _ := o.heartbeat(body); status != 421 {
			o.t.Fatalf("status %d", status)
		}
	}
}

// complaintsAfter counts the complaints of i-1, which n1 owns, that do leads to.
func complaintsAfter(t *testing.T, do func(o *owner)) int {
	t.Helper()
	o := newOwner(t)
	o.controller.owner = "n1"
	complaints := 0
	o.controller.complain = func(owner, machine string, here bool) {
		if owner != "n1" || machine != "i-1" || !here {
			t.Errorf("%s of %s, here %v", machine, owner, here)
		}
		complaints++
	}
	o.addMachine("i-1", "n1", "w:1")
	do(o)
	return complaints
}

// A machine of another owner that comes here complains if its heartbeat is from under this
// view, or once its owner lists it as unresponsive; copies of earlier heartbeats do not.
func TestForeignHeartbeatComplains(t *testing.T) {
	const epoch = 5 // newOwner's view
	now, earlier := uint64(epoch*agent.FencingTokenSpan+1), uint64((epoch-1)*agent.FencingTokenSpan+7)
	for _, c := range []struct {
		name string
		do   func(o *owner)
		want int
	}{
		{"under this view", func(o *owner) { o.comes(now) }, 3},
		{"under a later view", func(o *owner) { o.comes(now + agent.FencingTokenSpan) }, 3},
		{"copies from under an earlier view", func(o *owner) { o.comes(earlier) }, 0},
		{"copies, and the owner lists another machine", func(o *owner) {
			o.comes(earlier)
			o.publish("n1", `["i-2"]`)
		}, 0},
		{"copies, and another owner lists it", func(o *owner) {
			o.comes(earlier)
			o.publish("n2", `["i-1"]`)
		}, 0},
		{"the owner lists it as unresponsive", func(o *owner) {
			o.publish("n1", `["i-1"]`)
			o.comes(earlier)
		}, 3},
		{"the owner lists it as outbound-partitioned", func(o *owner) {
			o.publish("n1", `["mute:i-1"]`)
			o.comes(earlier)
		}, 3},
		{"the owner lists it afterwards", func(o *owner) {
			o.comes(earlier)
			o.publish("n1", `["i-1"]`)
			o.publish("n1", `["i-1","i-2"]`)
		}, 1},
		{"long afterwards", func(o *owner) {
			o.comes(earlier)
			o.state.Now = o.state.Now.Add(tuning.ComplaintGap + time.Second)
			o.publish("n1", `["i-1"]`)
		}, 0},
		{"a view later", func(o *owner) {
			o.comes(earlier)
			o.NewView()
			o.publish("n1", `["i-1"]`)
		}, 0},
		{"after the controller stalled", func(o *owner) {
			o.comes(earlier)
			o.Stalled(time.Second)
			o.publish("n1", `["i-1"]`)
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if complaints := complaintsAfter(t, c.do); complaints != c.want {
				t.Errorf("%d complaints, want %d", complaints, c.want)
			}
		})
	}
}
