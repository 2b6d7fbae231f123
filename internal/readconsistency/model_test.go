package readconsistency

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

const modelJobID = "wk-000001"

// model simulates one job in the state service, several controllers that answer a user about it,
// and the user. Each step is 5 ms long. Reads, watches and messages take several steps; messages
// may be lost.
type model struct {
	t           *rapid.T
	now         time.Time
	committed   []timedState // the states of the job committed to the state service
	controllers []*controller
	pending     []event
	received    timedState // the newest state that the user has received
	partitioned bool       // all messages between controllers are lost
}

// timedState is a state of the job and the time at which it was committed or received.
type timedState struct {
	state jobs.StoredState
	at    time.Time
}

type controller struct {
	log *AckLog
}

type event struct {
	at  time.Time
	run func()
}

// progress maps the states of a job to their order: unknown, live, ended.
func progress(state jobs.JobState) int {
	return map[jobs.JobState]int{"": 0, jobs.Live: 1, jobs.Done: 2, jobs.Cancelled: 2}[state]
}

// schedule schedules run after a drawn number of milliseconds.
func (m *model) schedule(minimum, maximum int, run func()) {
	delay := time.Duration(rapid.IntRange(minimum, maximum).Draw(m.t, "ms")) * ms
	m.pending = append(m.pending, event{m.now.Add(delay), run})
}

// runPending runs the scheduled calls that are due.
func (m *model) runPending() {
	for i := 0; i < len(m.pending); i++ {
		if e := m.pending[i]; !e.at.After(m.now) {
			m.pending = append(m.pending[:i], m.pending[i+1:]...)
			i--
			e.run()
		}
	}
}

func (m *model) stored() jobs.StoredState {
	if len(m.committed) == 0 {
		return jobs.StoredState{}
	}
	return m.committed[len(m.committed)-1].state
}

// commit makes a controller commit that the job is accepted or has ended, and then answer the user.
// A job cannot end before the user knows of it: its tasks take longer, and only a user who was told
// that it is accepted can cancel it. If the response to an acceptance comes late, the controller
// reads the job instead of answering directly.
func (m *model) commit(c *controller, state jobs.StoredState) {
	sentAt := m.now
	m.schedule(0, 60, func() {
		ends := progress(state.State) == 2
		if progress(state.State) != progress(m.stored().State)+1 || ends && m.received.state.State == "" {
			return
		}
		m.committed = append(m.committed, timedState{state, m.now})
		m.schedule(0, 400, func() {
			if state.State == jobs.Live && m.now.Sub(sentAt) > tuning.MaxReadAge {
				m.read(c)
				return
			}
			m.answer(c, state)
		})
	})
}

// answer answers the user, once the answer may leave, with a state that does not require a recent
// read.
func (m *model) answer(c *controller, state jobs.StoredState) {
	if latest, ok := c.log.Latest(modelJobID); ok && progress(latest.State) > progress(state.State) {
		state = latest
	}
	wait := c.log.Acknowledge(modelJobID, state, m.now)
	m.sendUnsent(c)
	if wait > 0 {
		m.pending = append(m.pending, event{m.now.Add(wait), func() { m.answer(c, state) }})
		return
	}
	m.sendToUser(state)
}

// sendUnsent sends new acknowledgements to the other controllers.
func (m *model) sendUnsent(c *controller) {
	for _, message := range c.log.TakeUnsent() {
		if !message.Valid() {
			m.t.Fatalf("invalid message: %+v", message)
		}
		for _, other := range m.controllers {
			if other != c && !m.partitioned {
				m.schedule(0, 15, func() { other.log.ApplyPeerAcks(message, m.now) })
			}
		}
	}
}

// sendToUser sends an answer to the user now.
func (m *model) sendToUser(state jobs.StoredState) {
	if progress(state.State) < progress(m.received.state.State) {
		m.t.Fatalf("an answer with state %q leaves %v after the user received %q",
			state.State, m.now.Sub(m.received.at), m.received.state.State)
	}
	m.schedule(1, 3, func() {
		if progress(state.State) > progress(m.received.state.State) {
			m.received = timedState{state, m.now}
		}
	})
}

// read answers a question by a read of the state service, or by a mirror that a watch has brought
// up to date. A state that may become outdated is used only if the read was recent.
func (m *model) read(c *controller) {
	sentAt := m.now
	m.schedule(0, 60, func() { // the request arrives
		state := m.stored()
		m.schedule(0, 60, func() { m.readAnswered(c, state, sentAt) })
	})
}

func (m *model) readAnswered(c *controller, state jobs.StoredState, sentAt time.Time) {
	latest, known := c.log.Latest(modelJobID)
	switch {
	case progress(state.State) == 2:
		m.answer(c, state)
	case known && progress(latest.State) > progress(state.State):
		if progress(latest.State) == 2 {
			m.answer(c, latest)
		} // accepted, but not found: a controller reads again, the model tells the user to retry
	case m.now.Sub(sentAt) > tuning.MaxReadAge:
	case state.State == "":
		m.sendToUser(state)
	default: // live: if the acceptance is new, a later read answers with it
		if c.log.Acknowledge(modelJobID, state, m.now) == 0 {
			m.sendToUser(state)
			return
		}
		m.sendUnsent(c)
	}
}

// performAction performs a drawn action: a commit, a fault, or a question of the user.
func (m *model) performAction(action int, c *controller) {
	switch action {
	case 0:
		m.commit(c, jobs.StoredState{State: jobs.Live})
	case 1:
		end := rapid.SampledFrom([]jobs.JobState{jobs.Done, jobs.Cancelled}).Draw(m.t, "end")
		m.commit(c, jobs.StoredState{State: end, DoneCount: 1})
	case 2:
		m.partitioned = !m.partitioned
	case 3, 4, 5, 6, 7, 8:
		m.read(c)
	default: // the user asks all controllers
		for _, other := range m.controllers {
			m.read(other)
		}
	}
}

// Once the user has received a state, no answer that leaves later may have an older one, whichever
// controller commits or is asked, however late reads, messages and responses are, and even if all
// messages are lost. Without the delay before a new state is acknowledged, this test fails within a
// few draws.
func TestNoAnswerIsOlderThanWhatTheUserReceived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: start}
		for range rapid.IntRange(2, 5).Draw(t, "controllers") {
			m.controllers = append(m.controllers, &controller{log: NewAckLog(tuning.AckDelay)})
		}
		for range 150 {
			m.now = m.now.Add(5 * ms)
			m.runPending()
			c := rapid.SampledFrom(m.controllers).Draw(t, "controller")
			m.performAction(rapid.IntRange(0, 15).Draw(t, "action"), c)
		}
	})
}
