package node

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/gangs"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/parts"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// leader is what only the leader keeps. A new leader starts it anew from the
// mirror and the cloud's list.
type leader struct {
	closing   map[string]bool
	avoid     map[string]time.Time // machines not offered for a while
	preempted map[string]making    // tasks that room is made for
	claiming  map[string]bool      // gangs whose machines are being claimed
	since     time.Time            // when this node came to lead
	condemnAt time.Time
	movedAt   time.Time
	waiting   []*waiting // tasks that found no room in the last pass
	cloud     cloudState
}

// waiting is a queued task that may run by its team's limit, or would not have
// to wait for it, but has found no room.
type waiting struct {
	t      *task
	rank   int
	within bool // inside its team's guarantee
}

// making is room being made for a task by stopping others.
type making struct {
	until  time.Time // not again before
	cached bool      // on a machine that holds its image
}

func (l *leader) reset() {
	*l = leader{closing: map[string]bool{}, avoid: map[string]time.Time{}, preempted: map[string]making{}, claiming: map[string]bool{}}
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
	n.closeJobs()
	n.takeBack()
	n.dropClaims()
	n.release()
	n.moveReplicas()
	n.condemnPass()
}

// closeJobs ends jobs whose tasks are done and clears the records of closed
// ones.
func (n *Node) closeJobs() {
	var ds []decision
	for _, uid := range sorted(n.jobs) {
		j := n.jobs[uid]
		if j.rec == nil || n.lead.closing[uid] {
			continue
		}
		if j.rec.State != jobs.Live {
			// Clearing is in no hurry and must not hold up decisions that are.
			if len(ds) < n.set.Cluster.State.TxnOps && n.client.Spare() {
				ds = append(ds, n.clear(j)...)
			}
			continue
		}
		if j.rec.Spec.Shape == jobs.Standing {
			continue
		}
		// A gang completes together: one done means every one is.
		complete := j.done >= j.rec.Spec.Pieces || (j.rec.Spec.Shape == jobs.Ensemble && j.done > 0)
		if !complete {
			continue
		}
		next, ok := jobs.NextJob(j.rec.State, jobs.TasksAllDone)
		if !ok {
			continue
		}
		n.lead.closing[uid] = true
		n.close(j, next, store.Decision, func(bool) { delete(n.lead.closing, uid) })
	}
	n.commit(ds)
}

// clear removes the records of a closed job: those of tasks that are on no
// machine, and the job's own once no task's is left.
func (n *Node) clear(j *job) []decision {
	var ds []decision
	for _, num := range slices.Sorted(maps.Keys(j.tasks)) {
		t := j.tasks[num]
		if !t.On() && t.State != unreadable {
			ds = append(ds, decision{writes: []store.Write{remove(jobs.TaskKey(t.piece))}})
			if len(ds) >= n.set.Cluster.State.TxnOps {
				return ds
			}
		}
	}
	if len(j.tasks) == 0 {
		ds = append(ds, decision{writes: []store.Write{remove(jobs.JobPrefix + j.uid)}})
	}
	return ds
}

// takeBack withdraws tasks that their part did not place.
func (n *Node) takeBack() {
	var ds []decision
	for _, piece := range sorted(n.released) {
		t := n.released[piece]
		gone := n.view.Inc(t.Part) == 0
		if !gone && n.now.Sub(t.since) < tuning.ReleaseStale {
			continue
		}
		if !gone && t.Want != "" {
			n.lead.avoid[t.Want] = n.now.Add(tuning.AvoidAfter)
		}
		next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.TakeBack})
		if ok {
			ds = append(ds, decision{writes: []store.Write{put(jobs.TaskKey(t.piece), next)}})
		}
	}
	n.commit(ds)
}

