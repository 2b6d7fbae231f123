package queue

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// cycle is what one look at the queue keeps: what is being considered is
// charged, and room is kept for tasks that wait.
type cycle struct {
	account  *quota.Account
	held     map[string]bool             // machines kept for tasks that fit nowhere
	holds    []sharding.Resources        // room kept, to be given back when the pass ends
	hosts    []string                    // where
	full     map[int]bool                // leaves whose next task does not fit their limits
	nowhere  map[string][]refusal        // what found no room, by where it may go
	searches int                         // looks for tasks to stop
	stopping map[*clusterstate.Task]bool // to be stopped by this pass
	chosen   int                         // machines newly chosen to be kept
	gathered float64                     // machines' room kept for large gangs
	lent     lent                        // rooms kept for loans
	ds       []decide.Decision
	rounds   rounds
	machines []*clusterstate.Machine // those that the leader may have room on in mind
	cands    []sharding.Candidate    // room for the board of one job after another
}

// refusal is a need that found no room in this pass, for so many tasks at once.
type refusal struct {
	need   sharding.Resources
	pieces int
}

// placement is a task with the machine that the leader has room in mind on.
type placement struct {
	t       *clusterstate.Task
	machine string
}

// candidates lists the machines with room for a task; it holds until the next.
func (p *cycle) candidates(q *Queue, t *clusterstate.Task) []sharding.Candidate {
	p.cands = q.appendCandidates(
		p.cands,
		p.open(q),
		func(m *clusterstate.Machine) bool { return clusterstate.FitsTask(t, m) },
		&t.Job.Record.Spec,
	)
	return p.cands
}

// open lists the machines that the leader may have room on in mind. It is the
// same for every job of a pass, and a look at a machine's standing costs more
// than one at its room.
func (p *cycle) open(q *Queue) []*clusterstate.Machine {
	if p.machines == nil {
		for _, m := range q.MachinesByName() {
			if m.State == fleet.Up && q.openFor(m) {
				p.machines = append(p.machines, m)
			}
		}
	}
	return p.machines
}

// writes is how many records the pass's decisions write, at most.
func (p *cycle) writes() int {
	sum, fresh := 0, 0
	for i := range p.ds {
		sum += len(p.ds[i].Writes) + len(p.ds[i].Changes)
		fresh += len(p.ds[i].BatchEntries)
	}
	return sum + fresh/tuning.MaxSharedBatches
}

func (q *Queue) newCycle() *cycle {
	p := &cycle{
		account:  q.Account.Clone(),
		held:     map[string]bool{},
		full:     map[int]bool{},
		nowhere:  map[string][]refusal{},
		stopping: map[*clusterstate.Task]bool{},
	}
	// A gang whose machines are being claimed has its share already: given away once more,
	// it is either lacking for the gang or beyond its team's limit.
	for jobID := range q.claims {
		if j := q.Jobs[jobID]; j != nil && j.Record != nil {
			p.account.Charge(j.Record.Spec.QuotaKey(), j.Record.Spec.Amount(), q.uncharged(j))
		}
	}
	return p
}

// uncharged is how many tasks of a job are neither released nor being so.
func (q *Queue) uncharged(j *clusterstate.Job) int {
	n := j.Record.Spec.TaskCount - len(j.Active)
	for _, r := range q.Reservations {
		if r.Task.Job == j && r.QuotaKey.Team != "" && j.Active[r.Task.Index] == nil {
			n--
		}
	}
	return n
}

// keep takes room on a machine until the pass ends.
func (p *cycle) keep(q *Queue, machine string, need sharding.Resources) {
	q.AllocateResources(machine, need)
	p.hosts, p.holds = append(p.hosts, machine), append(p.holds, need)
}

// lift gives back what the pass has kept so far, and forgets what found no room beside it.
func (p *cycle) lift(q *Queue) {
	for i, h := range p.hosts {
		q.FreeResources(h, p.holds[i])
	}
	p.hosts, p.holds, p.machines = nil, nil, nil
	clear(p.nowhere)
}

func (p *cycle) end(q *Queue) {
	for _, rooms := range p.lent.rooms {
		for _, r := range rooms {
			q.open(r)
		}
	}
	p.lift(q)
}

// places names where a job may go at all.
func places(s *jobs.Spec, pieces int) string {
	key := s.Zone + "/" + strings.Join(s.MachineTypes, ",")
	if s.Spot {
		key += "+"
	}
	if pieces > 1 && s.SameZone {
		key += "="
	}
	return key
}

// hopeless tells whether the same or less found no room in this pass already.
func (p *cycle) hopeless(s *jobs.Spec, pieces int) bool {
	if p.lent.rooms[s.ID] != nil {
		return false // room is kept for it
	}
	for _, r := range p.nowhere[places(s, pieces)] {
		if r.pieces <= pieces && s.Resources().Fits(r.need) {
			return true
		}
	}
	return false
}

