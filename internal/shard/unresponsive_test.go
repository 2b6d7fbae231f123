package shard

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
)

// A machine whose heartbeats stay out is published as unresponsive, and then not in use; a
// value that is no list is refused.
func TestUnresponsiveMachineIsPublished(t *testing.T) {
	o := newOwner(t)
	o.addMachine("i-1", "n0", "w:1")
	o.heartbeat(heartbeatBody("1", ""))
	o.Reconcile()
	o.controller.decisions = nil
	for range 12 {
		o.state.Now = o.state.Now.Add(time.Second)
		o.Reconcile()
	}
	published := ""
	for _, d := range o.controller.decisions {
		for _, w := range d.Writes {
			if w.Put == fleet.UnresponsivePrefix+"n0" {
				published = string(w.Value)
			}
		}
	}
	if published != `["i-1"]` {
		t.Fatalf("published %q", published)
	}
	if err := o.ApplyUnresponsive("n0", json.RawMessage(published)); err != nil {
		t.Fatal(err)
	}
	if m := o.state.Machines["i-1"]; o.InUse(m) || o.Ready(m) {
		t.Error("an unresponsive machine is in use")
	}
	if o.ApplyUnresponsive("n0", json.RawMessage("7")) == nil {
		t.Error("nonsense was read")
	}
}

// applyPublished takes in the lists of unresponsive machines that were decided, as the mirror
// does, and returns how many writes that were.
func (o *owner) applyPublished() int {
	o.t.Helper()
	writes := 0
	for _, d := range o.controller.decisions {
		for _, w := range d.Writes {
			name, isList := strings.CutPrefix(w.Put+w.Remove, fleet.UnresponsivePrefix)
			if !isList {
				continue
			}
			if len(w.Value) > o.config.ValueBytes {
				o.t.Errorf("%d bytes in %s", len(w.Value), w.Put)
			}
			if err := o.ApplyUnresponsive(name, w.Value); err != nil {
				o.t.Error(err)
			}
			writes++
		}
	}
	o.controller.decisions = nil
	return writes
}

// One controller owns 4,000 machines, and a third of them, and then all, are unresponsive at
// once: each is published as such, and published once; so it is when they report again.
func TestUnresponsiveAmong4000Machines(t *testing.T) {
	const machines = 4000
	o := newOwner(t)
	machine := func(i int) string { return fmt.Sprintf("i-%06d", i) }
	for i := range machines {
		o.addMachine(machine(i), "n0", "w:1")
	}
	heartbeatSeq := 0
	sevenSeconds := func(reports func(i int) bool) {
		for range 7 {
			o.state.Now = o.state.Now.Add(time.Second)
			heartbeatSeq++
			for i := range machines {
				if reports(i) {
					o.heartbeat(strings.Replace(heartbeatBody(strconv.Itoa(heartbeatSeq), ""), "i-1", machine(i), 1))
				}
			}
			o.Reconcile()
		}
	}
	for _, c := range []struct {
		name             string
		reports          func(i int) bool
		wantUnresponsive int
	}{
		{"all report", func(int) bool { return true }, 0},
		{"a third does not", func(i int) bool { return i%3 != 0 }, 1334},
		{"none does", func(int) bool { return false }, machines},
		{"a third does", func(i int) bool { return i%3 == 0 }, 2666},
		{"all report again", func(int) bool { return true }, 0},
	} {
		o.controller.decisions = nil
		sevenSeconds(c.reports)
		o.applyPublished()
		sevenSeconds(c.reports)
		o.applyPublished()
		unresponsive := len(o.state.Unresponsive["n0"])
		if len(o.sessions) != machines || unresponsive != c.wantUnresponsive {
			t.Errorf("%s: %d sessions, %d machines unresponsive, not %d",
				c.name, len(o.sessions), unresponsive, c.wantUnresponsive)
		}
		used := 0
		for i := range machines {
			if o.InUse(o.state.Machines[machine(i)]) {
				used++
			}
		}
		if used != machines-c.wantUnresponsive {
			t.Errorf("%s: %d machines in use", c.name, used)
		}
		sevenSeconds(c.reports)
		if n := o.applyPublished(); n != 0 {
			t.Errorf("%s: published again in %d writes", c.name, n)
		}
	}
	if keys := o.UnresponsiveKeys(); len(keys) != 1 {
		t.Errorf("further lists are left: %v", keys)
	}
}
