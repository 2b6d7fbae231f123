package node

import (
	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/gangs"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/parts"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/reclaim"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// leader is what only the leader keeps. A new leader starts it anew from the
// mirror and the cloud's list.
type leader struct {
	closing    map[string]bool
	avoid      map[string]time.Time // machines not offered for a while
	preempted  map[string]making    // tasks that room is made for
	holds      map[string]hold      // machines kept, by job
	claiming   map[string]bool      // gangs whose machines are being claimed
	since      time.Time            // when this node came to lead
	condemnAt  time.Time
	movedAt    time.Time
	releasedAt time.Time  // last look at the queue
	turn       int        // which duty has the first go at the budget
	waiting    []*Waiting // tasks that found no room in the last pass
	cloud      cloudState
}

// waiting is queued tasks of one job that may run by their team's limit but have
// found no room.
type Waiting struct {
	Task   *book.Task   // the first of them
	Tasks  []*book.Task // the first few
	Count  int
	Rank   int
	Within bool // inside a guarantee
	// entitled is the node of the quotas' tree whose guarantee that is.
	Entitled int
}

// making is room being made for a task by stopping others.
type making struct {
	until  time.Time // not again before
	cached bool      // on a machine that holds its image
}

func (l *leader) reset() {
	*l = leader{closing: map[string]bool{}, avoid: map[string]time.Time{}, preempted: map[string]making{}, holds: map[string]hold{}, claiming: map[string]bool{}}
	l.cloud.reset()
}

// leaderPass does what only the leader does.
func (n *Node) leaderPass() {
	if n.role != members.Leader {
		return
	}
	n.cloudPass()
	if n.client.Down() {
		return
	}
	n.quotaPass()
	n.dropClaims()
	// Where the budget does not allow all, each gets its turn.
	duties := []func(){n.closeJobs, n.condemnPass, n.takeBack, n.releasePass}
	for i := range duties {
		duties[(n.lead.turn+i)%len(duties)]()
	}
	n.lead.turn++
	n.moveReplicas()
}

// releasePass looks at the queue. While no change can be made, room that comes
// free is gathered: the next look gives it away in fewer and larger slices.
func (n *Node) releasePass() {
	least := 1
	if n.scarce() {
		least = tuning.BatchLeast
	}
	if !n.quotaSettled() {
		return
	}
	if n.client.Allows(0, least) || n.Now.Sub(n.lead.releasedAt) > tuning.ReleaseLate {
		n.lead.releasedAt = n.Now
		n.release()
	}
}

// closeJobs ends jobs whose tasks are done and clears the records of closed
// ones.
func (n *Node) closeJobs() {
	for _, uid := range sorted(n.Complete) {
		j := n.Complete[uid]
		if n.lead.closing[uid] || n.busy[jobs.JobPrefix+uid] {
			continue
		}
		next, ok := jobs.NextJob(j.Rec.State, jobs.TasksAllDone)
		if !ok {
			continue
		}
		if d, whole := n.closeWhole(j, next); whole {
			n.commit([]decide.Decision{d})
			continue
		}
		n.lead.closing[uid] = true
		n.close(j, next, store.Decision, func(bool) { delete(n.lead.closing, uid) })
	}
	// Clearing is in no hurry and must not hold up decisions that are.
	var ds []decide.Decision
	for _, uid := range sorted(n.Closed) {
		if len(ds) >= n.set.Cluster.State.TxnOps || !n.client.Spare() {
			break
		}
		ds = append(ds, n.clear(n.Closed[uid])...)
	}
	n.commit(ds)
}

// closeWhole is the urgent decision that writes a job's final state and removes
// its live records in one, when none of its tasks may be on a machine any more and
// one transaction holds it all.
func (n *Node) closeWhole(j *book.Job, state jobs.JobState) (decide.Decision, bool) {
	if len(j.Active) > 0 || len(j.Slices)+2 > n.set.Cluster.State.TxnOps {
		return decide.Decision{}, false
	}
	for _, sl := range j.Slices {
		if n.busy[sl.Key] {
			return decide.Decision{}, false
		}
	}
	return n.finalWrites(j, state), true
}

// finalWrites is the decision that writes a job's final state in place of its
// live records. Urgent: users wait for it, the records do not change any more,
// and as a large decision it would never find the budget that small ones leave.
func (n *Node) finalWrites(j *book.Job, state jobs.JobState) decide.Decision {
	d := decide.Decision{Urgent: true, Writes: []store.Write{
		decide.Put(jobs.FinalPrefix+j.UID, jobs.Final{State: state, Done: j.Rec.Spec.Pieces}),
		decide.Remove(jobs.JobPrefix + j.UID),
	}}
	for _, from := range slices.Sorted(maps.Keys(j.Slices)) {
		d.Writes = append(d.Writes, decide.Remove(j.Slices[from].Key))
	}
	d.Ends = true
	return d
}

// clear removes the records of a closed job: those of slices without a task on
// a machine, and the job's own once no slice is left.
func (n *Node) clear(j *book.Job) []decide.Decision {
	if len(j.Slices) == 0 {
		return []decide.Decision{{Writes: []store.Write{decide.Remove(jobs.JobPrefix + j.UID)}}}
	}
	var ds []decide.Decision
	for _, from := range slices.Sorted(maps.Keys(j.Slices)) {
		sl := j.Slices[from]
		rest := true
		for _, t := range sl.Tasks {
			rest = rest && !t.On() && t.State != book.Unreadable
		}
		if rest && !n.busy[sl.Key] && len(ds) < n.set.Cluster.State.TxnOps {
			ds = append(ds, decide.Decision{Writes: []store.Write{decide.Remove(sl.Key)}})
		}
	}
	return ds
}

// takeBack withdraws tasks that their part did not place.
func (n *Node) takeBack() {
	var ds []decide.Decision
	for _, piece := range sorted(n.Released) {
		t := n.Released[piece]
		gone := n.view.Inc(t.Part) == 0
		if !gone && n.Now.Sub(t.Since) < tuning.ReleaseStale {
			continue
		}
		if !gone && t.Want != "" {
			n.lead.avoid[t.Want] = n.Now.Add(tuning.AvoidAfter)
		}
		next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.TakeBack})
		if ok && !n.busy[t.Slice.Key] {
			ds = append(ds, decide.Decision{Changes: decide.Become(t, next)})
		}
	}
	n.commit(ds)
}

