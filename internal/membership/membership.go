// Package membership is how a controller joins the others, renews its lease, and
// votes on the view (package members decides on it), and how it becomes certain of
// its place again after a standstill. Calls of the state service go out; it has no IO
// and no clock.
package membership

import (
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
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

// Certain tells whether it is certain of its place in the view.
func (me *Membership) Certain() bool { return me.certainty.State == members.Certain }

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

// candidates is the members' keys without those of controllers that cannot read what
// is stored: in the view they would take tasks in packs for tasks that nobody knows.
func (me *Membership) candidates() map[string]uint64 {
	if len(me.Batches) == 0 {
		return me.keys
	}
	out := map[string]uint64{}
	for name, incarnation := range me.keys {
		if f := me.capabilities[name]; f.Incarnation == incarnation && f.BatchFormat >= taskbatch.FormatVersion {
			out[name] = incarnation
		}
	}
	return out
}

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

// leaseConfirmed notes that the lease stands, by an answer to what was asked then. An
// answer from before this node last stood still proves nothing.
func (me *Membership) leaseConfirmed(asked time.Time) {
	if asked.Before(me.resumedAt) {
		return
	}
	me.certainty = me.certainty.Next(members.CertaintyEvent{Kind: members.LeaseConfirmed})
	me.RestoreCertainty()
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

func (me *Membership) changeView() {
	if me.changingView {
		return
	}
	out := me.Unreachable()
	for _, name := range me.unansweredProbes {
		out[name] = true
	}
	held := map[string]bool{}
	for name := range me.keys {
		held[name] = me.restarts.Blocked(name, me.Now)
	}
	next := members.NextView(members.ViewInputs{Name: me.Name, Incarnation: me.leaseID, View: me.View(), MemberKeys: me.candidates(), Unreachable: out, BackingOff: held})
	if next == nil {
		return
	}
	t := store.Txn{
		Preconditions: []store.Precondition{me.precondition(members.ViewKey), me.precondition(members.MemberPrefix + me.Name)},
		Writes:        []store.Write{decide.Put(members.ViewKey, next)},
	}
	silent := me.unansweredProbes
	for _, name := range silent {
		t = me.addRemoval(t, name)
	}
	// What a member did not hear ends with its place in the view. When it comes
	// back its machines have been heard by others meanwhile: by the old list
	// hundreds of them were deleted at once (docs/incidents/ushanga-ops-ops-1.md).
	for _, name := range me.View().Removed(next) {
		t.Writes = append(t.Writes, me.forgetQuiet(name, 1)...)
	}
	for _, name := range me.View().Removed(next) {
		t.Writes = me.forgetMoreQuiet(t.Writes, name)
	}
	if v := me.View(); v != nil && v.Leader != me.Name && !slices.Contains(silent, v.Leader) {
		t.Preconditions = append(t.Preconditions, me.precondition(members.MemberPrefix+v.Leader))
	}
	me.changingView = true
	me.Client.Commit(store.PriorityMembership, t, func(epoch uint64, _ []string, err error) {
		me.changingView = false
		if err == nil {
			if len(silent) > 0 {
				me.Log.Info("left out of the view, calls unanswered", "members", silent)
			}
			me.Log.Info("view changed", "epoch", next.Epoch, "leader", next.Leader, "members", len(next.Members))
			me.Mirror.ApplyCommit(t.Writes, epoch)
		}
		me.Wake()
	})
}

// forgetQuiet is the change that takes one of a member's lists of unresponsive machines
// away, none if there is no such list.
func (me *Membership) forgetQuiet(name string, number int) []store.Write {
	if key := fleet.UnresponsiveKey(name, number); me.Mirror.Revision(key) != 0 {
		return []store.Write{decide.Remove(key)}
	}
	return nil
}

// forgetMoreQuiet adds to a transaction's changes those that take a member's further lists
// away, as far as there is room. Without the first they count for nothing
// (fleet.UnresponsiveLists), and the member clears them itself when it comes back.
func (me *Membership) forgetMoreQuiet(changes []store.Write, name string) []store.Write {
	for number := 2; number <= tuning.MaxUnresponsiveLists && len(changes) < me.TxnOps; number++ {
		changes = append(changes, me.forgetQuiet(name, number)...)
	}
	return changes
}
