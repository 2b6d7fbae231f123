package provisioning

import (
	"strings"
	"testing"
)

// Machines are requested for waiting tasks, under IDs that are never reused, not even by a new
// leader.
func TestLaunchRequestIDsAreNeverReused(t *testing.T) {
	l := newLeader(t)
	l.submit("wk-1", 40)
	l.run(15)
	if len(l.requestIDs) == 0 || len(l.state.MachineTypes) != 1 {
		t.Fatalf("launch requests: %v", l.requestIDs)
	}
	first := len(l.requestIDs)
	l.epoch = 4
	l.Reset()
	l.run(40)
	used := map[string]bool{}
	for _, requestID := range l.requestIDs {
		if used[requestID] {
			t.Errorf("%s was used twice", requestID)
		}
		used[requestID] = true
	}
	if len(l.requestIDs) > first && !strings.HasPrefix(l.requestIDs[first], "r-4-") {
		t.Errorf("IDs after a change of leader: %v", l.requestIDs[first:])
	}
}

// A request that the cloud refuses for lack of capacity is repeated, but not at once.
func TestRefusedRequestIsRetriedLater(t *testing.T) {
	l := newLeader(t)
	l.noCapacity = true
	l.submit("wk-1", 8)
	l.run(12)
	requests := len(l.requestIDs)
	if requests == 0 || requests > 4 {
		t.Errorf("%d requests in a step to a cloud without capacity", requests)
	}
	l.noCapacity = false
	l.run(60)
	if len(l.requestIDs) == requests {
		t.Error("no request once the cloud has capacity")
	}
}

// A request that the cloud refuses as malformed is not repeated at every step.
func TestMalformedRequestIsNotRepeatedAtOnce(t *testing.T) {
	l := newLeader(t)
	l.malformed = true
	l.submit("wk-1", 8)
	l.run(40)
	requests := len(l.requestIDs)
	if requests == 0 || requests > 8 {
		t.Errorf("%d requests in four steps", requests)
	}
	l.malformed = false
	l.run(90)
	if len(l.requestIDs) == requests {
		t.Error("no request once the cloud accepts them")
	}
}