// refuse notes that so many tasks of a job find no room in this pass.
func (p *cycle) refuse(s *jobs.Spec, pieces int) {
	key := places(s, pieces)
	p.nowhere[key] = append(p.nowhere[key], refusal{s.Resources(), pieces})
}

// Release gives tasks to parts, within each team's limit. Once its decisions
// have used up the budget it looks no further: what it would decide could not be
// committed, and with a thousand jobs of one task waiting for changes, looking
// for a place for each of them on every pass took all of a controller's
// processor time (docs/incidents/ops-swarm.md).
func (q *Queue) Release() {
	q.letGo()
	p := q.newCycle()
	q.reconcileLoans(p)
	before := q.StillWaiting()
	maps.DeleteFunc(q.noRoom, func(jobID string, _ time.Time) bool { return q.Queued[jobID] == nil })
	q.Waiting = nil
	q.dropGathered()
	budget, most := q.Allows(0, 1), tuning.MaxReleases
	if !budget {
		most = tuning.MaxExaminedJobs
	}
	seen := map[*clusterstate.Job]bool{}
	looked := 0
	for _, j := range q.order(p.account) {
		if looked >= most || budget && !q.Allows(p.writes(), 1) {
			break
		}
		seen[j] = true
		looked += q.examine(j, p, most-looked)
	}
	if budget {
		q.runRounds(p, most-looked)
	}
	q.preempt(p)
	// What was not looked at waits as it did; there may be room for it by now.
	for _, w := range before {
		if !seen[w.Task.Job] {
			w.NotExamined = true
			q.Waiting = append(q.Waiting, w)
		}
	}
	if budget {
		q.examined = seen // without, what fits somewhere could not be given its place
	}
	q.serveStarving(p, seen)
	p.end(q)
	q.Commit(p.ds)
}

// examine looks for room for a job, and returns how many tasks it looked at.
func (q *Queue) examine(j *clusterstate.Job, p *cycle, most int) int {
	spec := &j.Record.Spec
	if p.full[q.QuotaLeaf(spec)] {
		p.rounds.starving = append(p.rounds.starving, j)
		return 0
	}
	switch q.gate(spec) {
	case calendar.Shut:
		return 0
	case calendar.Soon:
		if p.rounds.second {
			return 0
		}
		return q.prepare(j, p, most)
	case calendar.Free, calendar.Allowed:
	}
	q.openRooms(j.ID, p)
	defer q.shutRooms(j.ID, p)
	if spec.IsGang() {
		q.releaseGang(j, p)
		return 1
	}
	return q.releaseTasks(j, p, most)
}

// StillWaiting lists what found no room when it was last looked at and whose
// job still waits.
func (q *Queue) StillWaiting() []*Waiting {
	return slices.DeleteFunc(
		slices.Clone(q.Waiting),
		func(w *Waiting) bool { return q.Queued[w.Task.Job.ID] != w.Task.Job },
	)
}

// releaseTasks releases what waits of a job of independent tasks or replicas,
// and returns how many tasks it looked at.
func (q *Queue) releaseTasks(j *clusterstate.Job, p *cycle, most int) int {
	spec := &j.Record.Spec
	leaf := q.QuotaLeaf(spec)
	var cands []sharding.Candidate
	room := 0
	if !p.hopeless(spec, 1) {
		probe := &clusterstate.Task{Job: j}
		cands = p.candidates(q, probe)
		if len(cands) == 0 {
			p.refuse(spec, 1)
		}
		enough := spec.TaskCount - j.DoneCount - len(j.Active)
		for i := 0; i < len(cands) && room <= enough; i++ {
			room += cands[i].Free.HowMany(spec.Resources())
		}
	}
	probing := q.Trust(j, "") == jobs.Probing
	if q.Overdue(j) {
		most = min(most, 1+spec.TaskCount/tuning.BeginShare) // others behind it are overdue, too
	}
	tasks := q.unlent(q.pending(j, min(most, room+tuning.WaitingEach, q.unstarted(j))), p)
	if probing {
		tasks = q.probe(j)
	}
	if len(tasks) == 0 {
		return 1
	}
	zones := q.zonesLent(j, p)
	cands = q.gatherParts(spec, cands, len(tasks))
	var offers []placement
	looked := 0
	for i, t := range tasks {
		looked++
		if !p.account.Allows(leaf, spec.Amount(), 1) {
			// What the team has left waits for this task to fit; smaller ones
			// behind it would take it away for ever.
			p.full[leaf] = true
			p.rounds.starving = append(p.rounds.starving, j)
			q.giveBack(j, p)
			break
		}
		within := p.account.Entitled(leaf, spec.Amount(), 1)
		k := q.pickFor(t, cands, zones)
		if k < 0 {
			if !spec.SameZone && !spec.SpreadZones && t.Zone == "" && len(t.FailedOn) == 0 {
				p.refuse(spec, 1)
			}
			if probing {
				break // no machine is rented, kept or cleared for it
			}
			if i > 0 {
				delete(q.noRoom, j.ID) // some of it found room
			}
			q.wait(j, tasks[i:], within, zones, p)
			break
		}
		c := &cands[k]
		if !probing &&
			q.clearCached(&Waiting{Task: t, Priority: spec.PriorityOrder(), Entitled: within, zones: zones}, c.Machine, p) {
			c.Free = c.Free.Sub(spec.Resources())
			p.account.Charge(spec.QuotaKey(), spec.Amount(), 1)
			continue
		}
		offers = append(offers, placement{t, c.Machine})
		p.account.Charge(spec.QuotaKey(), spec.Amount(), 1)
		c.Free = c.Free.Sub(spec.Resources())
		c.Load = c.Capacity.Sub(c.Free).ShareOf(c.Capacity)
		zones[c.Zone]++
		if !c.HasImage && spec.ImageGB > 0 {
			c.HasImage = true // for the next of them
		}
	}
	if len(offers) == len(tasks) {
		delete(q.noRoom, j.ID)
	}
	if q.gathers(j, len(offers), room) {
		for _, o := range offers {
			p.keep(q, o.machine, spec.Resources())
		}
		return looked
	}
	p.ds = append(p.ds, q.releasing(j, offers)...)
	return looked
}

