package calendar

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// maxStates bounds an exploration. An exploration that reaches it is incomplete.
const maxStates = 200_000

// twoWindows returns a plan with one track of two consecutive windows, each a few minutes long.
func twoWindows(t *testing.T, revision int) *Plan {
	t.Helper()
	return buildPlan(t, fmt.Sprintf(`
calendar {
  revision = %d
  zone = "UTC"
  track "t" {
    window "a" {
      team = "shop"
      classes = ["export"]
      start = "2026-03-02T01:00"
      rule = "FREQ=DAILY;COUNT=1"
      length = "2m"
    }
    window "b" {
      team = "shop"
      classes = ["match"]
      start = "2026-03-02T01:02"
      rule = "FREQ=DAILY;COUNT=1"
      length = "5m"
      slip = "3m"
    }
  }
}`, revision))
}

// number returns a unique number for a value.
func (m *model) number(value string) int {
	if _, ok := m.numbers[value]; !ok {
		m.numbers[value] = len(m.numbers)
	}
	return m.numbers[value]
}

// fingerprint returns a string that identifies the model's state. Revisions are replaced by their
// rank, so that states that differ only in the number of earlier commits are equal.
func (m *model) fingerprint() string {
	order := m.revisionOrder()
	var text strings.Builder
	put := func(store modelStore) {
		fmt.Fprint(&text, order[store.Epoch])
		for _, key := range slices.Sorted(maps.Keys(store.Items)) {
			item := store.Items[key]
			fmt.Fprint(&text, key, order[item.Revision], m.number(item.Value))
		}
		fmt.Fprintln(&text, store.Running)
	}
	fmt.Fprintln(&text, m.Now, m.LeaderChanges)
	put(m.Store)
	for _, controller := range m.Controllers {
		put(controller.Known)
	}
	inFlight := make([]string, len(m.InFlight))
	for i, transaction := range m.InFlight {
		conditions := []string{}
		for _, key := range slices.Sorted(maps.Keys(transaction.Revisions)) {
			conditions = append(conditions, fmt.Sprint(key, order[transaction.Revisions[key]]))
		}
		value := m.number(transaction.Value)
		inFlight[i] = fmt.Sprint(
			transaction.By, transaction.Key, value, transaction.Class, transaction.Lost, conditions)
	}
	slices.Sort(inFlight)
	fmt.Fprintln(&text, inFlight)
	return text.String()
}

// revisionOrder returns the rank of each revision in the model's state.
func (m *model) revisionOrder() map[int]int {
	revisions := map[int]bool{0: true}
	add := func(store modelStore) {
		revisions[store.Epoch] = true
		for _, item := range store.Items {
			revisions[item.Revision] = true
		}
	}
	add(m.Store)
	for _, controller := range m.Controllers {
		add(controller.Known)
	}
	for _, transaction := range m.InFlight {
		for _, revision := range transaction.Revisions {
			revisions[revision] = true
		}
	}
	order := map[int]int{}
	for i, revision := range slices.Sorted(maps.Keys(revisions)) {
		order[revision] = i
	}
	return order
}

// next returns all possible successor states.
func (m *model) next(instants []int64) []*model {
	var states []*model
	attempt := func(step func(c *model) bool) {
		if c := m.clone(); step(c) {
			states = append(states, c)
		}
	}
	for i := range m.Controllers {
		m.nextOfController(i, attempt)
	}
	for number := range m.InFlight {
		attempt(func(c *model) bool { c.deliver(number, true); return true })
	}
	for _, class := range m.classes {
		if m.Store.Running[class] > 0 {
			attempt(func(c *model) bool { c.end(class); return true })
		}
	}
	m.nextOfLeader(attempt)
	for _, instant := range instants {
		if instant > m.Now {
			attempt(func(c *model) bool { c.Now = instant; return true })
			break
		}
	}
	return states
}

// nextOfController tries all possible steps of a controller.
func (m *model) nextOfController(i int, attempt func(step func(c *model) bool)) {
	known := &m.Controllers[i].Known
	if m.leads(i) {
		attempt(func(c *model) bool { return c.reconcile(i) })
		for _, class := range m.classes {
			if len(m.InFlight) < 2 && known.Running[class] == 0 {
				attempt(func(c *model) bool { return c.release(i, class) })
			}
		}
	}
	if known.Epoch != m.Store.Epoch && (m.leads(i) || m.Leader == i || i == 1) {
		attempt(func(c *model) bool { c.catchUp(i); return true })
	}
}

// nextOfLeader tries a change of leader and a restart of the leader. Only one of them happens on
// each path.
func (m *model) nextOfLeader(attempt func(step func(c *model) bool)) {
	if m.LeaderChanges >= 1 {
		return
	}
	attempt(func(c *model) bool { c.changeLeader((m.Leader + 1) % len(m.Controllers)); return true })
	ofLeader := func(t modelTransaction) bool { return t.By == m.Leader && !t.Lost }
	if slices.ContainsFunc(m.InFlight, ofLeader) {
		attempt(func(c *model) bool {
			c.restart(m.Leader)
			c.LeaderChanges++
			return true
		})
	}
}

// explore visits every reachable state of the model, and returns the number of states and the first
// violation.
func explore(first *model, instants []int64) (states int, violation string) {
	visited := map[string]bool{first.fingerprint(): true}
	stack := []*model{first}
	for len(stack) > 0 && len(visited) < maxStates {
		m := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, successor := range m.next(instants) {
			if successor.violation != "" {
				return len(visited), successor.violation
			}
			if id := successor.fingerprint(); !visited[id] {
				visited[id] = true
				stack = append(stack, successor)
			}
		}
	}
	return len(visited), ""
}

// TestNoOverlapInAnyExploredState explores all states of a model with two windows of a track and
// three controllers. At any step leadership may move while the old leader carries on, the leader
// may restart, and transactions may arrive arbitrarily late. Tasks of both windows must never be on
// machines at once, and the exploration must find such a state if any of the three guards is
// disabled.
func TestNoOverlapInAnyExploredState(t *testing.T) {
	begin := time.Date(2026, 3, 2, 1, 0, 0, 0, time.UTC).UnixMilli()
	instants := []int64{begin + 1000, begin + 121_000}
	for _, disabled := range []disabledGuard{noneDisabled, revisionDisabled, proofDisabled, settledDisabled} {
		t.Run("without "+string(disabled), func(t *testing.T) {
			t.Parallel()
			controllers := 3
			if disabled != noneDisabled {
				controllers = 2 // enough to find a violation
			}
			classes := []string{"export", "match"}
			m := newModel([]*Plan{twoWindows(t, 1)}, classes, controllers, begin-10_000, 500)
			m.disabled = disabled
			// Start with the calendar in force.
			m.reconcile(0)
			m.deliver(0, true)
			m.catchUp(0)
			states, violation := explore(m, instants)
			t.Logf("%d states, violation %q", states, violation)
			if (violation != "") != (disabled != noneDisabled) || states >= maxStates {
				t.Errorf("disabled guard: %q; violation: %q", disabled, violation)
			}
		})
	}
}
