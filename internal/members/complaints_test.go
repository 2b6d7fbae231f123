package members

import (
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

func TestComplaintsCountUntilTheyStopOrTheOwnerChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	complaints := Complaints{}
	responsive := func(string, string) bool { return false }
	ownerOf := func(machine string) string {
		if machine == "i-3" {
			return "c" // ownership has moved
		}
		return "b"
	}
	for s := range 8 {
		at := now.Add(time.Duration(s) * time.Second)
		complaints.Add("b", "i-1", true, at)
		complaints.Add("b", "i-3", false, at)
		if s < 2 {
			complaints.Add("b", "i-2", false, at)
		}
	}
	at := now.Add(7 * time.Second)
	if got := complaints.Local(at); len(got) != 1 || got[0] != "i-1" {
		t.Errorf("local complaints: %v", got)
	}
	if got := complaints.PersistentByOwner(at, ownerOf, responsive); len(got) != 1 || got["b"] != 1 {
		t.Errorf("persistent complaints: %v", got)
	}
	at = now.Add(time.Minute)
	if got := complaints.PersistentByOwner(at, ownerOf, responsive); len(got) != 0 || len(complaints["b"]) != 0 {
		t.Errorf("after a minute without complaints: %v, kept %v", got, complaints["b"])
	}
}

// A single complaint is enough if the owner, shortly after the agent was redirected to it, still
// reports that it receives no heartbeats from the machine.
func TestSingleComplaintCountsIfTheOwnerReportsTheMachineUnresponsive(t *testing.T) {
	now := time.Unix(1000, 0)
	complaints := Complaints{}
	complaints.Add("b", "i-1", true, now)
	complaints.Add("b", "i-2", true, now)
	ownerOf := func(string) string { return "b" }
	unresponsive := func(owner, machine string) bool { return owner == "b" && machine == "i-1" }
	at := now.Add(tuning.UnresponsiveRetryAfter / 2)
	if got := complaints.PersistentByOwner(at, ownerOf, unresponsive); len(got) != 0 {
		t.Errorf("before the agent can have reached the owner: %v", got)
	}
	at = now.Add(tuning.UnresponsiveRetryAfter)
	if got := complaints.PersistentByOwner(at, ownerOf, unresponsive); len(got) != 1 || got["b"] != 1 {
		t.Errorf("machine that its owner reports unresponsive: %v", got)
	}
}
