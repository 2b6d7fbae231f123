package membership

import (
	"errors"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// leaseConfirmed notes that the lease stands, by an answer to what was sent then. An
// answer from before this node last stood still proves nothing.
func (m *Membership) leaseConfirmed(sentAt time.Time) {
	if sentAt.Before(m.resumedAt) {
		return
	}
	m.certainty = m.certainty.Next(members.CertaintyEvent{Kind: members.LeaseConfirmed})
	m.RestoreCertainty()
}

func (m *Membership) writeMemberKey() {
	if m.writingMemberKey || m.resigned {
		return
	}
	m.writingMemberKey = true
	leaseID := m.leaseID
	writes := []store.Write{
		{Put: members.CapabilitiesPrefix + m.Name, Value: jobs.Encode(members.Capabilities{Incarnation: leaseID, BatchFormat: taskbatch.FormatVersion, AnswersProbes: m.AnswersProbes}), LeaseID: leaseID},
		{Put: members.MemberPrefix + m.Name, Value: jobs.Encode(leaseID), LeaseID: leaseID},
	}
	m.Client.Commit(store.PriorityMembership, store.Txn{Writes: writes}, func(epoch uint64, _ []string, err error) {
		m.writingMemberKey = false
		if errors.Is(err, store.ErrRefused) && m.leaseID == leaseID {
			m.leaseID = 0 // no such lease
		}
		if err == nil {
			m.Mirror.ApplyCommit(writes, epoch)
			m.Wake()
		}
	})
}
