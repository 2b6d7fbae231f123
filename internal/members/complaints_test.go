package members

import (
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

func TestComplaints(t *testing.T) {
	now := time.Unix(1000, 0)
	c := Complaints{}
	heard := func(string, string) bool { return false }
	owner := func(h string) string {
		if h == "i-3" {
			return "c" // has passed to another owner
		}
		return "b"
	}
	for s := range 8 {
		at := now.Add(time.Duration(s) * time.Second)
		c.Add("b", "i-1", true, at)
		c.Add("b", "i-3", false, at)
		if s < 2 {
			c.Add("b", "i-2", false, at)
		}
	}
	at := now.Add(7 * time.Second)
	if got := c.Local(at); len(got) != 1 || got[0] != "i-1" {
		t.Errorf("here: %v", got)
	}
	if got := c.PersistentByOwner(at, owner, heard); len(got) != 1 || got["b"] != 1 {
		t.Errorf("lasting: %v", got)
	}
	if got := c.PersistentByOwner(now.Add(time.Minute), owner, heard); len(got) != 0 || len(c["b"]) != 0 {
		t.Errorf("after a minute of quiet: %v, kept %v", got, c["b"])
	}
}

// A machine that came here once is out of its owner's reach if the owner itself, a moment
// after it was sent there, still tells that it does not hear it.
func TestOwnersOwnWord(t *testing.T) {
	now := time.Unix(1000, 0)
	c := Complaints{}
	c.Add("b", "i-1", true, now)
	c.Add("b", "i-2", true, now)
	owner := func(string) string { return "b" }
	unresponsive := func(owner, machine string) bool { return owner == "b" && machine == "i-1" }
	if got := c.PersistentByOwner(now.Add(tuning.UnresponsiveRetryAfter/2), owner, unresponsive); len(got) != 0 {
		t.Errorf("on its way to the owner: %v", got)
	}
	if got := c.PersistentByOwner(now.Add(tuning.UnresponsiveRetryAfter), owner, unresponsive); len(got) != 1 || got["b"] != 1 {
		t.Errorf("not heard there: %v", got)
	}
}
