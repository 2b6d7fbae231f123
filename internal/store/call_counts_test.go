package store

import (
	"errors"
	"testing"
	"time"
)

func TestCallsAreCountedByKindWithTheirDurations(t *testing.T) {
	var answer func(int, []byte, error)
	client := New(func(_, _ string, _ []byte, _ time.Duration, done func(int, []byte, error)) { answer = done }, nil)
	now := time.UnixMilli(1e12)
	client.SetBudget(100, 100, 100)
	client.Dispatch(now)
	now = now.Add(time.Second)
	client.Dispatch(now)
	for _, took := range []time.Duration{10 * time.Millisecond, 30 * time.Millisecond} {
		client.ReadEpoch(PriorityUser, func(uint64, error) {})
		now = now.Add(took)
		client.Dispatch(now)
		answer(404, []byte(`{"epoch":7}`), nil)
	}
	client.Get(PriorityUser, "job/wk-000001", nil, func(*Item, error) {})
	answer(0, nil, errors.New("timeout"))
	counts := client.TakeCallCounts()
	if got, want := counts[EpochRead].String(), "2 in 20ms to 30ms"; got != want {
		t.Errorf("epoch reads: %s, want %s", got, want)
	}
	if got, want := counts[KeyRead].String(), "0 in 0s to 0s, 1 unanswered"; got != want {
		t.Errorf("reads of keys: %s, want %s", got, want)
	}
	if again := client.TakeCallCounts(); len(again) != 0 {
		t.Errorf("counted again: %v", again)
	}
}