// dropClaims clears claims that an earlier leader left.
func (n *Node) dropClaims() {
	var ds []decide.Decision
	for _, m := range n.ByName() {
		if m.Claim != "" && !n.lead.claiming[m.Claim] {
			rec := m.Host
			rec.Claim = ""
			ds = append(ds, decide.Decision{Writes: []store.Write{decide.Put(fleet.HostPrefix+m.Name, rec)}})
		}
	}
	n.commit(ds)
}

// queue orders the live jobs that wait: by rank, then what lies within a
// guarantee, then by the time by which they must start to meet their aim.
func (n *Node) queue(account *quota.Account) []*book.Job {
	a := account
	type entry struct {
		j     *book.Job
		rank  int
		turn  int // 0: within its team's guarantee
		leaf  int
		late  bool
		room  float64
		start int64
	}
	late := func(r *jobs.Record, start int64) bool { return start >= r.AtMs+tuning.QueueHorizon.Milliseconds() }
	q := make([]entry, 0, len(n.Queued))
	for _, j := range n.Queued {
		spec := &j.Rec.Spec
		leaf := n.Leaf(spec)
		entitled := a.Entitled(leaf, spec.Amount(), 1)
		turn := a.Tree().Turn(entitled, leaf)
		start := n.startBy(j.Rec, turn == 0)
		q = append(q, entry{j, spec.RankOrder(), turn, leaf, late(j.Rec, start), spec.Accel * float64(spec.Pieces-j.Done), start})
	}
	sort.Slice(q, func(x, y int) bool {
		a, b := &q[x], &q[y]
		switch {
		case a.rank != b.rank:
			return a.rank < b.rank
		case a.turn != b.turn:
			return a.turn < b.turn
		case a.turn > 0 && account.Compare(a.leaf, b.leaf) != 0:
			return account.Compare(a.leaf, b.leaf) < 0
		case a.late != b.late:
			return !a.late
		case !a.late && a.room != b.room:
			return a.room < b.room
		case a.start != b.start:
			return a.start < b.start
		}
		return a.j.UID < b.j.UID
	})
	out := make([]*book.Job, len(q))
	for i := range q {
		out[i] = q[i].j
	}
	return out
}

// startBy is the time by which a job must start to meet the next of its
// class's aims that it still can; a job that has missed them all comes after
// those that have not, until it has waited very long.
func (n *Node) startBy(r *jobs.Record, within bool) int64 {
	late := r.AtMs + tuning.QueueHorizon.Milliseconds()
	best := late
	consider := func(seconds float64) {
		if t := r.AtMs + int64(seconds*1000); t > n.ms() && t < best {
			best = t
		}
	}
	for _, o := range n.set.Cluster.Objectives {
		switch {
		case o.Kind == "guarantee" && within, o.Kind == "wait" && o.Class == r.Spec.Class:
			consider(o.WithinS)
		case o.Kind == "finished" && o.Class == r.Spec.Class:
			consider(o.WithinS - r.Spec.ExpectS)
		}
	}
	if r.Spec.DueS != nil {
		consider(*r.Spec.DueS - r.Spec.ExpectS)
	}
	return best
}

// pending lists up to most tasks of a job that wait, those that have tried
// before first.
func (n *Node) pending(j *book.Job, most int) []*book.Task {
	var out []*book.Task
	for _, t := range j.Again {
		if t.After <= n.ms() && !n.busy[t.Slice.Key] {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].N < out[b].N })
	for j.Free < j.Rec.Spec.Pieces && j.Tasks[j.Free] != nil {
		j.Free++
	}
	// Where a slice cannot be read, nobody knows which tasks it holds.
	for i := j.Free; i < j.Rec.Spec.Pieces && len(out) < most && !j.Unreadable; i++ {
		if j.Tasks[i] != nil {
			continue
		}
		piece := jobs.Piece(j.UID, i)
		if _, booked := n.Reserved[piece]; !booked {
			out = append(out, &book.Task{Task: jobs.Task{State: jobs.Pending}, Piece: piece, N: i, Job: j})
		}
	}
	if len(out) > most {
		out = out[:most]
	}
	return out
}

// offer is a task with the machine that the leader has room in mind on.
type offer struct {
	t    *book.Task
	host string
}

// pass is what one look at the queue keeps: what is being considered is
// charged, and room is kept for tasks that wait.
type pass struct {
	account  *quota.Account
	held     map[string]bool      // machines kept for tasks that fit nowhere
	holds    []parts.Room         // room kept, to be given back when the pass ends
	hosts    []string             // where
	full     map[int]bool         // leaves whose next task does not fit their limits
	nowhere  map[string][]refusal // what found no room, by where it may go
	searches int                  // looks for tasks to stop
	stopping map[*book.Task]bool  // to be stopped by this pass
	chosen   int                  // machines newly chosen to be kept
	ds       []decide.Decision
	machines []*book.Machine   // those that the leader may have room on in mind
	cands    []parts.Candidate // room for the board of one job after another
}

// board lists the machines with room for a task; it holds until the next.
func (p *pass) board(n *Node, t *book.Task) []parts.Candidate {
	p.cands = n.board(p.cands, p.open(n), func(m *book.Machine) bool { return book.Suits(t, m) }, &t.Job.Rec.Spec)
	return p.cands
}

// open lists the machines that the leader may have room on in mind. It is the
// same for every job of a pass, and a look at a machine's standing costs more
// than one at its room.
func (p *pass) open(n *Node) []*book.Machine {
	if p.machines == nil {
		for _, m := range n.ByName() {
			if m.State == fleet.Up && n.openFor(m) {
				p.machines = append(p.machines, m)
			}
		}
	}
	return p.machines
}

// writes is how many records the pass's decisions write, at most.
func (p *pass) writes() int {
	sum := 0
	for i := range p.ds {
		sum += len(p.ds[i].Writes) + len(p.ds[i].Changes)
	}
	return sum
}

// refusal is a need that found no room in this pass, for so many tasks at once.
type refusal struct {
	need   parts.Room
	pieces int
}

func (n *Node) newPass() *pass {
	return &pass{account: n.Account.Clone(), held: map[string]bool{}, full: map[int]bool{}, nowhere: map[string][]refusal{}, stopping: map[*book.Task]bool{}}
}

// keep takes room on a machine until the pass ends.
func (p *pass) keep(n *Node, host string, need parts.Room) {
	n.Occupy(host, need)
	p.hosts, p.holds = append(p.hosts, host), append(p.holds, need)
}

