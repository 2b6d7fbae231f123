package members

import (
	"testing"
	"time"
)

func TestComplaints(t *testing.T) {
	now := time.Unix(1000, 0)
	c := Complaints{}
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
	if got := c.Lasting(at, owner); len(got) != 1 || got["b"] != 1 {
		t.Errorf("lasting: %v", got)
	}
	if got := c.Lasting(now.Add(time.Minute), owner); len(got) != 0 || len(c["b"]) != 0 {
		t.Errorf("after a minute of quiet: %v, kept %v", got, c["b"])
	}
}
