package readconsistency

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

var start = time.UnixMilli(1e12)

const ms = time.Millisecond

// model is one job in the state service, controllers that tell users of it, and a user.
// Each step is 5 ms. Reads, mirrors and lines take some steps; lines may be lost.
type model struct {
	t           *rapid.T
	now         time.Time
	committed   []fact // what became of the job, and when
	controllers []*controller
	wire        []arrival
	received    fact // the newest that the user has had, and when
	cut         bool // lines are lost
}

type fact struct {
	jobs.Final
	at time.Time
}

type controller struct {
	log *AckLog
}

type arrival struct {
	at time.Time
	do func()
}

func age(s jobs.JobState) int {
	return map[jobs.JobState]int{"": 0, jobs.Live: 1, jobs.Done: 2, jobs.Cancelled: 2}[s]
}

func (m *model) after(least, most int, do func()) {
	m.wire = append(m.wire, arrival{m.now.Add(time.Duration(rapid.IntRange(least, most).Draw(m.t, "ms")) * ms), do})
}

func (m *model) state() jobs.Final {
	if len(m.committed) == 0 {
		return jobs.Final{}
	}
	return m.committed[len(m.committed)-1].Final
}

// commit has the job accepted, or ended, by a controller that then tells the user. A job is
// not ended before its user knows of it: its tasks take longer, and who cancels it has been
// told of it. A late answer to an acceptance is no answer by itself: the job is read.
func (m *model) commit(c *controller, f jobs.Final) {
	left := m.now
	m.after(0, 60, func() {
		if age(f.State) != age(m.state().State)+1 || age(f.State) == 2 && m.received.State == "" {
			return
		}
		m.committed = append(m.committed, fact{f, m.now})
		m.after(0, 400, func() {
			if f.State == jobs.Live && m.now.Sub(left) > tuning.ReadFresh {
				m.read(c)
				return
			}
			m.tell(c, f)
		})
	})
}

// tell answers the user with what may be told at any time, once that may leave.
func (m *model) tell(c *controller, f jobs.Final) {
	if word, ok := c.log.Latest("wk-000001"); ok && age(word.State) > age(f.State) {
		f = word
	}
	wait := c.log.Acknowledge("wk-000001", f, m.now)
	for _, line := range c.log.TakeUnsent() {
		if !line.Valid() {
			m.t.Fatalf("not valid: %+v", line)
		}
		for _, other := range m.controllers {
			if other != c && !m.cut {
				m.after(0, 15, func() { other.log.ApplyPeerAcks(line, m.now) })
			}
		}
	}
	if wait > 0 {
		m.wire = append(m.wire, arrival{m.now.Add(wait), func() { m.tell(c, f) }})
		return
	}
	m.leave(f)
}

// leave has an answer leave now.
func (m *model) leave(f jobs.Final) {
	if age(f.State) < age(m.received.State) {
		m.t.Fatalf("%q leaves %v after the user had %q", f.State, m.now.Sub(m.received.at), m.received.State)
	}
	m.after(1, 3, func() {
		if age(f.State) > age(m.received.State) {
			m.received = fact{f, m.now}
		}
	})
}

// read answers a question by a read of the state service, or by the mirror that a watch
// brought up to date: what may become older only if it was read a moment ago.
func (m *model) read(c *controller) {
	left := m.now
	m.after(0, 60, func() { // it arrives there
		f := m.state()
		m.after(0, 60, func() { m.found(c, f, left) })
	})
}

func (m *model) found(c *controller, f jobs.Final, left time.Time) {
	word, heard := c.log.Latest("wk-000001")
	switch {
	case age(f.State) == 2:
		m.tell(c, f)
	case heard && age(word.State) > age(f.State):
		if age(word.State) == 2 {
			m.tell(c, word)
		} // accepted, and not found: read again, here sent away
	case m.now.Sub(left) > tuning.ReadFresh:
	case f.State == "":
		m.leave(f)
	default: // live: news of its acceptance is told by a later read
		if c.log.Acknowledge("wk-000001", f, m.now) == 0 {
			m.leave(f)
			return
		}
		m.tellAccepted(c)
	}
}

// tellAccepted passes on that a job is accepted; a later question is answered with it.
func (m *model) tellAccepted(c *controller) {
	for _, line := range c.log.TakeUnsent() {
		for _, other := range m.controllers {
			if other != c && !m.cut {
				m.after(0, 15, func() { other.log.ApplyPeerAcks(line, m.now) })
			}
		}
	}
}

