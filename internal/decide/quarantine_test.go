package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// A decision stays quarantined for its backoff, which doubles each time it is added.
func TestQuarantineBackoffDoubles(t *testing.T) {
	tasks := placedTasks(t, 2)
	decision, other := complete(tasks[0]), complete(tasks[1])
	now := time.Unix(0, 0)
	var q Quarantine
	if q.Contains(&decision, now) || !q.Add(&decision, now) || !q.Contains(&decision, now) || q.Contains(&other, now) {
		t.Error("want only the added decision to be quarantined, and to be reported as new")
	}
	for backoff := tuning.QuarantineFirst; backoff < tuning.MaxQuarantine; backoff *= 2 {
		if !q.Contains(&decision, now.Add(backoff-1)) || q.Contains(&decision, now.Add(backoff)) {
			t.Fatalf("not quarantined for exactly %v", backoff)
		}
		now = now.Add(backoff)
		if q.Add(&decision, now) {
			t.Error("decision reported as new twice")
		}
	}
	for i := range 2 * tuning.MaxQuarantined {
		q.Add(&Decision{Writes: []store.Write{Remove(fmt.Sprint("host/", i))}}, now)
	}
	if len(q.entries) > tuning.MaxQuarantined {
		t.Errorf("%d entries exceed the maximum", len(q.entries))
	}
}

// A fault that affects each of 4,000 machines leaves all their decisions quarantined: none is
// evicted for lack of space.
func TestQuarantineHolds4000Machines(t *testing.T) {
	now := time.Unix(0, 0)
	decisionAbout := func(i int) *Decision {
		return &Decision{Writes: []store.Write{Put(fmt.Sprintf("host/i-%06d", i), i)}}
	}
	var q Quarantine
	for i := range 4000 {
		q.Add(decisionAbout(i), now)
	}
	for i := range 4000 {
		if !q.Contains(decisionAbout(i), now.Add(tuning.QuarantineFirst/2)) {
			t.Fatalf("the decision about machine %d is no longer quarantined", i)
		}
	}
}
