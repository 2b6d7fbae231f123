package readconsistency

import (
	"fmt"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

var done = jobs.StoredState{State: jobs.Done, DoneCount: 1}

// An answer has every end acknowledged within the age that the query asks for, its own and those of
// others, and nothing else.
func TestAnswerHasAllRecentEnds(t *testing.T) {
	log := NewAckLog(30 * ms)
	log.PeerAlive("n1", start)
	log.Acknowledge("wk-1", done, start.Add(100*ms))
	log.Acknowledge("wk-2", jobs.StoredState{State: jobs.Live}, start.Add(500*ms))
	log.Acknowledge("wk-3", done, start.Add(500*ms))
	log.ApplyPeerAcks(Acks{Ended: map[string]jobs.StoredState{"wk-4": done}}, start.Add(600*ms))
	answer, complete := log.AnswerQuery(PeerQuery{Nonce: 7, AgeMs: 300}, start.Add(800*ms))
	if !complete || answer.Nonce != 7 || len(answer.Ended) != 2 || answer.Ended["wk-3"] != done ||
		answer.Ended["wk-4"] != done {
		t.Errorf("answer %+v, complete %v", answer, complete)
	}
}

// A controller must not answer for a time of which it does not know all that it acknowledged: before
// its process started, or longer ago than its log goes back.
func TestIncompleteAnswersAreNotSent(t *testing.T) {
	log := NewAckLog(0)
	if _, complete := log.AnswerQuery(PeerQuery{Nonce: 1}, start); complete {
		t.Error("answered before the log covers anything")
	}
	log.PeerAlive("n1", start)
	if _, complete := log.AnswerQuery(PeerQuery{Nonce: 1, AgeMs: 200}, start.Add(199*ms)); complete {
		t.Error("answered for the time before the process started")
	}
	if _, complete := log.AnswerQuery(PeerQuery{Nonce: 1, AgeMs: 200}, start.Add(200*ms)); !complete {
		t.Error("not answered although the log covers the time")
	}
	for i := range tuning.MaxAcks + 1 {
		log.Acknowledge(fmt.Sprintf("wk-%06d", i), jobs.StoredState{State: jobs.Live}, start.Add(300*ms))
	}
	if _, complete := log.AnswerQuery(PeerQuery{Nonce: 1, AgeMs: 100}, start.Add(400*ms)); complete {
		t.Error("answered although an acknowledgement of that time has been dropped")
	}
	if _, complete := log.AnswerQuery(PeerQuery{Nonce: 1, AgeMs: 90}, start.Add(400*ms)); !complete {
		t.Error("not answered although all dropped acknowledgements are older")
	}
	for i := range tuning.MaxAcksPerLine + 1 {
		log.Acknowledge(fmt.Sprintf("wk-%06d", 20000+i), done, start.Add(500*ms))
	}
	if _, complete := log.AnswerQuery(PeerQuery{Nonce: 1, AgeMs: 50}, start.Add(510*ms)); complete {
		t.Error("answered although the answer does not fit into a message")
	}
}

// The proof needs the answer of every peer to the last query, counts only for a short time, and
// covers only the time that the query asked for.
func TestPeerProofNeedsRecentAnswersOfAllPeers(t *testing.T) {
	proof := NewPeerProof([]string{"n1", "n2"}, 50)
	if proof.Covers(start, start) {
		t.Error("proven without a query")
	}
	first := proof.Begin(start, start.Add(600*ms))
	second := proof.Begin(start.Add(100*ms), start.Add(700*ms))
	if second.Nonce == first.Nonce || second.AgeMs != 600+tuning.MaxReadAge.Milliseconds() {
		t.Errorf("queries %+v and %+v", first, second)
	}
	proof.Answered("n1", PeerAnswer{Nonce: second.Nonce})
	proof.Answered("n2", PeerAnswer{Nonce: first.Nonce})
	if proof.Covers(start.Add(100*ms), start.Add(701*ms)) {
		t.Error("proven with an answer to an earlier query")
	}
	proof.Answered("n2", PeerAnswer{Nonce: second.Nonce})
	for _, c := range []struct {
		since, now time.Duration
		want       bool
	}{
		{100 * ms, 701 * ms, true},
		{100 * ms, 700*ms + tuning.MaxReadAge, true},
		{100 * ms, 701*ms + tuning.MaxReadAge, false},
		{99 * ms, 701 * ms, false},
	} {
		if proof.Covers(start.Add(c.since), start.Add(c.now)) != c.want {
			t.Errorf("since %v at %v: proven is %v", c.since, c.now, !c.want)
		}
	}
	if !NewPeerProof(nil, 1).Covers(start, start.Add(time.Hour)) {
		t.Error("a controller without peers needs no proof")
	}
}

// Queries and answers are encoded as recorded, and only those that a controller could send are valid.
func TestPeerQueriesAndAnswersAreChecked(t *testing.T) {
	answer := PeerAnswer{Nonce: 9, Ended: map[string]jobs.StoredState{"wk-3": done}}
	query := PeerQuery{Nonce: 8, AgeMs: 630}
	goldentest.RequireNonZeroFields(t, answer)
	goldentest.RequireNonZeroFields(t, query)
	goldentest.JSON(t, "peer-answer.json", answer)
	goldentest.JSON(t, "peer-query.json", query)
	var noQuery *PeerQuery
	var noAnswer *PeerAnswer
	if !query.Valid() || !answer.Valid() || !noQuery.Valid() || !noAnswer.Valid() {
		t.Error("a query or an answer of a controller is not valid")
	}
	live := map[string]jobs.StoredState{"wk-3": {State: jobs.Live}}
	for _, valid := range []bool{
		(&PeerQuery{AgeMs: 1}).Valid(),
		(&PeerQuery{Nonce: 1, AgeMs: -1}).Valid(),
		(&PeerAnswer{Ended: answer.Ended}).Valid(),
		(&PeerAnswer{Nonce: 1, Ended: live}).Valid(),
	} {
		if valid {
			t.Error("a query or an answer that no controller sends is valid")
		}
	}
}
