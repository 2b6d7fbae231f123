package calendar

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var nightClasses = []string{"export", "match", "weekend"}

// TestNoOverlapInRandomNights simulates random nights with up to five controllers and several
// documents, changes of leader, crashes, lost responses, lagging mirrors and tasks that run past
// the end of their window.
func TestNoOverlapInRandomNights(t *testing.T) {
	t.Parallel()
	documents := []*Plan{nightPlan(t, 1, 10, AtEndFinish), nightPlan(t, 2, 25, AtEndStop), movedPlan(t)}
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if violation := simulateNight(choose, documents, noneDisabled); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestRandomNightsFindOverlapWithoutProof checks that such nights find overlaps if windows open
// without the proof that their track is free.
func TestRandomNightsFindOverlapWithoutProof(t *testing.T) {
	t.Parallel()
	documents := []*Plan{nightPlan(t, 1, 10, AtEndFinish), nightPlan(t, 2, 25, AtEndStop)}
	found := 0
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		if simulateNight(random.IntN, documents, proofDisabled) != "" {
			found++
		}
	}
	if found == 0 {
		t.Error("no violation was found")
	}
}

// nightDocument is a format for a calendar with two windows on one track and a third one on
// another. Its arguments are the revision, the start minute of the second window, and slip and
// at_end of all windows.
const nightDocument = `
calendar {
  revision = %[1]d
  zone = "UTC"
  track "t" {
    window "a" {
      team = "shop"
      classes = ["export"]
      start = "2026-03-02T01:00"
      rule = "FREQ=DAILY"
      length = "30m"
      slip = "%[3]dm"
      at_end = %[4]q
    }
    window "b" {
      team = "shop"
      classes = ["match"]
      start = "2026-03-02T01:%[2]d"
      rule = "FREQ=DAILY"
      length = "30m"
      slip = "%[3]dm"
      at_end = %[4]q
      missed = "run"
      late = "5h"
    }
  }
  track "u" {
    window "c" {
      team = "shop"
      classes = ["weekend"]
      start = "2026-03-02T01:10"
      rule = "FREQ=DAILY"
      length = "30m"
      slip = "%[3]dm"
      at_end = %[4]q
    }
  }
}`

func nightPlan(t *testing.T, revision, slipMinutes int, atEnd string) *Plan {
	t.Helper()
	return buildPlan(t, fmt.Sprintf(nightDocument, revision, 30+5*revision, slipMinutes, atEnd))
}

// movedPlan returns a plan in which the first window has moved to the other track.
func movedPlan(t *testing.T) *Plan {
	t.Helper()
	document := nightPlan(t, 3, 20, AtEndFinish).Doc
	first, second := document.Tracks[0].Windows, document.Tracks[1].Windows
	document.Tracks = []TrackDoc{
		{Name: "t", Windows: []WindowDoc{first[1]}},
		{Name: "u", Windows: []WindowDoc{second[0], first[0]}},
	}
	document.Tracks[1].Windows[1].Start = "2026-03-02T01:45"
	plan, faults := Build(&document, knownTeams, day)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return plan
}

// simulateNight simulates a random night, followed by a day without faults in which everything
// ends. It returns a violation, or "".
func simulateNight(choose func(n int) int, documents []*Plan, disabled disabledGuard) string {
	begin := time.Date(2026, 3, 2, 0, 58, 0, 0, time.UTC).UnixMilli()
	m := newModel(documents, nightClasses, 2+choose(4), begin, 1000)
	m.disabled = disabled
	for range 400 {
		i := choose(len(m.Controllers))
		if choose(2) == 0 {
			i = m.Leader
		}
		m.randomStep(choose, i)
	}
	m.quietDay()
	m.checkAllEnded()
	return m.violation
}

// randomStep makes one random step, mostly of controller i.
func (m *model) randomStep(choose func(n int) int, i int) {
	switch choose(12) {
	case 0:
		m.Now += int64(choose(200)) * 1000
	case 1, 2:
		if m.leads(i) {
			m.reconcile(i)
		}
	case 3, 4:
		if m.leads(i) {
			m.release(i, m.classes[choose(len(m.classes))])
		}
	case 5, 6:
		if len(m.InFlight) > 0 {
			m.deliver(choose(len(m.InFlight)), choose(5) > 0)
		}
	case 7:
		class := m.classes[choose(len(m.classes))]
		if m.Store.Running[class] > 0 && choose(2) == 0 {
			m.end(class)
		}
	case 8, 9:
		m.catchUp(i)
	case 10:
		m.putInForce(i)
	case 11:
		m.randomFault(choose, i)
	}
}

// randomFault injects one of the rarer faults, or none.
func (m *model) randomFault(choose func(n int) int, i int) {
	switch choose(12) {
	case 0:
		m.changeLeader(i)
	case 1, 2, 3, 4, 5:
		m.restart(i)
		m.Controllers[i].File = choose(len(m.documents))
	case 6:
		m.Now -= int64(choose(3)) * 1000 // the clock is set back
	}
}

// quietDay simulates a day without faults: all transactions arrive, all attempts end, and one
// controller leads.
func (m *model) quietDay() {
	m.changeLeader(0)
	for range 120 {
		m.catchUp(0)
		for len(m.InFlight) > 0 {
			m.deliver(0, true)
		}
		m.catchUp(0)
		for _, class := range m.classes {
			for m.Store.Running[class] > 0 {
				m.end(class)
			}
		}
		m.catchUp(0)
		m.reconcile(0)
		m.Now += 900_000
	}
}
