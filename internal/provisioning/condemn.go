package provisioning

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Decommission finds machines to delete, deletes them, and frees what was on
// those whose delete was answered 200.
func (re *Provisioner) Decommission() {
	c := &re.cloud
	if re.Now.Sub(re.decommissionAt) < tuning.DecommissionEvery {
		return
	}
	re.decommissionAt = re.Now
	// Machines with cancelled tasks first: there a rule hangs on it.
	ds := re.decommissionCancelled()
	ds = append(ds, re.decommissionListed()...)
	re.loseUnresponsive()
	var names []string
	// What was on many machines is freed together: tasks of one slice share a
	// write.
	free := re.Allows(0, 1) || re.Now.Sub(c.freedAt) > tuning.ReleaseLate
	if free {
		c.freedAt = re.Now
	}
	for _, m := range re.MachinesByName() {
		switch {
		case m.State == fleet.Faulty:
			ds = append(ds, re.TransitionMachine(m.Name, fleet.Decommission, "faulty")...)
		case c.freed[m.Name], m.State == fleet.Deleted: // the latter by an earlier version
			if free {
				ds = append(ds, re.removed(m)...)
			}
		case m.State == fleet.Deleting, c.lost[m.Name] != "":
			if at, ok := c.deleting[m.Name]; !ok || re.Now.Sub(at) > tuning.DeleteAgain {
				names = append(names, m.Name)
			}
		}
	}
	re.Commit(ds)
	// Tasks recorded on a machine without a record: its delete was answered
	// and the record removed, or the record cannot be read. Delete again;
	// unknown names are ignored by the cloud.
	var unknown []decide.Decision
	for h := range re.TasksOnMachine {
		if re.Machines[h] == nil && !re.Recorded(fleet.MachinePrefix+h) {
			unknown = append(unknown, re.decommissionUnknown(h, "tasks on a machine without a record")...)
		}
	}
	re.Commit(unknown)
	if len(names) == 0 || len(names) < tuning.MaxDeleteNames && re.Now.Sub(c.deleteAt) < re.deleteGap() {
		return
	}
	c.deleteAt = re.Now
	// Machines with cancelled tasks first, whose time runs out, then those with
	// others, which wait for the answer.
	sort.SliceStable(names, func(a, b int) bool { return re.deletePriority(names[a]) > re.deletePriority(names[b]) })
	if len(names) > tuning.MaxDeleteNames {
		names = names[:tuning.MaxDeleteNames]
	}
	for _, h := range names {
		c.deleting[h] = re.Now
	}
	body := jobs.Encode(map[string][]string{"hosts": names})
	re.cloudFirst("POST", "/hosts/delete", body, func(status int, _ []byte, err error) {
		for _, h := range names {
			if err == nil && status == 200 {
				delete(c.deleting, h)
				c.freed[h] = true
				c.deleted[h] = re.Now
				delete(c.listed, h)
			}
			if err == nil && status != 200 {
				// Refused, so not carried out: asked again with the next request, for the
				// cloud may be back long before an unanswered one would be repeated.
				delete(c.deleting, h)
			}
		}
		re.decommissionAt = time.Time{} // free what was on them at once
	})
}

// deletePriority tells how soon a machine should be deleted.
func (re *Provisioner) deletePriority(machine string) int {
	priority := 0
	for _, t := range re.TasksOnMachine[machine] {
		if priority = max(priority, 1); t.Job.Record != nil && t.Job.Record.State == jobs.Cancelled {
			priority = 2
		}
	}
	return priority
}

// deleteGap is the pause between two delete requests, so that deletes share
// requests where the cloud allows few.
func (re *Provisioner) deleteGap() time.Duration {
	return jobs.Seconds(1 / (re.Cluster.Cloud.RPS * tuning.DeleteShare))
}

