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

// removalWrites is the number of writes needed to remove a member from the view: its member key,
// its capabilities, its probe and its first list of unresponsive machines.
const removalWrites = 4

// maxRemovals returns how many members a single change of the view can remove.
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
	uptime := m.backoff.Uptime(m.config.Name, m.state.Now)
	return members.NextView(members.ViewInputs{
		Name:            m.config.Name,
		Incarnation:     m.leaseID,
		View:            m.cluster.View(),
		MemberKeys:      m.candidates(),
		Unreachable:     unreachable,
		BackingOff:      backingOff,
		RecentlyStarted: uptime < tuning.TakeoverDeference,
	})
}

// candidates returns the member keys of the controllers that can read all stored records. A
// controller in the view that could not read batch records would treat the tasks in them as
// unknown.
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

// changeView writes the next view if there is one and it is this controller's turn.
func (m *Membership) changeView() {
	if m.changingView {
		return
	}
	next := m.nextView()
	if next == nil {
		return
	}
	unanswered := m.unansweredProbes
	previous := m.cluster.View()
	m.commitView(m.viewTxn(next, unanswered), func() {
		if len(unanswered) > 0 {
			m.config.Log.Info("members removed from view", "members", unanswered, "reason", "probe unanswered")
		}
		m.config.Log.Info("view changed",
			"epoch", next.Epoch,
			"leader", next.Leader,
			"members", len(next.Members),
			"joined", previous.Joined(next),
			"left", previous.Removed(next),
		)
	})
}

// viewTxn returns the transaction that changes the view and removes the members that left their
// probes unanswered.
func (m *Membership) viewTxn(next *members.View, unanswered []string) store.Txn {
	txn := store.Txn{
		Preconditions: []store.Precondition{
			m.precondition(members.ViewKey),
			m.precondition(members.MemberPrefix + m.config.Name),
		},
		Writes: []store.Write{decide.Put(members.ViewKey, next)},
	}
	for _, name := range unanswered {
		txn = m.addRemoval(txn, name)
	}
	view := m.cluster.View()
	txn.Writes = m.appendUnresponsiveRemovals(txn.Writes, view.Removed(next))
	if view != nil && view.Leader != m.config.Name && !slices.Contains(unanswered, view.Leader) {
		txn.Preconditions = append(txn.Preconditions, m.precondition(members.MemberPrefix+view.Leader))
	}
	return txn
}

// commitView commits a change of the view. Only one change may be in flight. succeeded is called
// before the change is applied to the mirror.
func (m *Membership) commitView(txn store.Txn, succeeded func()) {
	m.changingView = true
	m.client.Commit(store.PriorityMembership, txn, func(epoch uint64, _ []string, err error) {
		m.changingView = false
		if err == nil {
			succeeded()
			m.mirror.ApplyCommit(txn.Writes, epoch)
		}
		m.loop.Wake()
	})
}

// addRemoval adds the removal of a member that did not answer its probe to a change of the view.
// The transaction succeeds only if the probe is unchanged, and it deletes the member key, so that
// the member can only come back as a new incarnation.
func (m *Membership) addRemoval(txn store.Txn, name string) store.Txn {
	probeKey := standby.ProbePrefix + name
	memberKey := members.MemberPrefix + name
	capabilitiesKey := members.CapabilitiesPrefix + name
	txn.Preconditions = append(txn.Preconditions, m.precondition(probeKey), m.precondition(memberKey))
	txn.Writes = append(txn.Writes, decide.Remove(probeKey), decide.Remove(memberKey), decide.Remove(capabilitiesKey))
	return txn
}

// appendUnresponsiveRemovals adds writes that delete the lists of unresponsive machines of members
// that leave the view. By the time a member comes back, other controllers have received heartbeats
// from its machines; acting on the old list once deleted hundreds of them at once
// (docs/incidents/ushanga-ops-ops-1.md). The first lists of all members come first, followed by as
// many further lists as fit. Further lists have no effect without the first
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

// appendUnresponsiveRemoval adds the write that deletes one of a member's lists of unresponsive
// machines, if the list exists.
func (m *Membership) appendUnresponsiveRemoval(writes []store.Write, name string, number int) []store.Write {
	if key := fleet.UnresponsiveKey(name, number); m.mirror.Revision(key) != 0 {
		writes = append(writes, decide.Remove(key))
	}
	return writes
}

// handOver transfers leadership to another member.
func (m *Membership) handOver(leader string) {
	if m.changingView {
		return
	}
	view := m.cluster.View()
	next := &members.View{Leader: leader, Members: view.Members, Epoch: view.Epoch + 1}
	txn := store.Txn{
		Preconditions: []store.Precondition{
			m.precondition(members.ViewKey),
			m.precondition(members.MemberPrefix + m.config.Name),
			m.precondition(members.MemberPrefix + leader),
		},
		Writes: []store.Write{decide.Put(members.ViewKey, next)},
	}
	m.commitView(txn, func() {
		m.config.Log.Info("leadership handed over", "leader", leader, "epoch", next.Epoch, "reason", "lagging")
	})
}

// Resign makes this controller leave the view in subsequent calls of Reconcile.
func (m *Membership) Resign() { m.standby.Resign() }

// resignTo removes this controller from the membership. If it leads, it also makes the given member
// the leader.
func (m *Membership) resignTo(leader string) {
	if m.changingView || m.resigned {
		return
	}
	memberKey := members.MemberPrefix + m.config.Name
	txn := store.Txn{
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
		txn.Preconditions = append(txn.Preconditions, m.precondition(members.ViewKey))
		txn.Writes = append(txn.Writes, decide.Put(members.ViewKey, m.viewWithoutSelf(view, leader)))
		txn.Writes = m.appendUnresponsiveRemovals(txn.Writes, []string{m.config.Name})
	}
	m.resigning = true
	m.commitView(txn, func() {
		m.resigned = true
		m.config.Log.Info("membership resigned", "leader", leader)
	})
}

// viewWithoutSelf returns the next view, without this controller and led by the given member.
func (m *Membership) viewWithoutSelf(view *members.View, leader string) *members.View {
	next := &members.View{Leader: leader, Epoch: view.Epoch + 1}
	for _, member := range view.Members {
		if member.Name != m.config.Name {
			next.Members = append(next.Members, member)
		}
	}
	return next
}