func (p *pass) end(n *Node) {
	for i, h := range p.hosts {
		n.Vacate(h, p.holds[i])
	}
}

// places names where a job may go at all.
func places(s *jobs.Spec, pieces int) string {
	key := s.Site + "/" + strings.Join(s.Builds, ",")
	if s.Loaner {
		key += "+"
	}
	if pieces > 1 && s.SamePlace {
		key += "="
	}
	return key
}

// hopeless tells whether the same or less found no room in this pass already.
func (p *pass) hopeless(s *jobs.Spec, pieces int) bool {
	for _, r := range p.nowhere[places(s, pieces)] {
		if r.pieces <= pieces && s.Need().Fits(r.need) {
			return true
		}
	}
	return false
}

// refuse notes that so many tasks of a job find no room in this pass.
func (p *pass) refuse(s *jobs.Spec, pieces int) {
	key := places(s, pieces)
	p.nowhere[key] = append(p.nowhere[key], refusal{s.Need(), pieces})
}

// release gives tasks to parts, within each team's limit. Once its decisions
// have used up the budget it looks no further: what it would decide could not be
// committed, and with a thousand jobs of one task waiting for changes, looking
// for a place for each of them on every pass took all of a controller's
// processor time (docs/incidents/ops-swarm.md).
func (n *Node) release() {
	p := n.newPass()
	before := n.stillWaiting()
	n.lead.waiting = nil
	budget, most := n.client.Allows(0, 1), tuning.MostReleases
	if !budget {
		most = tuning.MostLooks
	}
	seen := map[*book.Job]bool{}
	looked := 0
	for _, j := range n.queue(p.account) {
		if looked >= most || budget && !n.client.Allows(p.writes(), 1) {
			break
		}
		seen[j] = true
		spec := &j.Rec.Spec
		if p.full[n.Leaf(spec)] {
			continue
		}
		if spec.Shape == jobs.Ensemble && spec.Pieces > 1 {
			n.releaseGang(j, p)
			looked++
			continue
		}
		looked += n.releaseTasks(j, p, most-looked)
	}
	n.preempt(p)
	// What was not looked at waits as it did.
	for _, w := range before {
		if !seen[w.Task.Job] {
			n.lead.waiting = append(n.lead.waiting, w)
		}
	}
	p.end(n)
	n.commit(p.ds)
}

// stillWaiting lists what found no room when it was last looked at and whose
// job still waits.
func (n *Node) stillWaiting() []*Waiting {
	return slices.DeleteFunc(slices.Clone(n.lead.waiting), func(w *Waiting) bool { return n.Queued[w.Task.Job.UID] != w.Task.Job })
}

// releaseTasks releases what waits of a job of independent tasks or replicas,
// and returns how many tasks it looked at.
func (n *Node) releaseTasks(j *book.Job, p *pass, most int) int {
	spec := &j.Rec.Spec
	leaf := n.Leaf(spec)
	var cands []parts.Candidate
	room := 0
	if !p.hopeless(spec, 1) {
		probe := &book.Task{Job: j}
		cands = p.board(n, probe)
		if len(cands) == 0 {
			p.refuse(spec, 1)
		}
		enough := spec.Pieces - j.Done - len(j.Active)
		for i := 0; i < len(cands) && room <= enough; i++ {
			room += cands[i].Free.Times(spec.Need())
		}
	}
	probing := n.Trust(j, "") == jobs.Probing
	tasks := n.pending(j, min(most, room+tuning.WaitingEach, n.unstarted(j)))
	if probing {
		tasks = n.probe(j)
	}
	if len(tasks) == 0 {
		return 1
	}
	zones := n.Zones(j)
	cands = n.gatherParts(spec, cands, len(tasks))
	var offers []offer
	looked := 0
	for i, t := range tasks {
		looked++
		if !p.account.Allows(leaf, spec.Amount(), 1) {
			// What the team has left waits for this task to fit; smaller ones
			// behind it would take it away for ever.
			p.full[leaf] = true
			n.giveBack(j, p)
			break
		}
		within := p.account.Entitled(leaf, spec.Amount(), 1)
		k := n.pickFor(t, cands, zones)
		if k < 0 {
			if !spec.SamePlace && !spec.Scatter && t.Site == "" && len(t.Bad) == 0 {
				p.refuse(spec, 1)
			}
			if probing {
				break // no machine is rented, kept or cleared for it
			}
			n.wait(j, tasks[i:], within, zones, p)
			break
		}
		c := &cands[k]
		if !probing && n.clearCached(&Waiting{Task: t, Rank: spec.RankOrder(), Entitled: within, Within: within >= 0}, c.Host, p) {
			c.Free = c.Free.Sub(spec.Need())
			p.account.Charge(spec.Key(), spec.Amount(), 1)
			continue
		}
		offers = append(offers, offer{t, c.Host})
		p.account.Charge(spec.Key(), spec.Amount(), 1)
		c.Free = c.Free.Sub(spec.Need())
		c.Load = c.Whole.Sub(c.Free).Share(c.Whole)
		zones[c.Site]++
		if !c.Cached && spec.PullGB > 0 {
			c.Cached = true // for the next of them
		}
	}
	if n.gathers(j, len(offers), room) {
		for _, o := range offers {
			p.keep(n, o.host, spec.Need())
		}
		return looked
	}
	p.ds = append(p.ds, n.releasing(j, offers)...)
	return looked
}

// giveBack stops what others borrowed, where that alone keeps a job out of what it is
// guaranteed: in a tree the limit that it meets may be one that it shares.
func (n *Node) giveBack(j *book.Job, p *pass) {
	spec := &j.Rec.Spec
	entitled := p.account.Entitled(n.Leaf(spec), spec.Amount(), 1)
	if entitled < 0 || !p.account.Tree().Shaped() || n.Now.Before(n.lead.preempted[j.UID].until) {
		return
	}
	count := 0
	for try := p.account.Clone(); count < min(n.unstarted(j), tuning.GiveBackEach) && try.Entitled(n.Leaf(spec), spec.Amount(), 1) >= 0; count++ {
		try.Charge(spec.Key(), spec.Amount(), 1)
	}
	for _, s := range reclaim.For(n.Book, p.account, entitled, spec, count) {
		kind := jobs.Stop
		if s.Task.State == jobs.Released {
			kind = jobs.TakeBack
		}
		if next, ok := jobs.NextTask(s.Task.Task, jobs.TaskEvent{Kind: kind, Why: "gives back of " + s.Path + " what " + j.UID + " is guaranteed"}); ok && !p.stopping[s.Task] && !n.busy[s.Task.Slice.Key] {
			p.ds = append(p.ds, decide.Decision{Changes: decide.Become(s.Task, next)})
			p.stopping[s.Task] = true
			n.lead.preempted[j.UID] = making{until: n.Now.Add(tuning.ReclaimEvery)}
		}
	}
}

