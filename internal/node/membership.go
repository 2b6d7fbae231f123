package node

import (
	"errors"
	"time"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func (n *Node) memberTTL() time.Duration { return jobs.Seconds(n.set.Operator.MemberTTLS) }

// budget sets this node's share of the state service's limits, which the live
// members divide among them: what a silent one leaves is there for the others.
// Where views differ for a moment the limits may be passed; the state service
// then refuses, and the call is sent again.
func (n *Node) budget() {
	share, writes := 1.0, 1.0
	size := n.set.Cluster.Size
	if n.role != members.Outside {
		size = len(n.view.Members)
	}
	if size > 1 {
		share = (1 - tuning.LeaderShare) / float64(size-1)
		writes = share * tuning.WriteOvercommit
		if n.role == members.Leader {
			share, writes = tuning.LeaderShare, tuning.LeaderShare*tuning.LeaderOvercommit
		}
	}
	limit := n.set.Cluster.State.WriteRPS * tuning.StateBudget
	n.client.SetBudget(n.set.Cluster.State.RPS*share*tuning.StateBudget, limit*writes, limit)
	n.front.RunBudget()
}

// stoodStill takes note that the loop did not run for so long. What it measured
// meanwhile says nothing: nobody is judged silent for time in which this node
// did not listen. After a gap that its lease may not have outlived it decides
// nothing, and vouches for nothing, until it knows its place in the view again:
// a leader that woke under another one would rent and delete by an old picture.
// What runs out by itself, such as a cancelled task's time, runs on.
func (n *Node) stoodStill(gap time.Duration) {
	n.log.Info("stood still", "for_ms", gap.Milliseconds())
	n.part.StoodStill(gap)
	n.sight.Forget()
	n.rental.Since = n.Now
	if gap < n.memberTTL()-tuning.MemberRenew-tuning.Standstill/2 {
		return
	}
	n.renewedAt, n.wokeAt = time.Time{}, n.Now
	n.certain = n.certain.Next(members.StandingEvent{Kind: members.StoodStill})
}

// settled notes that the lease stands, by an answer to what was asked then. An
// answer from before this node last stood still proves nothing.
func (n *Node) settled(asked time.Time) {
	if asked.Before(n.wokeAt) {
		return
	}
	n.certain = n.certain.Next(members.StandingEvent{Kind: members.LeaseSettled})
	n.keepCertain()
}

// keepCertain reads the epoch that the mirror must reach before this node is
// certain of its place again.
func (n *Node) keepCertain() {
	n.certain = n.certain.Next(members.StandingEvent{Kind: members.FollowedTo, Epoch: n.mirror.Epoch})
	if n.certain.Standing != members.Settled || n.asking {
		return
	}
	n.asking = true
	asked := n.Now
	n.client.Epoch(store.Membership, func(epoch uint64, err error) {
		n.asking = false
		// What was asked before a later standstill says nothing of it.
		if err == nil && !asked.Before(n.wokeAt) {
			n.certain = n.certain.Next(members.StandingEvent{Kind: members.EpochRead, Epoch: epoch})
			n.followNow()
		}
		n.dirty = true
	})
}

// unsure tells whether this node must not speak for the controllers now. During
// an outage of the state service it goes on answering workers: no other node
// can have been given its machines by then, or their batons show it.
func (n *Node) unsure() bool { return n.certain.Standing != members.Sure && !n.client.Down() }

// keepMembership holds the lease, the member key and, where it falls to this
// node, the view.
func (n *Node) keepMembership() {
	switch {
	case n.granting:
	case n.hold == 0:
		n.granting = true
		n.renewedAt = n.Now
		asked := n.Now
		n.client.Grant(n.memberTTL(), func(hold uint64, err error) {
			n.granting = false
			if err == nil {
				n.hold = hold
				n.settled(asked)
				n.putMember()
			}
		})
	case n.Now.Sub(n.renewedAt) >= tuning.MemberRenew:
		n.renewedAt = n.Now
		hold, asked := n.hold, n.Now
		n.client.Renew(hold, func(err error) {
			if err == nil && n.hold == hold {
				n.settled(asked)
			}
			if errors.Is(err, store.ErrGone) && n.hold == hold {
				// A new lease is a new incarnation and thus a new epoch.
				n.log.Info("membership lease ended")
				n.hold = 0
			}
		})
	}
	n.keepCertain()
	if !n.sync.live || n.hold == 0 || n.client.Down() || n.certain.Standing != members.Sure {
		return
	}
	if n.memberInc(n.set.NodeName) != n.hold {
		n.putMember()
		return
	}
	n.changeView()
}

func (n *Node) memberInc(name string) uint64 { return n.keys[name] }

func (n *Node) putMember() {
	if n.busy[members.MemberPrefix] {
		return
	}
	n.busy[members.MemberPrefix] = true
	hold := n.hold
	w := store.Write{Put: members.MemberPrefix + n.set.NodeName, Value: jobs.Encode(hold), Hold: hold}
	n.client.Multi(store.Membership, store.Txn{Writes: []store.Write{w}}, func(epoch uint64, _ []string, err error) {
		delete(n.busy, members.MemberPrefix)
		if errors.Is(err, store.ErrRefused) && n.hold == hold {
			n.hold = 0 // no such lease
		}
		if err == nil {
			n.mirror.Put(w.Put, w.Value, epoch)
			n.dirty = true
		}
	})
}

func (n *Node) changeView() {
	if n.viewBusy {
		return
	}
	next := members.Next(members.Situation{Me: n.set.NodeName, Inc: n.hold, View: n.view, Keys: n.keys, Out: n.sight.Unreachable()})
	if next == nil {
		return
	}
	own := members.MemberPrefix + n.set.NodeName
	t := store.Txn{
		If:     []store.Cond{{Key: members.ViewKey, Stamp: n.mirror.Stamp(members.ViewKey)}, {Key: own, Stamp: n.mirror.Stamp(own)}},
		Writes: []store.Write{decide.Put(members.ViewKey, next)},
	}
	// What a member did not hear ends with its place in the view. When it comes
	// back its machines have been heard by others meanwhile: by the old list
	// hundreds of them were deleted at once (docs/incidents/ushanga-ops-ops-1.md).
	for _, name := range n.view.Left(next) {
		if key := fleet.QuietPrefix + name; n.mirror.Stamp(key) != 0 {
			t.Writes = append(t.Writes, decide.Remove(key))
		}
	}
	if n.view != nil && n.view.Leader != n.set.NodeName {
		key := members.MemberPrefix + n.view.Leader
		t.If = append(t.If, store.Cond{Key: key, Stamp: n.mirror.Stamp(key)})
	}
	n.viewBusy = true
	n.client.Multi(store.Membership, t, func(epoch uint64, _ []string, err error) {
		n.viewBusy = false
		if err == nil {
			n.log.Info("view changed", "epoch", next.Epoch, "leader", next.Leader, "members", len(next.Members))
			n.mirror.Commit(t.Writes, epoch)
		}
		n.dirty = true
	})
}

// updateRole follows the view: a new epoch starts every session anew.
func (n *Node) updateRole() {
	role := members.RoleOf(n.view, n.set.NodeName, n.hold)
	epoch := uint64(0)
	if n.view != nil {
		epoch = n.view.Epoch
	}
	if role == n.role && epoch == n.roleEpoch {
		return
	}
	if role != n.role {
		n.log.Info("role", "role", string(role), "epoch", epoch)
	}
	if (role == members.Leader) != (n.role == members.Leader) {
		// What a leader keeps must not outlive its view, here either: a machine
		// that it gave up may be in use under the next one.
		n.lead.reset()
		n.queue.Reset()
		n.rental.Reset()
	}
	n.role, n.roleEpoch = role, epoch
	n.budget()
	if role == members.Outside {
		return
	}
	n.part.NewView()
	n.sight.Forget()
}