// wait notes tasks that found no room: they keep their turn, and a machine is
// kept for the first of them.
func (q *Queue) wait(j *clusterstate.Job, tasks []*clusterstate.Task, entitled int, zones map[string]int, p *cycle) {
	spec := &j.Record.Spec
	if p.rounds.second {
		return
	}
	long := q.lacksRoom(j)
	count := p.account.More(q.QuotaLeaf(spec), spec.Amount(), q.unstarted(j))
	if count == 0 {
		return
	}
	p.account.Charge(spec.QuotaKey(), spec.Amount(), count)
	if long {
		p.rounds.long = append(p.rounds.long, round{j, count})
	}
	q.Waiting = append(
		q.Waiting,
		&Waiting{
			Task:     tasks[0],
			Tasks:    tasks[:min(count, len(tasks))],
			Count:    count,
			Priority: spec.PriorityOrder(),
			Entitled: entitled,
		},
	)
	q.holdFor(tasks[0], min(count, tuning.HoldEach), zones, p)
}

// gathers tells whether the few tasks of a sweep that there is room for should
// wait a moment for more of them, to share a slice. Their room is kept.
func (q *Queue) gathers(j *clusterstate.Job, offers, room int) bool {
	if !q.Scarce() || q.HasSpareWrites() || q.UsesBatches() || j.Record.Spec.Kind != jobs.JobArray || offers == 0 ||
		offers >= min(tuning.GatherTasks, j.Record.Spec.TaskCount-j.DoneCount-len(j.Active)) || offers < room {
		j.GatheringSince = time.Time{}
		return false
	}
	if j.GatheringSince.IsZero() {
		j.GatheringSince = q.Now
	}
	if q.Now.Sub(j.GatheringSince) < tuning.GatherFor {
		return true
	}
	j.GatheringSince = time.Time{}
	return false
}

// releasing is the decisions that give tasks to the parts of the machines in
// mind; those of the leader's own part are placed at once. New tasks of a part
// make a slice: it does not matter which of a job's tasks goes where, so each
// part gets consecutive ones.
func (q *Queue) releasing(j *clusterstate.Job, offers []placement) []decide.Decision {
	var ds []decide.Decision
	byPart := map[string][]string{}
	var fresh []*clusterstate.Task
	packs := q.UsesBatches()
	for _, o := range offers {
		if spec := &j.Record.Spec; packs && spec.Kind == jobs.JobArray && (o.t.Stored == nil || o.t.Stored.IsBatch()) {
			if d, ok := q.packing(o); ok {
				ds = append(ds, d)
			}
			continue
		}
		if o.t.Stored != nil {
			if d, ok := q.releaseOld(o); ok {
				ds = append(ds, d)
			}
			continue
		}
		fresh = append(fresh, o.t)
		part := q.Machines[o.machine].Owner
		byPart[part] = append(byPart[part], o.machine)
	}
	slices.SortFunc(fresh, func(a, b *clusterstate.Task) int { return a.Index - b.Index })
	for _, part := range clusterstate.SortedKeys(byPart) {
		machines := byPart[part]
		for len(machines) > 0 {
			k := q.run(fresh, len(machines))
			ds = append(ds, q.beginTaskRange(j, fresh[:k], machines[:k], q.ours, 1))
			fresh, machines = fresh[k:], machines[k:]
		}
	}
	return ds
}

