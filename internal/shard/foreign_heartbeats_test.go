package shard

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// applyList applies an owner's list of unresponsive machines.
func (f *fixture) applyList(owner, list string) {
	f.t.Helper()
	if err := f.ApplyUnresponsive(owner, json.RawMessage(list)); err != nil {
		f.t.Fatal(err)
	}
}

// sendForeignHeartbeats sends three heartbeats of i-1, which another controller owns, to this
// controller.
func (f *fixture) sendForeignHeartbeats(token uint64) {
	f.t.Helper()
	for heartbeatSeq := range 3 {
		f.state.Now = f.state.Now.Add(time.Second)
		next := f.newestHeartbeats["i-1"][1] + uint64(heartbeatSeq) + 1
		body := fmt.Sprintf(`{"host":"i-1","tenure":1,"tick":%d,"baton":%d}`, next, token)
		if status, _ := f.heartbeat(body); status != 421 {
			f.t.Fatalf("status %d, want 421", status)
		}
	}
}

// complaintsAfter runs do and returns how many complaints of i-1 about its owner, n1, it causes.
func complaintsAfter(t *testing.T, do func(f *fixture)) int {
	t.Helper()
	f := newFixture(t)
	f.controller.owner = "n1"
	complaints := 0
	f.controller.complain = func(owner, machine string, local bool) {
		if owner != "n1" || machine != "i-1" || !local {
			t.Errorf("complaint of %s about %s, local %v", machine, owner, local)
		}
		complaints++
	}
	f.addMachine("i-1", "n1", "w:1")
	do(f)
	return complaints
}

// A heartbeat from another owner's machine counts as a complaint if it was sent under this view, or
// once the owner lists the machine as unresponsive. Copies of earlier heartbeats do not count.
func TestForeignHeartbeatCountsAsComplaint(t *testing.T) {
	const epoch = 5 // of the fixture's view
	now, earlier := uint64(epoch*agent.FencingTokenSpan+1), uint64((epoch-1)*agent.FencingTokenSpan+7)
	for _, c := range []struct {
		name string
		do   func(f *fixture)
		want int
	}{
		{"under this view", func(f *fixture) { f.sendForeignHeartbeats(now) }, 3},
		{"under a later view", func(f *fixture) { f.sendForeignHeartbeats(now + agent.FencingTokenSpan) }, 3},
		{"copies from under an earlier view", func(f *fixture) { f.sendForeignHeartbeats(earlier) }, 0},
		{"copies, the owner lists another machine", func(f *fixture) {
			f.sendForeignHeartbeats(earlier)
			f.applyList("n1", `["i-2"]`)
		}, 0},
		{"copies, another owner lists the machine", func(f *fixture) {
			f.sendForeignHeartbeats(earlier)
			f.applyList("n2", `["i-1"]`)
		}, 0},
		{"the owner lists the machine as unresponsive", func(f *fixture) {
			f.applyList("n1", `["i-1"]`)
			f.sendForeignHeartbeats(earlier)
		}, 3},
		{"the owner lists the machine as outbound-partitioned", func(f *fixture) {
			f.applyList("n1", `["mute:i-1"]`)
			f.sendForeignHeartbeats(earlier)
		}, 3},
		{"the owner lists the machine afterwards", func(f *fixture) {
			f.sendForeignHeartbeats(earlier)
			f.applyList("n1", `["i-1"]`)
			f.applyList("n1", `["i-1","i-2"]`)
		}, 1},
		{"the owner lists the machine long afterwards", func(f *fixture) {
			f.sendForeignHeartbeats(earlier)
			f.state.Now = f.state.Now.Add(tuning.ComplaintGap + time.Second)
			f.applyList("n1", `["i-1"]`)
		}, 0},
		{"the owner lists the machine under the next view", func(f *fixture) {
			f.sendForeignHeartbeats(earlier)
			f.ApplyView()
			f.applyList("n1", `["i-1"]`)
		}, 0},
		{"the owner lists the machine after this controller stalled", func(f *fixture) {
			f.sendForeignHeartbeats(earlier)
			f.Stalled(time.Second)
			f.applyList("n1", `["i-1"]`)
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if complaints := complaintsAfter(t, c.do); complaints != c.want {
				t.Errorf("%d complaints, want %d", complaints, c.want)
			}
		})
	}
}
