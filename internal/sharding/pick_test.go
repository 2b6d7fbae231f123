package sharding

import (
	"fmt"
	"testing"
)

func TestPickPrefersImageThenFullest(t *testing.T) {
	capacity := Resources{Cores: 10, Accelerators: 4, MemoryGB: 10}
	need := Resources{Cores: 1, Accelerators: 1, MemoryGB: 1}
	candidates := []Candidate{
		{Machine: "full", Free: Resources{Cores: 10}, Capacity: capacity, Load: 1},
		{Machine: "empty", Free: capacity, Capacity: capacity},
		{Machine: "half", Free: Resources{5, 2, 5}, Capacity: capacity, Load: 0.5},
	}
	if got := candidates[Pick(need, false, candidates)].Machine; got != "half" {
		t.Errorf("picked %s, want the fullest machine that fits", got)
	}
	candidates[1].HasImage = true
	if got := candidates[Pick(need, false, candidates)].Machine; got != "empty" {
		t.Errorf("picked %s, want the machine that holds the image", got)
	}
	if Pick(Resources{Accelerators: 5}, false, candidates) != -1 {
		t.Error("picked a machine although the task fits on none")
	}
}

func TestPickPrefersSpotMachineOverImage(t *testing.T) {
	candidates := []Candidate{
		{Machine: "a", Free: Resources{Cores: 9}, Capacity: Resources{Cores: 9}, HasImage: true},
		{Machine: "b", Free: Resources{Cores: 9}, Capacity: Resources{Cores: 9}, Spot: true, ImagePullS: 9},
	}
	if i := Pick(Resources{Cores: 1}, true, candidates); i != 1 {
		t.Error("a task that may use spot machines was placed on another one")
	}
	if i := Pick(Resources{Cores: 1}, false, candidates[:1]); i != 0 {
		t.Errorf("picked index %d, want 0, the only machine", i)
	}
}

// A task without accelerators goes to a machine whose accelerators are in use already, not to one
// where it would take the cores that free accelerators need. A task with accelerators is placed by
// load alone.
func TestTaskWithoutAcceleratorsStrandsFewest(t *testing.T) {
	capacity := Resources{Cores: 32, Accelerators: 4, MemoryGB: 256}
	candidates := []Candidate{
		{Machine: "i-1", Capacity: capacity, Free: Resources{Cores: 16, Accelerators: 4, MemoryGB: 128}, Load: 0.5},
		{Machine: "i-2", Capacity: capacity, Free: Resources{Cores: 16, Accelerators: 0, MemoryGB: 128}, Load: 0.5},
		{Machine: "i-3", Capacity: capacity, Free: Resources{Cores: 30, Accelerators: 3, MemoryGB: 250}, Load: 0.1},
	}
	pick := func(need Resources) string { return candidates[Pick(need, false, candidates)].Machine }
	if got := pick(Resources{Cores: 12, MemoryGB: 20}); got != "i-2" {
		t.Errorf("a task with 12 cores and no accelerator went to %s", got)
	}
	if got := pick(Resources{Cores: 18, MemoryGB: 20}); got != "i-3" {
		t.Errorf("a task with 18 cores and no accelerator went to %s", got)
	}
	if got := pick(Resources{Cores: 4, Accelerators: 1, MemoryGB: 20}); got != "i-1" {
		t.Errorf("a task with an accelerator went to %s", got)
	}
	// A machine that holds the image is still preferred.
	candidates[0].HasImage = true
	if got := pick(Resources{Cores: 12, MemoryGB: 20}); got != "i-1" {
		t.Errorf("a task whose image is on i-1 went to %s", got)
	}
}

// BenchmarkPick picks among 2,000 machines for tasks with and without accelerators.
func BenchmarkPick(b *testing.B) {
	capacity := Resources{Cores: 64, Accelerators: 8, MemoryGB: 512}
	var candidates []Candidate
	for i := range 2000 {
		free := Resources{Cores: float64(i % 64), Accelerators: float64(i % 9), MemoryGB: float64(i % 512)}
		candidates = append(candidates, Candidate{
			Machine:  fmt.Sprint("i-", i),
			Capacity: capacity,
			Free:     free,
			Load:     capacity.Sub(free).ShareOf(capacity),
		})
	}
	for name, need := range map[string]Resources{
		"accelerators":    {Cores: 4, Accelerators: 1, MemoryGB: 8},
		"no accelerators": {Cores: 4, MemoryGB: 8},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				Pick(need, false, candidates)
			}
		})
	}
}
