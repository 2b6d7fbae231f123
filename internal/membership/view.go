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

// removalWrites is how many writes it takes to remove a member from the view: its member key, its
// capabilities, its probe and its first list of unresponsive machines.
const removalWrites = 4

// maxRemovals returns how many members one change of the view can remove.
func (m *Membership) maxRemovals() int { return max(1, (m.config.MaxTxnWrites-1)/removalWrites) }

// nextView returns the view that this controller should write now, or nil.
func (m *Membership) nextView() *members.View {
	unreachable := m.cluster.Unreachable()
	for _, name := range m.unansweredProbes {
		unreachable[name] = true
	}
	backingOff := map[string]bool{}
	for name := range m.memberKeys {
		backingOff[name] = m.backoff.Blocked(name, m.state.Now)
	}
	return members.NextView(members.ViewInputs{
		Name:        m.config.Name,
		Incarnation: m.leaseID,
		View:        m.cluster.View(),
		MemberKeys:  m.candidates(),
		Unreachable: unreachable,
		BackingOff:  backingOff,
	})
}

// candidates returns the member keys without those of controllers that cannot read what is stored:
// in the view they would take tasks in batch records for tasks that nobody knows.
func (m *Membership) candidates() map[string]uint64 {
	if len(m.state.Batches) == 0 {
		return m.memberKeys
	}
	out := map[string]uint64{}
	for name, incarnation := range m.memberKeys {
		c := m.capabilities[name]
		if c.Incarnation == incarnation && c.BatchFormat >= taskbatch.FormatVersion {
			out[name] = incarnation
		}
	}
	return out
}

// changeView writes the next view, if there is something to change and it is this controller's turn.
func (m *Membership) changeView() {
	if m.changingView {
		return
	}
	next := m.nextView()
	if next == nil {
		return
	}
	unanswered := m.unansweredProbes
	m.commitView(m.viewTxn(next, unanswered), func() {
		if len(unanswered) > 0 {
			m.config.Log.Info("members removed from view", "members", unanswered, "reason", "probe unanswered")
		}
		m.config.Log.Info("view changed", "epoch", next.Epoch, "leader", next.Leader, "members", len(next.Members))
	})
}

// viewTxn returns the transaction that changes the view and removes the members whose probes are
// unanswered.
func (m *Membership) viewTxn(next *members.View, unanswered []string) store.Txn {
	t := store.Txn{
		Preconditions: []store.Precondition{
			m.precondition(members.ViewKey),
			m.precondition(members.MemberPrefix + m.config.Name),
		},
		Writes: []store.Write{decide.Put(members.ViewKey, next)},
	}
	for _, name := range unanswered {
		t = m.addRemoval(t, name)
	}
	view := m.cluster.View()
	t.Writes = m.appendUnresponsiveRemovals(t.Writes, view.Removed(next))
	if view != nil && view.Leader != m.config.Name && !slices.Contains(unanswered, view.Leader) {
		t.Preconditions = append(t.Preconditions, m.precondition(members.MemberPrefix+view.Leader))
	}
	return t
}

// commitView commits a change of the view; only one is under way at a time. succeeded is called
// before the mirror has the change.
func (m *Membership) commitView(t store.Txn, succeeded func()) {
	m.changingView = true
	m.client.Commit(store.PriorityMembership, t, func(epoch uint64, _ []string, err error) {
		m.changingView = false
		if err == nil {
			succeeded()
			m.mirror.ApplyCommit(t.Writes, epoch)
		}
		m.loop.Wake()
	})
}

// addRemoval adds to a change of the view the removal of a member that did not answer: it holds
// only if the probe still stands as it was read, and takes the member key away, so that the member
// comes back as a new incarnation or not at all.
func (m *Membership) addRemoval(t store.Txn, name string) store.Txn {
	probeKey := standby.ProbePrefix + name
	memberKey := members.MemberPrefix + name
	capabilitiesKey := members.CapabilitiesPrefix + name
	t.Preconditions = append(t.Preconditions, m.precondition(probeKey), m.precondition(memberKey))
	t.Writes = append(t.Writes, decide.Remove(probeKey), decide.Remove(memberKey), decide.Remove(capabilitiesKey))
	return t
}

