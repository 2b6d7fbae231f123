package api

import (
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
)

// 4,000 queries wait for one reading of the epoch, and none is refused.
func TestOneEpochReadServes4000Queries(t *testing.T) {
	server := newTestServer(t, false)
	server.exhaustBudget() // the reading has not come
	refused, answered := 0, 0
	for range 4000 {
		server.addQuery(pendingQuery{
			respond:   func(http1.Reply) { refused++ },
			answer:    func() { answered++ },
			arrivedAt: server.state.Now,
		})
	}
	if refused > 0 || answered > 0 {
		t.Errorf("%d refused, %d answered with nothing read", refused, answered)
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