// probe is the one task that a job in doubt may try next, if any: the one that
// has failed most, whose pause is the longest.
func (n *Node) probe(j *book.Job) []*book.Task {
	if len(j.Active) > 0 {
		return nil
	}
	var most *book.Task
	for _, t := range j.Again {
		if n.busy[t.Slice.Key] {
			return nil
		}
		if most == nil || t.Fails > most.Fails || t.Fails == most.Fails && t.N < most.N {
			most = t
		}
	}
	if most == nil || most.After > n.ms() {
		return nil
	}
	return []*book.Task{most}
}

// scarce tells whether changes of the state service are few for the number of
// machines. Tasks of a job then go to few parts, several at a time, and the
// leader names their machines in the change that releases them: every slice and
// every step of it by itself is a change.
func (n *Node) scarce() bool {
	return float64(len(n.Machines)) > n.set.Cluster.State.WriteRPS
}

// gatherParts keeps, while changes are scarce, the candidates of as few parts
// as hold the tasks: those with the most room, images counted double. Cheap
// machines come first: ordinary ones of one part must not be taken while cheap
// ones of another have room.
func (n *Node) gatherParts(spec *jobs.Spec, cands []parts.Candidate, tasks int) []parts.Candidate {
	if !n.scarce() || spec.Shape != jobs.Sweep || tasks == 1 {
		return cands
	}
	var out []parts.Candidate
	for _, cheap := range []bool{true, false} {
		var some []parts.Candidate
		for _, c := range cands {
			if c.Loaner == cheap {
				some = append(some, c)
			}
		}
		if tasks > 0 {
			some, tasks = fewestParts(spec, some, tasks)
			out = append(out, some...)
		}
	}
	return out
}

// fewestParts keeps the candidates of as few parts as hold the tasks, and
// returns how many tasks are left over.
func fewestParts(spec *jobs.Spec, cands []parts.Candidate, tasks int) ([]parts.Candidate, int) {
	room, cached := map[string]int{}, map[string]int{}
	for i := range cands {
		k := cands[i].Free.Times(spec.Need())
		room[cands[i].Part] += k
		if cands[i].Cached {
			cached[cands[i].Part] += k
		}
	}
	order := sorted(room)
	score := func(part string) int { return min(room[part], tasks) + min(cached[part], tasks) }
	sort.SliceStable(order, func(a, b int) bool { return score(order[a]) > score(order[b]) })
	use := map[string]bool{}
	left := tasks
	for _, part := range order {
		if left <= 0 {
			break
		}
		use[part] = true
		left -= room[part]
	}
	return slices.DeleteFunc(cands, func(c parts.Candidate) bool { return !use[c.Part] }), left
}

// gathers tells whether the few tasks of a sweep that there is room for should
// wait a moment for more of them, to share a slice. Their room is kept.
func (n *Node) gathers(j *book.Job, offers, room int) bool {
	if !n.scarce() || n.client.Spare() || j.Rec.Spec.Shape != jobs.Sweep || offers == 0 ||
		offers >= min(tuning.GatherTasks, j.Rec.Spec.Pieces-j.Done-len(j.Active)) || offers < room {
		j.Gather = time.Time{}
		return false
	}
	if j.Gather.IsZero() {
		j.Gather = n.Now
	}
	if n.Now.Sub(j.Gather) < tuning.GatherFor {
		return true
	}
	j.Gather = time.Time{}
	return false
}

// pickFor is the best candidate for one of a job's tasks, or -1.
func (n *Node) pickFor(t *book.Task, cands []parts.Candidate, zones map[string]int) int {
	spec := &t.Job.Rec.Spec
	return parts.PickIf(spec.Need(), spec.Loaner, cands, func(c *parts.Candidate) bool {
		return book.ZoneAllowed(spec, zones, c.Site) && (t.Site == "" || t.Site == c.Site) && !slices.Contains(t.Bad, c.Host)
	})
}

// unstarted is how many more tasks of a job may start by now. Of a very large one
// only so many are under way at once: with all of 100,000 tasks of some seconds on
// machines, their reports took all of the controllers' processor time.
func (n *Node) unstarted(j *book.Job) int {
	return max(0, min(j.Rec.Spec.Pieces-j.Done, tuning.MostActive)-len(j.Active))
}

// wait notes tasks that found no room: they keep their turn, and a machine is
// kept for the first of them.
func (n *Node) wait(j *book.Job, tasks []*book.Task, entitled int, zones map[string]int, p *pass) {
	spec := &j.Rec.Spec
	count := p.account.More(n.Leaf(spec), spec.Amount(), n.unstarted(j))
	if count == 0 {
		return
	}
	p.account.Charge(spec.Key(), spec.Amount(), count) // keeps its turn
	n.lead.waiting = append(n.lead.waiting, &Waiting{Task: tasks[0], Tasks: tasks[:min(count, len(tasks))], Count: count, Rank: spec.RankOrder(), Entitled: entitled, Within: entitled >= 0})
	n.holdFor(tasks[0], min(count, tuning.HoldEach), zones, p)
}

// releasing is the decisions that give tasks to the parts of the machines in
// mind; those of the leader's own part are placed at once. New tasks of a part
// make a slice: it does not matter which of a job's tasks goes where, so each
// part gets consecutive ones.
func (n *Node) releasing(j *book.Job, offers []offer) []decide.Decision {
	var ds []decide.Decision
	byPart := map[string][]string{}
	var fresh []*book.Task
	for _, o := range offers {
		if o.t.Slice != nil {
			if d, ok := n.releaseOld(o); ok {
				ds = append(ds, d)
			}
			continue
		}
		fresh = append(fresh, o.t)
		part := n.Machines[o.host].Owner
		byPart[part] = append(byPart[part], o.host)
	}
	slices.SortFunc(fresh, func(a, b *book.Task) int { return a.N - b.N })
	for _, part := range sorted(byPart) {
		hosts := byPart[part]
		for len(hosts) > 0 {
			k := n.run(fresh, len(hosts))
			ds = append(ds, n.beginSlice(j, fresh[:k], hosts[:k], n.ours, 1))
			fresh, hosts = fresh[k:], hosts[k:]
		}
	}
	return ds
}

