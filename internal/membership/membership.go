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

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/records"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Env is what it is told from outside.
type Env struct {
	Me     string
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
	Wake, Follow func()
	// TxnOps is the most changes of a transaction.
	TxnOps int
	// Calls has members called whose connection ended, and calls answered.
	Calls bool
	// ZoneOf is the controllers' zones by name.
	ZoneOf map[string]string
	// Lag is how far this controller is behind, Unchecked what it has to check as a
	// leader.
	Lag       func() time.Duration
	Unchecked func() []standby.Check
}

// Membership is what one controller keeps of its own.
type Membership struct {
	*book.Book
	Env

	keys      map[string]uint64 // member keys: name to incarnation
	comings   members.Comings
	forms     map[string]members.Forms
	hold      uint64 // its lease, which is its incarnation; 0 for none
	renewedAt time.Time
	certain   members.Certainty // of its place in the view
	wokeAt    time.Time         // after it last stood still
	asking    bool              // for the epoch that makes it certain
	granting  bool
	putting   bool // its member key
	viewBusy  bool

	standby   *standby.Standby
	calls     map[string]standby.Call // that stand in the state service, by who is called
	calling   bool
	answering bool
	called    uint64   // epoch of its last call
	silent    []string // members whose calls are unanswered, to be left out of the view
	leaving   bool     // this controller gives its place away
	left      bool     // and has
}

// New makes a controller that has not joined; book tells the time.
func New(b *book.Book, env Env) *Membership {
	return &Membership{Book: b, Env: env, keys: map[string]uint64{}, comings: members.Comings{}, forms: map[string]members.Forms{}, certain: members.Certainty{Standing: members.Sure},
		standby: standby.New(b.Now), calls: map[string]standby.Call{}}
}

// Hold is its lease, 0 for none.
func (me *Membership) Hold() uint64 { return me.hold }

// Sure tells whether it is certain of its place in the view.
func (me *Membership) Sure() bool { return me.certain.Standing == members.Sure }

// KeyChanged takes in a member's key, nil for one that is gone.
func (me *Membership) KeyChanged(name string, value json.RawMessage) {
	var inc uint64
	defer func() { me.comings.Saw(name, me.keys[name], me.Now) }()
	if value == nil || json.Unmarshal(value, &inc) != nil {
		if name == me.Me && me.hold != 0 && me.keys[name] == me.hold && !me.leaving {
			// Its lease ended, or it was called and did not answer in time: either way
			// it comes back as a new incarnation.
			me.Log.Info("out of the members", "lease", me.hold)
			me.hold = 0
		}
		delete(me.keys, name)
	} else {
		me.keys[name] = inc
	}
}

// FormChanged takes in what a member can read, nil for a key that is gone.
func (me *Membership) FormChanged(name string, value json.RawMessage) {
	var f members.Forms
	if value == nil || json.Unmarshal(value, &f) != nil {
		delete(me.forms, name)
	} else {
		me.forms[name] = f
	}
}

// AllReadPacks tells whether all members of the view read packs.
func (me *Membership) AllReadPacks() bool {
	return me.View() != nil && me.View().AllRead(me.forms, records.Form)
}

// candidates is the members' keys without those of controllers that cannot read what
// is stored: in the view they would take tasks in packs for tasks that nobody knows.
func (me *Membership) candidates() map[string]uint64 {
	if len(me.Packs) == 0 {
		return me.keys
	}
	out := map[string]uint64{}
	for name, inc := range me.keys {
		if f := me.forms[name]; f.Inc == inc && f.Pack >= records.Form {
			out[name] = inc
		}
	}
	return out
}

// StoodStill takes note of a gap that its lease may not have outlived: it decides
// nothing, and vouches for nothing, until it knows its place in the view again. A
// leader that woke under another one would rent and delete by an old picture.
func (me *Membership) StoodStill(gap time.Duration) {
	// A member that calls others may have been called itself: then its lease is not all
	// that it must not have outlived.
	if !me.Calls && gap < me.TTL-tuning.MemberRenew-tuning.Standstill/2 {
		return
	}
	me.renewedAt, me.wokeAt = time.Time{}, me.Now
	me.certain = me.certain.Next(members.StandingEvent{Kind: members.StoodStill})
}

// settled notes that the lease stands, by an answer to what was asked then. An
// answer from before this node last stood still proves nothing.
func (me *Membership) settled(asked time.Time) {
	if asked.Before(me.wokeAt) {
		return
	}
	me.certain = me.certain.Next(members.StandingEvent{Kind: members.LeaseSettled})
	me.KeepCertain()
}

// KeepCertain reads the epoch that the mirror must reach before this node is
// certain of its place again.
func (me *Membership) KeepCertain() {
	me.certain = me.certain.Next(members.StandingEvent{Kind: members.FollowedTo, Epoch: me.Mirror.Epoch})
	if me.certain.Standing != members.Settled || me.asking {
		return
	}
	me.asking = true
	asked := me.Now
	me.Client.Epoch(store.Membership, func(epoch uint64, err error) {
		me.asking = false
		// What was asked before a later standstill says nothing of it.
		if err == nil && !asked.Before(me.wokeAt) {
			me.certain = me.certain.Next(members.StandingEvent{Kind: members.EpochRead, Epoch: epoch})
			me.Follow()
		}
		me.Wake()
	})
}

