package membership

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Certain tells whether it is certain of its place in the view.
func (me *Membership) Certain() bool { return me.certainty.State == members.Certain }

// Stalled takes note of a gap that its lease may not have outlived: it decides
// nothing, and vouches for nothing, until it knows its place in the view again. A
// leader that woke under another one would rent and delete by an old picture.
func (me *Membership) Stalled(gap time.Duration) {
	// A member that calls others may have been called itself: then its lease is not all
	// that it must not have outlived.
	if !me.AnswersProbes && gap < me.TTL-tuning.MemberRenew-tuning.Standstill/2 {
		return
	}
	me.renewedAt, me.resumedAt = time.Time{}, me.Now
	me.certainty = me.certainty.Next(members.CertaintyEvent{Kind: members.Stalled})
}

// RestoreCertainty reads the epoch that the mirror must reach before this node is
// certain of its place again.
func (me *Membership) RestoreCertainty() {
	me.certainty = me.certainty.Next(members.CertaintyEvent{Kind: members.WatchedTo, Epoch: me.Mirror.Epoch})
	if me.certainty.State != members.LeaseKnown || me.readingEpoch {
		return
	}
	me.readingEpoch = true
	asked := me.Now
	me.Client.ReadEpoch(store.PriorityMembership, func(epoch uint64, err error) {
		me.readingEpoch = false
		// What was asked before a later standstill says nothing of it.
		if err == nil && !asked.Before(me.resumedAt) {
			me.certainty = me.certainty.Next(members.CertaintyEvent{Kind: members.EpochRead, Epoch: epoch})
			me.WatchNow()
		}
		me.Wake()
	})
}

// Uncertain tells whether this node must not speak for the controllers now. During
// an outage of the state service it goes on answering workers: no other node
// can have been given its machines by then, or their batons show it.
func (me *Membership) Uncertain() bool {
	return me.certainty.State != members.Certain && !me.Client.Unavailable()
}
