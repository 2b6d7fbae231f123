package membership

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Certain reports whether this controller is certain of its place in the view.
func (m *Membership) Certain() bool { return m.certainty.State == members.Certain }

// Uncertain reports whether this controller must not answer agents for the controllers now. During
// an outage of the store it goes on answering them: no other controller can have been given its
// machines by then, or their fencing tokens show it.
func (m *Membership) Uncertain() bool { return !m.Certain() && !m.client.Unavailable() }

// Stalled records a gap in which the event loop did not run, and which its lease may not have
// outlived: this controller decides nothing, and answers for nothing, until it knows its place in
// the view again. A leader that woke under another one would scale out and decommission machines
// by an old state.
func (m *Membership) Stalled(gap time.Duration) {
	// A member that probes others may have been probed itself: then its lease is not all that
	// it must not have outlived.
	if !m.config.AnswersProbes && gap < m.config.LeaseTTL-tuning.MemberRenew-tuning.Standstill/2 {
		return
	}
	m.renewedAt, m.resumedAt = time.Time{}, m.state.Now
	m.certainty = m.certainty.Next(members.CertaintyEvent{Kind: members.Stalled})
}

// RestoreCertainty reads the epoch that the mirror must reach before this controller is certain of
// its place again, and notes whether the mirror has reached it.
func (m *Membership) RestoreCertainty() {
	m.certainty = m.certainty.Next(members.CertaintyEvent{Kind: members.WatchedTo, Epoch: m.mirror.Epoch})
	if m.certainty.State != members.LeaseKnown || m.readingEpoch {
		return
	}
	m.readingEpoch = true
	sentAt := m.state.Now
	m.client.ReadEpoch(store.PriorityMembership, func(epoch uint64, err error) {
		m.readingEpoch = false
		// A request from before a later stall says nothing of it.
		if err == nil && !sentAt.Before(m.resumedAt) {
			m.certainty = m.certainty.Next(members.CertaintyEvent{Kind: members.EpochRead, Epoch: epoch})
			m.loop.WatchNow()
		}
		m.loop.Wake()
	})
}
