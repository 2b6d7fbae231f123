package api

import (
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
)

// One read of the epoch serves 4,000 waiting queries, none of which is refused.
func TestOneEpochReadServes4000Queries(t *testing.T) {
	server := newTestServer(t, false)
	server.exhaustBudget() // so the epoch cannot be read yet
	refused, answered := 0, 0
	for range 4000 {
		server.addQuery(pendingQuery{
			respond:   func(http1.Reply) { refused++ },
			answer:    func() { answered++ },
			arrivedAt: server.state.Now,
		})
	}
	if refused > 0 || answered > 0 {
		t.Errorf("before the epoch was read: %d refused, %d answered", refused, answered)
	}
	server.client.SetBudget(1000, 1000, 1000)
	for range 5 {
		server.advance(100 * time.Millisecond)
		server.ReconcileQueries()
	}
	if answered != 4000 || refused > 0 {
		t.Errorf("%d answered, %d refused", answered, refused)
	}
}
