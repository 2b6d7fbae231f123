package membership

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Certain reports whether this controller is certain of its place in the view.
func (m *Membership) Certain() bool { return m.certainty.State == members.Certain }

// MustNotAnswerAgents reports whether this controller must not answer agents on behalf of the
// cluster for the time being, because it is not certain of its place in the view. During an outage
// of the store it keeps answering them: its machines cannot be assigned to another controller
// without the store. If a machine was reassigned after all, its agent reports a higher fencing
// token.
func (m *Membership) MustNotAnswerAgents() bool { return !m.Certain() && !m.client.Unavailable() }

// Stalled records that the event loop did not run for a while, possibly longer than the lease
// lasts. Until this controller has verified its place in the view, it makes no decisions and does
// not answer agents (see MustNotAnswerAgents). A leader that resumed after being replaced would
// otherwise scale out and decommission machines based on stale state.
func (m *Membership) Stalled(gap time.Duration) {
	// With probes enabled, a member may have been probed and removed during a stall that is shorter
	// than its lease.
	if !m.config.AnswersProbes && gap < m.config.LeaseTTL-tuning.MemberRenew-tuning.StallGap/2 {
		return
	}
	m.renewedAt, m.resumedAt = time.Time{}, m.state.Now
	m.certainty = m.certainty.Next(members.CertaintyEvent{Kind: members.Stalled})
}

// RestoreCertainty makes progress towards certainty after a stall: it records the epoch that the
// mirror has reached, and reads from the store the epoch that the mirror must reach.
func (m *Membership) RestoreCertainty() {
	m.certainty = m.certainty.Next(members.CertaintyEvent{Kind: members.WatchReached, Epoch: m.mirror.Epoch})
	if m.certainty.State != members.LeaseKnown || m.readingEpoch {
		return
	}
	m.readingEpoch = true
	sentAt := m.state.Now
	m.client.ReadEpoch(store.PriorityMembership, func(epoch uint64, err error) {
		m.readingEpoch = false
		// A response to a request sent before the last stall proves nothing.
		if err == nil && !sentAt.Before(m.resumedAt) {
			m.certainty = m.certainty.Next(members.CertaintyEvent{Kind: members.EpochRead, Epoch: epoch})
			m.loop.WatchNow()
		}
		m.loop.Wake()
	})
}
