package provisioning

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/autoscaler"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/queue"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// kind is one thing the cloud rents.
type kind struct {
	fleet.Group
	site string
}

func (k kind) String() string { return k.Group.String() + "@" + k.site }

// price is what a machine of a group costs an hour.
func (re *Provisioner) price(g fleet.Group) float64 {
	b := re.cloud.catalog[g.MachineType]
	if b == nil {
		return math.Inf(1)
	}
	if g.Spot {
		return b.SpotHourly
	}
	return b.Hourly
}

// cheapest is the group and zone where a waiting task costs least, of those
// that the cloud has not just refused.
//
// A task that can wait does not make it buy much dearer than what it would
// take if the cloud had it.
func (re *Provisioner) cheapest(r *jobs.Record, zones map[string]int, counts map[kind]int) (kind, bool) {
	spec := &r.Spec
	best, found, cost := kind{}, false, math.Inf(1)
	least := math.Inf(1)
	for name, b := range re.cloud.catalog {
		share := spec.Resources().ShareOf(b.Capacity())
		if share > 1+1e-9 || !spec.AllowsMachineType(name) {
			continue
		}
		for _, spot := range []bool{false, true} {
			if spot && (!spec.Spot || b.SpotHourly <= 0) {
				continue
			}
			for _, zone := range b.Zones {
				k := kind{fleet.Group{MachineType: name, Spot: spot}, zone}
				if !spec.Allows(name, zone, spot) || !clusterstate.ZoneAllowed(spec, zones, zone) {
					continue
				}
				// Whole tasks per machine: what a task really costs there.
				fit := math.Floor(1/share + 1e-9)
				c := re.price(k.Group) / fit
				least = min(least, c)
				if re.Now.Before(re.cloud.refused[k.String()]) {
					continue
				}
				if c < cost-1e-9 ||
					(c < cost+1e-9 && found && (counts[k] < counts[best] || counts[k] == counts[best] && k.String() < best.String())) {
					best, found, cost = k, true, c
				}
			}
		}
	}
	// A gang gathers room that stands idle until it is whole: it is not kept for a price.
	if j := re.Jobs[r.Spec.ID]; found && cost > least*tuning.PatientPrice &&
		!(j != nil && spec.IsGang() && re.Queue.Overdue(j)) {
		margin := jobs.Seconds(
			re.cloud.catalog[best.MachineType].BootS+spec.ExpectedDurationS/2,
		) + 2*jobs.Seconds(
			re.Operator.StepS,
		)
		if re.Queue.StartBy(r, false)-re.NowMs() > margin.Milliseconds() {
			return kind{}, false
		}
	}
	return best, found
}

// bootLate is the age from which a machine that has not come up is overdue.
func (re *Provisioner) bootLate(build string) time.Duration {
	late := tuning.MinBootSlack
	if b := re.MachineTypes[build]; b != nil {
		late = max(late, jobs.Seconds(b.BootS*tuning.BootLate))
	}
	return late
}

// supplyOf lists the machines that count as supply: with a record in use, or
// listed and booting in time, or asked for and not yet listed until the boot time has
// passed.
func (re *Provisioner) supplyOf() (counts map[kind]int, booting map[kind]int) {
	counts, booting = map[kind]int{}, map[kind]int{}
	c := &re.cloud
	for h, m := range re.Machines {
		if re.InUse(m) {
			if _, draining := re.Summary.Drain[h]; !draining {
				counts[kind{fleet.Group{MachineType: m.MachineType, Spot: m.Spot}, m.Zone}]++
			}
		}
	}
	age := re.Now.Sub(c.listAt)
	for h, l := range c.listed {
		// An overdue one may never come; a replacement is rented before the
		// queue suffers, and the late one is used or returned if it comes.
		if re.Machines[h] == nil && (l.Status == "booting" || l.Status == "running") &&
			jobs.Seconds(l.AgeS)+age <= re.bootLate(l.MachineType) {
			k := kind{fleet.Group{MachineType: l.MachineType, Spot: l.Spot}, l.Zone}
			counts[k]++
			booting[k]++
		}
	}
	taken := map[string]bool{}
	for _, a := range c.asked {
		for _, h := range a.Hosts {
			taken[h] = true
		}
	}
	for _, a := range c.asked {
		// A list read long enough after the request has what there is: a
		// machine that it lacks was returned or lost meanwhile, perhaps by an
		// earlier leader, and must not count.
		if c.listAt.UnixMilli()-a.AtMs > re.listSure().Milliseconds() ||
			re.NowMs()-a.AtMs > re.bootLimit(a.Build).Milliseconds() {
			continue
		}
		k := kind{fleet.Group{MachineType: a.Build, Spot: a.Loaner}, a.Site}
		for _, h := range a.Hosts {
			if _, listed := c.listed[h]; !listed && re.Machines[h] == nil && c.gone[h].IsZero() && c.deleted[h].IsZero() {
				counts[k]++
				booting[k]++
			}
		}
		if len(a.Hosts) == 0 {
			// Unanswered, or answered to a leader that has ended. Its machines come all
			// the same: left out of those that boot, the queue would be rented for a
			// second time (docs/incidents/rented-twice.md).
			left := a.Count - re.cameOf(&a, taken)
			counts[k] += left
			booting[k] += left
		}
	}
	return counts, booting
}