// dropClaims clears claims that an earlier leader left.
func (n *Node) dropClaims() {
	for _, h := range sorted(n.machines) {
		m := n.machines[h]
		if m.Claim != "" && !n.lead.claiming[m.Claim] {
			rec := m.Host
			rec.Claim = ""
			n.commit([]decision{{writes: []store.Write{put(fleet.HostPrefix+m.name, rec)}}})
		}
	}
}

// account charges every task that is released or may be on a machine.
func (n *Node) account() *quota.Account {
	a := quota.NewAccount()
	for _, j := range n.jobs {
		if j.rec == nil {
			continue
		}
		a.Charge(j.rec.Spec.Owner, j.rec.Spec.Amount(), float64(len(j.active)))
	}
	// A release under way is in no job's active tasks yet; left out here, the
	// next pass would give its share away a second time.
	for _, r := range n.reserve {
		if j := r.t.job; j.rec != nil && j.active[r.t.n] == nil {
			a.Charge(j.rec.Spec.Owner, j.rec.Spec.Amount(), 1)
		}
	}
	return a
}

// queue orders the live jobs that wait: by rank, then what lies within a
// guarantee, then by the time by which they must start to meet their aim.
func (n *Node) queue(a *quota.Account) []*job {
	type entry struct {
		j      *job
		rank   int
		beyond bool
		late   bool
		room   float64
		start  int64
	}
	late := func(r *jobs.Record, start int64) bool { return start >= r.AtMs+tuning.QueueHorizon.Milliseconds() }
	var q []entry
	for _, j := range n.jobs {
		if j.rec == nil || j.rec.State != jobs.Live || len(j.active)+j.done >= j.rec.Spec.Pieces {
			continue
		}
		spec := &j.rec.Spec
		within := n.teams[spec.Owner].Guarantees(a.Used(spec.Owner).Add(spec.Amount(), 1))
		start := n.startBy(j.rec, within)
		q = append(q, entry{j, spec.RankOrder(), !within, late(j.rec, start), spec.Accel * float64(spec.Pieces-j.done), start})
	}
	sort.Slice(q, func(x, y int) bool {
		a, b := q[x], q[y]
		switch {
		case a.rank != b.rank:
			return a.rank < b.rank
		case a.beyond != b.beyond:
			return !a.beyond
		case a.late != b.late:
			return !a.late
		case !a.late && a.room != b.room:
			return a.room < b.room
		case a.start != b.start:
			return a.start < b.start
		}
		return a.j.uid < b.j.uid
	})
	out := make([]*job, len(q))
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
func (n *Node) pending(j *job, most int) []*task {
	var out []*task
	for _, t := range j.again {
		if t.After <= n.ms() && !n.busy[jobs.TaskKey(t.piece)] {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].n < out[b].n })
	for j.free < j.rec.Spec.Pieces && j.tasks[j.free] != nil {
		j.free++
	}
	for i := j.free; i < j.rec.Spec.Pieces && len(out) < most; i++ {
		if j.tasks[i] != nil {
			continue
		}
		piece := jobs.Piece(j.uid, i)
		if !n.busy[jobs.TaskKey(piece)] {
			out = append(out, &task{Task: jobs.Task{State: jobs.Pending}, piece: piece, n: i, job: j})
		}
	}
	if len(out) > most {
		out = out[:most]
	}
	return out
}

// zones counts the job's tasks by zone, counting released ones and every old
// attempt that is still on a machine.
func (n *Node) zones(j *job) map[string]int {
	out := map[string]int{}
	for _, t := range j.active {
		switch {
		case t.State == jobs.Released:
			out[t.Site]++
		case t.On():
			if m := n.machines[t.Host]; m != nil && m.Site != "" {
				out[m.Site]++
			} else {
				out[t.Site]++
			}
		}
	}
	for _, r := range n.reserve {
		if r.t.job == j && j.active[r.t.n] == nil {
			out[r.site]++
		}
	}
	return out
}

