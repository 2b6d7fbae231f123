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
	Name   string
	TTL    time.Duration // of its lease
	Client *store.Client
	Mirror *store.Mirror
	Log    *slog.Logger
	// Live tells whether the mirror follows the store.
	Live func() bool
	// View is the newest that is known, Unreachable the members that workers can't
	// reach.
	View        func() *members.View
	Unreachable func() map[string]bool
	// Wake has the loop look again, Follow opens the watch.
	Wake, WatchNow func()
	// TxnOps is the most changes of a transaction.
	TxnOps int
	// AnswersProbes has members called whose connection ended, and calls answered.
	AnswersProbes bool
	// ZoneOf is the controllers' zones by name.
	ZoneOf map[string]string
	// Lag is how far this controller is behind, Unchecked what it has to check as a
	// leader.
	Lag       func() time.Duration
	Unchecked func() []standby.Check
}

// Membership is what one controller keeps of its own.
type Membership struct {
	*clusterstate.State
	Env

	keys             map[string]uint64 // member keys: name to incarnation
	restarts         members.RestartBackoff
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
	lastProbeEpoch   uint64   // epoch of its last call
	unansweredProbes []string // members whose calls are unanswered, to be left out of the view
	resigning        bool     // this controller gives its place away
	resigned         bool     // and has
}

// New makes a controller that has not joined; book tells the time.
func New(b *clusterstate.State, env Env) *Membership {
	return &Membership{
		State: b, Env: env, keys: map[string]uint64{}, restarts: members.RestartBackoff{}, capabilities: map[string]members.Capabilities{}, certainty: members.LeaseCertainty{State: members.Certain},
		standby: standby.New(b.Now), probes: map[string]standby.Probe{},
	}
}

// LeaseID is its lease, 0 for none.
func (me *Membership) LeaseID() uint64 { return me.leaseID }

// ApplyMember takes in a member's key, nil for one that is gone.
func (me *Membership) ApplyMember(name string, value json.RawMessage) {
	var incarnation uint64
	defer func() { me.restarts.Observe(name, me.keys[name], me.Now) }()
	if value == nil || json.Unmarshal(value, &incarnation) != nil {
		if name == me.Name && me.leaseID != 0 && me.keys[name] == me.leaseID && !me.resigning {
			// Its lease ended, or it was called and did not answer in time: either way
			// it comes back as a new incarnation.
			me.Log.Info("out of the members", "lease", me.leaseID)
			me.leaseID = 0
		}
		delete(me.keys, name)
	} else {
		me.keys[name] = incarnation
	}
}

// ApplyCapabilities takes in what a member can read, nil for a key that is gone.
func (me *Membership) ApplyCapabilities(name string, value json.RawMessage) {
	var f members.Capabilities
	if value == nil || json.Unmarshal(value, &f) != nil {
		delete(me.capabilities, name)
	} else {
		me.capabilities[name] = f
	}
}

// AllSupportBatches tells whether all members of the view read packs.
func (me *Membership) AllSupportBatches() bool {
	return me.View() != nil && me.View().AllSupportBatches(me.capabilities, taskbatch.FormatVersion)
}

// Reconcile holds the lease, the member key and, where it falls to this
// node, the view.
func (me *Membership) Reconcile() {
	switch {
	case me.granting, me.resigned:
	case me.leaseID == 0:
		me.granting = true
		me.renewedAt = me.Now
		asked := me.Now
		me.Client.GrantLease(me.TTL, func(hold uint64, err error) {
			me.granting = false
			if err == nil {
				me.leaseID = hold
				me.leaseConfirmed(asked)
				me.writeMemberKey()
			}
		})
	case me.Now.Sub(me.renewedAt) >= tuning.MemberRenew:
		me.renewedAt = me.Now
		hold, asked := me.leaseID, me.Now
		me.Client.RenewLease(hold, func(err error) {
			if err == nil && me.leaseID == hold {
				me.leaseConfirmed(asked)
			}
			if errors.Is(err, store.ErrGone) && me.leaseID == hold {
				// A new lease is a new incarnation and thus a new epoch.
				me.Log.Info("membership lease ended")
				me.leaseID = 0
			}
		})
	}
	me.RestoreCertainty()
	me.evaluateStandby()
	if me.resigned {
		return
	}
	if !me.Live() || me.leaseID == 0 || me.Client.Unavailable() || me.certainty.State != members.Certain {
		return
	}
	if me.Incarnation(me.Name) != me.leaseID {
		me.writeMemberKey()
		return
	}
	me.changeView()
}

// Incarnation is that of a member's key, 0 if it has none.
func (me *Membership) Incarnation(name string) uint64 { return me.keys[name] }
