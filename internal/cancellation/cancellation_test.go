package cancellation

import (
	"fmt"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
	"github.com/harrierreel/harrierreel/internal/workers"
)

var start = time.UnixMilli(1e12)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// proven is a proof with one peer, whose process 7 was heard of, proven at 10 s.
func proven() *Proof {
	p := NewProof([]string{"n1"}, 20*time.Second, 100)
	p.Take("n1", Told{Inc: 7, Upto: 3}, at(1))
	p.Shown(p.Begin(at(10)))
	return p
}

// ask has a round of questions asked.
func (p *Proof) ask(t *testing.T, s float64) uint64 {
	t.Helper()
	nonce, due := p.Question(at(s), true)
	if !due {
		t.Fatalf("no question at %v s", s)
	}
	return nonce
}

// answer takes a line in as the service does.
func (p *Proof) answer(s float64, told Told) {
	p.Take("n1", told, at(s))
	p.Answered("n1", told)
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
	if p.Renews(at(29.9)) != true || p.Renews(at(30)) || p.Launches(at(28)) {
		t.Error("not renewed until just before 20 s after the proof")
	}
	if got := p.Taken()["n1"]; got != (Mark{7, 3}) {
		t.Errorf("taken %v", got)
	}
	p.Take("n1", Told{Inc: 7, First: 4, UIDs: []string{"wk-000004"}, Upto: 4}, at(12))
	basis := p.Begin(at(13))
	p.Take("n1", Told{Inc: 7, First: 5, UIDs: []string{"wk-000005"}, Upto: 5}, at(14))
	p.Shown(basis)
	if p.Cancelled("wk-000004") || !p.Cancelled("wk-000005") {
		t.Error("the mirror shows what was told before it was asked for, and no more")
	}
}

// Without the state service an answer of each other controller proves the moment of the
// question, if nothing of its log is missing and it is the process that was there at the
// moment proven before.
func TestProvenByPeers(t *testing.T) {
	whole := func(nonce uint64) Told {
		return Told{Inc: 7, First: 4, UIDs: []string{"wk-000004"}, Upto: 4, Nonce: nonce}
	}
	for name, c := range map[string]struct {
		answer func(p *Proof, nonce uint64)
		want   bool
	}{
		"whole": {func(p *Proof, n uint64) { p.answer(15, whole(n)) }, true},
		"in two lines": {func(p *Proof, n uint64) {
			p.answer(15, Told{Inc: 7, First: 4, UIDs: []string{"wk-000004"}, Upto: 5})
			p.answer(15, Told{Inc: 7, First: 5, UIDs: []string{"wk-000005"}, Upto: 5, Nonce: n})
		}, true},
		"first of two lines lost": {func(p *Proof, n uint64) {
			p.answer(15, Told{Inc: 7, First: 5, UIDs: []string{"wk-000005"}, Upto: 5, Nonce: n})
		}, false},
		"entries dropped there": {func(p *Proof, n uint64) {
			p.answer(15, Told{Inc: 7, First: 9, UIDs: []string{"wk-000009"}, Upto: 9, Nonce: n})
		}, false},
		"to no question":         {func(p *Proof, _ uint64) { p.answer(15, whole(0)) }, false},
		"to an earlier question": {func(p *Proof, n uint64) { p.answer(15, whole(n-1)) }, false},
		"of another process":     {func(p *Proof, n uint64) { p.answer(15, Told{Inc: 8, Upto: 0, Nonce: n}) }, false},
		"of another process, after a line of the old one": {func(p *Proof, n uint64) {
			p.answer(15, Told{Inc: 8, Upto: 0, Nonce: n})
			p.answer(15.1, Told{Inc: 7, Upto: 3})
		}, false},
	} {
		p := proven()
		nonce := p.ask(t, 14)
		c.answer(p, nonce)
		if got := p.Renews(at(33)); got != c.want {
			t.Errorf("%s: proven %v, not %v", name, got, c.want)
		}
	}
}

// A process that was first heard of after the moment proven so far proves nothing until
// the state service has: what the one before it told nobody lists.
func TestNewProcess(t *testing.T) {
	p := proven()
	p.Take("n1", Told{Inc: 8, Upto: 0}, at(12))
	nonce := p.ask(t, 14)
	p.answer(15, Told{Inc: 8, Upto: 0, Nonce: nonce})
	if p.Renews(at(31)) {
		t.Error("proven by a process that came meanwhile")
	}
	p.Shown(p.Begin(at(20)))
	nonce = p.ask(t, 30)
	p.answer(31, Told{Inc: 8, Upto: 0, Nonce: nonce})
	if !p.Renews(at(45)) {
		t.Error("not proven, though the process was there at the last proof")
	}
}