// zoneAllowed tells whether one more task of the job may go into a zone.
func zoneAllowed(spec *jobs.Spec, zones map[string]int, site string) bool {
	if spec.SamePlace {
		for z, c := range zones {
			if c > 0 && z != site {
				return false
			}
		}
	}
	return !spec.Scatter || zones[site] < spec.ZoneMost()
}

// release gives tasks to parts, within each team's limit.
func (n *Node) release() {
	account := n.account()
	use := n.use()
	var ds []decision
	n.lead.waiting = n.lead.waiting[:0]
	looked := 0
	held := map[string]bool{}
	full := map[string]bool{} // teams whose next task does not fit their limit
	for _, j := range n.queue(account) {
		if looked >= tuning.MostReleases {
			break
		}
		spec := &j.rec.Spec
		if full[spec.Owner] {
			continue
		}
		if spec.Shape == jobs.Ensemble && spec.Pieces > 1 {
			ds = append(ds, n.releaseGang(j, account, use)...)
			looked += spec.Pieces
			continue
		}
		zones := n.zones(j)
		team := n.teams[spec.Owner]
		for _, t := range n.pending(j, tuning.MostReleases-looked) {
			looked++
			if !team.Allows(account.Used(spec.Owner).Add(spec.Amount(), 1)) {
				// What the team has left waits for this task to fit; smaller
				// ones behind it would take it away for ever.
				full[spec.Owner] = true
				break
			}
			host := n.findHost(t, use, zones)
			if host == "" {
				n.holdFor(t, use, zones, held)
				within := team.Guarantees(account.Used(spec.Owner).Add(spec.Amount(), 1))
				n.lead.waiting = append(n.lead.waiting, &waiting{t: t, rank: spec.RankOrder(), within: within})
				account.Charge(spec.Owner, spec.Amount(), 1) // keeps its turn
				continue
			}
			within := team.Guarantees(account.Used(spec.Owner).Add(spec.Amount(), 1))
			if clear, stops := n.clearCached(&waiting{t: t, rank: spec.RankOrder(), within: within}, host, use, account); clear {
				ds = append(ds, stops...)
				account.Charge(spec.Owner, spec.Amount(), 1)
				continue
			}
			d, ok := n.releasing(t, host, t.Try+1)
			if !ok {
				continue
			}
			ds = append(ds, d)
			account.Charge(spec.Owner, spec.Amount(), 1)
			use[host] = use[host].Add(spec.Need())
			zones[n.machines[host].Site]++
		}
	}
	ds = append(ds, n.preempt(use, account)...)
	n.commit(ds)
}

// releasing is the decision that gives a task to the part of a machine; if
// the part is the leader's own, the task is placed at once.
func (n *Node) releasing(t *task, host string, try uint64) (decision, bool) {
	part, site := n.owner(host), n.machines[host].Site
	if part == n.set.NodeName && n.canPlace(t, host) {
		return n.placing(t, host, site, try)
	}
	next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Release, Part: part, Site: site, Want: host})
	if !ok {
		return decision{}, false
	}
	key := jobs.TaskKey(t.piece)
	n.reserve[key] = reservation{t, host, site, t.job.rec.Spec.Need()}
	return decision{
		writes: []store.Write{put(key, next)},
		seen:   []string{jobs.JobPrefix + t.job.uid},
		done:   func(bool) { delete(n.reserve, key) },
	}, true
}

// offers tells whether the leader may have room on a machine in mind.
func (n *Node) offers(t *task, m *machine) bool {
	if m.Claim != "" || n.now.Before(n.lead.avoid[m.name]) {
		return false
	}
	return n.takes(t, m)
}

// findHost picks the machine to have in mind for a task.
func (n *Node) findHost(t *task, use map[string]parts.Room, zones map[string]int) string {
	spec := &t.job.rec.Spec
	var cands []parts.Candidate
	for _, h := range sorted(n.machines) {
		m := n.machines[h]
		if n.offers(t, m) && zoneAllowed(spec, zones, m.Site) {
			cands = append(cands, n.candidate(h, use, spec))
		}
	}
	if i := parts.Pick(spec.Need(), spec.Loaner, cands); i >= 0 {
		return cands[i].Host
	}
	return ""
}

