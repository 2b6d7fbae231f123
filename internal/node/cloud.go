package node

import (
	"encoding/json"
	"fmt"
	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/parts"
	"github.com/harrierreel/harrierreel/internal/scaler"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// summary is what the scaler writes once a step: enough for owners to know
// what drains and for a fresh leader to go on.
type summary struct {
	Step    uint64               `json:"step"`
	History map[string][]float64 `json:"history,omitempty"`
	Drain   fleet.Draining       `json:"drain,omitempty"`
	Asked   []asked              `json:"asked,omitempty"`
}

// asked is a rent whose machines may not be in the cloud's list yet.
type asked struct {
	Hire   string   `json:"hire"`
	Build  string   `json:"build"`
	Site   string   `json:"site"`
	Loaner bool     `json:"loaner,omitempty"`
	Count  int      `json:"count"`
	AtMs   int64    `json:"at"`
	Hosts  []string `json:"hosts,omitempty"`
}

// cloudState is the leader's knowledge of the cloud.
type cloudState struct {
	catalog    map[string]*jobs.Build
	catalogAt  time.Time
	catalogRun bool

	listed  map[string]fleet.Listed
	listAt  time.Time // start of the newest complete listing
	listRun bool
	gone    map[string]time.Time // machines that a listing no longer has, since when
	deleted map[string]time.Time // machines deleted, which lists may still show

	tokens float64
	filled time.Time
	calls  []func()

	stepAt   time.Time
	steps    int // steps since this leader began
	hires    int
	refused  map[string]time.Time // kinds without capacity, until when
	deleting map[string]time.Time // delete requests under way
	deleteAt time.Time            // last delete request
	freed    map[string]bool      // machines whose delete was answered 200
	lost     map[string]string    // machines that are given up, and why
	freedAt  time.Time            // when what was on them was last freed
	asked    []asked
	planned  map[kind]int // machines by kind that the queue asks for
	round    int          // of this step's batch
	open     int          // rents of this step under way
	again    bool         // one of them was refused or filled in part
}

func (c *cloudState) reset() {
	*c = cloudState{
		listed: map[string]fleet.Listed{}, gone: map[string]time.Time{}, deleted: map[string]time.Time{}, refused: map[string]time.Time{},
		deleting: map[string]time.Time{}, freed: map[string]bool{}, lost: map[string]string{},
	}
}

// cloudCall sends a request within the cloud's rate, or later.
func (n *Node) cloudCall(method, target string, body []byte, done func(int, []byte, error)) {
	c := &n.lead.cloud
	if len(c.calls) >= tuning.CloudQueue {
		done(429, nil, nil)
		return
	}
	c.calls = append(c.calls, n.cloudRequest(method, target, body, done))
}

// cloudFirst sends a request before all that wait.
func (n *Node) cloudFirst(method, target string, body []byte, done func(int, []byte, error)) {
	c := &n.lead.cloud
	c.calls = slices.Insert(c.calls, 0, n.cloudRequest(method, target, body, done))
}

func (n *Node) cloudRequest(method, target string, body []byte, done func(int, []byte, error)) func() {
	epoch := n.roleEpoch
	return func() {
		n.out.Cloud(method, target, body, tuning.CloudTimeout, func(status int, answer []byte, err error) {
			n.dirty = true
			// A leader that has lost the view does nothing with the answer.
			if n.role == members.Leader && n.roleEpoch == epoch || n.role == members.Leader && method == "GET" {
				done(status, answer, err)
				return
			}
			done(0, nil, errOldView)
		})
	}
}

var errOldView = fmt.Errorf("the view has changed")

// cloudPass sends waiting calls and does what is due.
func (n *Node) cloudPass() {
	c := &n.lead.cloud
	rate := n.set.Cluster.Cloud.RPS * tuning.CloudBudget
	if c.filled.IsZero() {
		c.tokens = rate
	} else {
		c.tokens = math.Min(c.tokens+n.Now.Sub(c.filled).Seconds()*rate, math.Max(rate, 1))
	}
	c.filled = n.Now
	if !c.catalogRun && (c.catalog == nil || n.Now.Sub(c.catalogAt) > tuning.CatalogEvery) {
		n.readCatalog()
	}
	if !c.listRun && (c.listAt.IsZero() || n.Now.Sub(c.listAt) > n.listEvery()) {
		n.readList()
	}
	step := seconds(n.set.Operator.StepS)
	if c.catalog != nil && !c.listAt.IsZero() && n.Now.Sub(c.stepAt) >= step && !n.client.Down() {
		c.stepAt = n.Now
		c.open = 0
		n.scalerStep()
	}
	for len(c.calls) > 0 && c.tokens >= 1 {
		call := c.calls[0]
		c.calls = c.calls[1:]
		c.tokens--
		call()
	}
}

func (n *Node) readCatalog() {
	c := &n.lead.cloud
	c.catalogRun = true
	n.cloudCall("GET", "/catalog", nil, func(status int, body []byte, err error) {
		c.catalogRun = false
		var answer struct {
			Builds []*jobs.Build `json:"builds"`
		}
		if err != nil || status != 200 || json.Unmarshal(body, &answer) != nil || len(answer.Builds) == 0 {
			c.catalogAt = n.Now.Add(tuning.CatalogAgain - tuning.CatalogEvery)
			if c.catalog == nil {
				c.catalogAt = n.Now
			}
			return
		}
		c.catalogAt = n.Now
		c.catalog = map[string]*jobs.Build{}
		var ds []decide.Decision
		for _, b := range answer.Builds {
			if b == nil || b.Name == "" || len(b.Name) > 150 {
				continue
			}
			c.catalog[b.Name] = b
			// Prices move and are the leader's business; the rest is told to all.
			told := *b
			told.Hourly, told.LowPrice = 0, 0
			if old := n.Builds[b.Name]; old == nil || string(jobs.Encode(old)) != string(jobs.Encode(told)) {
				// A type that could not be told is read again soon: until it is known
				// no job that needs it is accepted.
				ds = append(ds, decide.Decision{Writes: []store.Write{decide.Put(buildPrefix+b.Name, told)}, Urgent: true, Done: func(ok bool) {
					if !ok {
						c.catalogAt = n.Now.Add(tuning.CatalogAgain - tuning.CatalogEvery)
					}
				}})
			}
		}
		n.commit(ds)
	})
}

// listEvery is the pause between two readings of the cloud's list: its pages
// may take only a share of the cloud's rate.
func (n *Node) listEvery() time.Duration {
	pages := float64(1 + len(n.lead.cloud.listed)/tuning.CloudPage)
	return max(tuning.ListEvery, seconds(pages/(n.set.Cluster.Cloud.RPS*tuning.ListShare)))
}

// readList reads the whole list, page by page.
func (n *Node) readList() {
	c := &n.lead.cloud
	c.listRun = true
	started := n.Now
	all := map[string]fleet.Listed{}
	var page func(since string)
	page = func(since string) {
		target := fmt.Sprintf("/hosts?limit=%d", tuning.CloudPage)
		if since != "" {
			target += "&since=" + since
		}
		n.cloudCall("GET", target, nil, func(status int, body []byte, err error) {
			var answer struct {
				Hosts   []fleet.Listed `json:"hosts"`
				HasNext bool           `json:"has_next"`
			}
			if err != nil || status != 200 || json.Unmarshal(body, &answer) != nil {
				c.listRun = false
				return
			}
			for _, h := range answer.Hosts {
				all[h.UID] = h
			}
			if answer.HasNext && len(answer.Hosts) > 0 {
				page(answer.Hosts[len(answer.Hosts)-1].UID)
				return
			}
			c.listRun = false
			for h := range c.listed {
				if _, ok := all[h]; !ok && c.gone[h].IsZero() {
					c.gone[h] = n.Now
				}
			}
			for h := range all {
				delete(c.gone, h)
				if _, was := c.deleted[h]; was {
					delete(all, h) // the list is older than the delete
				}
			}
			for h, at := range c.deleted {
				if n.Now.Sub(at) > tuning.ForgetGone {
					delete(c.deleted, h)
				}
			}
			c.listed, c.listAt = all, started
			for h, at := range c.gone {
				if n.Now.Sub(at) > tuning.ForgetGone {
					delete(c.gone, h)
				}
			}
		})
	}
	page("")
}

// condemnPass finds machines to delete, deletes them, and frees what was on
// those whose delete was answered 200.
func (n *Node) condemnPass() {
	c := &n.lead.cloud
	if n.Now.Sub(n.lead.condemnAt) < tuning.CondemnEvery {
		return
	}
	n.lead.condemnAt = n.Now
	// Machines with cancelled tasks first: there a rule hangs on it.
	ds := n.condemnCancelled()
	ds = append(ds, n.condemnListed()...)
	n.loseSilent()
	var names []string
	// What was on many machines is freed together: tasks of one slice share a
	// write.
	free := n.client.Allows(0, 1) || n.Now.Sub(c.freedAt) > tuning.ReleaseLate
	if free {
		c.freedAt = n.Now
	}
	for _, m := range n.ByName() {
		switch {
		case m.State == fleet.Faulty:
			ds = append(ds, n.moving(m.Name, fleet.Condemn, "faulty")...)
		case c.freed[m.Name], m.State == fleet.Deleted: // the latter by an earlier version
			if free {
				ds = append(ds, n.removed(m)...)
			}
		case m.State == fleet.Deleting, c.lost[m.Name] != "":
			if at, ok := c.deleting[m.Name]; !ok || n.Now.Sub(at) > tuning.DeleteAgain {
				names = append(names, m.Name)
			}
		}
	}
	n.commit(ds)
	// Tasks recorded on a machine without a record: its delete was answered
	// and the record removed, or the record cannot be read. Delete again;
	// unknown names are ignored by the cloud.
	var unknown []decide.Decision
	for h := range n.OnHost {
		if n.Machines[h] == nil && n.mirror.Stamp(fleet.HostPrefix+h) == 0 {
			unknown = append(unknown, n.condemnUnknown(h, "tasks on a machine without a record")...)
		}
	}
	n.commit(unknown)
	if len(names) == 0 || len(names) < tuning.DeleteMost && n.Now.Sub(c.deleteAt) < n.deleteGap() {
		return
	}
	c.deleteAt = n.Now
	// Machines with cancelled tasks first, whose time runs out, then those with
	// others, which wait for the answer.
	sort.SliceStable(names, func(a, b int) bool { return n.deleteRank(names[a]) > n.deleteRank(names[b]) })
	if len(names) > tuning.DeleteMost {
		names = names[:tuning.DeleteMost]
	}
	for _, h := range names {
		c.deleting[h] = n.Now
	}
	body := jobs.Encode(map[string][]string{"hosts": names})
	n.cloudFirst("POST", "/hosts/delete", body, func(status int, _ []byte, err error) {
		for _, h := range names {
			if err == nil && status == 200 {
				delete(c.deleting, h)
				c.freed[h] = true
				c.deleted[h] = n.Now
				delete(c.listed, h)
			}
		}
		n.lead.condemnAt = time.Time{} // free what was on them at once
	})
}

// deleteRank tells how soon a machine should be deleted.
func (n *Node) deleteRank(host string) int {
	rank := 0
	for _, t := range n.OnHost[host] {
		if rank = max(rank, 1); t.Job.Rec != nil && t.Job.Rec.State == jobs.Cancelled {
			rank = 2
		}
	}
	return rank
}

// deleteGap is the pause between two delete requests, so that deletes share
// requests where the cloud allows few.
func (n *Node) deleteGap() time.Duration {
	return seconds(1 / (n.set.Cluster.Cloud.RPS * tuning.DeleteShare))
}

// removed is the decisions that free the tasks of a machine whose delete was
// answered 200, and remove its record. A leader that does not know of the
// answer any more deletes again.
func (n *Node) removed(m *book.Machine) []decide.Decision {
	var ds []decide.Decision
	key := fleet.HostPrefix + m.Name
	for _, piece := range sorted(n.OnHost[m.Name]) {
		d := n.gone(n.OnHost[m.Name][piece], jobs.Gone, 0)
		if len(d.Changes) > 0 {
			d.Seen = append(d.Seen, key)
			ds = append(ds, d)
		}
	}
	// The record itself is in no hurry: no task is placed by it any more.
	if len(n.OnHost[m.Name]) == 0 && !n.busy[key] && (n.client.Spare() || n.Now.Sub(n.lead.cloud.deleted[m.Name]) > tuning.RecordLate) {
		host := m.Name
		ds = append(ds, decide.Decision{Writes: []store.Write{decide.Remove(key)}, Done: func(ok bool) {
			if ok {
				delete(n.lead.cloud.freed, host)
				delete(n.lead.cloud.lost, host)
			}
		}})
	}
	return ds
}

// condemnUnknown is the decision that gives a machine without a record one, to
// delete it.
func (n *Node) condemnUnknown(host, why string) []decide.Decision {
	key := fleet.HostPrefix + host
	if n.Machines[host] != nil || n.busy[key] {
		return nil
	}
	l := n.lead.cloud.listed[host]
	rec := fleet.Host{State: fleet.Deleting, Endpoint: l.Endpoint, Build: l.Build, Site: l.Site, Loaner: l.Loaner, Why: why, SinceMs: n.ms()}
	return []decide.Decision{{Writes: []store.Write{decide.Put(key, rec)}, Done: func(ok bool) {
		if ok {
			n.log.Info("machine", "machine", host, "to", string(rec.State), "why", why)
		}
	}}}
}

// condemnListed condemns machines that never came up or have stopped.
func (n *Node) condemnListed() []decide.Decision {
	var ds []decide.Decision
	age := n.Now.Sub(n.lead.cloud.listAt)
	for h, l := range n.lead.cloud.listed {
		m := n.Machines[h]
		if m != nil && (m.State == fleet.Deleting || m.State == fleet.Deleted) {
			continue
		}
		why := ""
		switch {
		case l.Status == "failed":
			why = "stopped on its own"
		case m == nil && seconds(l.AgeS)+age > n.bootLimit(l.Build) && n.sessions[h] == nil:
			why = "never came up"
		}
		switch {
		case why == "":
		case m == nil:
			ds = append(ds, n.condemnUnknown(h, why)...)
		default:
			n.lose(m, why)
		}
	}
	slices.SortFunc(ds, func(a, b decide.Decision) int { return strings.Compare(a.Keys()[0], b.Keys()[0]) })
	return ds
}

func (n *Node) bootLimit(build string) time.Duration {
	limit := tuning.BootSlackMin
	if b := n.Builds[build]; b != nil {
		limit = max(limit, seconds(b.ReadyS*tuning.BootSlack))
	}
	return limit
}

// lose gives a machine up that is not heard any more. That is no record: the
// cloud's answer to its delete is all that frees what was on it, and a leader
// that does not know it any more finds the machine quiet and deletes it again.
// After a wave of losses one change less for each machine is much.
func (n *Node) lose(m *book.Machine, why string) {
	if c := &n.lead.cloud; c.lost[m.Name] == "" && m.State != fleet.Deleting && m.State != fleet.Deleted {
		c.lost[m.Name] = why
		n.log.Info("machine", "machine", m.Name, "from", string(m.State), "to", "lost", "why", why)
	}
}

// loseSilent gives up machines that neither their owner nor this node has
// heard for long. Absence from the cloud's list proves nothing by itself, but
// makes waiting pointless.
func (n *Node) loseSilent() {
	quiet, all := 0, 0
	sites, owners := map[string]fleet.Site{}, map[string]fleet.Site{}
	for _, m := range n.Machines {
		if m.State == fleet.Deleting || m.State == fleet.Deleted {
			continue
		}
		z, o := sites[m.Site], owners[m.Owner]
		all++
		z.All++
		o.All++
		if _, is := n.quietSince(m); is {
			quiet++
			z.Quiet++
			o.Quiet++
		}
		sites[m.Site], owners[m.Owner] = z, o
	}
	if quiet == 0 {
		return
	}
	many := quiet > 2 && float64(quiet) > tuning.SilentMost*float64(all)
	lease := seconds(n.set.Cluster.Workers.LeaseS * (1 + tuning.SilentDelete))
	// A new leader first waits whether the workers come to it.
	fresh := n.Now.Sub(n.lead.since) < seconds(n.set.Cluster.Workers.ReportS*tuning.SilentReports)
	for _, m := range n.ByName() {
		h := m.Name
		since, is := n.quietSince(m)
		if !is || n.Now.Sub(n.heard[h]) < tuning.HeardFresh {
			continue
		}
		long := min(n.Now.Sub(since), n.Now.Sub(n.lead.since))
		_, listed := n.lead.cloud.listed[h]
		vanished := !listed && !n.lead.cloud.gone[h].IsZero()
		cut := sites[m.Site].Cut(tuning.CutLeast, tuning.CutShare)
		blind := owners[m.Owner].Cut(tuning.CutLeast, tuning.CutShare)
		switch {
		case vanished && long > tuning.CondemnEvery:
			n.lose(m, "silent and no longer listed")
		case !many && !cut && !blind && !fresh && long > tuning.SilentGiveUp:
			n.lose(m, "silent")
		case !cut && long > lease:
			n.lose(m, "silent beyond its lease")
		}
	}
}

// condemnCancelled condemns machines that still hold a cancelled task when its
// time runs out: nobody may be able to reach them.
func (n *Node) condemnCancelled() []decide.Decision {
	limit := int64(n.set.Cluster.Workers.CancelS * tuning.CancelDelete * 1000)
	hosts := map[string]bool{}
	for _, j := range n.Closed {
		if j.Rec.State != jobs.Cancelled || n.ms()-j.Rec.EndMs <= limit {
			continue
		}
		for _, t := range j.Active {
			if t.On() {
				hosts[t.Host] = true
			}
		}
	}
	var ds []decide.Decision
	for _, h := range sorted(hosts) {
		for _, d := range n.moving(h, fleet.Condemn, "holds a cancelled task") {
			d.Urgent = true
			ds = append(ds, d)
		}
	}
	return ds
}

// kind is one thing the cloud rents.
type kind struct {
	fleet.Group
	site string
}

func (k kind) String() string { return k.Group.String() + "@" + k.site }

// price is what a machine of a group costs an hour.
func (n *Node) price(g fleet.Group) float64 {
	b := n.lead.cloud.catalog[g.Build]
	if b == nil {
		return math.Inf(1)
	}
	if g.Loaner {
		return b.LowPrice
	}
	return b.Hourly
}

// cheapest is the group and zone where a waiting task costs least, of those
// that the cloud has not just refused.
//
// A task that can wait does not make it buy much dearer than what it would
// take if the cloud had it.
func (n *Node) cheapest(r *jobs.Record, zones map[string]int, counts map[kind]int) (kind, bool) {
	spec := &r.Spec
	best, found, cost := kind{}, false, math.Inf(1)
	least := math.Inf(1)
	for name, b := range n.lead.cloud.catalog {
		share := spec.Need().Share(b.Whole())
		if share > 1+1e-9 || !spec.AllowsBuild(name) {
			continue
		}
		for _, loaner := range []bool{false, true} {
			if loaner && (!spec.Loaner || b.LowPrice <= 0) {
				continue
			}
			for _, site := range b.Sites {
				k := kind{fleet.Group{Build: name, Loaner: loaner}, site}
				if !spec.Allows(name, site, loaner) || !book.ZoneAllowed(spec, zones, site) {
					continue
				}
				// Whole tasks per machine: what a task really costs there.
				fit := math.Floor(1/share + 1e-9)
				c := n.price(k.Group) / fit
				least = min(least, c)
				if n.Now.Before(n.lead.cloud.refused[k.String()]) {
					continue
				}
				if c < cost-1e-9 || (c < cost+1e-9 && found && (counts[k] < counts[best] || counts[k] == counts[best] && k.String() < best.String())) {
					best, found, cost = k, true, c
				}
			}
		}
	}
	if found && cost > least*tuning.PatientPrice {
		margin := seconds(n.lead.cloud.catalog[best.Build].ReadyS+spec.ExpectS/2) + 2*seconds(n.set.Operator.StepS)
		if n.queue.StartBy(r, false)-n.ms() > margin.Milliseconds() {
			return kind{}, false
		}
	}
	return best, found
}

// bootLate is the age from which a machine that has not come up is overdue.
func (n *Node) bootLate(build string) time.Duration {
	late := tuning.BootSlackMin
	if b := n.Builds[build]; b != nil {
		late = max(late, seconds(b.ReadyS*tuning.BootLate))
	}
	return late
}

// supplyOf lists the machines that count as supply: with a record in use, or
// listed and booting in time, or asked for and not yet listed until the boot time has
// passed.
func (n *Node) supplyOf() (counts map[kind]int, booting map[kind]int) {
	counts, booting = map[kind]int{}, map[kind]int{}
	c := &n.lead.cloud
	for h, m := range n.Machines {
		if n.inUse(m) {
			if _, draining := n.summary.Drain[h]; !draining {
				counts[kind{fleet.Group{Build: m.Build, Loaner: m.Loaner}, m.Site}]++
			}
		}
	}
	age := n.Now.Sub(c.listAt)
	for h, l := range c.listed {
		// An overdue one may never come; a replacement is rented before the
		// queue suffers, and the late one is used or returned if it comes.
		if n.Machines[h] == nil && (l.Status == "booting" || l.Status == "running") && seconds(l.AgeS)+age <= n.bootLate(l.Build) {
			k := kind{fleet.Group{Build: l.Build, Loaner: l.Loaner}, l.Site}
			counts[k]++
			booting[k]++
		}
	}
	for _, a := range c.asked {
		// A list read long enough after the request has what there is: a
		// machine that it lacks was returned or lost meanwhile, perhaps by an
		// earlier leader, and must not count.
		if c.listAt.UnixMilli()-a.AtMs > n.listSure().Milliseconds() || n.ms()-a.AtMs > n.bootLimit(a.Build).Milliseconds() {
			continue
		}
		k := kind{fleet.Group{Build: a.Build, Loaner: a.Loaner}, a.Site}
		for _, h := range a.Hosts {
			if _, listed := c.listed[h]; !listed && n.Machines[h] == nil && c.gone[h].IsZero() && c.deleted[h].IsZero() {
				counts[k]++
				booting[k]++
			}
		}
		if len(a.Hosts) == 0 {
			counts[k] += a.Count // unanswered
		}
	}
	return counts, booting
}

// listSure is the time after which a machine must be in the cloud's list.
func (n *Node) listSure() time.Duration {
	return seconds(2*n.set.Cluster.Cloud.ListLagS) + tuning.ListSlack
}

// queuedFor is how many machines of a group the waiting tasks would fill that
// may go there, by share.
func (n *Node) queuedFor(g fleet.Group) float64 {
	b := n.Builds[g.Build]
	if b == nil {
		return 0
	}
	sum := 0.0
	for _, w := range n.queue.StillWaiting() {
		spec := &w.Task.Job.Rec.Spec
		if share := spec.Need().Share(b.Whole()); share <= 1+1e-9 && spec.AllowsBuild(g.Build) && (spec.Loaner || !g.Loaner) {
			sum += share * float64(w.Count)
		}
	}
	return sum
}

// scalerStep plans each group and acts on the plan's first step.
func (n *Node) scalerStep() {
	c := &n.lead.cloud
	op := n.set.Operator
	if c.steps == 0 {
		c.asked = append([]asked(nil), n.summary.Asked...)
	}
	c.steps++
	counts, booting := n.supplyOf()

	waiting := map[string]int{}
	for _, w := range n.queue.StillWaiting() {
		waiting[w.Task.Job.Rec.Spec.Class] += w.Count
	}
	n.log.Debug("queue", "waiting", fmt.Sprint(waiting), "jobs", len(n.Queued), "released", len(n.Released), "under_way", len(n.Reserved), "calls_held", n.client.Waiting(), "spare", n.client.Spare())

	// Booked room by group, and what is on each machine.
	demand := map[fleet.Group]float64{}
	var idle = map[fleet.Group][]fleet.Idle{}
	for _, h := range sorted(n.Machines) {
		m := n.Machines[h]
		b := n.Builds[m.Build]
		if b == nil || !n.inUse(m) {
			continue
		}
		g := fleet.Group{Build: m.Build, Loaner: m.Loaner}
		share := n.Used(h).Share(b.Whole())
		if _, draining := n.summary.Drain[h]; !draining {
			demand[g] += share
		}
		idle[g] = append(idle[g], fleet.Idle{Host: h, Load: share, Cost: n.price(g)})
	}

	// Queued room goes to the booting machines that will take it, then to the
	// cheapest group. What finds no booting machine is unmet: shares alone
	// would not see that free room can be too scattered for a task.
	fit := n.packQueue(counts, booting, demand)

	sum := summary{Step: n.summary.Step + 1, History: map[string][]float64{}, Drain: fleet.Draining{}}
	groups := map[fleet.Group]bool{}
	for name := range c.catalog {
		groups[fleet.Group{Build: name}] = true
		groups[fleet.Group{Build: name, Loaner: true}] = true
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
		history := append(append([]float64(nil), n.summary.History[key]...), demand[g])
		if len(history) > tuning.SummaryHistory {
			history = history[len(history)-tuning.SummaryHistory:]
		}
		supply := 0
		for k, v := range counts {
			if k.Group == g {
				supply += v
			}
		}
		if demand[g] > 0 || supply > 0 || len(n.summary.History[key]) > 0 {
			sum.History[key] = round(history)
		}
		plan := scaler.Plan(history, 0, 0, scaler.Params{Steps: op.PlanSteps, Samples: op.Samples, Tolerance: op.Tolerance, Trend: op.TrendSteps, Damping: tuning.TrendDamping, Grain: tuning.GrainShare * n.grain(g)}, n.rng)
		boot := 0
		if b := c.catalog[g.Build]; b != nil {
			boot = int(math.Ceil(b.ReadyS / op.StepS))
		}
		act := scaler.Act(plan, demand[g], supply, boot, c.steps <= op.FreshSteps)
		now := fleet.Draining{}
		for _, i := range idle[g] {
			if st, ok := n.summary.Drain[i.Host]; ok {
				now[i.Host] = st
			}
		}
		surplus := act.Surplus
		if queued := n.queuedFor(g); queued > 0 {
			// Draining while tasks wait that could go there gains nothing.
			surplus = min(surplus, -int(math.Ceil(queued)))
		}
		next, gone, revived := fleet.DrainStep(now, idle[g], surplus, op.DrainSteps, op.ReviveSteps)
		for h, st := range next {
			sum.Drain[h] = st
		}
		give = append(give, gone...)
		want := max(act.Rent, fit[g]) - len(revived)
		if want > 0 {
			rents = append(rents, n.rentsFor(g, want, counts)...)
		}
		if supply > 0 || demand[g] > 0 || want > 0 {
			n.log.Debug("plan", "group", key, "demand", demand[g], "supply", supply, "rent", want, "surplus", surplus, "drain", len(next), "give", len(gone))
		}
	}
	n.rentBatch(rents, &sum)
	ds := []decide.Decision{{Writes: []store.Write{n.summaryWrite(sum)}, Urgent: true}}
	for _, h := range give {
		for _, d := range n.moving(h, fleet.Condemn, "drained") {
			d.Urgent = true // it has left the draining ones
			ds = append(ds, d)
		}
	}
	n.commit(ds)
}

// summaryWrite fits the summary into one value: the oldest rents, whose
// machines the cloud's list will have by now, are left out first, then
// draining that has just begun.
func (n *Node) summaryWrite(sum summary) store.Write {
	w := decide.Put(summaryKey, sum)
	for len(w.Value) > n.sliceLimit() && len(sum.Asked) > 0 {
		sum.Asked = sum.Asked[(len(sum.Asked)+1)/2:]
		w = decide.Put(summaryKey, sum)
	}
	for stage := 1; len(w.Value) > n.sliceLimit() && len(sum.Drain) > 0; stage++ {
		maps.DeleteFunc(sum.Drain, func(_ string, st int) bool { return st <= stage })
		w = decide.Put(summaryKey, sum)
	}
	return w
}

// grain is the machines of a group that one job there takes on average, by
// demand: a job's tasks come together.
func (n *Node) grain(g fleet.Group) float64 {
	b := n.Builds[g.Build]
	if b == nil {
		return 0
	}
	each := map[*book.Job]float64{}
	for h, ts := range n.OnHost {
		m := n.Machines[h]
		if m == nil || m.Build != g.Build || m.Loaner != g.Loaner {
			continue
		}
		for _, t := range ts {
			if t.Job.Rec != nil {
				each[t.Job] += t.Need.Share(b.Whole())
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
// group the queue needs beyond those that boot.
func (n *Node) packQueue(counts, booting map[kind]int, demand map[fleet.Group]float64) map[fleet.Group]int {
	c := &n.lead.cloud
	type bin struct {
		k    kind
		free parts.Room
	}
	var bins []bin
	var kinds []kind
	for k := range booting {
		kinds = append(kinds, k)
	}
	sort.Slice(kinds, func(a, b int) bool { return kinds[a].String() < kinds[b].String() })
	for _, k := range kinds {
		if b := c.catalog[k.Build]; b != nil {
			for range booting[k] {
				bins = append(bins, bin{k, b.Whole()})
			}
		}
	}
	fit := map[fleet.Group]int{}
	zonesOf := map[*book.Job]map[string]int{}
	wanted := map[kind]int{}
	for k, v := range counts {
		wanted[k] = v
	}
	for _, w := range n.queue.StillWaiting() {
		spec := &w.Task.Job.Rec.Spec
		zones := zonesOf[w.Task.Job]
		if zones == nil {
			zones = n.Zones(w.Task.Job)
			zonesOf[w.Task.Job] = zones
		}
		left := w.Count
		for i := 0; i < len(bins) && left > 0; i++ {
			b := &bins[i]
			if !spec.Allows(b.k.Build, b.k.site, b.k.Loaner) || !b.free.Fits(spec.Need()) {
				continue
			}
			share := spec.Need().Share(c.catalog[b.k.Build].Whole())
			for left > 0 && b.free.Fits(spec.Need()) && book.ZoneAllowed(spec, zones, b.k.site) {
				b.free = b.free.Sub(spec.Need())
				demand[b.k.Group] += share
				zones[b.k.site]++
				left--
			}
		}
		for left > 0 {
			k, ok := n.cheapest(w.Task.Job.Rec, zones, wanted)
			if !ok {
				break
			}
			b := c.catalog[k.Build]
			wanted[k]++
			fit[k.Group]++
			free := b.Whole()
			for left > 0 && free.Fits(spec.Need()) && book.ZoneAllowed(spec, zones, k.site) {
				free = free.Sub(spec.Need())
				demand[k.Group] += spec.Need().Share(b.Whole())
				zones[k.site]++
				left--
			}
			bins = append(bins, bin{k, free})
		}
	}
	c.planned = wanted
	return fit
}

type rent struct {
	k     kind
	count int
}

// rentsFor splits a number of machines over zones: first as the queue asked,
// then evenly.
func (n *Node) rentsFor(g fleet.Group, want int, counts map[kind]int) []rent {
	c := &n.lead.cloud
	b := c.catalog[g.Build]
	per := map[kind]int{}
	var kinds []kind
	for _, site := range b.Sites {
		k := kind{g, site}
		if !n.Now.Before(c.refused[k.String()]) {
			kinds = append(kinds, k)
		}
	}
	sort.Slice(kinds, func(a, b int) bool { return kinds[a].String() < kinds[b].String() })
	for _, k := range kinds {
		take := min(want, max(0, c.planned[k]-counts[k]))
		per[k] += take
		want -= take
	}
	for ; want > 0 && len(kinds) > 0; want-- {
		best := kinds[0]
		for _, k := range kinds {
			if counts[k]+per[k] < counts[best]+per[best] {
				best = k
			}
		}
		per[best]++
	}
	var out []rent
	for _, k := range kinds {
		for left := per[k]; left > 0; left -= tuning.RentMost {
			out = append(out, rent{k, min(left, tuning.RentMost)})
		}
	}
	return out
}

// rentBatch sends one step's rents. A name is made of the view's epoch, which
// has one leader, and a counter of that leader's, so that none is ever used
// twice; only the same request is sent again under it.
func (n *Node) rentBatch(rents []rent, sum *summary) {
	c := &n.lead.cloud
	rents = n.withinRate(rents)
	var keep []asked
	for _, a := range c.asked {
		if n.ms()-a.AtMs <= n.bootLimit(a.Build).Milliseconds() {
			keep = append(keep, a)
		}
	}
	c.asked = keep
	c.round, c.again = 0, false
	n.rentAll(rents)
	sum.Asked = append([]asked(nil), c.asked...)
}

// withinRate cuts a batch to what the cloud's rate allows in a step, the rest
// being for the list and for deletes. Larger requests go first.
func (n *Node) withinRate(rents []rent) []rent {
	most := max(1, int(n.set.Cluster.Cloud.RPS*tuning.CloudBudget*tuning.RentShare*n.set.Operator.StepS))
	sort.SliceStable(rents, func(a, b int) bool { return rents[a].count > rents[b].count })
	return rents[:min(most, len(rents))]
}

// rentAll sends one round of a step's batch.
func (n *Node) rentAll(rents []rent) {
	c := &n.lead.cloud
	for _, r := range rents {
		c.open++
		c.hires++
		a := asked{Hire: fmt.Sprintf("r-%d-%d", n.roleEpoch, c.hires), Build: r.k.Build, Site: r.k.site, Loaner: r.k.Loaner, Count: r.count, AtMs: n.ms()}
		c.asked = append(c.asked, a)
		n.rent(a, 0)
	}
}

// rentEnded goes on with the batch once all its rents are answered: what the
// cloud refused is asked for as the next best kind, within the same step.
func (n *Node) rentEnded(short bool) {
	c := &n.lead.cloud
	c.open--
	c.again = c.again || short
	if c.open > 0 || !c.again || c.round >= tuning.RentRounds {
		return
	}
	c.round++
	c.again = false
	counts, booting := n.supplyOf()
	fit := n.packQueue(counts, booting, map[fleet.Group]float64{})
	var groups []fleet.Group
	for g := range fit {
		groups = append(groups, g)
	}
	sort.Slice(groups, func(a, b int) bool { return groups[a].String() < groups[b].String() })
	var rents []rent
	for _, g := range groups {
		rents = append(rents, n.rentsFor(g, fit[g], counts)...)
	}
	n.rentAll(n.withinRate(rents))
}

func (n *Node) rent(a asked, again int) {
	body := jobs.Encode(map[string]any{"hire": a.Hire, "build": a.Build, "site": a.Site, "loaner": a.Loaner, "count": a.Count})
	k := kind{fleet.Group{Build: a.Build, Loaner: a.Loaner}, a.Site}
	n.log.Info("rent", "hire", a.Hire, "kind", k.String(), "count", a.Count)
	n.cloudCall("POST", "/hosts", body, func(status int, answer []byte, err error) {
		c := &n.lead.cloud
		var got struct {
			Hosts []string `json:"hosts"`
			Error string   `json:"error"`
		}
		switch {
		case err == nil && status == 200 && json.Unmarshal(answer, &got) == nil:
			for i := range c.asked {
				if c.asked[i].Hire == a.Hire {
					c.asked[i].Hosts, c.asked[i].Count = got.Hosts, len(got.Hosts)
				}
			}
			if len(got.Hosts) < a.Count {
				c.refused[k.String()] = n.Now.Add(tuning.NoCapacity)
			}
			n.rentEnded(len(got.Hosts) < a.Count)
		case err == nil && status == 503:
			_ = json.Unmarshal(answer, &got)
			n.log.Info("rent refused", "kind", k.String(), "error", got.Error)
			n.dropAsked(a.Hire)
			if got.Error == "no capacity" {
				c.refused[k.String()] = n.Now.Add(tuning.NoCapacity)
			}
			n.rentEnded(got.Error == "no capacity")
		case again < tuning.RentRetries && err != errOldView && (err != nil || status == 429):
			n.rent(a, again+1)
		case status == 429 || status == 400:
			n.dropAsked(a.Hire)
			n.rentEnded(false)
		default:
			n.rentEnded(false) // unanswered: counted as supply until its boot time has passed
		}
	})
}

func (n *Node) dropAsked(hire string) {
	c := &n.lead.cloud
	for i := range c.asked {
		if c.asked[i].Hire == hire {
			c.asked = append(c.asked[:i:i], c.asked[i+1:]...)
			return
		}
	}
}
