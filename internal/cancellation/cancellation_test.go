package cancellation

import (
	"fmt"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

var start = time.UnixMilli(1e12)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// proven is a proof with one peer, whose process 7 was heard of, proven at 10 s.
func proven() *Proof {
	p := NewProof([]string{"n1"}, 20*time.Second, 100)
	p.Receive("n1", AckEntries{Incarnation: 7, LogLength: 3}, at(1))
	p.StoreQueryAnswered(p.BeginStoreQuery(at(10)))
	return p
}

// ask has a round of questions asked.
func (p *Proof) ask(t *testing.T, s float64) uint64 {
	t.Helper()
	nonce, due := p.NextQuery(at(s), true)
	if !due {
		t.Fatalf("no question at %v s", s)
	}
	return nonce
}

// answer takes a line in as the service does.
func (p *Proof) answer(s float64, told AckEntries) {
	p.Receive("n1", told, at(s))
	p.PeerAnswered("n1", told)
}

func TestWindow(t *testing.T) {
	for _, c := range []struct{ lease, cancel, want float64 }{{16, 41, 23.459}, {42, 62, 18.438}, {38, 63, 23.437}, {60, 60, 0}, {200, 60, 0}} {
		if got := Window(c.lease, c.cancel).Seconds(); got < c.want-0.001 || got > c.want+0.001 {
			t.Errorf("lease %v, cancel %v: %v s", c.lease, c.cancel, got)
		}
	}
}

// The state service proves a moment; what was told before it and came by line is no
// longer asked for, and is let go.
func TestProvenByState(t *testing.T) {
	p := proven()
	if p.MayRenewLeases(at(29.9)) != true || p.MayRenewLeases(at(30)) || p.MayLaunch(at(28)) {
		t.Error("not renewed until just before 20 s after the proof")
	}
	if got := p.Received()["n1"]; got != (LogPosition{7, 3}) {
		t.Errorf("taken %v", got)
	}
	p.Receive("n1", AckEntries{Incarnation: 7, First: 4, JobIDs: []string{"wk-000004"}, LogLength: 4}, at(12))
	basis := p.BeginStoreQuery(at(13))
	p.Receive("n1", AckEntries{Incarnation: 7, First: 5, JobIDs: []string{"wk-000005"}, LogLength: 5}, at(14))
	p.StoreQueryAnswered(basis)
	if p.Cancelled("wk-000004") || !p.Cancelled("wk-000005") {
		t.Error("the mirror shows what was told before it was asked for, and no more")
	}
}

// Without the state service an answer of each other controller proves the moment of the
// question, if nothing of its log is missing and it is the process that was there at the
// moment proven before.
func TestProvenByPeers(t *testing.T) {
	whole := func(nonce uint64) AckEntries {
		return AckEntries{Incarnation: 7, First: 4, JobIDs: []string{"wk-000004"}, LogLength: 4, Nonce: nonce}
	}
	for name, c := range map[string]struct {
		answer func(p *Proof, nonce uint64)
		want   bool
	}{
		"whole": {func(p *Proof, n uint64) { p.answer(15, whole(n)) }, true},
		"in two lines": {func(p *Proof, n uint64) {
			p.answer(15, AckEntries{Incarnation: 7, First: 4, JobIDs: []string{"wk-000004"}, LogLength: 5})
			p.answer(15, AckEntries{Incarnation: 7, First: 5, JobIDs: []string{"wk-000005"}, LogLength: 5, Nonce: n})
		}, true},
		"first of two lines lost": {func(p *Proof, n uint64) {
			p.answer(15, AckEntries{Incarnation: 7, First: 5, JobIDs: []string{"wk-000005"}, LogLength: 5, Nonce: n})
		}, false},
		"entries dropped there": {func(p *Proof, n uint64) {
			p.answer(15, AckEntries{Incarnation: 7, First: 9, JobIDs: []string{"wk-000009"}, LogLength: 9, Nonce: n})
		}, false},
		"to no question":         {func(p *Proof, _ uint64) { p.answer(15, whole(0)) }, false},
		"to an earlier question": {func(p *Proof, n uint64) { p.answer(15, whole(n-1)) }, false},
		"of another process":     {func(p *Proof, n uint64) { p.answer(15, AckEntries{Incarnation: 8, LogLength: 0, Nonce: n}) }, false},
		"of another process, after a line of the old one": {func(p *Proof, n uint64) {
			p.answer(15, AckEntries{Incarnation: 8, LogLength: 0, Nonce: n})
			p.answer(15.1, AckEntries{Incarnation: 7, LogLength: 3})
		}, false},
	} {
		p := proven()
		nonce := p.ask(t, 14)
		c.answer(p, nonce)
		if got := p.MayRenewLeases(at(33)); got != c.want {
			t.Errorf("%s: proven %v, not %v", name, got, c.want)
		}
	}
}

// A process that was first heard of after the moment proven so far proves nothing until
// the state service has: what the one before it told nobody lists.
func TestNewProcess(t *testing.T) {
	p := proven()
	p.Receive("n1", AckEntries{Incarnation: 8, LogLength: 0}, at(12))
	nonce := p.ask(t, 14)
	p.answer(15, AckEntries{Incarnation: 8, LogLength: 0, Nonce: nonce})
	if p.MayRenewLeases(at(31)) {
		t.Error("proven by a process that came meanwhile")
	}
	p.StoreQueryAnswered(p.BeginStoreQuery(at(20)))
	nonce = p.ask(t, 30)
	p.answer(31, AckEntries{Incarnation: 8, LogLength: 0, Nonce: nonce})
	if !p.MayRenewLeases(at(45)) {
		t.Error("not proven, though the process was there at the last proof")
	}
}

// Of two others both must answer.
func TestAllMustAnswer(t *testing.T) {
	p := NewProof([]string{"n1", "n2"}, 20*time.Second, 100)
	for _, n := range []string{"n1", "n2"} {
		p.Receive(n, AckEntries{Incarnation: 7, LogLength: 0}, at(1))
	}
	p.StoreQueryAnswered(p.BeginStoreQuery(at(10)))
	nonce := p.ask(t, 14)
	p.answer(15, AckEntries{Incarnation: 7, Nonce: nonce})
	if p.MayRenewLeases(at(31)) {
		t.Error("proven by one of two")
	}
	p.Receive("n2", AckEntries{Incarnation: 7, Nonce: nonce}, at(16))
	p.PeerAnswered("n2", AckEntries{Incarnation: 7, Nonce: nonce})
	if !p.MayRenewLeases(at(31)) || p.MayRenewLeases(at(34)) {
		t.Error("not proven up to the question, at 14 s")
	}
}

// More than is kept: what is dropped shows as a gap, and memory is bounded.
func TestBounds(t *testing.T) {
	l := NewAckLog(7)
	for i := range 3 * tuning.MaxAckLogEntries {
		if !l.Append(fmt.Sprintf("wk-%06d", i)) {
			t.Fatal("not new")
		}
	}
	if l.Append(fmt.Sprintf("wk-%06d", 3*tuning.MaxAckLogEntries-1)) {
		t.Error("told twice")
	}
	if len(l.jobIDs) > tuning.MaxAckLogEntries || len(l.known) != len(l.jobIDs) || l.Position().Seq != uint64(3*tuning.MaxAckLogEntries) {
		t.Errorf("%d kept, %d known, at %v", len(l.jobIDs), len(l.known), l.Position())
	}
	h := NewPeerAcks([]string{"n1"})
	for _, line := range l.EntriesAfter(LogPosition{}, 5) {
		if m := (Message{Entries: &line}); !m.Valid() {
			t.Fatalf("%d entries from %d", len(line.JobIDs), line.First)
		}
		h.Receive("n1", line, at(0))
	}
	if got := h.Received()["n1"].Seq; got != 0 {
		t.Errorf("taken up to %d across a gap", got)
	}
	for i := range tuning.MaxPeerCancellations + 10 {
		h.Receive("n1", AckEntries{Incarnation: 7, First: uint64(i + 1), JobIDs: []string{fmt.Sprintf("wk-%07d", i)}, LogLength: uint64(i + 1)}, at(0))
	}
	if len(h.jobs) > tuning.MaxPeerCancellations || h.Received()["n1"].Seq >= uint64(tuning.MaxPeerCancellations+10) {
		t.Errorf("%d jobs, taken %v", len(h.jobs), h.Received())
	}
}

// An answer begins where the asker stands, also one that knows only an earlier process.
func TestAnswers(t *testing.T) {
	l := NewAckLog(7)
	for i := range tuning.MaxAcksPerLine + 3 {
		l.Append(fmt.Sprintf("wk-%06d", i))
	}
	for _, c := range []struct {
		from  LogPosition
		lines int
		first uint64
	}{{LogPosition{}, 2, 1}, {LogPosition{6, 400}, 2, 1}, {LogPosition{7, 5}, 1, 6}, {LogPosition{7, uint64(tuning.MaxAcksPerLine + 3)}, 1, 0}, {LogPosition{7, 9999}, 1, 0}} {
		got := l.EntriesAfter(c.from, 5)
		if len(got) != c.lines || got[0].First != c.first || got[len(got)-1].Nonce != 5 || len(got) > 1 && got[0].Nonce != 0 {
			t.Errorf("from %v: %d lines, first %d", c.from, len(got), got[0].First)
		}
	}
}

func TestStopsFor(t *testing.T) {
	got := StopCommands([]agent.TaskStatus{
		{TaskID: "wk-000001/0", Attempt: 3, Status: agent.Running},
		{TaskID: "wk-000001/1", Attempt: 1, Status: agent.Ended},
		{TaskID: "wk-000002/0", Attempt: 1, Status: agent.Running},
		{TaskID: "odd", Status: agent.Running},
	}, func(jobID string) bool { return jobID == "wk-000001" })
	if len(got) != 1 || got[0].TaskID != "wk-000001/0" || got[0].Attempt != 3 || *got[0].GracePeriodS != 0 {
		t.Errorf("%+v", got)
	}
}