// releaseOld gives a task to a part once more.
func (n *Node) releaseOld(o offer) (decide.Decision, bool) {
	m := n.Machines[o.host]
	if n.ours(o.t, m) {
		return n.placing(o.t, o.host, m.Site, o.t.Try+1)
	}
	next, ok := jobs.NextTask(o.t.Task, jobs.TaskEvent{Kind: jobs.Release, Part: m.Owner, Site: m.Site, Want: o.host})
	if !ok {
		return decide.Decision{}, false
	}
	n.Reserve(o.t, o.host, m.Site)
	piece := o.t.Piece
	return decide.Decision{
		Changes: decide.Become(o.t, next),
		Seen:    []string{jobs.JobPrefix + o.t.Job.UID},
		Done:    func(bool) { n.Unreserve(piece) },
	}, true
}

// beginSlice is the decision that begins a slice of consecutive tasks that
// have never been released. The key must not exist yet. Tasks that place allows
// are placed at once, the others are released to the machine's part.
func (n *Node) beginSlice(j *book.Job, tasks []*book.Task, hosts []string, place func(*book.Task, *book.Machine) bool, try uint64) decide.Decision {
	d := decide.Decision{Seen: []string{jobs.JobPrefix + j.UID}}
	records := make([]jobs.Task, len(tasks))
	for i, t := range tasks {
		m := n.Machines[hosts[i]]
		if place(t, m) {
			records[i], _ = n.placed(t, hosts[i], m.Site, try)
			if key := fleet.HostPrefix + hosts[i]; !slices.Contains(d.Seen, key) {
				d.Seen = append(d.Seen, key)
			}
			continue
		}
		records[i], _ = jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Release, Part: m.Owner, Site: m.Site, Want: hosts[i]})
		n.Reserve(t, hosts[i], m.Site)
	}
	d.Writes = []store.Write{{Put: jobs.SliceKey(j.UID, tasks[0].N), Value: jobs.EncodeSlice(records, n.sliceLimit())}}
	d.Done = func(bool) {
		for _, t := range tasks {
			n.Unreserve(t.Piece)
		}
	}
	return d
}

// ours tells whether the leader may place a task itself: in its own part, and
// where changes are scarce in every part, by the machine's record.
func (n *Node) ours(t *book.Task, m *book.Machine) bool {
	if m.Owner != n.set.NodeName {
		return n.scarce() && n.offers(t, m)
	}
	return n.canPlace(t, m)
}

func always(*book.Task, *book.Machine) bool { return true }

func never(*book.Task, *book.Machine) bool { return false }

// run is how many of the first of fresh tasks, up to most, are consecutive.
func (n *Node) run(fresh []*book.Task, most int) int {
	k := 1
	for k < most && k < len(fresh) && k < n.sliceMost() && fresh[k].N == fresh[0].N+k {
		k++
	}
	return k
}

// offers tells whether the leader may have room on a machine in mind.
func (n *Node) offers(t *book.Task, m *book.Machine) bool { return n.openFor(m) && book.Suits(t, m) }

// openFor tells whether the leader may have room on a machine in mind at all.
func (n *Node) openFor(m *book.Machine) bool {
	return m.Claim == "" && !n.Now.Before(n.lead.avoid[m.Name]) && n.ready(m)
}

// findHost picks the machine to have in mind for a task.
func (n *Node) findHost(t *book.Task, zones map[string]int) string {
	cands := n.board(nil, n.ByName(), func(m *book.Machine) bool { return n.offers(t, m) }, &t.Job.Rec.Spec)
	if i := n.pickFor(t, cands, zones); i >= 0 {
		return cands[i].Host
	}
	return ""
}

// holdFor keeps a machine for a task that needs more room than is free
// anywhere: the one with the most free. Without it, smaller tasks further back
// in the queue would take every place that comes free, one by one, for as long
// as there are any.
//
// What is kept for a job is chosen anew from time to time only: choosing means
// a look at every machine for each.
func (n *Node) holdFor(t *book.Task, count int, zones map[string]int, p *pass) {
	spec := &t.Job.Rec.Spec
	kept := n.lead.holds[t.Job.UID]
	zones = maps.Clone(zones)
	if n.Now.Sub(kept.at) > tuning.HoldAgain {
		kept = hold{at: n.Now}
		for range count {
			if float64(len(p.held)+1) > tuning.HoldShare*float64(len(n.Machines)) || p.chosen >= tuning.HoldMost {
				break
			}
			p.chosen++
			m := n.fullest(t, zones, p)
			if m == nil {
				break
			}
			kept.hosts = append(kept.hosts, m.Name)
			p.held[m.Name] = true
			zones[m.Site]++
		}
		n.lead.holds[t.Job.UID] = kept
	}
	for _, h := range kept.hosts {
		if n.Machines[h] != nil {
			p.held[h] = true
			p.keep(n, h, spec.Need())
		}
	}
}

// hold is the machines kept for a job.
type hold struct {
	hosts []string
	at    time.Time
}

// fullest is the machine that lacks least for a task.
func (n *Node) fullest(t *book.Task, zones map[string]int, p *pass) *book.Machine {
	spec := &t.Job.Rec.Spec
	var best *book.Machine
	most := -1.0
	for _, m := range p.open(n) {
		if p.held[m.Name] || !book.Suits(t, m) || !book.ZoneAllowed(spec, zones, m.Site) {
			continue
		}
		whole := n.Builds[m.Build].Whole()
		if !whole.Fits(spec.Need()) {
			continue
		}
		// By how much of the task would fit.
		if part := 1 / max(spec.Need().Share(whole.Sub(m.Use.Room)), 1e-9); part > most {
			best, most = m, part
		}
	}
	return best
}

// lowerRuns tells whether any task of a lower rank is on a machine.
func (n *Node) lowerRuns(rank int) bool {
	for _, count := range n.OnRank[rank+1:] {
		if count > 0 {
			return true
		}
	}
	return false
}