// packing is the decision that gives a task to a part in a new pack, with all else
// that goes to that part in the same transaction. One that has been tried before
// leaves its pack for that: the owner of the machine that it goes to writes it next.
func (q *Queue) packing(o placement) (decide.Decision, bool) {
	m := q.Machines[o.machine]
	d := decide.Decision{ReadSet: []string{jobs.JobPrefix + o.t.Job.ID}}
	var next jobs.Task
	var ok bool
	if q.ours(o.t, m) {
		d.ReadSet = append(d.ReadSet, fleet.MachinePrefix+o.machine)
		next, ok = q.placed(o.t, o.machine, m.Zone, o.t.Attempt+1)
	} else {
		next, ok = q.released(o.t, m)
	}
	if !ok {
		return d, false
	}
	if o.t.Stored != nil {
		d.Changes = []decide.Change{{Task: o.t, Next: next, LeavesBatch: true}}
	}
	d.BatchEntries = []decide.BatchEntry{
		{Controller: m.Owner, Entry: taskbatch.Entry{JobID: o.t.Job.ID, Index: o.t.Index, Task: next}},
	}
	taskID := o.t.ID
	d.OnSettled = func(bool) { q.Unreserve(taskID) }
	return d, true
}

// released is a task's record given to the part of a machine that the leader has room
// in mind on; it books the place.
func (q *Queue) released(t *clusterstate.Task, m *clusterstate.Machine) (jobs.Task, bool) {
	next, ok := jobs.NextTask(
		t.Task,
		jobs.TaskEvent{Kind: jobs.Release, Controller: m.Owner, Zone: m.Zone, PreferredMachine: m.Name},
	)
	if ok {
		q.Reserve(t, m.Name, m.Zone)
	}
	return next, ok
}

// releaseOld gives a task to a part once more.
func (q *Queue) releaseOld(o placement) (decide.Decision, bool) {
	m := q.Machines[o.machine]
	if q.ours(o.t, m) {
		return q.placing(o.t, o.machine, m.Zone, o.t.Attempt+1)
	}
	next, ok := q.released(o.t, m)
	if !ok {
		return decide.Decision{}, false
	}
	taskID := o.t.ID
	return decide.Decision{
		Changes:   decide.TransitionTask(o.t, next),
		ReadSet:   []string{jobs.JobPrefix + o.t.Job.ID},
		OnSettled: func(bool) { q.Unreserve(taskID) },
	}, true
}

// beginTaskRange is the decision that begins a slice of consecutive tasks that
// have never been released. The key must not exist yet. Tasks that place allows
// are placed at once, the others are released to the machine's part.
func (q *Queue) beginTaskRange(
	j *clusterstate.Job,
	tasks []*clusterstate.Task,
	machines []string,
	place func(*clusterstate.Task, *clusterstate.Machine) bool,
	attempt uint64,
) decide.Decision {
	d := decide.Decision{ReadSet: []string{jobs.JobPrefix + j.ID}}
	records := make([]jobs.Task, len(tasks))
	for i, t := range tasks {
		m := q.Machines[machines[i]]
		if place(t, m) {
			records[i], _ = q.placed(t, machines[i], m.Zone, attempt)
			if key := fleet.MachinePrefix + machines[i]; !slices.Contains(d.ReadSet, key) {
				d.ReadSet = append(d.ReadSet, key)
			}
			continue
		}
		records[i], _ = q.released(t, m)
	}
	d.Writes = []store.Write{
		{Put: jobs.TaskRangeKey(j.ID, tasks[0].Index), Value: jobs.EncodeTaskRange(records, q.ValueBytes)},
	}
	d.OnSettled = func(bool) {
		for _, t := range tasks {
			q.Unreserve(t.ID)
		}
	}
	return d
}

// ours tells whether the leader may place a task itself: in its own part, and
// where changes are scarce in every part, by the machine's record.
func (q *Queue) ours(t *clusterstate.Task, m *clusterstate.Machine) bool {
	if m.Owner != q.Name {
		return q.Scarce() && q.offers(t, m)
	}
	return q.CanPlace(t, m)
}

func always(*clusterstate.Task, *clusterstate.Machine) bool { return true }

func never(*clusterstate.Task, *clusterstate.Machine) bool { return false }

// run is how many of the first of fresh tasks, up to most, are consecutive.
func (q *Queue) run(fresh []*clusterstate.Task, most int) int {
	k := 1
	for k < most && k < len(fresh) && k < q.MaxRangeTasks && fresh[k].Index == fresh[0].Index+k {
		k++
	}
	return k
}
