package simulation

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Late starts of the largest jobs, groups that are served too little and forgotten jobs are
// reported.
func TestViolationsOfUserRulesAreReported(t *testing.T) {
	sim := NewSimulator(1, slog.New(slog.DiscardHandler))
	sim.Now = sim.Start.Add(10 * time.Minute)
	at := func(s int) time.Time { return sim.Start.Add(time.Duration(s) * time.Second) }
	add := func(jobID, class, team string, taskCount, submitted, begun int) *Job {
		j := &Job{
			ID:           jobID,
			Class:        class,
			Team:         team,
			TaskCount:    taskCount,
			Accelerators: 1,
			Accepted:     true,
			SubmittedAt:  at(submitted),
			AnsweredAt:   sim.Now,
		}
		if begun > 0 {
			j.BegunAt = at(begun)
		}
		sim.Jobs[jobID] = j
		return j
	}
	// Eleven jobs of one class: the largest tenth are two, the 50 and the 40.
	for i := range 9 {
		add("wk-"+string(rune('a'+i)), "c", "t", 1, 0, 5)
	}
	add("wk-x", "c", "t", 50, 10, 251)
	add("wk-y", "c", "t", 40, 10, 250)
	sim.CheckServed(true)
	if len(sim.Violations) != 1 ||
		!strings.Contains(sim.Violations[0], "begins late: largest of c: 2 of 2 served, 1 late, the latest after 4m1s") {
		t.Errorf("late start: violations %q", sim.Violations)
	}
	sim.Violations = nil
	sim.Jobs["wk-x"].BegunAt, sim.Jobs["wk-y"].BegunAt = time.Time{}, time.Time{}
	add("wk-z", "d", "u", 1, 0, 0).CancelRequested = true // so it does not count as unserved
	sim.CheckServed(false)
	if len(sim.Violations) != 1 || !strings.Contains(sim.Violations[0], "served too little: largest of c: 0 of 2") {
		t.Errorf("unserved largest jobs: violations %q", sim.Violations)
	}
	sim.Violations = nil
	sim.CheckRecovery()
	// The cancelled job counts too: its user also waits for answers about it.
	if len(sim.Violations) != len(sim.Jobs) ||
		!strings.Contains(sim.Violations[0], "forgotten: no question about wk-a was answered") {
		t.Errorf("forgotten jobs: violations %q", sim.Violations)
	}
}

// At least half of the jobs of each class and team must be served; jobs that fail on every machine
// don't count.
func TestLessThanHalfServedIsReported(t *testing.T) {
	for served, want := range map[int][]string{
		5: nil,
		4: {"served too little: class c: 4 of 10", "served too little: team t: 4 of 10"},
	} {
		sim := NewSimulator(1, slog.New(slog.DiscardHandler))
		for i := range 12 {
			j := &Job{
				ID:           fmt.Sprintf("wk-%d", i+10),
				Class:        "c",
				Team:         "t",
				TaskCount:    12 - i,
				Accelerators: 1,
				Accepted:     true,
				SubmittedAt:  sim.Now,
			}
			if i < served {
				j.BegunAt = sim.Now
			}
			if i >= 10 {
				j.FailOn = "every"
			}
			sim.Jobs[j.ID] = j
		}
		sim.CheckServed(true)
		if len(sim.Violations) != len(want) {
			t.Errorf("%d of 10: %q", served, sim.Violations)
		}
		for i, b := range sim.Violations {
			if !strings.Contains(b, want[i]) {
				t.Errorf("%d of 10: %q", served, b)
			}
		}
	}
}
