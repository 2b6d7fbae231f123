package readconsistency

import (
	"fmt"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

var start = time.UnixMilli(1e12)

const ms = time.Millisecond

// The newest state wins, an end state is final, and states received from a peer are not forwarded.
func TestNewestAcknowledgedStateWins(t *testing.T) {
	log := NewAckLog(30 * ms)
	live, done := jobs.StoredState{State: jobs.Live}, jobs.StoredState{State: jobs.Done, DoneCount: 3}
	if wait := log.Acknowledge("wk-1", live, start); wait != 30*ms {
		t.Error("delay of a new state:", wait)
	}
	if wait := log.Acknowledge("wk-1", live, start.Add(20*ms)); wait != 10*ms {
		t.Error("remaining delay:", wait)
	}
	peerAcks := Acks{Accepted: []string{"wk-1", "wk-2"}, Ended: map[string]jobs.StoredState{"wk-1": done}}
	log.ApplyPeerAcks(peerAcks, start.Add(25*ms))
	peerAcks = Acks{Accepted: []string{"wk-1"}, Ended: map[string]jobs.StoredState{"wk-1": {State: jobs.Cancelled}}}
	log.ApplyPeerAcks(peerAcks, start.Add(26*ms))
	if latest, ok := log.Latest("wk-1"); !ok || latest != done {
		t.Error("latest", latest)
	}
	if wait := log.Acknowledge("wk-1", done, start.Add(35*ms)); wait != 20*ms {
		t.Error("remaining delay of a state received 10 ms ago:", wait)
	}
	messages := log.TakeUnsent()
	if len(messages) != 1 || len(messages[0].Accepted) != 0 || len(messages[0].Ended) != 1 ||
		messages[0].Ended["wk-1"] != done || log.TakeUnsent() != nil {
		t.Errorf("unsent messages: %+v", messages)
	}
}

func TestLogAndMessagesAreBounded(t *testing.T) {
	log := NewAckLog(0)
	count := tuning.MaxAcks + 2*tuning.MaxAcksPerLine
	for i := range count {
		log.Acknowledge(fmt.Sprintf("wk-%06d", i), jobs.StoredState{State: jobs.Live}, start)
	}
	if len(log.acks) != tuning.MaxAcks || len(log.order) != tuning.MaxAcks {
		t.Error(len(log.acks), "entries kept,", len(log.order), "in order")
	}
	sent := 0
	for _, message := range log.TakeUnsent() {
		if !message.Valid() {
			t.Error("a message is not valid")
		}
		sent += len(message.Accepted)
	}
	if sent != tuning.MaxAcks {
		t.Error(sent, "sent")
	}
}

func TestPeerIsUnresponsiveAfterTheTimeout(t *testing.T) {
	log := NewAckLog(0)
	log.PeerAlive("n1", start)
	for after, want := range map[time.Duration]bool{
		tuning.PeerUnresponsiveAfter:     true,
		tuning.PeerUnresponsiveAfter + 1: false,
	} {
		now := start.Add(after)
		if log.AllResponsive([]string{"n1"}, now) != want || log.AllResponsive([]string{"n1", "n2"}, now) {
			t.Error("after", after)
		}
	}
}