// holdFor keeps a machine for a task that needs more room than is free
// anywhere: the one with the most free. Without it, smaller tasks further back
// in the queue would take every place that comes free, one by one, for as long
// as there are any.
func (n *Node) holdFor(t *task, use map[string]parts.Room, zones map[string]int, held map[string]bool) {
	if float64(len(held)+1) > tuning.HoldShare*float64(len(n.machines)) {
		return
	}
	spec := &t.job.rec.Spec
	best, most := "", -1.0
	for _, h := range sorted(n.machines) {
		m := n.machines[h]
		if held[h] || !n.offers(t, m) || !zoneAllowed(spec, zones, m.Site) {
			continue
		}
		whole := n.builds[m.Build].Whole()
		if !whole.Fits(spec.Need()) {
			continue
		}
		free := whole.Sub(use[h])
		// By how much of the task would fit.
		if part := 1 / max(spec.Need().Share(free), 1e-9); part > most {
			best, most = h, part
		}
	}
	if best != "" {
		held[best] = true
		use[best] = use[best].Add(spec.Need())
	}
}

// preempt makes room for waiting tasks by stopping tasks of lower rank, and for
// those inside their team's guarantee also by stopping what other teams run
// beyond theirs. One machine at a time is cleared for a task, and not again for
// a while.
func (n *Node) preempt(use map[string]parts.Room, account *quota.Account) []decision {
	var ds []decision
	for _, w := range n.lead.waiting {
		spec := &w.t.job.rec.Spec
		if (w.rank > 1 && !w.within) || n.now.Before(n.lead.preempted[w.t.piece].until) || w.t.job.rec.Spec.Shape == jobs.Ensemble && spec.Pieces > 1 {
			continue
		}
		ds = append(ds, n.stopFor(w, n.victims(w, use, account, false), false)...)
	}
	for p, m := range n.lead.preempted {
		if n.now.After(m.until) {
			delete(n.lead.preempted, p)
		}
	}
	return ds
}

// moveReplicas empties draining machines of replicas, which would otherwise
// keep them for ever: one is stopped where another machine has room for it and
// holds its image, so that it is away for a moment only. A few at a time.
func (n *Node) moveReplicas() {
	if n.now.Sub(n.lead.movedAt) < tuning.MoveEvery {
		return
	}
	n.lead.movedAt = n.now
	use := n.use()
	var ds []decision
	for _, h := range sorted(n.summary.Drain) {
		for _, piece := range sorted(n.onHost[h]) {
			t := n.onHost[h][piece]
			if t.job.rec == nil || t.State != jobs.Placed || !t.ran && n.owner(h) == n.set.NodeName || t.job.rec.Spec.Shape != jobs.Standing ||
				n.now.Sub(t.since) < tuning.MoveAfter || len(ds) >= tuning.MovesAtOnce {
				continue
			}
			zones := n.zones(t.job)
			if m := n.machines[h]; m != nil {
				zones[m.Site]--
			}
			away := *t
			away.Site = ""
			to := n.findHost(&away, use, zones)
			if to == "" || !n.cached(to, t.job.rec.Spec.Bundle) {
				continue
			}
			next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Stop, Why: "moved off a draining machine"})
			if ok {
				use[to] = use[to].Add(t.job.rec.Spec.Need())
				ds = append(ds, decision{writes: []store.Write{put(jobs.TaskKey(piece), next)}})
			}
		}
	}
	n.commit(ds)
}

