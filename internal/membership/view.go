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
func (m *Membership) candidates() map[string]uint64 {
	if len(m.Batches) == 0 {
		return m.memberKeys
	}
	out := map[string]uint64{}
	for name, incarnation := range m.memberKeys {
		if f := m.capabilities[name]; f.Incarnation == incarnation && f.BatchFormat >= taskbatch.FormatVersion {
			out[name] = incarnation
		}
	}
	return out
}

func (m *Membership) changeView() {
	if m.changingView {
		return
	}
	unreachable := m.Unreachable()
	for _, name := range m.unansweredProbes {
		unreachable[name] = true
	}
	backingOff := map[string]bool{}
	for name := range m.memberKeys {
		backingOff[name] = m.backoff.Blocked(name, m.Now)
	}
	next := members.NextView(members.ViewInputs{Name: m.Name, Incarnation: m.leaseID, View: m.View(), MemberKeys: m.candidates(), Unreachable: unreachable, BackingOff: backingOff})
	if next == nil {
		return
	}
	t := store.Txn{
		Preconditions: []store.Precondition{m.precondition(members.ViewKey), m.precondition(members.MemberPrefix + m.Name)},
		Writes:        []store.Write{decide.Put(members.ViewKey, next)},
	}
	unanswered := m.unansweredProbes
	for _, name := range unanswered {
		t = m.addRemoval(t, name)
	}
	// What a member did not hear ends with its place in the view. When it comes
	// back its machines have been heard by others meanwhile: by the old list
	// hundreds of them were deleted at once (docs/incidents/ushanga-ops-ops-1.md).
	for _, name := range m.View().Removed(next) {
		t.Writes = append(t.Writes, m.removeUnresponsiveList(name, 1)...)
	}
	for _, name := range m.View().Removed(next) {
		t.Writes = m.appendFurtherListRemovals(t.Writes, name)
	}
	if v := m.View(); v != nil && v.Leader != m.Name && !slices.Contains(unanswered, v.Leader) {
		t.Preconditions = append(t.Preconditions, m.precondition(members.MemberPrefix+v.Leader))
	}
	m.changingView = true
	m.Client.Commit(store.PriorityMembership, t, func(epoch uint64, _ []string, err error) {
		m.changingView = false
		if err == nil {
			if len(unanswered) > 0 {
				m.Log.Info("left out of the view, calls unanswered", "members", unanswered)
			}
			m.Log.Info("view changed", "epoch", next.Epoch, "leader", next.Leader, "members", len(next.Members))
			m.Mirror.ApplyCommit(t.Writes, epoch)
		}
		m.Wake()
	})
}

// removeUnresponsiveList is the change that takes one of a member's lists of unresponsive machines
// away, none if there is no such list.
func (m *Membership) removeUnresponsiveList(name string, number int) []store.Write {
	if key := fleet.UnresponsiveKey(name, number); m.Mirror.Revision(key) != 0 {
		return []store.Write{decide.Remove(key)}
	}
	return nil
}

// appendFurtherListRemovals adds to a transaction's changes those that take a member's further lists
// away, as far as there is room. Without the first they count for nothing
// (fleet.UnresponsiveLists), and the member clears them itself when it comes back.
func (m *Membership) appendFurtherListRemovals(changes []store.Write, name string) []store.Write {
	for number := 2; number <= tuning.MaxUnresponsiveLists && len(changes) < m.MaxTxnWrites; number++ {
		changes = append(changes, m.removeUnresponsiveList(name, number)...)
	}
	return changes
}

// removalWrites is how many changes it takes to leave a member out: its key, what it reads,
// its call and its list of machines.
const removalWrites = 4

// maxRemovals is how many members one change of the view can leave out.
func (m *Membership) maxRemovals() int { return max(1, (m.MaxTxnWrites-1)/removalWrites) }

func (m *Membership) precondition(key string) store.Precondition {
	return store.Precondition{Key: key, Revision: m.Mirror.Revision(key)}
}

// addRemoval adds to a change of the view that a member leaves that did not answer: it holds
// only if its call still stands as it was read, and takes its key away, so that it comes
// back as a new incarnation or not at all.
func (m *Membership) addRemoval(t store.Txn, name string) store.Txn {
	call, key, form := standby.ProbePrefix+name, members.MemberPrefix+name, members.CapabilitiesPrefix+name
	t.Preconditions = append(t.Preconditions, m.precondition(call), m.precondition(key))
	t.Writes = append(t.Writes, decide.Remove(call), decide.Remove(key), decide.Remove(form))
	return t
}

// handOver hands the lead to another member.
func (m *Membership) handOver(leader string) {
	if m.changingView {
		return
	}
	v := m.View()
	next := &members.View{Leader: leader, Members: v.Members, Epoch: v.Epoch + 1}
	t := store.Txn{
		Preconditions: []store.Precondition{m.precondition(members.ViewKey), m.precondition(members.MemberPrefix + m.Name), m.precondition(members.MemberPrefix + leader)},
		Writes:        []store.Write{decide.Put(members.ViewKey, next)},
	}
	m.changingView = true
	m.Client.Commit(store.PriorityMembership, t, func(epoch uint64, _ []string, err error) {
		m.changingView = false
		if err == nil {
			m.Log.Info("lead handed over, too far behind", "leader", leader, "epoch", next.Epoch)
			m.Mirror.ApplyCommit(t.Writes, epoch)
		}
		m.Wake()
	})
}

// resignTo gives this controller's place away, the lead with it if it has it.
func (m *Membership) resignTo(leader string) {
	if m.changingView || m.resigned {
		return
	}
	own := members.MemberPrefix + m.Name
	t := store.Txn{
		Preconditions: []store.Precondition{m.precondition(own), m.precondition(members.MemberPrefix + leader)},
		Writes:        []store.Write{decide.Remove(own), decide.Remove(members.CapabilitiesPrefix + m.Name)},
	}
	if v := m.View(); v.Leader == m.Name {
		next := &members.View{Leader: leader, Epoch: v.Epoch + 1}
		for _, member := range v.Members {
			if member.Name != m.Name {
				next.Members = append(next.Members, member)
			}
		}
		t.Preconditions = append(t.Preconditions, m.precondition(members.ViewKey))
		t.Writes = append(t.Writes, decide.Put(members.ViewKey, next))
		t.Writes = append(t.Writes, m.removeUnresponsiveList(m.Name, 1)...)
		t.Writes = m.appendFurtherListRemovals(t.Writes, m.Name)
	}
	m.changingView, m.resigning = true, true
	m.Client.Commit(store.PriorityMembership, t, func(epoch uint64, _ []string, err error) {
		m.changingView = false
		if err == nil {
			m.resigned = true
			m.Log.Info("place given away", "leader", leader)
			m.Mirror.ApplyCommit(t.Writes, epoch)
		}
		m.Wake()
	})
}
