package membership

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

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

// removalWrites is how many changes it takes to leave a member out: its key, what it reads,
// its call and its list of machines.
const removalWrites = 4

// maxRemovals is how many members one change of the view can leave out.
func (me *Membership) maxRemovals() int { return max(1, (me.TxnOps-1)/removalWrites) }

func (me *Membership) precondition(key string) store.Precondition {
	return store.Precondition{Key: key, Revision: me.Mirror.Revision(key)}
}

// addRemoval adds to a change of the view that a member leaves that did not answer: it holds
// only if its call still stands as it was read, and takes its key away, so that it comes
// back as a new incarnation or not at all.
func (me *Membership) addRemoval(t store.Txn, name string) store.Txn {
	call, key, form := standby.ProbePrefix+name, members.MemberPrefix+name, members.CapabilitiesPrefix+name
	t.Preconditions = append(t.Preconditions, me.precondition(call), me.precondition(key))
	t.Writes = append(t.Writes, decide.Remove(call), decide.Remove(key), decide.Remove(form))
	return t
}

// handOver hands the lead to another member.
func (me *Membership) handOver(leader string) {
	if me.changingView {
		return
	}
	v := me.View()
	next := &members.View{Leader: leader, Members: v.Members, Epoch: v.Epoch + 1}
	t := store.Txn{
		Preconditions: []store.Precondition{me.precondition(members.ViewKey), me.precondition(members.MemberPrefix + me.Name), me.precondition(members.MemberPrefix + leader)},
		Writes:        []store.Write{decide.Put(members.ViewKey, next)},
	}
	me.changingView = true
	me.Client.Commit(store.PriorityMembership, t, func(epoch uint64, _ []string, err error) {
		me.changingView = false
		if err == nil {
			me.Log.Info("lead handed over, too far behind", "leader", leader, "epoch", next.Epoch)
			me.Mirror.ApplyCommit(t.Writes, epoch)
		}
		me.Wake()
	})
}

// resignTo gives this controller's place away, the lead with it if it has it.
func (me *Membership) resignTo(leader string) {
	if me.changingView || me.resigned {
		return
	}
	own := members.MemberPrefix + me.Name
	t := store.Txn{
		Preconditions: []store.Precondition{me.precondition(own), me.precondition(members.MemberPrefix + leader)},
		Writes:        []store.Write{decide.Remove(own), decide.Remove(members.CapabilitiesPrefix + me.Name)},
	}
	if v := me.View(); v.Leader == me.Name {
		next := &members.View{Leader: leader, Epoch: v.Epoch + 1}
		for _, m := range v.Members {
			if m.Name != me.Name {
				next.Members = append(next.Members, m)
			}
		}
		t.Preconditions = append(t.Preconditions, me.precondition(members.ViewKey))
		t.Writes = append(t.Writes, decide.Put(members.ViewKey, next))
		t.Writes = append(t.Writes, me.forgetQuiet(me.Name, 1)...)
		t.Writes = me.forgetMoreQuiet(t.Writes, me.Name)
	}
	me.changingView, me.resigning = true, true
	me.Client.Commit(store.PriorityMembership, t, func(epoch uint64, _ []string, err error) {
		me.changingView = false
		if err == nil {
			me.resigned = true
			me.Log.Info("place given away", "leader", leader)
			me.Mirror.ApplyCommit(t.Writes, epoch)
		}
		me.Wake()
	})
}
