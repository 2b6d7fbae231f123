package membership

import (
	"errors"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// LeaseID returns the ID of this controller's lease, 0 if it has none.
func (m *Membership) LeaseID() uint64 { return m.leaseID }

// reconcileLease requests a lease if there is none, and renews it when due.
func (m *Membership) reconcileLease() {
	switch {
	case m.requestingLease, m.resigned:
	case m.leaseID == 0:
		m.grantLease()
	case m.state.Now.Sub(m.renewedAt) >= tuning.MemberRenew:
		m.renewLease()
	}
}

func (m *Membership) grantLease() {
	m.requestingLease = true
	m.renewedAt = m.state.Now
	sentAt := m.state.Now
	m.client.GrantLease(m.config.LeaseTTL, func(leaseID uint64, err error) {
		m.requestingLease = false
		if err == nil {
			m.leaseID = leaseID
			m.leaseConfirmed(sentAt)
			m.writeMemberKey()
		}
	})
}

func (m *Membership) renewLease() {
	m.renewedAt = m.state.Now
	leaseID, sentAt := m.leaseID, m.state.Now
	m.client.RenewLease(leaseID, func(err error) {
		if m.leaseID != leaseID {
			return
		}
		if err == nil {
			m.leaseConfirmed(sentAt)
		}
		if errors.Is(err, store.ErrGone) {
			// A new lease is a new incarnation and thus a new epoch.
			m.config.Log.Info("membership lease expired", "lease_id", leaseID)
			m.leaseID = 0
		}
	})
}

// leaseConfirmed records that the lease was valid, by the response to a request sent at sentAt. A
// response to a request sent before the last stall proves nothing.
func (m *Membership) leaseConfirmed(sentAt time.Time) {
	if sentAt.Before(m.resumedAt) {
		return
	}
	m.certainty = m.certainty.Next(members.CertaintyEvent{Kind: members.LeaseConfirmed})
	m.RestoreCertainty()
}

// writeMemberKey writes this controller's member key and capabilities, attached to its lease.
func (m *Membership) writeMemberKey() {
	if m.writingMemberKey || m.resigned {
		return
	}
	m.writingMemberKey = true
	leaseID := m.leaseID
	capabilities := members.Capabilities{
		Incarnation:   leaseID,
		BatchFormat:   taskbatch.FormatVersion,
		AnswersProbes: m.config.AnswersProbes,
		ConfirmsAcks:  true,
	}
	writes := []store.Write{
		{
			Put:     members.CapabilitiesPrefix + m.config.Name,
			Value:   jobs.Encode(capabilities),
			LeaseID: leaseID,
		},
		{
			Put:     members.MemberPrefix + m.config.Name,
			Value:   jobs.Encode(leaseID),
			LeaseID: leaseID,
		},
	}
	m.client.Commit(store.PriorityMembership, store.Txn{Writes: writes}, func(epoch uint64, _ []string, err error) {
		m.writingMemberKey = false
		if errors.Is(err, store.ErrRefused) && m.leaseID == leaseID {
			m.leaseID = 0 // the store does not know the lease
		}
		if err == nil {
			m.mirror.ApplyCommit(writes, epoch)
			m.loop.Wake()
		}
	})
}
