package node

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// PeerEnded takes in that the connection to a peer ended or was refused.
func (n *Node) PeerEnded(name string) { n.member.PeerEnded(name) }

// Standby is the state of this node's readiness, and how many calls were answered.
func (n *Node) Standby() (standby.State, int) { return n.member.Standby() }

// Turn is this node's place among those that are to follow the leader, -1 if none.
func (n *Node) Turn() int { return n.member.Turn() }

// clocked takes note of how late the loop's clock comes round.
func (n *Node) clocked() {
	if !n.pulsed.IsZero() {
		over := max(0, n.Now.Sub(n.pulsed)-2*tuning.Pulse)
		n.tardy = max(over, n.tardy*3/4)
	}
	n.pulsed = n.Now
}

// lag is how far this node is behind, with its own loop or with the watch.
func (n *Node) lag() time.Duration {
	lag := n.tardy
	if !n.behind.IsZero() {
		lag = max(lag, n.Now.Sub(n.behind)-tuning.Pulse)
	}
	return lag
}

// follow reads along with the cloud while this node is among the first to lead.
func (n *Node) follow() {
	if state, _ := n.member.Standby(); state == standby.Warm && n.set.Operator.FollowCloud {
		n.rental.Follow(n.member.Turn())
	}
}

// check notes what this node has checked as a leader. The state service is asked for
// nothing: each check is of what the node knows or waits for anyway.
func (n *Node) check() {
	if n.role != members.Leader {
		return
	}
	n.checks.Begin(n.roleEpoch, n.Now)
	if n.checks.Done() {
		return
	}
	for _, c := range []struct {
		check standby.Check
		holds bool
	}{
		{standby.Placed, n.member.Sure()},
		{standby.Reached, n.mirror.Epoch >= n.mirror.Stamp(members.ViewKey)},
		{standby.Fenced, !n.commits.Fencing()},
		{standby.Quotas, n.front.QuotaSettled()},
		{standby.Types, n.rental.Priced()},
		{standby.Listed, n.rental.Listed()},
		{standby.Hires, n.rental.Counted()},
	} {
		if first, after := n.checks.Note(c.check, c.holds, n.Now); first {
			n.log.Debug("checked", "what", string(c.check), "after_ms", after.Milliseconds(), "epoch", n.roleEpoch)
			if n.checks.Done() {
				n.log.Info("leads, all checked", "epoch", n.roleEpoch, "after_ms", after.Milliseconds())
			}
		}
	}
}

// unchecked is what a leader has still to check.
func (n *Node) unchecked() []standby.Check {
	if n.role != members.Leader {
		return nil
	}
	return n.checks.Left()
}

// Leave has this node give its place away, in order: users are sent elsewhere first,
// then the lead passes on, and the place in the view with it.
func (n *Node) Leave() {
	if n.leaving.IsZero() {
		n.leaving = n.Now
		n.log.Info("leaving")
	}
}

// keepLeaving gives the place away once the load balancer sends nobody here any more.
func (n *Node) keepLeaving() {
	if !n.leaving.IsZero() && n.Now.Sub(n.leaving) >= tuning.LeaveUsers {
		n.member.Leave()
	}
}

// Left tells whether this node may end: nothing hangs on it any more, or it has tried for
// long enough.
func (n *Node) Left() bool {
	if n.leaving.IsZero() {
		return false
	}
	alone := n.view != nil && len(n.view.Members) == 1
	return n.role == members.Outside || alone || n.Now.Sub(n.leaving) >= tuning.LeaveUsers+tuning.LeaveWithin
}