// Unsure tells whether this node must not speak for the controllers now. During
// an outage of the state service it goes on answering workers: no other node
// can have been given its machines by then, or their batons show it.
func (me *Membership) Unsure() bool { return me.certain.Standing != members.Sure && !me.Client.Down() }

// Keep holds the lease, the member key and, where it falls to this
// node, the view.
func (me *Membership) Keep() {
	switch {
	case me.granting, me.left:
	case me.hold == 0:
		me.granting = true
		me.renewedAt = me.Now
		asked := me.Now
		me.Client.Grant(me.TTL, func(hold uint64, err error) {
			me.granting = false
			if err == nil {
				me.hold = hold
				me.settled(asked)
				me.putMember()
			}
		})
	case me.Now.Sub(me.renewedAt) >= tuning.MemberRenew:
		me.renewedAt = me.Now
		hold, asked := me.hold, me.Now
		me.Client.Renew(hold, func(err error) {
			if err == nil && me.hold == hold {
				me.settled(asked)
			}
			if errors.Is(err, store.ErrGone) && me.hold == hold {
				// A new lease is a new incarnation and thus a new epoch.
				me.Log.Info("membership lease ended")
				me.hold = 0
			}
		})
	}
	me.KeepCertain()
	me.look()
	if me.left {
		return
	}
	if !me.Live() || me.hold == 0 || me.Client.Down() || me.certain.Standing != members.Sure {
		return
	}
	if me.Incarnation(me.Me) != me.hold {
		me.putMember()
		return
	}
	me.changeView()
}

// Incarnation is that of a member's key, 0 if it has none.
func (me *Membership) Incarnation(name string) uint64 { return me.keys[name] }

func (me *Membership) putMember() {
	if me.putting || me.left {
		return
	}
	me.putting = true
	hold := me.hold
	ws := []store.Write{
		{Put: members.FormPrefix + me.Me, Value: jobs.Encode(members.Forms{Inc: hold, Pack: records.Form, Calls: me.Calls}), Hold: hold},
		{Put: members.MemberPrefix + me.Me, Value: jobs.Encode(hold), Hold: hold},
	}
	me.Client.Multi(store.Membership, store.Txn{Writes: ws}, func(epoch uint64, _ []string, err error) {
		me.putting = false
		if errors.Is(err, store.ErrRefused) && me.hold == hold {
			me.hold = 0 // no such lease
		}
		if err == nil {
			me.Mirror.Commit(ws, epoch)
			me.Wake()
		}
	})
}

func (me *Membership) changeView() {
	if me.viewBusy {
		return
	}
	out := me.Unreachable()
	for _, name := range me.silent {
		out[name] = true
	}
	held := map[string]bool{}
	for name := range me.keys {
		held[name] = me.comings.Held(name, me.Now)
	}
	next := members.Next(members.Situation{Me: me.Me, Inc: me.hold, View: me.View(), Keys: me.candidates(), Out: out, Held: held})
	if next == nil {
		return
	}
	t := store.Txn{
		If:     []store.Cond{me.cond(members.ViewKey), me.cond(members.MemberPrefix + me.Me)},
		Writes: []store.Write{decide.Put(members.ViewKey, next)},
	}
	silent := me.silent
	for _, name := range silent {
		t = me.without(t, name)
	}
	// What a member did not hear ends with its place in the view. When it comes
	// back its machines have been heard by others meanwhile: by the old list
	// hundreds of them were deleted at once (docs/incidents/ushanga-ops-ops-1.md).
	for _, name := range me.View().Left(next) {
		t.Writes = append(t.Writes, me.forgetQuiet(name, 1)...)
	}
	for _, name := range me.View().Left(next) {
		t.Writes = me.forgetMoreQuiet(t.Writes, name)
	}
	if v := me.View(); v != nil && v.Leader != me.Me && !slices.Contains(silent, v.Leader) {
		t.If = append(t.If, me.cond(members.MemberPrefix+v.Leader))
	}
	me.viewBusy = true
	me.Client.Multi(store.Membership, t, func(epoch uint64, _ []string, err error) {
		me.viewBusy = false
		if err == nil {
			if len(silent) > 0 {
				me.Log.Info("left out of the view, calls unanswered", "members", silent)
			}
			me.Log.Info("view changed", "epoch", next.Epoch, "leader", next.Leader, "members", len(next.Members))
			me.Mirror.Commit(t.Writes, epoch)
		}
		me.Wake()
	})
}

// forgetQuiet is the change that takes one of a member's lists of unresponsive machines
// away, none if there is no such list.
func (me *Membership) forgetQuiet(name string, number int) []store.Write {
	if key := fleet.QuietKey(name, number); me.Mirror.Stamp(key) != 0 {
		return []store.Write{decide.Remove(key)}
	}
	return nil
}

// forgetMoreQuiet adds to a transaction's changes those that take a member's further lists
// away, as far as there is room. Without the first they count for nothing
// (fleet.QuietLists), and the member clears them itself when it comes back.
func (me *Membership) forgetMoreQuiet(changes []store.Write, name string) []store.Write {
	for number := 2; number <= tuning.MaxQuietLists && len(changes) < me.TxnOps; number++ {
		changes = append(changes, me.forgetQuiet(name, number)...)
	}
	return changes
}
