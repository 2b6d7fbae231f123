package cancellation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is an owner, other controllers that tell, the state service between them, and one
// machine whose lease the owner renews. Each step is a quarter of a second. Lines between
// controllers and answers of the state service take some steps, or are held by a cut.
type model struct {
	t       *rapid.T
	now     time.Time
	lease   time.Duration
	cancel  time.Duration
	owner   *Proof
	tellers []*teller

	committed []string        // cancellations in the state service, in order
	shown     int             // of them, by the owner's mirror
	down      bool            // the state service, for all
	refused   map[string]bool // or for one
	wire      []line
	told      map[string]time.Time // to users, first
	on        map[string]bool      // tasks on the machine
	renewed   time.Time            // when the report was sent that was answered last
	deaf      bool                 // the machine does not hear answers
	calm      time.Time            // until then no further trouble comes
	jobs      int
}

// teller is another controller.
type teller struct {
	name string
	inc  uint64
	log  *AckLog
	away bool // its process has ended
	cut  bool // lines between it and the owner are held
}

// line is on its way between a teller and the owner, or between the state service and it.
type line struct {
	at    time.Time
	who   *teller // nil for the state service
	inc   uint64  // of the process that it was sent to or by
	told  *AckEntries
	ask   *Query
	basis StoreQuery
	upto  int // commits that the state service's answer shows
}

func (m *model) send(l line) {
	l.at = m.now.Add(time.Duration(rapid.IntRange(0, 6).Draw(m.t, "steps")) * step)
	m.wire = append(m.wire, l)
}

const step = 250 * time.Millisecond

// deliver hands over what has arrived, in order for each sender. A cut holds it.
func (m *model) deliver() {
	waits := map[string]bool{}
	var rest []line
	under := m.wire
	m.wire = nil // answers to what is delivered come on top
	for _, l := range under {
		key := "state"
		if l.who != nil {
			key = fmt.Sprint(l.who.name, l.ask != nil)
		}
		if waits[key] || l.at.After(m.now) || l.who != nil && l.who.cut {
			waits[key] = true
			rest = append(rest, l)
			continue
		}
		switch {
		case l.who == nil:
			m.shown = max(m.shown, l.upto)
			m.owner.StoreQueryAnswered(l.basis)
		case l.told != nil: // also of a process that has ended since
			m.owner.Receive(l.who.name, *l.told, m.now)
			m.owner.PeerAnswered(l.who.name, *l.told)
		case !l.who.away && l.who.inc == l.inc: // a connection ends with its process
			for _, t := range l.who.log.EntriesAfter(l.ask.Received, l.ask.Nonce) {
				m.send(line{who: l.who, inc: l.inc, told: &t})
			}
		}
	}
	m.wire = append(rest, m.wire...)
}

// tick is one turn of the owner and one report of the machine.
func (m *model) tick() {
	if !m.down && !m.refused["owner"] {
		b := m.owner.BeginStoreQuery(m.now)
		m.send(line{basis: b, upto: len(m.committed)})
	}
	for _, t := range m.tellers {
		if !t.away && m.now.Sub(start)%(2*step) == 0 {
			mark := t.log.Position()
			m.send(line{who: t, inc: t.inc, told: &AckEntries{Incarnation: mark.Incarnation, LogLength: mark.Seq}})
		}
	}
	if nonce, due := m.owner.NextQuery(m.now, m.down || m.refused["owner"]); due {
		for _, t := range m.tellers {
			if !t.away {
				m.send(line{who: t, inc: t.inc, ask: &Query{nonce, m.owner.Received()[t.name]}})
			}
		}
	}
	if m.now.Sub(m.renewed) > m.lease {
		clear(m.on)
		m.renewed = m.now // its next session
	}
	sent := m.now.Add(-time.Duration(rapid.IntRange(0, 3).Draw(m.t, "report")) * step)
	if m.owner.MayRenewLeases(m.now) && !m.deaf && sent.After(m.renewed) {
		m.renewed = sent
		for jobID := range m.on {
			if m.owner.Cancelled(jobID) || slices.Contains(m.committed[:m.shown], jobID) {
				delete(m.on, jobID)
			}
		}
	}
	for jobID := range m.on {
		if when, told := m.told[jobID]; told && m.now.Sub(when) > m.cancel {
			m.t.Fatalf("%s is on the machine %v after its user was told, proven %v ago", jobID, m.now.Sub(when), m.owner.Age(m.now))
		}
	}
}