// preempt makes room for waiting tasks by stopping tasks of lower rank, and for
// those inside their team's guarantee also by stopping what other teams run
// beyond theirs. One machine at a time is cleared for a task, and not again for
// a while.
func (n *Node) preempt(p *pass) {
	for _, w := range n.lead.waiting {
		spec := &w.Task.Job.Rec.Spec
		if !w.Within && !n.lowerRuns(w.Rank) || spec.Shape == jobs.Ensemble && spec.Pieces > 1 {
			continue
		}
		for _, t := range w.Tasks {
			if !n.Now.Before(n.lead.preempted[t.Piece].until) {
				n.stopFor(&Waiting{Task: t, Rank: w.Rank, Within: w.Within, Entitled: w.Entitled}, false, p)
			}
		}
	}
	for piece, m := range n.lead.preempted {
		if n.Now.After(m.until) {
			delete(n.lead.preempted, piece)
		}
	}
	for uid, h := range n.lead.holds {
		if n.Now.Sub(h.at) > tuning.HoldAgain {
			delete(n.lead.holds, uid)
		}
	}
}

// moveReplicas empties draining machines of replicas, which would otherwise
// keep them for ever: one is stopped where another machine has room for it and
// holds its image, so that it is away for a moment only. A few at a time.
func (n *Node) moveReplicas() {
	if n.Now.Sub(n.lead.movedAt) < tuning.MoveEvery {
		return
	}
	n.lead.movedAt = n.Now
	most := max(1, int(tuning.MovesShare*float64(len(n.Machines))))
	var ds []decide.Decision
	for _, h := range sorted(n.summary.Drain) {
		for _, piece := range sorted(n.OnHost[h]) {
			t := n.OnHost[h][piece]
			if t.Job.Rec == nil || t.State != jobs.Placed || !t.Ran && n.owner(h) == n.set.NodeName || t.Job.Rec.Spec.Shape != jobs.Standing ||
				n.Now.Sub(t.Since) < tuning.MoveAfter || len(ds) >= most {
				continue
			}
			zones := n.Zones(t.Job)
			if m := n.Machines[h]; m != nil {
				zones[m.Site]--
			}
			to := n.findHost(t.Anywhere(), zones)
			if to == "" || !n.Cached(to, t.Job.Rec.Spec.Bundle) {
				continue
			}
			next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Stop, Why: "moved off a draining machine"})
			if ok {
				ds = append(ds, decide.Decision{Changes: decide.Become(t, next)})
			}
		}
	}
	n.commit(ds)
}

// stopFor stops tasks to make room for a waiting one. It tells whether it did.
func (n *Node) stopFor(w *Waiting, onlyCached bool, p *pass) bool {
	if p.searches >= tuning.MostSearches {
		return false
	}
	p.searches++
	var ds []decide.Decision
	for _, v := range n.victims(w, p, onlyCached) {
		if next, ok := jobs.NextTask(v.Task, jobs.TaskEvent{Kind: jobs.Stop, Why: "makes room for " + w.Task.Piece}); ok {
			ds = append(ds, decide.Decision{Changes: decide.Become(v, next)})
			p.stopping[v] = true
		}
	}
	if len(ds) > 0 {
		n.lead.preempted[w.Task.Piece] = making{n.Now.Add(tuning.PreemptAgain), onlyCached}
	}
	p.ds = append(p.ds, ds...)
	return len(ds) > 0
}

// clearCached tells whether a task should wait a moment for room on a machine
// that holds its image rather than go to one that would have to fetch it: when
// the fetch would take it past its aim, and it may stop others there.
func (n *Node) clearCached(w *Waiting, host string, p *pass) bool {
	rec := w.Task.Job.Rec
	if (w.Rank > 1 && !w.Within) || n.Cached(host, rec.Spec.Bundle) {
		return false
	}
	rate := n.Builds[n.Machines[host].Build].PullRate
	aim := n.startAim(rec, w.Within)
	if rate <= 0 || aim < n.ms() || n.ms()+int64(rec.Spec.PullGB/rate*1000) <= aim {
		return false
	}
	if m := n.lead.preempted[w.Task.Piece]; n.Now.Before(m.until) {
		// Room is being made; if it does not come at once, go elsewhere. What
		// has been found already is kept meanwhile: others would take it.
		if !m.cached || m.until.Sub(n.Now) < tuning.PreemptAgain-tuning.ClearWait {
			return false
		}
		p.keep(n, host, rec.Spec.Need())
		return true
	}
	if !n.stopFor(w, true, p) {
		return false
	}
	p.keep(n, host, rec.Spec.Need())
	return true
}

// startAim is the next time by which a class's tasks should have started, 0
// when there is none.
func (n *Node) startAim(r *jobs.Record, within bool) int64 {
	var best int64
	for _, o := range n.set.Cluster.Objectives {
		if (o.Kind == "guarantee" && within) || (o.Kind == "wait" && o.Class == r.Spec.Class) {
			if t := r.AtMs + int64(o.WithinS*1000); t > n.ms() && (best == 0 || t < best) {
				best = t
			}
		}
	}
	return best
}

// yields tells whether a running task has to make way for a waiting one.
func (n *Node) yields(w *Waiting, t *book.Task, account *quota.Account) bool {
	spec := &t.Job.Rec.Spec
	if spec.RankOrder() > w.Rank {
		return true
	}
	return w.Within && spec.Shape != jobs.Standing && account.Yields(w.Entitled, n.Leaf(spec), spec.Amount())
}

// victims finds the machine where stopping the fewest tasks makes room, one
// with the image if there is any.
func (n *Node) victims(w *Waiting, p *pass, onlyCached bool) []*book.Task {
	spec := &w.Task.Job.Rec.Spec
	zones := n.Zones(w.Task.Job)
	var best []*book.Task
	cached := false
	for _, m := range n.ByName() {
		h := m.Name
		if m.State != fleet.Up || !n.offers(w.Task, m) || !book.ZoneAllowed(spec, zones, m.Site) {
			continue
		}
		has := n.Cached(h, spec.Bundle)
		if onlyCached && !has || cached && !has {
			continue
		}
		whole := n.Builds[m.Build].Whole()
		if !whole.Fits(spec.Need()) {
			continue
		}
		free := whole.Sub(m.Use.Room)
		var lower []*book.Task
		for _, t := range n.OnHost[h] {
			if t.Job.Rec == nil || n.busy[t.Slice.Key] || p.stopping[t] {
				continue
			}
			if t.State == jobs.Stopping {
				free = free.Add(t.Job.Rec.Spec.Need()) // already on its way out
				continue
			}
			if !n.yields(w, t, p.account) {
				continue
			}
			if gang := &t.Job.Rec.Spec; gang.Shape == jobs.Ensemble && gang.Pieces > 1 {
				continue
			}
			lower = append(lower, t)
		}
		if free.Fits(spec.Need()) {
			return nil // room is coming already
		}
		if len(lower) == 0 {
			continue
		}
		// The youngest have the least to lose.
		sort.Slice(lower, func(a, b int) bool {
			if !lower[a].Since.Equal(lower[b].Since) {
				return lower[a].Since.After(lower[b].Since)
			}
			return lower[a].Piece < lower[b].Piece
		})
		var chosen []*book.Task
		for _, t := range lower {
			if free.Fits(spec.Need()) {
				break
			}
			free = free.Add(t.Job.Rec.Spec.Need())
			chosen = append(chosen, t)
		}
		if free.Fits(spec.Need()) && len(chosen) > 0 && (best == nil || (has && !cached) || (has == cached && len(chosen) < len(best))) {
			best, cached = chosen, has
		}
	}
	return best
}