// removed is the decisions that free the tasks of a machine whose delete was
// answered 200, and remove its record. A leader that does not know of the
// answer any more deletes again.
func (re *Provisioner) removed(m *clusterstate.Machine) []decide.Decision {
	var ds []decide.Decision
	key := fleet.MachinePrefix + m.Name
	for _, taskID := range clusterstate.SortedKeys(re.TasksOnMachine[m.Name]) {
		d := re.TaskLost(re.TasksOnMachine[m.Name][taskID], jobs.Lost, 0)
		if len(d.Changes) > 0 {
			d.ReadSet = append(d.ReadSet, key)
			ds = append(ds, d)
		}
	}
	// The record itself is in no hurry: no task is placed by it any more.
	if len(re.TasksOnMachine[m.Name]) == 0 && !re.Busy(key) &&
		(re.HasSpareWrites() || !re.Hurried() && re.Now.Sub(re.cloud.deleted[m.Name]) > tuning.RecordLate) {
		machine := m.Name
		ds = append(ds, decide.Decision{Writes: []store.Write{decide.Remove(key)}, OnSettled: func(ok bool) {
			if ok {
				delete(re.cloud.freed, machine)
				delete(re.cloud.lost, machine)
			}
		}})
	}
	return ds
}

// decommissionUnknown is the decision that gives a machine without a record one, to
// delete it.
func (re *Provisioner) decommissionUnknown(machine, why string) []decide.Decision {
	key := fleet.MachinePrefix + machine
	if re.Machines[machine] != nil || re.Busy(key) {
		return nil
	}
	l := re.cloud.listed[machine]
	rec := fleet.MachineRecord{
		State:       fleet.Deleting,
		Endpoint:    l.Endpoint,
		MachineType: l.MachineType,
		Zone:        l.Zone,
		Spot:        l.Spot,
		Reason:      why,
		SinceMs:     re.NowMs(),
	}
	return []decide.Decision{{Writes: []store.Write{decide.Put(key, rec)}, OnSettled: func(ok bool) {
		if ok {
			re.Log.Info("machine", "machine", machine, "to", string(rec.State), "why", why)
		}
	}}}
}

// decommissionListed condemns machines that never came up or have stopped.
func (re *Provisioner) decommissionListed() []decide.Decision {
	var ds []decide.Decision
	age := re.Now.Sub(re.cloud.listAt)
	for h, l := range re.cloud.listed {
		m := re.Machines[h]
		if m != nil && (m.State == fleet.Deleting || m.State == fleet.Deleted) {
			continue
		}
		why := ""
		switch {
		case l.Status == "failed":
			why = "stopped on its own"
		case m == nil && jobs.Seconds(l.AgeS)+age > re.bootLimit(l.MachineType) && !re.HasSession(h):
			why = "never came up"
		}
		switch {
		case why == "":
		case m == nil:
			ds = append(ds, re.decommissionUnknown(h, why)...)
		default:
			re.lose(m, why)
		}
	}
	slices.SortFunc(ds, func(a, b decide.Decision) int { return strings.Compare(a.Keys()[0], b.Keys()[0]) })
	return ds
}

func (re *Provisioner) bootLimit(build string) time.Duration {
	limit := tuning.MinBootSlack
	if b := re.MachineTypes[build]; b != nil {
		limit = max(limit, jobs.Seconds(b.BootS*tuning.BootSlack))
	}
	return limit
}

// lose gives a machine up that is not heard any more. That is no record: the
// cloud's answer to its delete is all that frees what was on it, and a leader
// that does not know it any more finds the machine quiet and deletes it again.
// After a wave of losses one change less for each machine is much.
func (re *Provisioner) lose(m *clusterstate.Machine, why string) {
	if c := &re.cloud; c.lost[m.Name] == "" && m.State != fleet.Deleting && m.State != fleet.Deleted {
		c.lost[m.Name] = why
		re.Log.Info("machine", "machine", m.Name, "from", string(m.State), "to", "lost", "why", why)
	}
}

