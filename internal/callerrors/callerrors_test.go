package callerrors

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Refused calls are reported once a minute by kind. Calls that should never have been made are
// reported separately from those refused because of load.
func TestReportsEachKindOnceAMinute(t *testing.T) {
	var c Counter
	at := time.Unix(1000, 0)
	c.Report(at)
	for i := range 50 {
		c.Note(Store, "POST", "/multi", 400, []byte(`{"error":"too many conditions"}`))
		c.Note(Store, "POST", "/multi", 400, []byte(`{"error":"no such lease"}`))
		c.Note(Store, "POST", fmt.Sprintf("/grants/%d/renew", i), 503, nil)
		c.Note(Store, "GET", "/store/job/wk-1", 404, nil)
		c.Note(Store, "POST", "/multi", 0, nil) // no response
		c.Note(AgentCalls, "POST", "/commands", 400, nil)
		c.Note(Users, "GET", fmt.Sprintf("/work/wk-%d", i), 503, nil)
	}
	if unexpected, overload := c.Report(at.Add(tuning.CallErrorsLogEvery - 1)); unexpected+overload != "" {
		t.Error("reported too early:", unexpected, overload)
	}
	unexpected, overload := c.Report(at.Add(tuning.CallErrorsLogEvery))
	wantUnexpected := `state POST /multi 400: 50 times, first "{\"error\":\"too many conditions\"}"; ` +
		`worker POST /commands 400: 50 times, first ""`
	if unexpected != wantUnexpected {
		t.Errorf("unexpected calls: %s", unexpected)
	}
	wantOverload := `state POST /grants/renew 503: 50; state POST /multi (lease ended) 400: 50; users GET /work 503: 50`
	if overload != wantOverload {
		t.Errorf("overload: %s", overload)
	}
	if c.Unexpected != 100 || c.Refused != 250 {
		t.Errorf("%d unexpected calls of %d refused ones", c.Unexpected, c.Refused)
	}
	if unexpected, overload := c.Report(at.Add(2 * tuning.CallErrorsLogEvery)); unexpected+overload != "" {
		t.Error("reported twice:", unexpected, overload)
	}
}

// The number of kinds that are kept and reported is limited, whatever targets are called.
func TestKindsAreBounded(t *testing.T) {
	var c Counter
	c.Report(time.Unix(0, 1))
	for i := range 5000 {
		name := strings.Repeat(string(rune('a'+i%26)), 1+i/26)
		c.Note(Cloud, "GET", "/"+name, 400, []byte(strings.Repeat("x", 1000)))
	}
	if len(c.counts) > tuning.MaxErrorKinds {
		t.Error(len(c.counts))
	}
	_, overload := c.Report(time.Unix(100, 0))
	if want := fmt.Sprintf("of other kinds: %d", 5000-tuning.MaxErrorKinds); !strings.Contains(overload, want) {
		t.Error(overload)
	}
}

func TestGenericTargetOmitsIDs(t *testing.T) {
	cases := []struct {
		name   string
		target string
		want   string
	}{
		{"plain", "/multi", "/multi"},
		{"number as a segment", "/grants/17/renew", "/grants/renew"},
		{"job", "/work/wk-12", "/work"},
		{"query", "/watch?after=5", "/watch"},
		{"more than three segments", "/a/b/c/d", "/a/b/c"},
		{"nothing", "", "/"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := genericTarget(c.target); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