// releaseGang offers a resting gang to a part that can hold it whole, or lets
// the leader place it across parts; a broken one is stopped.
func (n *Node) releaseGang(j *book.Job, p *pass) {
	spec := &j.Rec.Spec
	if n.lead.claiming[j.UID] {
		return
	}
	records := make([]*jobs.Task, 0, len(j.Tasks))
	for _, t := range j.Tasks {
		records = append(records, &t.Task)
	}
	switch gangs.PhaseOf(spec.Pieces, records) {
	case gangs.Broken:
		for _, num := range slices.Sorted(maps.Keys(j.Tasks)) {
			t := j.Tasks[num]
			kind := jobs.Stop
			if t.State == jobs.Released {
				kind = jobs.TakeBack
			}
			if next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: kind, Why: "gang is not whole"}); ok {
				p.ds = append(p.ds, decide.Decision{Changes: decide.Become(t, next)})
			}
		}
		return
	case gangs.Resting:
	default:
		return
	}
	all := n.pending(j, spec.Pieces)
	if len(all) < spec.Pieces {
		return // some rest, or are under a transaction
	}
	try := gangs.NextTry(records)
	probing := n.Trust(j, "") == jobs.Probing
	if probing {
		for _, t := range all {
			if n.Now.Sub(t.Since) < backoff(int(min(try, 10))) {
				return
			}
		}
	}
	leaf := n.Leaf(spec)
	if !p.account.Allows(leaf, spec.Amount(), spec.Pieces) {
		return
	}
	entitled := p.account.Entitled(leaf, spec.Amount(), spec.Pieces)
	p.account.Charge(spec.Key(), spec.Amount(), spec.Pieces)
	offers, whole := n.fitGang(all, p)
	if offers == nil && probing {
		return
	}
	if offers == nil {
		n.lead.waiting = append(n.lead.waiting, &Waiting{Task: all[0], Count: spec.Pieces, Rank: spec.RankOrder(), Within: entitled >= 0, Entitled: entitled})
		n.holdFor(all[0].Anywhere(), min(spec.Pieces, tuning.HoldEach), n.Zones(j), p)
		return
	}
	if whole {
		if d, ok := n.offerGang(j, offers); ok {
			p.ds = append(p.ds, d)
			return
		}
	}
	hosts := make([]string, len(offers))
	for i, o := range offers {
		hosts[i] = o.host
		p.keep(n, o.host, spec.Need())
	}
	n.claimGang(j, all, hosts, try)
}

// offerGang is the one decision that gives a whole gang to the part that all
// its machines belong to; the leader's own part places it at once.
func (n *Node) offerGang(j *book.Job, offers []offer) (decide.Decision, bool) {
	one := decide.Decision{Seen: []string{jobs.JobPrefix + j.UID}}
	var dones []func(bool)
	add := func(d decide.Decision) {
		one.Changes = append(one.Changes, d.Changes...)
		one.Writes = append(one.Writes, d.Writes...)
		for _, k := range d.Seen {
			if !slices.Contains(one.Seen, k) {
				one.Seen = append(one.Seen, k)
			}
		}
		dones = append(dones, d.Done)
	}
	one.Done = func(ok bool) {
		for _, f := range dones {
			f(ok)
		}
	}
	place := always
	var top uint64
	for _, o := range offers {
		if !n.ours(o.t, n.Machines[o.host]) {
			place = never
		}
		top = max(top, o.t.Try)
	}
	var fresh []*book.Task
	var hosts []string
	for _, o := range offers {
		m := n.Machines[o.host]
		switch {
		case o.t.Slice == nil:
			fresh, hosts = append(fresh, o.t), append(hosts, o.host)
			continue
		case place(o.t, m):
			d, ok := n.placing(o.t, o.host, m.Site, top+1)
			if !ok {
				one.Done(false)
				return one, false
			}
			add(d)
		default:
			next, ok := jobs.NextTask(o.t.Task, jobs.TaskEvent{Kind: jobs.Release, Part: m.Owner, Site: m.Site, Want: o.host})
			if !ok {
				one.Done(false)
				return one, false
			}
			n.Reserve(o.t, o.host, m.Site)
			piece := o.t.Piece
			add(decide.Decision{Changes: decide.Become(o.t, next), Done: func(bool) { n.Unreserve(piece) }})
		}
	}
	for len(fresh) > 0 {
		k := n.run(fresh, len(fresh))
		add(n.beginSlice(j, fresh[:k], hosts[:k], place, top+1))
		fresh, hosts = fresh[k:], hosts[k:]
	}
	if len(one.Keys()) > n.set.Cluster.State.TxnOps || len(one.Seen) > n.set.Cluster.State.TxnOps {
		one.Done(false)
		return one, false
	}
	return one, true
}