// loseUnresponsive gives up machines that neither their owner nor this node has
// heard for long. Absence from the cloud's list proves nothing by itself, but
// makes waiting pointless.
func (re *Provisioner) loseUnresponsive() {
	unresponsive, all := 0, 0
	zones, owners := map[string]fleet.ZoneHealth{}, map[string]fleet.ZoneHealth{}
	for _, m := range re.Machines {
		if m.State == fleet.Deleting || m.State == fleet.Deleted {
			continue
		}
		z, o := zones[m.Zone], owners[m.Owner]
		all++
		z.All++
		o.All++
		if _, is := re.UnresponsivenessOf(m); is {
			unresponsive++
			z.Unresponsive++
			o.Unresponsive++
		}
		zones[m.Zone], owners[m.Owner] = z, o
	}
	if unresponsive == 0 {
		return
	}
	many := unresponsive > 2 && float64(unresponsive) > tuning.MaxUnresponsiveShare*float64(all)
	times := re.Cluster.Workers
	// A new leader first waits whether the workers come to it.
	fresh := re.Now.Sub(re.Since) < times.UnresponsiveAfter()
	for _, m := range re.MachinesByName() {
		h := m.Name
		silence, is := re.UnresponsivenessOf(m)
		if !is || re.Now.Sub(re.LastHeard(h)) < times.HeardFresh() {
			continue
		}
		long := min(re.Now.Sub(silence.Since), re.Now.Sub(re.Since))
		_, listed := re.cloud.listed[h]
		vanished := !listed && !re.cloud.gone[h].IsZero()
		cut := zones[m.Zone].Partitioned(tuning.MinPartitionSample, tuning.PartitionShare)
		blind := owners[m.Owner].Partitioned(tuning.MinPartitionSample, tuning.PartitionShare)
		few := !many && !cut && !blind && !fresh
		if many || cut || blind {
			re.manyAt = re.Now
		}
		switch {
		case silence.OutboundPartitioned:
			// It answers, so it has not stopped, and its tasks' ends are known without its
			// delete: it is given up once all of them have ended with its lease, and only
			// where few machines are mute (meet-mute-many) and have been for a while: of many
			// that come back, the last were deleted (meet-mute-zone).
			if few && long > times.GoneBy() && re.Now.Sub(re.manyAt) > times.UnresponsiveAfter() {
				re.lose(m, "reaches no controller")
			}
		case vanished && long > tuning.DecommissionEvery:
			re.lose(m, "silent and no longer listed")
		case few && long > tuning.UnresponsiveRecheck:
			re.lose(m, "silent")
		case !cut && long > times.GoneBy():
			re.lose(m, "silent beyond its lease")
		}
	}
}

// decommissionCancelled condemns machines that still hold a cancelled task when its
// time runs out: nobody may be able to reach them.
func (re *Provisioner) decommissionCancelled() []decide.Decision {
	limit, over := re.Cluster.CancelDelete().Milliseconds(), jobs.Seconds(re.Cluster.Workers.CancelS).Milliseconds()
	// What was over before a new leader began, or while the state service was away, has
	// ended with its lease or before, and the machine's reports say so: it is not deleted
	// for a record that nobody could free (docs/incidents/deleted-after-outage.md).
	writable := re.writableSince()
	fresh := writable < re.Cluster.Workers.UnresponsiveAfter()
	// Nor is one whose time has come meanwhile, while its owner, which hears it, may be about
	// to write what it heard, unless that is all the time that a delete has left
	// (docs/incidents/deleted-on-return.md).
	settling, last := writable < tuning.CancelSettle, re.Cluster.CancelLast().Milliseconds()
	machines := map[string]bool{}
	for _, j := range re.Closed {
		age := re.NowMs() - j.Record.EndMs
		if j.Record.State != jobs.Cancelled || age <= limit || fresh && age > over {
			continue
		}
		wait := settling && (age < last || age > over)
		for _, t := range j.Active {
			if t.OnMachine() && !(wait && re.heard(t.Machine)) {
				machines[t.Machine] = true
			}
		}
	}
	var ds []decide.Decision
	for _, h := range clusterstate.SortedKeys(machines) {
		for _, d := range re.TransitionMachine(h, fleet.Decommission, "holds a cancelled task") {
			d.Urgent = true
			ds = append(ds, d)
		}
	}
	return ds
}

// writableSince is for how long changes could be made: since this node came to lead, or
// since the state service was back.
func (re *Provisioner) writableSince() time.Duration {
	if re.downAt.After(re.Since) {
		return re.Now.Sub(re.downAt)
	}
	return re.Now.Sub(re.Since)
}

// heard tells that a machine's owner does not miss it.
func (re *Provisioner) heard(machine string) bool {
	m := re.Machines[machine]
	if m == nil {
		return false
	}
	silence, is := re.UnresponsivenessOf(m)
	return !is || silence.OutboundPartitioned
}