// cameOf counts the listed machines that an unanswered rent may have brought, by their
// kind and age, each for one rent only.
func (re *Provisioner) cameOf(a *asked, taken map[string]bool) int {
	c := &re.cloud
	lag := jobs.Seconds(2 * re.Cluster.Cloud.ListLagS)
	at := time.UnixMilli(a.AtMs)
	came := 0
	for _, h := range clusterstate.SortedKeys(c.listed) {
		l := c.listed[h]
		if came == a.Count || taken[h] || l.MachineType != a.Build || l.Zone != a.Site || l.Spot != a.Loaner {
			continue
		}
		// The age is that at the time which the list describes.
		born := c.listAt.Add(-jobs.Seconds(l.AgeS))
		if born.After(at.Add(-tuning.ListSlack)) && born.Add(-lag).Before(at.Add(tuning.ListSlack)) {
			taken[h] = true
			came++
		}
	}
	return came
}

// listSure is the time after which a machine must be in the cloud's list.
func (re *Provisioner) listSure() time.Duration {
	return jobs.Seconds(2*re.Cluster.Cloud.ListLagS) + tuning.ListSlack
}

// queuedFor is how many machines of a group the waiting tasks would fill that
// may go there, by share.
func (re *Provisioner) queuedFor(g fleet.Group, waiting []*queue.Waiting, fits map[*queue.Waiting]int) float64 {
	b := re.MachineTypes[g.MachineType]
	if b == nil {
		return 0
	}
	sum := 0.0
	for _, w := range waiting {
		spec := &w.Task.Job.Record.Spec
		if w.Gathers {
			continue // its need is demand, and what is kept for it as well; no more stays for it
		}
		if share := spec.Resources().
			ShareOf(b.Capacity()); share <= 1+1e-9 && spec.AllowsMachineType(g.MachineType) &&
			(spec.Spot || !g.Spot) {
			sum += share * float64(w.Count-fits[w])
		}
	}
	return sum
}