// fitGang finds a machine for every task of a gang, in one part if one holds
// it, else across parts; nil when it does not fit. whole tells that all the
// machines are of one part.
func (n *Node) fitGang(all []*book.Task, p *pass) (offers []offer, whole bool) {
	t := all[0]
	spec := &t.Job.Rec.Spec
	if p.hopeless(spec, spec.Pieces) {
		return nil, false
	}
	cands := p.board(n, t.Anywhere())
	if len(cands) == 0 {
		p.refuse(spec, 1)
		p.refuse(spec, spec.Pieces)
		return nil, false
	}
	zones := n.Zones(t.Job)
	type group struct{ site, part string }
	type holding struct{ places, cached int }
	groups := map[group]*holding{}
	add := func(g group, c *parts.Candidate) {
		h := groups[g]
		if h == nil {
			h = &holding{}
			groups[g] = h
		}
		k := c.Free.Times(spec.Need())
		h.places += k
		if c.Cached {
			h.cached += k
		}
	}
	for i := range cands {
		c := &cands[i]
		if !book.ZoneAllowed(spec, zones, c.Site) {
			continue
		}
		site := ""
		if spec.SamePlace {
			site = c.Site
		}
		add(group{site, c.Part}, c)
		add(group{site, ""}, c)
	}
	var order []group
	for g, h := range groups {
		if h.places >= spec.Pieces {
			order = append(order, g)
		}
	}
	if len(order) == 0 && len(zones) == 0 {
		p.refuse(spec, spec.Pieces)
	}
	sort.Slice(order, func(a, b int) bool {
		x, y := order[a], order[b]
		switch cx, cy := min(groups[x].cached, spec.Pieces), min(groups[y].cached, spec.Pieces); {
		case (x.part != "") != (y.part != ""):
			return x.part != "" // inside a part first
		case cx != cy:
			return cx > cy
		case groups[x].places != groups[y].places:
			return groups[x].places < groups[y].places
		case x.site != y.site:
			return x.site < y.site
		}
		return x.part < y.part
	})
	for _, g := range order {
		var some []parts.Candidate
		for _, c := range cands {
			if (g.site == "" || c.Site == g.site) && (g.part == "" || c.Part == g.part) {
				some = append(some, c)
			}
		}
		if offers := n.tryFit(all, some, maps.Clone(zones)); offers != nil {
			return offers, g.part != ""
		}
	}
	return nil, false
}

// tryFit finds a machine for every task of a gang among the candidates.
func (n *Node) tryFit(all []*book.Task, cands []parts.Candidate, zones map[string]int) []offer {
	spec := &all[0].Job.Rec.Spec
	out := make([]offer, len(all))
	for i, t := range all {
		k := n.pickFor(t, cands, zones)
		if k < 0 {
			return nil
		}
		c := &cands[k]
		out[i] = offer{t, c.Host}
		c.Free = c.Free.Sub(spec.Need())
		c.Load = c.Whole.Sub(c.Free).Share(c.Whole)
		zones[c.Site]++
	}
	return out
}

// claimGang places a gang larger than a part: its machines are claimed in the
// state service first, so that no part places anything else on them, then the
// tasks are placed, then the claims are dropped.
func (n *Node) claimGang(j *book.Job, all []*book.Task, hosts []string, try uint64) {
	n.lead.claiming[j.UID] = true
	unique := map[string]bool{}
	for _, h := range hosts {
		unique[h] = true
	}
	n.claim(unique, j.UID, func(ok bool) {
		release := func() {
			n.claim(unique, "", func(bool) { delete(n.lead.claiming, j.UID) })
		}
		ds, good := n.placeClaimed(j, all, hosts, try, ok)
		if !good {
			for _, d := range ds {
				d.Done(false)
			}
			release()
			return
		}
		left := len(ds)
		for i := range ds {
			inner := ds[i].Done
			ds[i].Done = func(ok bool) {
				inner(ok)
				if left--; left == 0 {
					release()
				}
			}
		}
		n.commit(ds)
	})
}

// placeClaimed is the decisions that place a gang on the machines claimed for
// it; false if the claims or the room are not there.
func (n *Node) placeClaimed(j *book.Job, all []*book.Task, hosts []string, try uint64, claimed bool) ([]decide.Decision, bool) {
	if !claimed || j.Rec == nil {
		return nil, false
	}
	need := j.Rec.Spec.Need()
	extra := map[string]parts.Room{}
	for _, h := range hosts {
		m := n.Machines[h]
		if m == nil || m.Claim != j.UID || n.Builds[m.Build] == nil {
			return nil, false
		}
		extra[h] = extra[h].Add(need)
		if !n.Builds[m.Build].Whole().Sub(n.Used(h)).Fits(extra[h]) {
			return nil, false
		}
	}
	var ds []decide.Decision
	var fresh []*book.Task
	var where []string
	for i, t := range all {
		if now := j.Tasks[t.N]; now != nil {
			t = now
		}
		if t.Slice == nil {
			fresh, where = append(fresh, t), append(where, hosts[i])
			continue
		}
		d, ok := n.placing(t, hosts[i], n.Machines[hosts[i]].Site, try)
		if !ok {
			return ds, false
		}
		ds = append(ds, d)
	}
	for len(fresh) > 0 {
		k := n.run(fresh, len(fresh))
		ds = append(ds, n.beginSlice(j, fresh[:k], where[:k], always, try))
		fresh, where = fresh[k:], where[k:]
	}
	return ds, true
}

// claim sets or clears the claim on machines.
func (n *Node) claim(hosts map[string]bool, uid string, done func(bool)) {
	var ds []decide.Decision
	left, good := 0, true
	for _, h := range sorted(hosts) {
		m := n.Machines[h]
		if m == nil || m.Claim == uid {
			continue
		}
		rec := m.Host
		rec.Claim = uid
		left++
		ds = append(ds, decide.Decision{Writes: []store.Write{decide.Put(fleet.HostPrefix+h, rec)}, Done: func(ok bool) {
			good = good && ok
			if left--; left == 0 {
				done(good)
			}
		}})
	}
	if left == 0 {
		done(true)
		return
	}
	n.commit(ds)
}

// placeGang places a gang that was offered to this part, whole or not at all.
func (n *Node) placeGang(j *book.Job, all []*book.Task) []decide.Decision {
	if len(all) != j.Rec.Spec.Pieces {
		return nil
	}
	var records []*jobs.Task
	for _, t := range j.Tasks {
		records = append(records, &t.Task)
	}
	try := gangs.NextTry(records)
	one := decide.Decision{}
	var pieces []string
	one.Done = func(bool) {
		for _, p := range pieces {
			n.Unreserve(p)
		}
	}
	for _, t := range all {
		d, ok := n.placeOne(t, try)
		if !ok {
			one.Done(false)
			for _, t := range all {
				t.Tried = n.Now
			}
			return nil // the leader takes it back
		}
		pieces = append(pieces, t.Piece)
		one.Changes = append(one.Changes, d.Changes...)
		one.Seen = append(one.Seen, d.Seen...)
	}
	return []decide.Decision{one}
}