// stopFor stops tasks to make room for a waiting one.
func (n *Node) stopFor(w *waiting, victims []*task, cached bool) []decision {
	var ds []decision
	for _, v := range victims {
		if next, ok := jobs.NextTask(v.Task, jobs.TaskEvent{Kind: jobs.Stop, Why: "makes room for " + w.t.piece}); ok {
			ds = append(ds, decision{writes: []store.Write{put(jobs.TaskKey(v.piece), next)}})
		}
	}
	if len(ds) > 0 {
		n.lead.preempted[w.t.piece] = making{n.now.Add(tuning.PreemptAgain), cached}
	}
	return ds
}

// clearCached tells whether a task should wait a moment for room on a machine
// that holds its image rather than go to one that would have to fetch it: when
// the fetch would take it past its aim, and it may stop others there.
func (n *Node) clearCached(w *waiting, host string, use map[string]parts.Room, account *quota.Account) (bool, []decision) {
	rec := w.t.job.rec
	if (w.rank > 1 && !w.within) || n.cached(host, rec.Spec.Bundle) {
		return false, nil
	}
	rate := n.builds[n.machines[host].Build].PullRate
	aim := n.startAim(rec, w.within)
	if rate <= 0 || aim < n.ms() || n.ms()+int64(rec.Spec.PullGB/rate*1000) <= aim {
		return false, nil
	}
	if m := n.lead.preempted[w.t.piece]; n.now.Before(m.until) {
		// Room is being made; if it does not come at once, go elsewhere. What
		// has been found already is kept meanwhile: others would take it.
		if !m.cached || m.until.Sub(n.now) < tuning.PreemptAgain-tuning.ClearWait {
			return false, nil
		}
		use[host] = use[host].Add(rec.Spec.Need())
		return true, nil
	}
	ds := n.stopFor(w, n.victims(w, use, account, true), true)
	if len(ds) > 0 {
		use[host] = use[host].Add(rec.Spec.Need())
	}
	return len(ds) > 0, ds
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
func (n *Node) yields(w *waiting, t *task, account *quota.Account) bool {
	spec := &t.job.rec.Spec
	if spec.RankOrder() > w.rank {
		return true
	}
	if !w.within || spec.Owner == w.t.job.rec.Spec.Owner || spec.Shape == jobs.Standing {
		return false
	}
	// With this task gone the team must still have all of its guarantee.
	used := account.Used(spec.Owner)
	g := n.teams[spec.Owner].Guaranteed
	return used.Accelerators-spec.Accel >= g.Accelerators && used.Cores-spec.Cores >= g.Cores
}

// victims finds the machine where stopping the fewest tasks makes room, one
// with the image if there is any.
func (n *Node) victims(w *waiting, use map[string]parts.Room, account *quota.Account, onlyCached bool) []*task {
	spec := &w.t.job.rec.Spec
	zones := n.zones(w.t.job)
	var best []*task
	cached := false
	for _, h := range sorted(n.machines) {
		m := n.machines[h]
		if !n.offers(w.t, m) || !zoneAllowed(spec, zones, m.Site) || (onlyCached && !n.cached(h, spec.Bundle)) {
			continue
		}
		free := n.builds[m.Build].Whole().Sub(use[h])
		var lower []*task
		for _, t := range n.onHost[h] {
			if t.job.rec == nil || n.busy[jobs.TaskKey(t.piece)] {
				continue
			}
			if t.State == jobs.Stopping {
				free = free.Add(t.job.rec.Spec.Need()) // already on its way out
				continue
			}
			if !n.yields(w, t, account) {
				continue
			}
			if gang := &t.job.rec.Spec; gang.Shape == jobs.Ensemble && gang.Pieces > 1 {
				continue
			}
			lower = append(lower, t)
		}
		if free.Fits(parts.Room{}) && spec.Need().Share(n.builds[m.Build].Whole()) <= 1 && free.Fits(spec.Need()) {
			return nil // room is coming already
		}
		// The youngest have the least to lose.
		sort.Slice(lower, func(a, b int) bool {
			if !lower[a].since.Equal(lower[b].since) {
				return lower[a].since.After(lower[b].since)
			}
			return lower[a].piece < lower[b].piece
		})
		var chosen []*task
		for _, t := range lower {
			if free.Fits(spec.Need()) {
				break
			}
			free = free.Add(t.job.rec.Spec.Need())
			chosen = append(chosen, t)
		}
		has := n.cached(h, spec.Bundle)
		if free.Fits(spec.Need()) && len(chosen) > 0 && (best == nil || (has && !cached) || (has == cached && len(chosen) < len(best))) {
			best, cached = chosen, has
		}
	}
	return best
}

// releaseGang offers a resting gang to a part that can hold it whole, or lets
// the leader place it across parts; a broken one is stopped.
func (n *Node) releaseGang(j *job, account *quota.Account, use map[string]parts.Room) []decision {
	spec := &j.rec.Spec
	if n.lead.claiming[j.uid] {
		return nil
	}
	tasks := make([]*jobs.Task, 0, len(j.tasks))
	for _, t := range j.tasks {
		tasks = append(tasks, &t.Task)
	}
	var ds []decision
	switch gangs.PhaseOf(spec.Pieces, tasks) {
	case gangs.Broken:
		for _, num := range slices.Sorted(maps.Keys(j.tasks)) {
			t := j.tasks[num]
			kind := jobs.Stop
			if t.State == jobs.Released {
				kind = jobs.TakeBack
			}
			if next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: kind, Why: "gang is not whole"}); ok {
				ds = append(ds, decision{writes: []store.Write{put(jobs.TaskKey(t.piece), next)}})
			}
		}
		return ds
	case gangs.Resting:
	default:
		return nil
	}
	all := n.pending(j, spec.Pieces)
	if len(all) < spec.Pieces {
		return nil // some rest, or are under a transaction
	}
	team := n.teams[spec.Owner]
	if !team.Allows(account.Used(spec.Owner).Add(spec.Amount(), float64(spec.Pieces))) {
		return nil
	}
	account.Charge(spec.Owner, spec.Amount(), float64(spec.Pieces))
	try := gangs.NextTry(tasks)
	hosts := n.fitGang(all, use)
	if hosts == nil {
		for _, t := range all {
			n.lead.waiting = append(n.lead.waiting, &waiting{t: t, rank: spec.RankOrder()})
		}
		return nil
	}
	owners := map[string]bool{}
	for i, h := range hosts {
		use[h] = use[h].Add(all[i].job.rec.Spec.Need())
		owners[n.owner(h)] = true
	}
	if len(owners) == 1 && spec.Pieces <= n.set.Cluster.State.TxnOps {
		var writes []store.Write
		for i, t := range all {
			next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Release, Part: n.owner(hosts[i]), Site: n.machines[hosts[i]].Site, Want: hosts[i]})
			if !ok {
				return nil
			}
			writes = append(writes, put(jobs.TaskKey(t.piece), next))
		}
		return []decision{{writes: writes, seen: []string{jobs.JobPrefix + j.uid}}}
	}
	n.claimGang(j, all, hosts, try)
	return nil
}