// scalerStep plans each group and acts on the plan's first step.
func (re *Provisioner) scalerStep() {
	c := &re.cloud
	op := re.Operator
	c.steps++
	counts, booting := re.supplyOf()

	waiting := map[string]int{}
	for _, w := range re.Queue.StillWaiting() {
		waiting[w.Task.Job.Record.Spec.Class] += w.Count
	}
	re.Log.Debug("queue",
		"waiting", fmt.Sprint(waiting), "jobs", len(re.Queued), "released", len(re.Released),
		"under_way", len(re.Reservations), "calls_held", re.WaitingCalls(), "spare", re.HasSpareWrites())

	// Booked room by group, and what is on each machine.
	demand := map[fleet.Group]float64{}
	idle := map[fleet.Group][]fleet.DrainCandidate{}
	gathered := re.Queue.Gathered()
	for _, h := range clusterstate.SortedKeys(re.Machines) {
		m := re.Machines[h]
		b := re.MachineTypes[m.MachineType]
		if b == nil || !re.InUse(m) {
			continue
		}
		g := fleet.Group{MachineType: m.MachineType, Spot: m.Spot}
		share := re.UsedResources(h).Add(gathered[h]).ShareOf(b.Capacity())
		if _, draining := re.Summary.Drain[h]; !draining {
			demand[g] += share
		}
		idle[g] = append(idle[g], fleet.DrainCandidate{Machine: h, UsedShare: share, HourlyPrice: re.price(g)})
	}

	// Queued room goes to the booting machines that will take it, then to the
	// cheapest group. What finds no booting machine is unmet: shares alone
	// would not see that free room can be too scattered for a task.
	queued := append(re.Queue.StillWaiting(), re.Queue.NotExamined()...)
	fit, fits := re.packQueue(counts, booting, demand, queued)

	sum := Summary{Step: re.Summary.Step + 1, History: map[string][]float64{}, Drain: fleet.Draining{}}
	groups := map[fleet.Group]bool{}
	for name := range c.catalog {
		groups[fleet.Group{MachineType: name}] = true
		groups[fleet.Group{MachineType: name, Spot: true}] = true
	}
	var order []fleet.Group
	for g := range groups {
		order = append(order, g)
	}
	sort.Slice(order, func(a, b int) bool { return order[a].String() < order[b].String() })
	var rents []rent
	var give []string
	for _, g := range order {
		key := g.String()
		history := append(append([]float64(nil), re.Summary.History[key]...), demand[g])
		if len(history) > tuning.SummaryHistory {
			history = history[len(history)-tuning.SummaryHistory:]
		}
		supply := 0
		for k, v := range counts {
			if k.Group == g {
				supply += v
			}
		}
		if demand[g] > 0 || supply > 0 || len(re.Summary.History[key]) > 0 {
			sum.History[key] = round(history)
		}
		plan := autoscaler.Plan(
			history,
			0,
			0,
			autoscaler.Params{
				Steps:      op.PlanSteps,
				Samples:    op.Samples,
				Tolerance:  op.Tolerance,
				TrendSteps: op.TrendSteps,
				Damping:    tuning.TrendDamping,
				Grain:      tuning.GrainShare * re.grain(g),
			},
			re.Rand,
		)
		boot := 0
		if b := c.catalog[g.MachineType]; b != nil {
			boot = int(math.Ceil(b.BootS / op.StepS))
		}
		act := autoscaler.Act(plan, demand[g], supply, boot, c.steps <= op.FreshSteps)
		now := fleet.Draining{}
		for _, i := range idle[g] {
			if st, ok := re.Summary.Drain[i.Machine]; ok {
				now[i.Machine] = st
			}
		}
		surplus := act.Surplus
		if room := re.queuedFor(g, queued, fits); room > 0 {
			// Draining while tasks wait that could go there gains nothing.
			surplus = min(surplus, -int(math.Ceil(room)))
		}
		next, gone, revived := fleet.DrainStep(now, idle[g], surplus, op.DrainSteps, op.ReviveSteps)
		for h, st := range next {
			sum.Drain[h] = st
		}
		give = append(give, gone...)
		want := max(act.ScaleOut, fit[g]) - len(revived)
		if want > 0 {
			rents = append(rents, re.rentsFor(g, want, counts)...)
		}
		if supply > 0 || demand[g] > 0 || want > 0 {
			re.Log.Debug("plan",
				"group", key, "demand", demand[g], "supply", supply, "rent", want, "surplus", surplus,
				"drain", len(next), "give", len(gone))
		}
	}
	re.rentBatch(rents, &sum)
	var ds []decide.Decision
	for _, w := range re.summaryWrites(sum) {
		ds = append(ds, decide.Decision{Writes: []store.Write{w}, Urgent: true})
	}
	for _, h := range give {
		for _, d := range re.TransitionMachine(h, fleet.Decommission, "drained") {
			d.Urgent = true // it has left the draining ones
			ds = append(ds, d)
		}
	}
	re.Commit(ds)
}

