package readconsistency

import (
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

const hold = 1000 * ms

// newConfirmedLog returns a log that waits for two peers, n1 and n2.
func newConfirmedLog() *AckLog {
	log := NewAckLog(30 * ms)
	log.RequireConfirmations([]string{"n1", "n2"}, hold, 500)
	return log
}

// acknowledgeEnd acknowledges the end of wk-1 at start and returns the number of the line about it.
func acknowledgeEnd(t *testing.T, log *AckLog) uint64 {
	t.Helper()
	if wait := log.Acknowledge("wk-1", done, start); wait != hold {
		t.Fatalf("the answer waits %v, want %v", wait, hold)
	}
	messages := log.TakeUnsent()
	if len(messages) != 1 || messages[0].Line == 0 {
		t.Fatalf("unsent messages: %+v", messages)
	}
	return messages[0].Line
}

func TestEndIsHeldUntilAllPeersHaveConfirmedIt(t *testing.T) {
	log := newConfirmedLog()
	line := acknowledgeEnd(t, log)
	at := start.Add(40 * ms)
	for _, c := range []struct {
		from string
		line uint64
		last bool
		want time.Duration
	}{
		{"n1", line, false, hold - 40*ms},
		{"n1", line, false, hold - 40*ms},
		{"n3", line, false, hold - 40*ms},
		{"n2", line - 1, false, hold - 40*ms},
		{"n2", line, true, 0},
		{"n2", line, false, 0},
	} {
		if last := log.Confirmed(c.from, Confirmation{Line: c.line}); last != c.last {
			t.Errorf("%s confirms line %d: last is %v", c.from, c.line, last)
		}
		if wait := log.Remaining("wk-1", at); wait != c.want {
			t.Errorf("%s confirms line %d: the answer waits %v, want %v", c.from, c.line, wait, c.want)
		}
	}
}

// Confirmations that come at once do not shorten the delay that covers answers on their way out.
func TestConfirmedEndIsHeldForTheDelay(t *testing.T) {
	log := newConfirmedLog()
	line := acknowledgeEnd(t, log)
	log.Confirmed("n1", Confirmation{Line: line})
	log.Confirmed("n2", Confirmation{Line: line})
	if wait := log.Remaining("wk-1", start.Add(10*ms)); wait != 20*ms {
		t.Errorf("the answer waits %v", wait)
	}
}

func TestPeerOfAnOlderVersionIsNotAwaited(t *testing.T) {
	log := newConfirmedLog()
	if log.HasOlderPeer() || log.MaxLiveReadAge() != tuning.ReadLease {
		t.Error("a peer counts as older before it has declared anything")
	}
	log.SetConfirms("n2", false)
	log.SetConfirms("n9", false)
	if !log.HasOlderPeer() || log.MaxLiveReadAge() != tuning.MaxReadAge {
		t.Error("answers leave from older reads than an older version allows for")
	}
	line := acknowledgeEnd(t, log)
	log.Confirmed("n1", Confirmation{Line: line})
	if wait := log.Remaining("wk-1", start.Add(30*ms)); wait != 0 {
		t.Errorf("the answer waits %v for the older peer", wait)
	}
	log.SetConfirms("n2", true)
	if wait := log.Remaining("wk-1", start.Add(30*ms)); wait != hold-30*ms {
		t.Errorf("the answer waits %v for a peer that was replaced", wait)
	}
}

// An end that the mirror showed long ago, or that was received from a peer, is passed on only while
// another controller may still answer from a read of before it.
func TestEndLearnedLongAgoIsNotHeld(t *testing.T) {
	log := newConfirmedLog()
	log.Learn("wk-1", done, start)
	if wait := log.Acknowledge("wk-1", done, start.Add(hold)); wait != 0 || log.TakeUnsent() != nil {
		t.Errorf("the answer waits %v", wait)
	}
	log.ApplyPeerAcks(Acks{Ended: map[string]jobs.StoredState{"wk-2": done}}, start)
	for range 2 {
		if wait := log.Acknowledge("wk-2", done, start.Add(100*ms)); wait != hold-100*ms {
			t.Errorf("the answer with a peer's acknowledgement waits %v", wait)
		}
	}
	messages := log.TakeUnsent()
	if len(messages) != 1 || messages[0].Ended["wk-2"] != done {
		t.Errorf("unsent messages: %+v", messages)
	}
}

func TestAwaitedLinesAreBounded(t *testing.T) {
	log := newConfirmedLog()
	for i := range 100 {
		log.Acknowledge("wk-"+string(rune('a'+i)), done, start.Add(time.Duration(i)*100*ms))
		log.TakeUnsent()
	}
	if awaited := len(log.confirmations.lines); awaited > 12 {
		t.Errorf("%d lines are awaited, of %v", awaited, hold)
	}
}

// Acceptances are not confirmed: their delay alone covers answers that a job is unknown.
func TestAcceptanceIsNotHeldForConfirmations(t *testing.T) {
	log := newConfirmedLog()
	if wait := log.Acknowledge("wk-1", jobs.StoredState{State: jobs.Live}, start); wait != 30*ms {
		t.Errorf("the answer waits %v", wait)
	}
	if messages := log.TakeUnsent(); len(messages) != 1 || messages[0].Line != 0 {
		t.Errorf("unsent messages: %+v", messages)
	}
}

// maxDrift is the share by which the clocks of two machines drift apart (protocol).
const maxDrift = 0.0005

// A read sent just before the end was committed, and an end that is acknowledged without any confirmation.
func TestEndIsNotAcknowledgedBeforeEveryEarlierReadHasLapsed(t *testing.T) {
	reader, acknowledger := newConfirmedLog(), NewAckLog(tuning.AckDelay)
	acknowledger.RequireConfirmations([]string{"n1"}, tuning.AckHold, 1)
	acknowledger.Acknowledge("wk-1", done, start)
	for age := time.Duration(0); age <= reader.MaxLiveReadAge(); age += ms {
		// The answer to a repeated submission may be held once more.
		leavesAt := start.Add(time.Duration(float64(age+tuning.AckDelay) * (1 + 2*maxDrift)))
		if acknowledger.Remaining("wk-1", leavesAt) == 0 {
			t.Fatalf("the end is acknowledged before an answer from a read %v old leaves", age)
		}
	}
}
