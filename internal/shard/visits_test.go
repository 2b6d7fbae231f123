package shard

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// A machine of another owner that comes here complains if its report is from under this
// view, or once its owner does not hear it; copies of earlier reports do not.
func TestVisits(t *testing.T) {
	const epoch = 5 // newOwner's view
	now, earlier := uint64(epoch*agent.FencingTokenSpan+1), uint64((epoch-1)*agent.FencingTokenSpan+7)
	unresponsive := func(o *owner, owner, list string) {
		o.t.Helper()
		if err := o.ApplyUnresponsive(owner, json.RawMessage(list)); err != nil {
			o.t.Fatal(err)
		}
	}
	visits := func(o *owner, token uint64) {
		o.t.Helper()
		for heartbeatSeq := range 3 {
			o.state.Now = o.state.Now.Add(time.Second)
			if s, _ := o.beat(fmt.Sprintf(`{"host":"i-1","tenure":1,"tick":%d,"baton":%d}`, o.newestHeartbeats["i-1"][1]+uint64(heartbeatSeq)+1, token)); s != 421 {
				o.t.Fatalf("status %d", s)
			}
		}
	}
	for _, c := range []struct {
		name string
		play func(o *owner)
		want int
	}{
		{"under this view", func(o *owner) { visits(o, now) }, 3},
		{"under a later view", func(o *owner) { visits(o, now+agent.FencingTokenSpan) }, 3},
		{"copies from under an earlier view", func(o *owner) { visits(o, earlier) }, 0},
		{"copies, and the owner does not hear another", func(o *owner) { visits(o, earlier); unresponsive(o, "n1", `["i-2"]`) }, 0},
		{"copies, and another owner names it", func(o *owner) { visits(o, earlier); unresponsive(o, "n2", `["i-1"]`) }, 0},
		{"the owner does not hear it", func(o *owner) { unresponsive(o, "n1", `["i-1"]`); visits(o, earlier) }, 3},
		{"the owner hears commands answered only", func(o *owner) { unresponsive(o, "n1", `["mute:i-1"]`); visits(o, earlier) }, 3},
		{"the owner tells so afterwards", func(o *owner) {
			visits(o, earlier)
			unresponsive(o, "n1", `["i-1"]`)
			unresponsive(o, "n1", `["i-1","i-2"]`)
		}, 1},
		{"long afterwards", func(o *owner) {
			visits(o, earlier)
			o.state.Now = o.state.Now.Add(tuning.ComplaintGap + time.Second)
			unresponsive(o, "n1", `["i-1"]`)
		}, 0},
		{"a view later", func(o *owner) { visits(o, earlier); o.NewView(); unresponsive(o, "n1", `["i-1"]`) }, 0},
		{"after a standstill", func(o *owner) { visits(o, earlier); o.Stalled(time.Second); unresponsive(o, "n1", `["i-1"]`) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOwner(t)
			o.controller.owner = "n1"
			complaints := 0
			o.controller.complain = func(owner, machine string, here bool) {
				if owner != "n1" || machine != "i-1" || !here {
					t.Errorf("%s of %s, here %v", machine, owner, here)
				}
				complaints++
			}
			if err := o.state.ApplyMachine("i-1", "n1", jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a", Endpoint: "w:1"})); err != nil {
				t.Fatal(err)
			}
			c.play(o)
			if complaints != c.want {
				t.Errorf("%d complaints, want %d", complaints, c.want)
			}
		})
	}
}