// appendUnresponsiveRemovals adds to a transaction's writes those that take the lists of
// unresponsive machines of members away that leave the view. When a member comes back its machines
// have been heard by others meanwhile: by the old list hundreds of them were deleted at once
// (docs/incidents/ushanga-ops-ops-1.md). The first lists of all members come first; the further ones
// follow as far as there is room. Without the first they count for nothing
// (fleet.UnresponsiveLists), and the member clears them itself when it comes back.
func (m *Membership) appendUnresponsiveRemovals(writes []store.Write, names []string) []store.Write {
	for _, name := range names {
		writes = m.appendUnresponsiveRemoval(writes, name, 1)
	}
	for _, name := range names {
		for number := 2; number <= tuning.MaxUnresponsiveLists && len(writes) < m.config.MaxTxnWrites; number++ {
			writes = m.appendUnresponsiveRemoval(writes, name, number)
		}
	}
	return writes
}

// appendUnresponsiveRemoval adds the write that takes one of a member's lists of unresponsive
// machines away, if there is such a list.
func (m *Membership) appendUnresponsiveRemoval(writes []store.Write, name string, number int) []store.Write {
	if key := fleet.UnresponsiveKey(name, number); m.mirror.Revision(key) != 0 {
		writes = append(writes, decide.Remove(key))
	}
	return writes
}

// handOver hands the lead to another member.
func (m *Membership) handOver(leader string) {
	if m.changingView {
		return
	}
	view := m.cluster.View()
	next := &members.View{Leader: leader, Members: view.Members, Epoch: view.Epoch + 1}
	t := store.Txn{
		Preconditions: []store.Precondition{
			m.precondition(members.ViewKey),
			m.precondition(members.MemberPrefix + m.config.Name),
			m.precondition(members.MemberPrefix + leader),
		},
		Writes: []store.Write{decide.Put(members.ViewKey, next)},
	}
	m.commitView(t, func() {
		m.config.Log.Info("leadership handed over", "leader", leader, "epoch", next.Epoch, "reason", "lagging")
	})
}

// Resign has this controller give up its place in the view, in the next calls of Reconcile.
func (m *Membership) Resign() { m.standby.Resign() }

// resignTo gives up this controller's place, and the lead with it if it leads.
func (m *Membership) resignTo(leader string) {
	if m.changingView || m.resigned {
		return
	}
	memberKey := members.MemberPrefix + m.config.Name
	t := store.Txn{
		Preconditions: []store.Precondition{
			m.precondition(memberKey),
			m.precondition(members.MemberPrefix + leader),
		},
		Writes: []store.Write{
			decide.Remove(memberKey),
			decide.Remove(members.CapabilitiesPrefix + m.config.Name),
		},
	}
	if view := m.cluster.View(); view.Leader == m.config.Name {
		t.Preconditions = append(t.Preconditions, m.precondition(members.ViewKey))
		t.Writes = append(t.Writes, decide.Put(members.ViewKey, m.viewWithoutSelf(view, leader)))
		t.Writes = m.appendUnresponsiveRemovals(t.Writes, []string{m.config.Name})
	}
	m.resigning = true
	m.commitView(t, func() {
		m.resigned = true
		m.config.Log.Info("membership resigned", "leader", leader)
	})
}

// viewWithoutSelf returns the view that follows this controller's resignation.
func (m *Membership) viewWithoutSelf(view *members.View, leader string) *members.View {
	next := &members.View{Leader: leader, Epoch: view.Epoch + 1}
	for _, member := range view.Members {
		if member.Name != m.config.Name {
			next.Members = append(next.Members, member)
		}
	}
	return next
}
