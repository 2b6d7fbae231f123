package readconsistency

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// confirmedModel is a model whose controllers wait for confirmations, over messages and reads of any
// delay. Each step is 20 ms long.
type confirmedModel struct {
	*model
	names map[*controller]string
	// longest is the longest delay of a read or a message, and longestCommit of a transaction, in ms.
	longest, longestCommit int
	lost                   int // of ten messages
}

const modelStep = 20 * ms

// quarters are the shares of the longest delay, in quarters, of which each delay has one. Delays drawn
// from the whole range would mostly be short.
var quarters = []int{0, 1, 2, 3, 4}

// after runs a function after a drawn delay.
func (m *confirmedModel) after(longest int, run func()) {
	delay := longest * rapid.SampledFrom(quarters).Draw(m.t, "quarters") / 4
	m.schedule(delay, delay, run)
}

// send delivers a message between two controllers, unless it is lost.
func (m *confirmedModel) send(deliver func()) {
	if rapid.IntRange(0, 9).Draw(m.t, "lost") >= m.lost {
		m.after(m.longest, deliver)
	}
}

// sendUnsent sends new acknowledgements to the other controllers, which confirm them.
func (m *confirmedModel) sendUnsent(c *controller) {
	for _, message := range c.log.TakeUnsent() {
		for _, other := range m.controllers {
			if other == c {
				continue
			}
			m.send(func() {
				other.log.ApplyPeerAcks(message, m.now)
				if message.Line != 0 {
					m.send(func() { c.log.Confirmed(m.names[other], Confirmation{Line: message.Line}) })
				}
			})
		}
	}
}

// acknowledgeEnd answers the user with the end of the job, as soon as that may leave.
func (m *confirmedModel) acknowledgeEnd(c *controller, end jobs.StoredState) {
	wait := c.log.Acknowledge(modelJobID, end, m.now)
	m.sendUnsent(c)
	if wait == 0 {
		m.sendToUser(end)
		return
	}
	m.pending = append(m.pending, event{m.now.Add(min(wait, modelStep)), func() { m.acknowledgeEnd(c, end) }})
}

// commitEnd makes a controller commit the end of the job, and then answer the user.
func (m *confirmedModel) commitEnd(c *controller, end jobs.StoredState) {
	m.after(m.longestCommit, func() {
		m.committed = append(m.committed, timedState{end, m.now})
		m.after(m.longestCommit, func() { m.acknowledgeEnd(c, end) })
	})
}

// ask makes a controller answer a question from a read, or from a mirror that reaches the epoch of a
// read some time later.
func (m *confirmedModel) ask(c *controller) {
	sentAt := m.now
	m.after(m.longest, func() {
		state := m.stored()
		m.after(m.longest, func() {
			latest, known := c.log.Latest(modelJobID)
			switch {
			case state.State != jobs.Live:
				c.log.Learn(modelJobID, state, m.now)
				m.acknowledgeEnd(c, state)
			case known && latest.State != jobs.Live:
				m.acknowledgeEnd(c, latest)
			case m.now.Sub(sentAt) <= c.log.MaxLiveReadAge():
				m.sendToUser(state)
			}
		})
	})
}

// Once the user has received an end, no controller answers that the job is live, however long reads
// and messages take and whichever are lost. This test fails within some ten draws if ends are acknowledged
// without waiting for confirmations or if the first confirmation suffices, and within some hundred if
// a controller confirms what it does not record.
func TestNoConfirmedAnswerIsOlderThanWhatTheUserReceived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &confirmedModel{model: &model{t: t, now: start}, names: map[*controller]string{}}
		m.longest = rapid.SampledFrom([]int{4, 60, 400, 1280}).Draw(t, "longest")
		m.longestCommit = rapid.SampledFrom([]int{0, 60, 1500}).Draw(t, "longest commit")
		m.lost = rapid.SampledFrom([]int{0, 1, 5, 10}).Draw(t, "lost of ten")
		m.committed = []timedState{{jobs.StoredState{State: jobs.Live}, start}}
		count := rapid.IntRange(2, 5).Draw(t, "controllers")
		for i := range count {
			c := &controller{log: NewAckLog(tuning.AckDelay)}
			m.controllers = append(m.controllers, c)
			m.names[c] = fmt.Sprintf("n%d", i)
		}
		for i, c := range m.controllers {
			var peers []string
			for j := range count {
				if j != i {
					peers = append(peers, fmt.Sprintf("n%d", j))
				}
			}
			c.log.RequireConfirmations(peers, tuning.AckHold, uint64(i)*1000)
		}
		endAt := rapid.IntRange(5, 60).Draw(t, "end at step")
		// A controller that is asked often soon learns of the end, so few questions are the harder case.
		gap := rapid.SampledFrom([]int{0, 4, 30}).Draw(t, "steps between questions")
		for step := range 200 {
			m.now = start.Add(time.Duration(step) * modelStep)
			m.runPending()
			if step == endAt {
				end := jobs.StoredState{State: jobs.Done, DoneCount: 1}
				m.commitEnd(rapid.SampledFrom(m.controllers).Draw(t, "controller"), end)
			}
			for _, c := range m.controllers {
				if rapid.IntRange(0, gap).Draw(t, "asked in") == gap {
					m.ask(c)
				}
			}
		}
	})
}
