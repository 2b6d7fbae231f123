package api

import (
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/readconsistency"
	"github.com/harrierreel/harrierreel/internal/tuning"
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

// A mirror that is not known to be up to date answers a query only while all other controllers have
// just said what they have acknowledged since the query arrived, however recently they were heard.
func TestUnverifiedMirrorAnswersOnlyWithThePeersProof(t *testing.T) {
	server := newTestServer(t, false)
	server.peerProof = readconsistency.NewPeerProof([]string{"n1", "n2"}, 100)
	answered := 0
	query := pendingQuery{
		respond:   func(http1.Reply) {},
		answer:    func() { answered++ },
		arrivedAt: server.state.Now,
		jobID:     "wk-000001",
	}
	server.queries.batches = []queryBatch{{queries: []pendingQuery{query}}}
	server.advance(tuning.QueryUnverifiedAfter - 1)
	server.queryPeers()
	if len(server.fake.ackQueries) != 0 {
		t.Fatal("the other controllers are queried before the mirror had time to catch up")
	}
	server.advance(1)
	server.AnswerQueries(time.Time{})
	server.queryPeers()
	server.queryPeers()
	if len(server.fake.ackQueries) != 1 || answered != 0 {
		t.Fatalf("%d queries to the other controllers, %d answers", len(server.fake.ackQueries), answered)
	}
	sent := server.fake.ackQueries[0]
	if age := time.Duration(sent.AgeMs) * time.Millisecond; age < tuning.QueryUnverifiedAfter+tuning.MaxReadAge {
		t.Errorf("the query goes back only %v", age)
	}
	answer := readconsistency.PeerAnswer{Nonce: sent.Nonce}
	server.PeerAnswered("n1", answer)
	server.PeerAnswered("n1", answer)
	server.PeerAnswered("n2", readconsistency.PeerAnswer{Nonce: sent.Nonce - 1})
	if answered != 0 {
		t.Fatal("answered though a controller has not answered this query")
	}
	server.advance(tuning.MaxReadAge + 1)
	server.PeerAnswered("n2", answer)
	if answered != 0 {
		t.Fatal("answered though the query was sent too long ago")
	}
	server.advance(tuning.QueryGap)
	server.queryPeers()
	answer.Nonce = server.fake.ackQueries[1].Nonce
	server.PeerAnswered("n1", answer)
	server.PeerAnswered("n2", answer)
	if answered != 1 {
		t.Error("not answered with the answers of all other controllers")
	}
}
