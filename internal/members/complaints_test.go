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
		c.Note("b", "i-1", true, at)
		c.Note("b", "i-3", false, at)
		if s < 2 {
			c.Note("b", "i-2", false, at)
		}
	}
	at := now.Add(7 * time.Second)
	if got := c.Here(at); len(got) != 1 || got[0] != "i-1" {
		t.Errorf("here: %v", got)
	}
	if got := c.Lasting(at, owner, heard); len(got) != 1 || got["b"] != 1 {
		t.Errorf("lasting: %v", got)
	}
	if got := c.Lasting(now.Add(time.Minute), owner, heard); len(got) != 0 || len(c["b"]) != 0 {
		t.Errorf("after a minute of quiet: %v, kept %v", got, c["b"])
	}
}

// A machine that came here once is out of its owner's reach if the owner itself, a moment
// after it was sent there, still tells that it does not hear it.
func TestOwnersOwnWord(t *testing.T) {
	now := time.Unix(1000, 0)
	c := Complaints{}
	c.Note("b", "i-1", true, now)
	c.Note("b", "i-2", true, now)
	owner := func(string) string { return "b" }
	quiet := func(owner, host string) bool { return owner == "b" && host == "i-1" }
	if got := c.Lasting(now.Add(tuning.QuietVisit/2), owner, quiet); len(got) != 0 {
		t.Errorf("on its way to the owner: %v", got)
	}
	if got := c.Lasting(now.Add(tuning.QuietVisit), owner, quiet); len(got) != 1 || got["b"] != 1 {
		t.Errorf("not heard there: %v", got)
	}
}