// grain is the machines of a group that one job there takes on average, by
// demand: a job's tasks come together.
func (re *Provisioner) grain(g fleet.Group) float64 {
	b := re.MachineTypes[g.MachineType]
	if b == nil {
		return 0
	}
	each := map[*clusterstate.Job]float64{}
	for h, ts := range re.TasksOnMachine {
		m := re.Machines[h]
		if m == nil || m.MachineType != g.MachineType || m.Spot != g.Spot {
			continue
		}
		for _, t := range ts {
			if t.Job.Record != nil {
				each[t.Job] += t.Resources.ShareOf(b.Capacity())
			}
		}
	}
	sum, squares := 0.0, 0.0
	for _, s := range each {
		sum += s
		squares += s * s
	}
	if sum == 0 {
		return 0
	}
	return squares / sum
}

func round(h []float64) []float64 {
	out := make([]float64, len(h))
	for i, v := range h {
		out[i] = math.Round(v*1000) / 1000
	}
	return out
}

// packQueue adds queued room to demand and returns how many machines of each
// group the queue needs beyond those that boot. What the last look at the queue did not come
// to goes on machines that are up first; fits tells how many of its tasks.
func (re *Provisioner) packQueue(
	counts, booting map[kind]int,
	demand map[fleet.Group]float64,
	queued []*queue.Waiting,
) (fit map[fleet.Group]int, fits map[*queue.Waiting]int) {
	c := &re.cloud
	type bin struct {
		k    kind
		free sharding.Resources
		up   bool
	}
	var bins []bin
	if slices.ContainsFunc(queued, func(w *queue.Waiting) bool { return w.NotExamined }) {
		gathered := re.Queue.Gathered()
		for _, m := range re.MachinesByName() {
			b := c.catalog[m.MachineType]
			if _, draining := re.Summary.Drain[m.Name]; b != nil && !draining && re.InUse(m) {
				bins = append(
					bins,
					bin{
						kind{fleet.Group{MachineType: m.MachineType, Spot: m.Spot}, m.Zone},
						b.Capacity().Sub(re.UsedResources(m.Name)).Sub(gathered[m.Name]),
						true,
					},
				)
			}
		}
	}
	var kinds []kind
	for k := range booting {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(a, b int) bool { return kinds[a].String() < kinds[b].String() })
	for _, k := range kinds {
		if b := c.catalog[k.MachineType]; b != nil {
			for range booting[k] {
				bins = append(bins, bin{k, b.Capacity(), false})
			}
		}
	}
	fit, fits = map[fleet.Group]int{}, map[*queue.Waiting]int{}
	zonesOf := map[*clusterstate.Job]map[string]int{}
	wanted := map[kind]int{}
	for k, v := range counts {
		wanted[k] = v
	}
	for _, w := range queued {
		spec := &w.Task.Job.Record.Spec
		zones := zonesOf[w.Task.Job]
		if zones == nil {
			zones = re.TasksByZone(w.Task.Job)
			if w.Zone != "" {
				zones[w.Zone]++ // where it gathers
			}
			zonesOf[w.Task.Job] = zones
		}
		left := w.Count
		for i := 0; i < len(bins) && left > 0; i++ {
			b := &bins[i]
			if b.up && !w.NotExamined || !spec.Allows(b.k.MachineType, b.k.site, b.k.Spot) || !b.free.Fits(spec.Resources()) {
				continue
			}
			share := spec.Resources().ShareOf(c.catalog[b.k.MachineType].Capacity())
			for left > 0 && b.free.Fits(spec.Resources()) && clusterstate.ZoneAllowed(spec, zones, b.k.site) {
				b.free = b.free.Sub(spec.Resources())
				demand[b.k.Group] += share
				zones[b.k.site]++
				left--
				if b.up {
					fits[w]++
				}
			}
		}
		for left > 0 {
			k, ok := re.cheapest(w.Task.Job.Record, zones, wanted)
			if !ok {
				break
			}
			b := c.catalog[k.MachineType]
			wanted[k]++
			fit[k.Group]++
			free := b.Capacity()
			for left > 0 && free.Fits(spec.Resources()) && clusterstate.ZoneAllowed(spec, zones, k.site) {
				free = free.Sub(spec.Resources())
				demand[k.Group] += spec.Resources().ShareOf(b.Capacity())
				zones[k.site]++
				left--
			}
			bins = append(bins, bin{k, free, false})
		}
	}
	c.planned = wanted
	return fit, fits
}