// fitGang finds a machine for every task of a gang, in one part if one holds
// it, else across parts; nil when it does not fit.
func (n *Node) fitGang(all []*task, use map[string]parts.Room) []string {
	for _, part := range append(n.view.Names(), "") {
		for _, site := range n.gangSites(all[0]) {
			if hosts := n.tryFit(all, use, part, site); hosts != nil {
				return hosts
			}
		}
	}
	return nil
}

// gangSites lists the zones to try: each alone for same_place, else all at once.
func (n *Node) gangSites(t *task) []string {
	spec := &t.job.rec.Spec
	switch {
	case spec.Site != "":
		return []string{spec.Site}
	case spec.SamePlace:
		return n.set.Cluster.Zones
	}
	return []string{""}
}

func (n *Node) tryFit(all []*task, use map[string]parts.Room, part, site string) []string {
	spec := &all[0].job.rec.Spec
	extra := map[string]parts.Room{}
	zones := n.zones(all[0].job)
	hosts := make([]string, len(all))
	for i, t := range all {
		var cands []parts.Candidate
		for _, h := range sorted(n.machines) {
			m := n.machines[h]
			if !n.offers(t, m) || (part != "" && n.owner(h) != part) || (site != "" && m.Site != site) || !zoneAllowed(spec, zones, m.Site) {
				continue
			}
			c := n.candidate(h, use, spec)
			c.Free = c.Free.Sub(extra[h])
			cands = append(cands, c)
		}
		k := parts.Pick(spec.Need(), spec.Loaner, cands)
		if k < 0 {
			return nil
		}
		hosts[i] = cands[k].Host
		extra[hosts[i]] = extra[hosts[i]].Add(spec.Need())
		zones[cands[k].Site]++
	}
	return hosts
}

