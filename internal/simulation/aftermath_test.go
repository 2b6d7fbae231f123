package simulation

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// The users' own rules must fail what they are there to fail.
func TestUsersRulesBreakWhenViolated(t *testing.T) {
	sim := NewSimulator(1, slog.New(slog.DiscardHandler))
	sim.Now = sim.Start.Add(10 * time.Minute)
	at := func(s int) time.Time { return sim.Start.Add(time.Duration(s) * time.Second) }
	add := func(jobID, class, owner string, taskCount, submitted, begun int) *Job {
		j := &Job{
			ID:           jobID,
			Class:        class,
			Team:         owner,
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
	if len(sim.Broken) != 1 ||
		!strings.Contains(sim.Broken[0], "begins late: largest of c: 2 of 2 served, 1 late, the latest after 4m1s") {
		t.Errorf("largest in time: %q", sim.Broken)
	}
	sim.Broken = nil
	sim.Jobs["wk-x"].BegunAt, sim.Jobs["wk-y"].BegunAt = time.Time{}, time.Time{}
	add("wk-z", "d", "u", 1, 0, 0).CancelRequested = true // its user no longer waits for it to run
	sim.CheckServed(false)
	if len(sim.Broken) != 1 || !strings.Contains(sim.Broken[0], "served too little: largest of c: 0 of 2") {
		t.Errorf("largest served: %q", sim.Broken)
	}
	sim.Broken = nil
	sim.Aftermath()
	// Who cancelled a job waits for answers about it as everybody does.
	if len(sim.Broken) != len(sim.Jobs) ||
		!strings.Contains(sim.Broken[0], "forgotten: no question about wk-a was answered") {
		t.Errorf("forgotten: %q", sim.Broken)
	}
}

// Half of a class and of a team has to be served; jobs that fail everywhere don't count.
func TestLessThanHalfServedBreaks(t *testing.T) {
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
		if len(sim.Broken) != len(want) {
			t.Errorf("%d of 10: %q", served, sim.Broken)
		}
		for i, b := range sim.Broken {
			if !strings.Contains(b, want[i]) {
				t.Errorf("%d of 10: %q", served, b)
			}
		}
	}
}
