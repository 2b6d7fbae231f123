package membership

import (
	"encoding/json"
	"time"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
)

// PeerEnded takes in that the connection to a peer ended.
func (me *Membership) PeerEnded(name string) {
	if me.Calls && me.View() != nil && me.View().Inc(name) != 0 {
		me.standby.Ended(name, me.Now)
		me.Wake()
	}
}

// PeerHeard takes in that a peer spoke.
func (me *Membership) PeerHeard(name string) { me.standby.Heard(name) }

// CallChanged takes in a call, nil for one that is gone.
func (me *Membership) CallChanged(name string, value json.RawMessage) {
	if c, ok := standby.DecodeCall(value); ok {
		me.calls[name] = c
		me.standby.Called(name, c, me.Now)
	} else {
		delete(me.calls, name)
		me.standby.Gone(name)
	}
	me.Wake()
}

// Standby is the state of its readiness, and how many calls were answered so far.
func (me *Membership) Standby() (state standby.State, falseAlarms int) {
	return me.standby.State, me.standby.FalseAlarms
}

// Turn is its place among those that are to follow the leader, -1 if it has none.
func (me *Membership) Turn() int { return me.standby.Turn }

// Leave has this controller give its place away.
func (me *Membership) Leave() { me.standby.Leave() }

// look has the standby look at how things are, and does what it says.
func (me *Membership) look() {
	me.silent = nil
	v := me.View()
	x := standby.Situation{Now: me.Now, Me: me.Me, Calls: me.calls, Down: me.Client.Down()}
	if v != nil {
		x.Inside = me.Live() && me.Sure() && v.Inc(me.Me) == me.hold && me.hold != 0
		x.Leader = v.Leader
		for _, m := range v.Members {
			f := me.forms[m.Name]
			x.Members = append(x.Members, standby.Member{Name: m.Name, Inc: m.Inc, Zone: me.ZoneOf[m.Name], Answers: f.Inc == m.Inc && f.Calls})
		}
	}
	x.Lag, x.Unchecked, x.Behind = me.Lag(), me.Unchecked(), me.Mirror.Epoch < me.called
	since := me.standby.Since
	acts, changed := me.standby.Look(x)
	if changed {
		me.Log.Debug("standby", "state", string(me.standby.State), "why", me.standby.Why, "after_ms", me.Now.Sub(since).Milliseconds())
	}
	for _, a := range acts {
		switch a.Kind {
		case standby.DoCall:
			me.call(a.Names, a.Wait)
		case standby.DoAnswer:
			me.answer()
		case standby.DoOut:
			me.silent = a.Names[:min(len(a.Names), me.mostOut())]
		case standby.DoLeave:
			me.leaveTo(a.Names[0])
		case standby.DoPass:
			me.passTo(a.Names[0])
		}
	}
}

// outWrites is how many changes it takes to leave a member out: its key, what it reads,
// its call and its list of machines.
const outWrites = 4

// mostOut is how many members one change of the view can leave out.
func (me *Membership) mostOut() int { return max(1, (me.TxnOps-1)/outWrites) }

func (me *Membership) cond(key string) store.Cond {
	return store.Cond{Key: key, Stamp: me.Mirror.Stamp(key)}
}

// without adds to a change of the view that a member leaves that did not answer: it holds
// only if its call still stands as it was read, and takes its key away, so that it comes
// back as a new incarnation or not at all.
func (me *Membership) without(t store.Txn, name string) store.Txn {
	call, key, form := standby.CallPrefix+name, members.MemberPrefix+name, members.FormPrefix+name
	t.If = append(t.If, me.cond(call), me.cond(key))
	t.Writes = append(t.Writes, decide.Remove(call), decide.Remove(key), decide.Remove(form))
	return t
}

// call writes calls. What it goes by is in the conditions: the view, this controller's
// key, and the keys of those that are called.
func (me *Membership) call(names []string, wait time.Duration) {
	if me.calling {
		return
	}
	names = names[:min(len(names), me.mostOut())]
	t := store.Txn{If: []store.Cond{me.cond(members.ViewKey), me.cond(members.MemberPrefix + me.Me)}}
	for _, name := range names {
		key := standby.CallPrefix + name
		t.If = append(t.If, me.cond(members.MemberPrefix+name), me.cond(key))
		t.Writes = append(t.Writes, decide.Put(key, standby.Call{Inc: me.View().Inc(name), By: me.Me, WaitMs: wait.Milliseconds()}))
	}
	me.calling = true
	me.Client.Multi(store.Membership, t, func(epoch uint64, _ []string, err error) {
		me.calling = false
		if err == nil {
			me.Log.Info("called, their connections ended", "members", names, "wait_ms", wait.Milliseconds())
			me.Mirror.Commit(t.Writes, epoch)
			me.called = epoch
		}
		me.Wake()
	})
}

// answer removes the call of this controller.
func (me *Membership) answer() {
	if me.answering {
		return
	}
	me.answering = true
	key := standby.CallPrefix + me.Me
	t := store.Txn{If: []store.Cond{me.cond(key)}, Writes: []store.Write{decide.Remove(key)}}
	me.Client.Multi(store.Membership, t, func(epoch uint64, _ []string, err error) {
		me.answering = false
		if err == nil {
			me.Log.Info("answered a call")
			me.Mirror.Commit(t.Writes, epoch)
		}
	})
}

// passTo hands the lead to another member.
func (me *Membership) passTo(leader string) {
	if me.viewBusy {
		return
	}
	v := me.View()
	next := &members.View{Leader: leader, Members: v.Members, Epoch: v.Epoch + 1}
	t := store.Txn{
		If:     []store.Cond{me.cond(members.ViewKey), me.cond(members.MemberPrefix + me.Me), me.cond(members.MemberPrefix + leader)},
		Writes: []store.Write{decide.Put(members.ViewKey, next)},
	}
	me.viewBusy = true
	me.Client.Multi(store.Membership, t, func(epoch uint64, _ []string, err error) {
		me.viewBusy = false
		if err == nil {
			me.Log.Info("lead handed over, too far behind", "leader", leader, "epoch", next.Epoch)
			me.Mirror.Commit(t.Writes, epoch)
		}
		me.Wake()
	})
}

// leaveTo gives this controller's place away, the lead with it if it has it.
func (me *Membership) leaveTo(leader string) {
	if me.viewBusy || me.left {
		return
	}
	own := members.MemberPrefix + me.Me
	t := store.Txn{
		If:     []store.Cond{me.cond(own), me.cond(members.MemberPrefix + leader)},
		Writes: []store.Write{decide.Remove(own), decide.Remove(members.FormPrefix + me.Me)},
	}
	if v := me.View(); v.Leader == me.Me {
		next := &members.View{Leader: leader, Epoch: v.Epoch + 1}
		for _, m := range v.Members {
			if m.Name != me.Me {
				next.Members = append(next.Members, m)
			}
		}
		t.If = append(t.If, me.cond(members.ViewKey))
		t.Writes = append(t.Writes, decide.Put(members.ViewKey, next))
		t.Writes = append(t.Writes, me.forgetQuiet(me.Me, 1)...)
		t.Writes = me.forgetMoreQuiet(t.Writes, me.Me)
	}
	me.viewBusy, me.leaving = true, true
	me.Client.Multi(store.Membership, t, func(epoch uint64, _ []string, err error) {
		me.viewBusy = false
		if err == nil {
			me.left = true
			me.Log.Info("place given away", "leader", leader)
			me.Mirror.Commit(t.Writes, epoch)
		}
		me.Wake()
	})
}
