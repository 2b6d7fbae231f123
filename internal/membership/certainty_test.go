package membership

import (
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
)

// After two stalls, a response to a request sent between them must not be taken for a response to a
// request sent after the second one.
func TestResponseToARequestBeforeTheLastStallRestoresNoCertainty(t *testing.T) {
	var responses []func(int, []byte, error)
	f := newFixture(t, func(method, target string, _ []byte, done func(int, []byte, error)) {
		if method == "GET" && strings.HasPrefix(target, "/store/") {
			responses = append(responses, done)
		}
	})
	m := f.membership
	m.config.AnswersProbes = false
	stall := func() {
		f.state.Now = f.state.Now.Add(time.Minute)
		f.client.Dispatch(f.state.Now)
		m.Stalled(time.Minute)
		m.leaseConfirmed(f.state.Now)
	}
	stall()
	stall()
	if len(responses) != 1 || m.certainty.State != members.LeaseKnown {
		t.Fatalf("%d requests, state %s", len(responses), m.certainty.State)
	}
	responses[0](404, []byte(`{"epoch":5}`), nil)
	if m.certainty.State != members.LeaseKnown {
		t.Fatalf("state %s after a response to a request sent before the second stall", m.certainty.State)
	}
	m.RestoreCertainty()
	if len(responses) != 2 {
		t.Fatal("the epoch was not requested again")
	}
	responses[1](404, []byte(`{"epoch":9999}`), nil)
	if m.certainty.State != members.CatchingUp || m.certainty.RequiredEpoch != 9999 {
		t.Fatalf("certainty at the end: %+v", m.certainty)
	}
}
