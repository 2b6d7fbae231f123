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

// A machine that stops sending heartbeats is published as unresponsive and then no longer in use. A
// value that is not a list is rejected.
func TestUnresponsiveMachineIsPublished(t *testing.T) {
	f := newFixture(t)
	f.addMachine("i-1", "n0", "w:1")
	f.heartbeat(heartbeatBody("1", ""))
	f.Reconcile()
	f.controller.decisions = nil
	for range 12 {
		f.state.Now = f.state.Now.Add(time.Second)
		f.Reconcile()
	}
	published := ""
	for _, d := range f.controller.decisions {
		for _, w := range d.Writes {
			if w.Put == fleet.UnresponsivePrefix+"n0" {
				published = string(w.Value)
			}
		}
	}
	if published != `["i-1"]` {
		t.Fatalf("published %q", published)
	}
	if err := f.ApplyUnresponsive("n0", json.RawMessage(published)); err != nil {
		t.Fatal(err)
	}
	if m := f.state.Machines["i-1"]; f.InUse(m) || f.Ready(m) {
		t.Error("an unresponsive machine is in use")
	}
	if f.ApplyUnresponsive("n0", json.RawMessage("7")) == nil {
		t.Error("a value that is not a list was accepted")
	}
}

// applyPublished applies the committed lists of unresponsive machines, as the mirror of the store
// does, and returns the number of writes.
func (f *fixture) applyPublished() int {
	f.t.Helper()
	writes := 0
	for _, d := range f.controller.decisions {
		for _, w := range d.Writes {
			name, isList := strings.CutPrefix(w.Put+w.Remove, fleet.UnresponsivePrefix)
			if !isList {
				continue
			}
			if len(w.Value) > f.config.ValueBytes {
				f.t.Errorf("value of %d bytes in %s is too long", len(w.Value), w.Put)
			}
			if err := f.ApplyUnresponsive(name, w.Value); err != nil {
				f.t.Error(err)
			}
			writes++
		}
	}
	f.controller.decisions = nil
	return writes
}

// One controller owns 4,000 machines, of which a third and then all become unresponsive at once.
// Each is published as unresponsive, without repeated writes, and removed from the lists when it
// sends heartbeats again.
func TestUnresponsiveMachinesInLargeFleet(t *testing.T) {
	const machines = 4000
	f := newFixture(t)
	machineName := func(i int) string { return fmt.Sprintf("i-%06d", i) }
	for i := range machines {
		f.addMachine(machineName(i), "n0", "w:1")
	}
	heartbeatSeq := 0
	runSevenSeconds := func(reports func(i int) bool) {
		for range 7 {
			f.state.Now = f.state.Now.Add(time.Second)
			heartbeatSeq++
			for i := range machines {
				if reports(i) {
					f.heartbeat(strings.Replace(heartbeatBody(strconv.Itoa(heartbeatSeq), ""), "i-1", machineName(i), 1))
				}
			}
			f.Reconcile()
		}
	}
	for _, c := range []struct {
		name             string
		reports          func(i int) bool
		wantUnresponsive int
	}{
		{"all send heartbeats", func(int) bool { return true }, 0},
		{"a third is silent", func(i int) bool { return i%3 != 0 }, 1334},
		{"all are silent", func(int) bool { return false }, machines},
		{"a third sends heartbeats", func(i int) bool { return i%3 == 0 }, 2666},
		{"all send heartbeats again", func(int) bool { return true }, 0},
	} {
		f.controller.decisions = nil
		runSevenSeconds(c.reports)
		f.applyPublished()
		runSevenSeconds(c.reports)
		f.applyPublished()
		unresponsive := len(f.state.Unresponsive["n0"])
		if len(f.sessions) != machines || unresponsive != c.wantUnresponsive {
			t.Errorf("%s: %d sessions, %d machines unresponsive, want %d",
				c.name, len(f.sessions), unresponsive, c.wantUnresponsive)
		}
		used := 0
		for i := range machines {
			if f.InUse(f.state.Machines[machineName(i)]) {
				used++
			}
		}
		if used != machines-c.wantUnresponsive {
			t.Errorf("%s: unexpected number of machines in use: %d", c.name, used)
		}
		runSevenSeconds(c.reports)
		if n := f.applyPublished(); n != 0 {
			t.Errorf("%s: published again in %d writes", c.name, n)
		}
	}
	if keys := f.UnresponsiveKeys(); len(keys) != 1 {
		t.Errorf("more than one list is left: %v", keys)
	}
}
