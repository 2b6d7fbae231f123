package sharding

import "testing"

func TestShareOf(t *testing.T) {
	capacity := Resources{Cores: 10, Accelerators: 4, MemoryGB: 100}
	if got := (Resources{Cores: 5, Accelerators: 1, MemoryGB: 10}).ShareOf(capacity); got != 0.5 {
		t.Errorf("share %v", got)
	}
	if got := (Resources{Accelerators: 1}).ShareOf(Resources{Cores: 1}); got <= 1 {
		t.Errorf("a task that can never fit has share %v", got)
	}
}

func TestHowMany(t *testing.T) {
	free := Resources{Cores: 32, Accelerators: 4, MemoryGB: 100}
	for need, want := range map[Resources]int{
		{Cores: 8, Accelerators: 1, MemoryGB: 10}:  4,
		{Cores: 8, Accelerators: 1, MemoryGB: 40}:  2,
		{Cores: 33, Accelerators: 1, MemoryGB: 40}: 0,
		{Cores: 10.666666, MemoryGB: 1}:            3,
		{}:                                         0,
	} {
		if got := free.HowMany(need); got != want {
			t.Errorf("%v fits %d times, want %d", need, got, want)
		}
	}
}
