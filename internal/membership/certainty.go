package membership

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Certain tells whether it is certain of its place in the view.
func (m *Membership) Certain() bool { return m.certainty.State == members.Certain }

// Stalled takes note of a gap that its lease may not have outlived: it decides
// nothing, and vouches for nothing, until it knows its place in the view again. A
// leader that woke under another one would rent and delete by an old picture.
func (m *Membership) Stalled(gap time.Duration) {
	// A member that calls others may have been called itself: then its lease is not all
	// that it must not have outlived.
	if !m.AnswersProbes && gap < m.LeaseTTL-tuning.MemberRenew-tuning.Standstill/2 {
		return
	}
	m.renewedAt, m.resumedAt = time.Time{}, m.Now
	m.certainty = m.certainty.Next(members.CertaintyEvent{Kind: members.Stalled})
}

// RestoreCertainty reads the epoch that the mirror must reach before this node is
// certain of its place again.
func (m *Membership) RestoreCertainty() {
	m.certainty = m.certainty.Next(members.CertaintyEvent{Kind: members.WatchedTo, Epoch: m.Mirror.Epoch})
	if m.certainty.State != members.LeaseKnown || m.readingEpoch {
		return
	}
	m.readingEpoch = true
	sentAt := m.Now
	m.Client.ReadEpoch(store.PriorityMembership, func(epoch uint64, err error) {
		m.readingEpoch = false
		// What was sent before a later standstill says nothing of it.
		if err == nil && !sentAt.Before(m.resumedAt) {
			m.certainty = m.certainty.Next(members.CertaintyEvent{Kind: members.EpochRead, Epoch: epoch})
			m.WatchNow()
		}
		m.Wake()
	})
}

// Uncertain tells whether this node must not speak for the controllers now. During
// an outage of the state service it goes on answering workers: no other node
// can have been given its machines by then, or their batons show it.
func (m *Membership) Uncertain() bool {
	return m.certainty.State != members.Certain && !m.Client.Unavailable()
}
