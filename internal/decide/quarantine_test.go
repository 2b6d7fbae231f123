package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// A quarantined decision is not made again before its pause is over, which doubles.
func TestQuarantinePauseDoubles(t *testing.T) {
	tasks := placedTasks(t, 2)
	decision, other := complete(tasks[0]), complete(tasks[1])
	now := time.Unix(0, 0)
	var q Quarantine
	if q.Contains(&decision, now) || !q.Add(&decision, now) || !q.Contains(&decision, now) || q.Contains(&other, now) {
		t.Error("not just this one is quarantined")
	}
	for pause := tuning.QuarantineFirst; pause < tuning.MaxQuarantine; pause *= 2 {
		if !q.Contains(&decision, now.Add(pause-1)) || q.Contains(&decision, now.Add(pause)) {
			t.Fatalf("not quarantined for %v", pause)
		}
		now = now.Add(pause)
		if q.Add(&decision, now) {
			t.Error("reported as new twice")
		}
	}
	for i := range 2 * tuning.MaxQuarantined {
		q.Add(&Decision{Writes: []store.Write{Remove(fmt.Sprint("host/", i))}}, now)
	}
	if len(q.entries) > tuning.MaxQuarantined {
		t.Errorf("%d are kept", len(q.entries))
	}
}

// A fault that concerns each of 4,000 machines keeps none of them from being quarantined.
func TestQuarantineHolds4000Machines(t *testing.T) {
	now := time.Unix(0, 0)
	about := func(i int) *Decision {
		return &Decision{Writes: []store.Write{Put(fmt.Sprintf("host/i-%06d", i), i)}}
	}
	var q Quarantine
	for i := range 4000 {
		q.Add(about(i), now)
	}
	for i := range 4000 {
		if !q.Contains(about(i), now.Add(tuning.QuarantineFirst/2)) {
			t.Fatalf("the decision about machine %d is made again", i)
		}
	}
}
