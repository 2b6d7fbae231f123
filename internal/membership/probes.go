package membership

import (
	"encoding/json"
	"time"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
)

// PeerDisconnected takes in that the connection to a peer ended.
func (me *Membership) PeerDisconnected(name string) {
	if me.AnswersProbes && me.View() != nil && me.View().Incarnation(name) != 0 {
		me.standby.ConnectionEnded(name, me.Now)
		me.Wake()
	}
}

// PeerAlive takes in that a peer spoke.
func (me *Membership) PeerAlive(name string) { me.standby.PeerAlive(name) }

// ApplyProbe takes in a call, nil for one that is gone.
func (me *Membership) ApplyProbe(name string, value json.RawMessage) {
	if c, ok := standby.DecodeProbe(value); ok {
		me.probes[name] = c
		me.standby.ProbeObserved(name, c, me.Now)
	} else {
		delete(me.probes, name)
		me.standby.ProbeRemoved(name)
	}
	me.Wake()
}

// Standby is the state of its readiness, and how many calls were answered so far.
func (me *Membership) Standby() (state standby.State, falseAlarms int) {
	return me.standby.State, me.standby.FalseAlarms
}

// SuccessionOrder is its place among those that are to follow the leader, -1 if it has none.
func (me *Membership) SuccessionOrder() int { return me.standby.SuccessionOrder }

// Resign has this controller give its place away.
func (me *Membership) Resign() { me.standby.Resign() }

// evaluateStandby has the standby look at how things are, and does what it says.
func (me *Membership) evaluateStandby() {
	me.unansweredProbes = nil
	v := me.View()
	x := standby.ClusterStatus{Now: me.Now, Name: me.Name, Probes: me.probes, StoreUnavailable: me.Client.Unavailable()}
	if v != nil {
		x.InView = me.Live() && me.Certain() && v.Incarnation(me.Name) == me.leaseID && me.leaseID != 0
		x.Leader = v.Leader
		for _, m := range v.Members {
			f := me.capabilities[m.Name]
			x.Members = append(x.Members, standby.Member{Name: m.Name, Incarnation: m.Incarnation, Zone: me.ZoneOf[m.Name], AnswersProbes: f.Incarnation == m.Incarnation && f.AnswersProbes})
		}
	}
	x.Lag, x.PendingChecks, x.WatchBehind = me.Lag(), me.Unchecked(), me.Mirror.Epoch < me.lastProbeEpoch
	since := me.standby.Since
	acts, changed := me.standby.Evaluate(x)
	if changed {
		me.Log.Debug("standby", "state", string(me.standby.State), "why", me.standby.Reason, "after_ms", me.Now.Sub(since).Milliseconds())
	}
	for _, a := range acts {
		switch a.Kind {
		case standby.ActionProbe:
			me.probe(a.Names, a.Wait)
		case standby.ActionAnswer:
			me.answerProbe()
		case standby.ActionRemove:
			me.unansweredProbes = a.Names[:min(len(a.Names), me.maxRemovals())]
		case standby.ActionResign:
			me.resignTo(a.Names[0])
		case standby.ActionHandOver:
			me.handOver(a.Names[0])
		}
	}
}

// probe writes calls. What it goes by is in the conditions: the view, this controller's
// key, and the keys of those that are called.
func (me *Membership) probe(names []string, wait time.Duration) {
	if me.probing {
		return
	}
	names = names[:min(len(names), me.maxRemovals())]
	t := store.Txn{Preconditions: []store.Precondition{me.precondition(members.ViewKey), me.precondition(members.MemberPrefix + me.Name)}}
	for _, name := range names {
		key := standby.ProbePrefix + name
		t.Preconditions = append(t.Preconditions, me.precondition(members.MemberPrefix+name), me.precondition(key))
		t.Writes = append(t.Writes, decide.Put(key, standby.Probe{Incarnation: me.View().Incarnation(name), By: me.Name, WaitMs: wait.Milliseconds()}))
	}
	me.probing = true
	me.Client.Commit(store.PriorityMembership, t, func(epoch uint64, _ []string, err error) {
		me.probing = false
		if err == nil {
			me.Log.Info("called, their connections ended", "members", names, "wait_ms", wait.Milliseconds())
			me.Mirror.ApplyCommit(t.Writes, epoch)
			me.lastProbeEpoch = epoch
		}
		me.Wake()
	})
}

// answerProbe removes the call of this controller.
func (me *Membership) answerProbe() {
	if me.answeringProbe {
		return
	}
	me.answeringProbe = true
	key := standby.ProbePrefix + me.Name
	t := store.Txn{Preconditions: []store.Precondition{me.precondition(key)}, Writes: []store.Write{decide.Remove(key)}}
	me.Client.Commit(store.PriorityMembership, t, func(epoch uint64, _ []string, err error) {
		me.answeringProbe = false
		if err == nil {
			me.Log.Info("answered a call")
			me.Mirror.ApplyCommit(t.Writes, epoch)
		}
	})
}
