package membership

import (
	"errors"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// leaseConfirmed notes that the lease stands, by an answer to what was asked then. An
// answer from before this node last stood still proves nothing.
func (me *Membership) leaseConfirmed(asked time.Time) {
	if asked.Before(me.resumedAt) {
		return
	}
	me.certainty = me.certainty.Next(members.CertaintyEvent{Kind: members.LeaseConfirmed})
	me.RestoreCertainty()
}

func (me *Membership) writeMemberKey() {
	if me.writingMemberKey || me.resigned {
		return
	}
	me.writingMemberKey = true
	hold := me.leaseID
	ws := []store.Write{
		{Put: members.CapabilitiesPrefix + me.Name, Value: jobs.Encode(members.Capabilities{Incarnation: hold, BatchFormat: taskbatch.FormatVersion, AnswersProbes: me.AnswersProbes}), LeaseID: hold},
		{Put: members.MemberPrefix + me.Name, Value: jobs.Encode(hold), LeaseID: hold},
	}
	me.Client.Commit(store.PriorityMembership, store.Txn{Writes: ws}, func(epoch uint64, _ []string, err error) {
		me.writingMemberKey = false
		if errors.Is(err, store.ErrRefused) && me.leaseID == hold {
			me.leaseID = 0 // no such lease
		}
		if err == nil {
			me.Mirror.ApplyCommit(ws, epoch)
			me.Wake()
		}
	})
}