// claimGang places a gang larger than a part: its machines are claimed in the
// state service first, so that no part places anything else on them, then the
// tasks are placed, then the claims are dropped.
func (n *Node) claimGang(j *job, all []*task, hosts []string, try uint64) {
	n.lead.claiming[j.uid] = true
	unique := map[string]bool{}
	for _, h := range hosts {
		unique[h] = true
	}
	n.claim(unique, j.uid, func(ok bool) {
		release := func() {
			n.claim(unique, "", func(bool) { delete(n.lead.claiming, j.uid) })
		}
		use := n.use()
		var ds []decision
		left, good := len(all), ok
		for i, t := range all {
			m := n.machines[hosts[i]]
			if !good || m == nil || m.Claim != j.uid || j.rec == nil || n.builds[m.Build] == nil ||
				!n.builds[m.Build].Whole().Sub(use[hosts[i]]).Fits(j.rec.Spec.Need()) {
				good = false
				break
			}
			use[hosts[i]] = use[hosts[i]].Add(j.rec.Spec.Need())
			d, ok := n.placing(t, hosts[i], m.Site, try)
			if !ok {
				good = false
				break
			}
			inner := d.done
			d.done = func(ok bool) {
				inner(ok)
				if left--; left == 0 {
					release()
				}
			}
			ds = append(ds, d)
		}
		if !good {
			for _, d := range ds {
				delete(n.reserve, writeKey(d.writes[0]))
			}
			release()
			return
		}
		n.commit(ds)
	})
}

// claim sets or clears the claim on machines.
func (n *Node) claim(hosts map[string]bool, uid string, done func(bool)) {
	var ds []decision
	left, good := 0, true
	for _, h := range sorted(hosts) {
		m := n.machines[h]
		if m == nil || m.Claim == uid {
			continue
		}
		rec := m.Host
		rec.Claim = uid
		left++
		ds = append(ds, decision{writes: []store.Write{put(fleet.HostPrefix+h, rec)}, done: func(ok bool) {
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
func (n *Node) placeGang(j *job, mine []*task, use map[string]parts.Room) []decision {
	var all []*task
	var records []*jobs.Task
	for _, t := range j.tasks {
		records = append(records, &t.Task)
	}
	for _, t := range mine {
		if t.job == j {
			all = append(all, t)
		}
	}
	if len(all) != j.rec.Spec.Pieces {
		return nil
	}
	try := gangs.NextTry(records)
	var one decision
	for _, t := range all {
		d, ok := n.placeOne(t, use, try)
		if !ok {
			for _, w := range one.writes {
				delete(n.reserve, writeKey(w))
			}
			return nil // the leader takes it back
		}
		one.writes = append(one.writes, d.writes...)
		one.seen = append(one.seen, d.seen...)
	}
	keys := make([]string, len(one.writes))
	for i, w := range one.writes {
		keys[i] = writeKey(w)
	}
	one.done = func(bool) {
		for _, k := range keys {
			delete(n.reserve, k)
		}
	}
	return []decision{one}
}
