// Package membership is how a controller joins the others, renews its lease, and
// votes on the view (package members decides on it), and how it becomes certain of
// its place again after a standstill. Calls of the state service go out; it has no IO
// and no clock.
package membership

import (
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Env is what it is told from outside.
type Env struct {
	Name     string
	LeaseTTL time.Duration // of its lease
	Client   *store.Client
	Mirror   *store.Mirror
	Log      *slog.Logger
	// MirrorLive tells whether the mirror follows the store.
	MirrorLive func() bool
	// View is the newest that is known, Unreachable the members that workers can't
	// reach.
	View        func() *members.View
	Unreachable func() map[string]bool
	// Wake has the loop look again, Follow opens the watch.
	Wake, WatchNow func()
	// MaxTxnWrites is the most changes of a transaction.
	MaxTxnWrites int
	// AnswersProbes has members called whose connection ended, and calls answered.
	AnswersProbes bool
	// Zones is the controllers' zones by name.
	Zones map[string]string
	// Lag is how far this controller is behind, Unchecked what it has to check as a
	// leader.
	Lag           func() time.Duration
	PendingChecks func() []standby.Check
}

// Membership is what one controller keeps of its own.
type Membership struct {
	*clusterstate.State
	Env

	memberKeys       map[string]uint64 // member keys: name to incarnation
	backoff          members.RestartBackoff
	capabilities     map[string]members.Capabilities
	leaseID          uint64 // its lease, which is its incarnation; 0 for none
	renewedAt        time.Time
	certainty        members.LeaseCertainty // of its place in the view
	resumedAt        time.Time              // after it last stood still
	readingEpoch     bool                   // for the epoch that makes it certain
	granting         bool
	writingMemberKey bool // its member key
	changingView     bool

	standby          *standby.Standby
	probes           map[string]standby.Probe // that stand in the state service, by who is called
	probing          bool
	answeringProbe   bool
	probeEpoch       uint64   // epoch of its last call
	unansweredProbes []string // members whose calls are unanswered, to be left out of the view
	resigning        bool     // this controller gives its place away
	resigned         bool     // and has
}

// New makes a controller that has not joined; book tells the time.
func New(b *clusterstate.State, env Env) *Membership {
	return &Membership{
		State: b, Env: env, memberKeys: map[string]uint64{}, backoff: members.RestartBackoff{}, capabilities: map[string]members.Capabilities{}, certainty: members.LeaseCertainty{State: members.Certain},
		standby: standby.New(b.Now), probes: map[string]standby.Probe{},
	}
}

// LeaseID is its lease, 0 for none.
func (m *Membership) LeaseID() uint64 { return m.leaseID }

// ApplyMember takes in a member's key, nil for one that is gone.
func (m *Membership) ApplyMember(name string, value json.RawMessage) {
	var incarnation uint64
	defer func() { m.backoff.Observe(name, m.memberKeys[name], m.Now) }()
	if value == nil || json.Unmarshal(value, &incarnation) != nil {
		if name == m.Name && m.leaseID != 0 && m.memberKeys[name] == m.leaseID && !m.resigning {
			// Its lease ended, or it was called and did not answer in time: either way
			// it comes back as a new incarnation.
			m.Log.Info("out of the members", "lease", m.leaseID)
			m.leaseID = 0
		}
		delete(m.memberKeys, name)
	} else {
		m.memberKeys[name] = incarnation
	}
}

// ApplyCapabilities takes in what a member can read, nil for a key that is gone.
func (m *Membership) ApplyCapabilities(name string, value json.RawMessage) {
	var f members.Capabilities
	if value == nil || json.Unmarshal(value, &f) != nil {
		delete(m.capabilities, name)
	} else {
		m.capabilities[name] = f
	}
}

// AllSupportBatches tells whether all members of the view read packs.
func (m *Membership) AllSupportBatches() bool {
	return m.View() != nil && m.View().AllSupportBatches(m.capabilities, taskbatch.FormatVersion)
}

// Reconcile holds the lease, the member key and, where it falls to this
// node, the view.
func (m *Membership) Reconcile() {
	switch {
	case m.granting, m.resigned:
	case m.leaseID == 0:
		m.granting = true
		m.renewedAt = m.Now
		sentAt := m.Now
		m.Client.GrantLease(m.LeaseTTL, func(leaseID uint64, err error) {
			m.granting = false
			if err == nil {
				m.leaseID = leaseID
				m.leaseConfirmed(sentAt)
				m.writeMemberKey()
			}
		})
	case m.Now.Sub(m.renewedAt) >= tuning.MemberRenew:
		m.renewedAt = m.Now
		leaseID, sentAt := m.leaseID, m.Now
		m.Client.RenewLease(leaseID, func(err error) {
			if err == nil && m.leaseID == leaseID {
				m.leaseConfirmed(sentAt)
			}
			if errors.Is(err, store.ErrGone) && m.leaseID == leaseID {
				// A new lease is a new incarnation and thus a new epoch.
				m.Log.Info("membership lease ended")
				m.leaseID = 0
			}
		})
	}
	m.RestoreCertainty()
	m.evaluateStandby()
	if m.resigned {
		return
	}
	if !m.MirrorLive() || m.leaseID == 0 || m.Client.Unavailable() || m.certainty.State != members.Certain {
		return
	}
	if m.Incarnation(m.Name) != m.leaseID {
		m.writeMemberKey()
		return
	}
	m.changeView()
}

// Incarnation is that of a member's key, 0 if it has none.
func (m *Membership) Incarnation(name string) uint64 { return m.memberKeys[name] }
