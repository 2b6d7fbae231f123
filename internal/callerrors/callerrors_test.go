package callerrors

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Refusals are told once a minute by kind, those that should never have been made
// apart from those of load.
func TestDue(t *testing.T) {
	var c Counter
	at := time.Unix(1000, 0)
	c.Due(at)
	for i := range 50 {
		c.Note(State, "POST", "/multi", 400, []byte(`{"error":"too many conditions"}`))
		c.Note(State, "POST", "/multi", 400, []byte(`{"error":"no such lease"}`))
		c.Note(State, "POST", fmt.Sprintf("/grants/%d/renew", i), 503, nil)
		c.Note(State, "GET", "/store/job/wk-1", 404, nil)
		c.Note(State, "POST", "/multi", 0, nil) // no answer
		c.Note(Worker, "POST", "/commands", 400, nil)
		c.Note(Users, "GET", fmt.Sprintf("/work/wk-%d", i), 503, nil)
	}
	if wrong, load := c.Due(at.Add(tuning.CallErrorsLogEvery - 1)); wrong+load != "" {
		t.Error("told too early", wrong, load)
	}
	wrong, load := c.Due(at.Add(tuning.CallErrorsLogEvery))
	if want := `state POST /multi 400: 50 times, first "{\"error\":\"too many conditions\"}"; worker POST /commands 400: 50 times, first ""`; wrong != want {
		t.Errorf("%s", wrong)
	}
	if want := `state POST /grants/renew 503: 50; state POST /multi (lease ended) 400: 50; users GET /work 503: 50`; load != want {
		t.Errorf("%s", load)
	}
	if c.Unexpected != 100 || c.Refused != 250 {
		t.Errorf("%d wrong of %d", c.Unexpected, c.Refused)
	}
	if wrong, load := c.Due(at.Add(2 * tuning.CallErrorsLogEvery)); wrong+load != "" {
		t.Error("told twice", wrong, load)
	}
}

// Whatever is called, the kinds kept and told are bounded.
func TestBound(t *testing.T) {
	var c Counter
	c.Due(time.Unix(0, 1))
	for i := range 5000 {
		name := strings.Repeat(string(rune('a'+i%26)), 1+i/26)
		c.Note(Cloud, "GET", "/"+name, 400, []byte(strings.Repeat("x", 1000)))
	}
	if len(c.counts) > tuning.MaxErrorKinds {
		t.Error(len(c.counts))
	}
	if _, load := c.Due(time.Unix(100, 0)); !strings.Contains(load, fmt.Sprintf("of other kinds: %d", 5000-tuning.MaxErrorKinds)) {
		t.Error(load)
	}
}