// launch has the owner start a few jobs' tasks, if it may.
func (m *model) launch() {
	for len(m.on) < 5 && m.owner.MayLaunch(m.now) {
		m.jobs++
		m.on[fmt.Sprintf("wk-%06d", m.jobs)] = true
	}
}

// act is one of the troubles, or a cancellation.
func (m *model) act(n int, who *teller) {
	switch n {
	case 0, 1, 2: // a cancellation, or a question about one, is answered by a teller; 0: it is not passed on
		if who.away || m.down || m.refused[who.name] || len(m.on) == 0 {
			return
		}
		jobID := rapid.SampledFrom(slices.Sorted(maps.Keys(m.on))).Draw(m.t, "uid")
		if !slices.Contains(m.committed, jobID) {
			m.committed = append(m.committed, jobID)
		}
		if who.log.Append(jobID) && n != 0 && rapid.Bool().Draw(m.t, "passes on") {
			for _, t := range who.log.EntriesAfter(LogPosition{who.inc, who.log.Position().Seq - 1}, 0) {
				m.send(line{who: who, inc: who.inc, told: &t})
			}
		}
		if _, known := m.told[jobID]; !known {
			m.told[jobID] = m.now
		}
	case 3:
		m.down = !m.down
	case 4:
		m.refused["owner"] = !m.refused["owner"]
	case 5:
		m.refused[who.name] = !m.refused[who.name]
	case 6:
		who.cut = !who.cut
	case 7: // its process ends, or another one starts
		who.away = !who.away
		if !who.away {
			who.inc++
			who.log = NewAckLog(who.inc)
		}
	case 8:
		m.deaf = !m.deaf
	case 10: // who tells right before the state service goes ends at once, and another process starts
		m.refused["owner"] = true
		m.act(0, who)
		m.down, m.calm = true, m.now.Add(m.cancel+5*time.Second)
		if !who.away {
			who.inc++
			who.log = NewAckLog(who.inc)
		}
	case 9: // the owner stands still
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(m.t, "stands")) * step)
	}
}

// Whatever fails between tellers, owner, state service and machine: no task is on the
// machine longer than cancel_s after its user was told. Without the bound of Renews, or
// with a round closed by a process that came since the last proof, this fails within ten
// draws. What a log has dropped or a cut has lost is TestProvenByPeers'.
func TestNothingOutlivesItsCancellation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SampledFrom([][2]float64{{16, 41}, {42, 62}, {38, 63}}).Draw(t, "lease and cancel")
		m := &model{
			t: t, now: start, lease: time.Duration(times[0]) * time.Second, cancel: time.Duration(times[1]) * time.Second,
			refused: map[string]bool{}, told: map[string]time.Time{}, on: map[string]bool{}, renewed: start,
		}
		var names []string
		for i := range rapid.IntRange(1, 4).Draw(t, "others") {
			names = append(names, fmt.Sprint("n", i+1))
			m.tellers = append(m.tellers, &teller{name: names[i], inc: 1, log: NewAckLog(1)})
		}
		m.owner = NewProof(names, Window(times[0], times[1]), 100)
		for i := range 500 {
			m.now = m.now.Add(step)
			m.deliver()
			if i%10 == 0 && m.now.After(m.calm) {
				m.launch()
				m.act(rapid.IntRange(0, 10).Draw(t, "act"), rapid.SampledFrom(m.tellers).Draw(t, "who"))
			}
			m.tick()
		}
	})
}
