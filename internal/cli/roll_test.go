package cli

import (
	"errors"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/rollout"
)

// A wait ends once nothing has stood against it for long enough under one view; a view
// that changes begins it anew, and without an end it says why.
func TestRollWait(t *testing.T) {
	fine := func(epoch uint64) rollout.Plan {
		return rollout.Plan{Leader: "n0", Epoch: epoch, Order: []string{"n1", "n0"}}
	}
	for name, c := range map[string]struct {
		at   func(second int) rollout.Plan
		ends int // seconds, below 0 for a wait in vain
		says string
	}{
		"at once":      {func(int) rollout.Plan { return fine(3) }, 10, ""},
		"after a view": {func(s int) rollout.Plan { return fine(uint64(3 + min(s/7, 2))) }, 24, ""},
		"quiet":        {func(s int) rollout.Plan { p := fine(3); p.NotYet = []string{"n2 is called"}; return p }, -1, "not yet: n2 is called"},
		"restless":     {func(s int) rollout.Plan { return fine(uint64(3 + s/5)) }, -1, "not yet: the view changes again and again"},
		"leader":       {func(int) rollout.Plan { p := fine(3); p.Leader = "n1"; return p }, -1, "not yet: n1 leads, and goes last"},
	} {
		at := time.Unix(0, 0)
		notes := 0
		err := waitFor(
			"n1",
			func() (rollout.Plan, error) { return c.at(int(at.Unix())), nil },
			10*time.Second,
			60*time.Second,
			func() time.Time { return at },
			func(d time.Duration) { at = at.Add(d) },
			func(string) { notes++ },
		)
		var e *Exit
		if c.ends < 0 {
			if !errors.As(err, &e) || e.Code != ExitNotYet || e.Text != c.says || notes > 1 {
				t.Errorf("%s: %v, told %d times", name, err, notes)
			}
			continue
		}
		if err != nil || int(at.Unix()) != c.ends {
			t.Errorf("%s: %v after %d s", name, err, at.Unix())
		}
	}
	gone := errors.New("gone")
	if err := waitFor(
		"n1",
		func() (rollout.Plan, error) { return rollout.Plan{}, gone },
		0,
		time.Second,
		time.Now,
		func(time.Duration) {},
		func(string) {},
	); err != gone {
		t.Error(err)
	}
}