// Of two others both must answer.
func TestAllMustAnswer(t *testing.T) {
	p := NewProof([]string{"n1", "n2"}, 20*time.Second, 100)
	for _, n := range []string{"n1", "n2"} {
		p.Take(n, Told{Inc: 7, Upto: 0}, at(1))
	}
	p.Shown(p.Begin(at(10)))
	nonce := p.ask(t, 14)
	p.answer(15, Told{Inc: 7, Nonce: nonce})
	if p.Renews(at(31)) {
		t.Error("proven by one of two")
	}
	p.Take("n2", Told{Inc: 7, Nonce: nonce}, at(16))
	p.Answered("n2", Told{Inc: 7, Nonce: nonce})
	if !p.Renews(at(31)) || p.Renews(at(34)) {
		t.Error("not proven up to the question, at 14 s")
	}
}

// More than is kept: what is dropped shows as a gap, and memory is bounded.
func TestBounds(t *testing.T) {
	l := NewLog(7)
	for i := range 3 * tuning.MostTold {
		if !l.Tell(fmt.Sprintf("wk-%06d", i)) {
			t.Fatal("not new")
		}
	}
	if l.Tell(fmt.Sprintf("wk-%06d", 3*tuning.MostTold-1)) {
		t.Error("told twice")
	}
	if len(l.uids) > tuning.MostTold || len(l.known) != len(l.uids) || l.Mark().Seq != uint64(3*tuning.MostTold) {
		t.Errorf("%d kept, %d known, at %v", len(l.uids), len(l.known), l.Mark())
	}
	h := NewHeard([]string{"n1"})
	for _, line := range l.Answer(Mark{}, 5) {
		if m := (Message{Told: &line}); !m.Valid() {
			t.Fatalf("%d entries from %d", len(line.UIDs), line.First)
		}
		h.Take("n1", line, at(0))
	}
	if got := h.Taken()["n1"].Seq; got != 0 {
		t.Errorf("taken up to %d across a gap", got)
	}
	for i := range tuning.MostHeard + 10 {
		h.Take("n1", Told{Inc: 7, First: uint64(i + 1), UIDs: []string{fmt.Sprintf("wk-%07d", i)}, Upto: uint64(i + 1)}, at(0))
	}
	if len(h.jobs) > tuning.MostHeard || h.Taken()["n1"].Seq >= uint64(tuning.MostHeard+10) {
		t.Errorf("%d jobs, taken %v", len(h.jobs), h.Taken())
	}
}

// An answer begins where the asker stands, also one that knows only an earlier process.
func TestAnswers(t *testing.T) {
	l := NewLog(7)
	for i := range tuning.ToldInLine + 3 {
		l.Tell(fmt.Sprintf("wk-%06d", i))
	}
	for _, c := range []struct {
		from  Mark
		lines int
		first uint64
	}{{Mark{}, 2, 1}, {Mark{6, 400}, 2, 1}, {Mark{7, 5}, 1, 6}, {Mark{7, uint64(tuning.ToldInLine + 3)}, 1, 0}, {Mark{7, 9999}, 1, 0}} {
		got := l.Answer(c.from, 5)
		if len(got) != c.lines || got[0].First != c.first || got[len(got)-1].Nonce != 5 || len(got) > 1 && got[0].Nonce != 0 {
			t.Errorf("from %v: %d lines, first %d", c.from, len(got), got[0].First)
		}
	}
}

func TestStopsFor(t *testing.T) {
	got := StopsFor([]workers.Piece{{Piece: "wk-000001/0", Try: 3, Status: workers.Running}, {Piece: "wk-000001/1", Try: 1, Status: workers.Ended},
		{Piece: "wk-000002/0", Try: 1, Status: workers.Running}, {Piece: "odd", Status: workers.Running}}, func(uid string) bool { return uid == "wk-000001" })
	if len(got) != 1 || got[0].Piece != "wk-000001/0" || got[0].Try != 3 || *got[0].WindDownS != 0 {
		t.Errorf("%+v", got)
	}
}