// Whoever commits, whoever is asked and however late reads, their answers, lines and the
// makers' own answers are, and if all lines are lost: once the user has had an answer, none
// that leaves later is older. Without the pause before news is told this fails within a few
// draws.
func TestNothingOlderLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: start}
		for range rapid.IntRange(2, 5).Draw(t, "controllers") {
			m.controllers = append(m.controllers, &controller{log: NewAckLog(tuning.AckDelay)})
		}
		for range 150 {
			m.now = m.now.Add(5 * ms)
			for i := 0; i < len(m.wire); i++ {
				if a := m.wire[i]; !a.at.After(m.now) {
					m.wire = append(m.wire[:i], m.wire[i+1:]...)
					i--
					a.do()
				}
			}
			c := rapid.SampledFrom(m.controllers).Draw(t, "who")
			switch rapid.IntRange(0, 15).Draw(t, "act") {
			case 0:
				m.commit(c, jobs.Final{State: jobs.Live})
			case 1:
				m.commit(c, jobs.Final{State: rapid.SampledFrom([]jobs.JobState{jobs.Done, jobs.Cancelled}).Draw(t, "end"), DoneCount: 1})
			case 2:
				m.cut = !m.cut
			case 3, 4, 5, 6, 7, 8:
				m.read(c)
			default: // users ask at all of them
				for _, c := range m.controllers {
					m.read(c)
				}
			}
		}
	})
}

// The newest counts, an end is final, and what was heard is not passed on.
func TestNewestCounts(t *testing.T) {
	l := NewAckLog(30 * ms)
	live, done := jobs.Final{State: jobs.Live}, jobs.Final{State: jobs.Done, DoneCount: 3}
	if w := l.Acknowledge("wk-1", live, start); w != 30*ms {
		t.Error("news waits", w)
	}
	if w := l.Acknowledge("wk-1", live, start.Add(20*ms)); w != 10*ms {
		t.Error("the rest of it", w)
	}
	l.ApplyPeerAcks(Acks{Accepted: []string{"wk-1", "wk-2"}, Ended: map[string]jobs.Final{"wk-1": done}}, start.Add(25*ms))
	l.ApplyPeerAcks(Acks{Accepted: []string{"wk-1"}, Ended: map[string]jobs.Final{"wk-1": {State: jobs.Cancelled}}}, start.Add(26*ms))
	if f, ok := l.Latest("wk-1"); !ok || f != done {
		t.Error("newest", f)
	}
	if w := l.Acknowledge("wk-1", done, start.Add(35*ms)); w != 20*ms {
		t.Error("heard 10 ms ago, waits", w)
	}
	lines := l.TakeUnsent()
	if len(lines) != 1 || len(lines[0].Accepted) != 0 || len(lines[0].Ended) != 1 || lines[0].Ended["wk-1"] != done || l.TakeUnsent() != nil {
		t.Errorf("passed on %+v", lines)
	}
}

// What is kept has a bound, and so has a line.
func TestBounds(t *testing.T) {
	l := NewAckLog(0)
	n := tuning.MaxAcks + 2*tuning.MaxAcksPerLine
	for i := range n {
		l.Acknowledge(fmt.Sprintf("wk-%06d", i), jobs.Final{State: jobs.Live}, start)
	}
	if len(l.acks) != tuning.MaxAcks || len(l.order) != tuning.MaxAcks {
		t.Error(len(l.acks), "kept,", len(l.order), "in order")
	}
	passed := 0
	for _, line := range l.TakeUnsent() {
		if !line.Valid() {
			t.Error("a line that nobody takes in")
		}
		passed += len(line.Accepted)
	}
	if passed != tuning.MaxAcks {
		t.Error(passed, "passed on")
	}
}

func TestSilent(t *testing.T) {
	l := NewAckLog(0)
	l.PeerAlive("n1", start)
	for after, want := range map[time.Duration]bool{tuning.PeerUnresponsiveAfter: true, tuning.PeerUnresponsiveAfter + 1: false} {
		if l.HearsAll([]string{"n1"}, start.Add(after)) != want || l.HearsAll([]string{"n1", "n2"}, start.Add(after)) {
			t.Error("after", after)
		}
	}
}

func TestValid(t *testing.T) {
	var none *Acks
	long := Acks{}
	for i := range tuning.MaxAcksPerLine + 1 {
		long.Accepted = append(long.Accepted, fmt.Sprintf("wk-%06d", i))
	}
	for _, c := range []struct {
		line *Acks
		want bool
	}{
		{none, true},
		{&Acks{}, true},
		{&long, false},
		{&Acks{Accepted: []string{"x/../y"}}, false},
		{&Acks{Ended: map[string]jobs.Final{"wk-000001": {State: jobs.Live}}}, false},
		{&Acks{Ended: map[string]jobs.Final{"wk-000001": {State: jobs.Done, DoneCount: -1}}}, false},
		{&Acks{Ended: map[string]jobs.Final{"": {State: jobs.Done}}}, false},
		{&Acks{Ended: map[string]jobs.Final{"wk-000001": {State: jobs.Cancelled, DoneCount: 2}}}, true},
	} {
		if c.line.Valid() != c.want {
			t.Errorf("%+v", c.line)
		}
	}
}
