// Package node joins the slices into one controller. One loop owns all state:
// messages and pulses come in, calls to the outside go out, and their answers
// come back through the same loop. It does no IO and reads no clock, so the
// scenarios run it against stand-ins.
//
// Everything it does follows from the mirror of the state service: a decision
// is a transaction conditional on the view and on every record it was made
// from, and commands to workers and the cloud are derived from committed
// records only. A lost, late or doubtful transaction therefore needs no memory
// of its own: whatever it did shows in the mirror.
package node

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/parts"
	"github.com/harrierreel/harrierreel/internal/peer"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
	"github.com/harrierreel/harrierreel/internal/wire"
	"github.com/harrierreel/harrierreel/internal/workers"
)

// Outside is everything a node can reach. Answers come back on the loop,
// through Run.
type Outside struct {
	State  store.Call
	Watch  store.Call
	Cloud  store.Call
	Worker func(endpoint, method, target string, body []byte, timeout time.Duration, done func(status int, body []byte, err error))
	Hint   func(peer string, line []byte)
}

// job is a job in memory with its tasks' records.
type job struct {
	uid    string
	rec    *jobs.Record // nil while only tasks of it are known
	slices map[int]*slice
	tasks  map[int]*task
	// The same tasks by state, so that no pass need look at those of a large
	// job that are done.
	active map[int]*task // released, on a machine, or unreadable
	again  map[int]*task // pending, with a record of earlier tries
	done   int           // tasks finished
	on     int           // tasks on machines
	free   int           // below this number every task has a record
	// unreadable: a slice of it cannot be read. Nobody knows which tasks that
	// slice holds, so no new slice is begun.
	unreadable bool
	// gather is since when tasks that there is room for wait for more of them.
	gather time.Time
}

// slice is a record of consecutive tasks of one job. The leader begins it when
// it releases the tasks to one part; from then on mostly the owner of that
// part's machines writes it. Whoever writes it makes the record's own stamp a
// condition, so that writers never undo one another.
type slice struct {
	key   string
	from  int
	job   *job
	tasks []*task
}

// task is a task's record in memory.
type task struct {
	jobs.Task
	piece string
	n     int
	job   *job
	slice *slice // nil for a task that has never been released
	need  parts.Room
	since time.Time // when this state was first seen
	ran   bool      // seen running
	tried time.Time // when its part last looked for a machine in vain
	// unwanted: the room that the leader had in mind is given up, because the
	// task's placement is under way and has booked its own.
	unwanted bool
}

// machine is a machine's record in memory.
type machine struct {
	fleet.Host
	name  string
	owner string // under the known view
	use   *usage
	since time.Time
}

// usage is the room taken on a machine: by tasks on it, by released tasks that
// the leader has room in mind for, and by decisions under way.
type usage struct {
	room  parts.Room
	count int
}

// Node is one controller.
type Node struct {
	set   *settings.Settings
	out   Outside
	log   *slog.Logger
	rng   *rand.Rand
	now   time.Time
	teams map[string]quota.Team

	client *store.Client
	mirror *store.Mirror
	sync   syncState
	fence  fence

	jobs     map[string]*job
	machines map[string]*machine
	order    []*machine                  // the same by name, nil when it must be sorted anew
	onHost   map[string]map[string]*task // machine to tasks on it
	released map[string]*task
	onRank   [jobs.Ranks]int // tasks on machines by rank
	usage    map[string]*usage
	account  *quota.Account // what is charged: records and decisions under way
	builds   map[string]*jobs.Build
	keys     map[string]uint64      // member keys: name to incarnation
	quiet    map[string]fleet.Quiet // owner to machines that it does not hear
	view     *members.View
	summary  summary

	// What changed since a pass last looked at it.
	touched  map[string]bool // machines to review
	revisit  map[string]bool // machines to review again before long
	queued   map[string]*job // live jobs with tasks that wait
	complete map[string]*job // live jobs whose tasks are done
	closed   map[string]*job // ended jobs whose records are to be cleared

	hold        uint64
	renewedAt   time.Time
	certain     members.Certainty // of its place in the view
	wokeAt      time.Time         // after it last stood still
	blind       bool              // outside the view, and no worker answers
	looking     int               // questions to workers that find out
	lookedAt    time.Time
	asking      bool // for the epoch that makes it certain
	granting    bool
	viewBusy    bool
	role        members.Role
	roleEpoch   uint64
	outUntil    map[string]votedOut
	complaints  members.Complaints
	heard       map[string]time.Time // machine to last report that its owner did not get
	peersState  map[string]peerState
	lastHint    time.Time
	hintedEpoch uint64

	busy     map[string]bool // keys under an unfinished transaction
	ending   int             // writes of jobs' ends under way
	reserve  map[string]reservation
	sessions map[string]*workers.Session
	health   map[string]*fleet.Health
	images   fleet.Images
	calls    int // direct calls to workers under way

	finals  *jobs.Finals
	readers map[string]*reader
	polls   polls

	lead leader
	runs *pipelines.Keeper // nil unless pipelines are turned on

	dirty       bool
	lastPass    time.Time
	lastChanges time.Time
	lastLead    time.Time
	lastSweep   time.Time
	lastEnds    time.Time // when ended tasks were last committed
}

type peerState struct {
	stateOK bool
	blind   bool
	at      time.Time
}

// votedOut is a member that workers could not reach.
type votedOut struct {
	inc   uint64
	until time.Time
}

// reservation is a release or placement whose transaction runs: it takes room
// on its machine, counts for its zone and is charged to its team already.
type reservation struct {
	t      *task
	host   string
	site   string
	need   parts.Room
	owner  string // team charged, if any
	amount quota.Amount
}

// New makes a node.
func New(set *settings.Settings, out Outside, log *slog.Logger, rng *rand.Rand) *Node {
	n := &Node{
		set: set, out: out, log: log, rng: rng, teams: set.TeamMap(),
		jobs: map[string]*job{}, machines: map[string]*machine{},
		onHost: map[string]map[string]*task{}, released: map[string]*task{},
		usage: map[string]*usage{}, account: quota.NewAccount(), keys: map[string]uint64{}, quiet: map[string]fleet.Quiet{},
		touched: map[string]bool{}, revisit: map[string]bool{},
		queued: map[string]*job{}, complete: map[string]*job{}, closed: map[string]*job{},
		builds: map[string]*jobs.Build{}, role: members.Outside, certain: members.Certainty{Standing: members.Sure},
		outUntil: map[string]votedOut{}, complaints: members.Complaints{},
		heard: map[string]time.Time{}, peersState: map[string]peerState{},
		busy: map[string]bool{}, reserve: map[string]reservation{},
		sessions: map[string]*workers.Session{}, health: map[string]*fleet.Health{}, images: fleet.Images{},
		finals: jobs.NewFinals(set.Operator.FinalCache), readers: map[string]*reader{},
	}
	n.client = store.New(out.State, out.Watch)
	n.mirror = store.NewMirror(n.changed)
	n.mirror.Passing = func(key string) bool {
		return hasPrefix(key, jobs.FinalPrefix) || hasPrefix(key, pipelines.RanPrefix)
	}
	n.newRuns()
	n.fence.key = fencePrefix + set.NodeName
	n.lead.reset()
	n.budget()
	return n
}

// Run enters the loop: f is an event, now its time.
func (n *Node) Run(now time.Time, f func()) {
	last := n.now
	n.now = now
	if gap := now.Sub(last); gap >= tuning.Standstill && !last.IsZero() {
		n.stoodStill(gap)
	}
	n.client.Pump(now)
	f()
	n.settle()
}

// Pulse is the loop's clock.
func (n *Node) Pulse(now time.Time) {
	n.Run(now, func() {
		n.keepMembership()
		n.keepSight()
		n.keepSync()
		n.sayHints()
		n.keepPolls()
		n.sayChanges()
		n.dirty = true
	})
}

// settle takes the decisions that the last events made possible, not more
// often than the pass gap.
func (n *Node) settle() {
	if !n.dirty || n.now.Sub(n.lastPass) < tuning.PassGap {
		return
	}
	n.dirty, n.lastPass = false, n.now
	if !n.sync.live || n.certain.Standing != members.Sure {
		return
	}
	if n.mirror.Epoch < n.mirror.Stamp(members.ViewKey) {
		// Our own commit of the view is ahead of the watch: what the last view
		// still committed is not all here yet, and deciding without it would
		// forget charges and placements.
		n.dirty = true
		return
	}
	n.updateRole()
	n.ownerPass()
	// The leader's pass looks at every machine, so its pace follows their number.
	if gap := tuning.PassGap + time.Duration(len(n.machines))*tuning.LeadGapEach; n.now.Sub(n.lastLead) >= gap {
		n.lastLead = n.now
		n.leaderPass()
	} else {
		n.dirty = n.dirty || n.role == members.Leader
	}
	n.runsPass()
	n.client.Pump(n.now)
}

// Wait tells how long the loop may sleep.
func (n *Node) Wait() time.Duration {
	if n.dirty {
		return tuning.PassGap
	}
	if n.client.Waiting() > 0 {
		return tuning.PumpGap
	}
	return tuning.Pulse
}

// Role is this node's role under the last view it knows.
func (n *Node) Role() members.Role { return n.role }

// Line takes a line from a peer.
func (n *Node) Line(line []byte) {
	h, ok := peer.Decode(line)
	if !ok {
		return
	}
	for _, p := range n.set.Peers {
		if p.NodeName == h.From {
			n.peersState[h.From] = peerState{h.StateOK, h.Blind, n.now}
		}
	}
	if h.Epoch > n.mirror.Epoch {
		n.followNow()
	}
	// A worker that cannot reach its owner always tries the same next node,
	// which need not be the leader.
	for _, host := range h.Unreached[:min(len(h.Unreached), tuning.MaxUnreached)] {
		if owner := n.owner(host); owner != h.From && n.machines[host] != nil {
			n.complain(owner, host, false)
		}
	}
}

func (n *Node) sayHints() {
	news := n.mirror.Epoch > n.hintedEpoch
	if !news && n.now.Sub(n.lastHint) < tuning.PeerBeat {
		return
	}
	if n.now.Sub(n.lastHint) < tuning.PeerBeat/2 {
		return
	}
	n.lastHint, n.hintedEpoch = n.now, n.mirror.Epoch
	line := peer.Encode(peer.Hint{From: n.set.NodeName, Epoch: n.mirror.Epoch, StateOK: n.sync.live && !n.client.Down(), Blind: n.blind, Unreached: n.complaints.Here(n.now)})
	for _, p := range n.set.Peers {
		n.out.Hint(p.NodeName, line)
	}
}

// sayChanges logs what the changes of the state service were spent on.
func (n *Node) sayChanges() {
	if n.now.Sub(n.lastChanges) >= tuning.Step {
		n.lastChanges = n.now
		n.log.Debug("changes", "sent", fmt.Sprint(n.client.Spent()))
	}
}

// changed takes a change of the mirror into the typed state. An unreadable
// record is reported and set aside: it stays in the store, and nothing is
// decided from it.
func (n *Node) changed(key string, value json.RawMessage, stamp uint64) {
	n.dirty = true
	switch {
	case key == members.ViewKey:
		if v, ok := members.Decode(value); ok {
			n.view = v
			for _, m := range n.machines {
				m.owner = n.owner(m.name)
			}
		} else if value != nil {
			n.log.Error("unreadable view", "stamp", stamp)
		}
	case hasPrefix(key, members.MemberPrefix):
		var inc uint64
		if value == nil || json.Unmarshal(value, &inc) != nil {
			delete(n.keys, members.NameOfKey(key))
		} else {
			n.keys[members.NameOfKey(key)] = inc
		}
	case hasPrefix(key, fleet.QuietPrefix):
		owner := key[len(fleet.QuietPrefix):]
		if value == nil {
			delete(n.quiet, owner)
		} else if q, err := fleet.DecodeQuiet(value, n.quiet[owner], n.now); err == nil {
			n.quiet[owner] = q
		} else {
			n.log.Error("unreadable list of machines set aside", "key", key, "error", err)
		}
	case hasPrefix(key, jobs.TaskPrefix):
		n.sliceChanged(key, value)
	case hasPrefix(key, jobs.JobPrefix):
		n.jobChanged(key[len(jobs.JobPrefix):], value)
	case hasPrefix(key, fleet.HostPrefix):
		n.hostChanged(key[len(fleet.HostPrefix):], value)
	case hasPrefix(key, buildPrefix):
		var b jobs.Build
		if value == nil {
			delete(n.builds, key[len(buildPrefix):])
		} else if json.Unmarshal(value, &b) == nil && b.Name != "" {
			n.builds[b.Name] = &b
		} else {
			n.log.Error("unreadable machine type", "key", key)
		}
	case key == summaryKey:
		var s summary
		if value != nil && json.Unmarshal(value, &s) == nil {
			n.summary = s
		}
	case hasPrefix(key, jobs.FinalPrefix):
		var f jobs.Final
		if json.Unmarshal(value, &f) == nil {
			n.finals.Put(key[len(jobs.FinalPrefix):], f)
		}
	case n.runs != nil && hasPrefix(key, pipelines.RunPrefix):
		if err := n.runs.Changed(key[len(pipelines.RunPrefix):], value); err != nil {
			n.log.Error("unreadable run set aside", "key", key, "error", err)
		}
	}
}

// sorted lists a map's keys in order: what a pass does must not hang on the
// order that a map happens to have.
func sorted[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func hasPrefix(s, p string) bool { return len(s) > len(p) && s[:len(p)] == p }

func (n *Node) jobOf(uid string) *job {
	j := n.jobs[uid]
	if j == nil {
		j = &job{uid: uid, slices: map[int]*slice{}, tasks: map[int]*task{}, active: map[int]*task{}, again: map[int]*task{}}
		n.jobs[uid] = j
	}
	return j
}

func (n *Node) jobChanged(uid string, value json.RawMessage) {
	j := n.jobOf(uid)
	var rec *jobs.Record
	if value != nil {
		r, err := jobs.DecodeRecord(uid, value)
		if err != nil {
			n.log.Error("unreadable job record set aside", "job", uid, "error", err)
		} else {
			rec = r
		}
	}
	// What its tasks take and are charged is known from the record only.
	for _, t := range j.tasks {
		n.unindex(t)
	}
	j.rec = rec
	for _, t := range j.tasks {
		n.index(t)
		n.touch(t)
	}
	n.refile(j)
	n.runSees(uid)
}

// refile enters a job in the lists that passes go by.
func (n *Node) refile(j *job) {
	live := j.rec != nil && j.rec.State == jobs.Live
	enter := func(list map[string]*job, in bool) {
		if in {
			list[j.uid] = j
		} else {
			delete(list, j.uid)
		}
	}
	// A gang completes together: one done means every one is.
	complete := live && j.rec.Spec.Shape != jobs.Standing && (j.done >= j.rec.Spec.Pieces || (j.rec.Spec.Shape == jobs.Ensemble && j.done > 0))
	enter(n.complete, complete)
	enter(n.queued, live && !complete && len(j.active)+j.done < j.rec.Spec.Pieces)
	enter(n.closed, j.rec != nil && !live)
	if j.rec == nil && len(j.slices) == 0 {
		delete(n.jobs, j.uid)
	}
}

// sliceChanged takes the record of a slice in. Tasks of which it says nothing
// new stay as they are.
func (n *Node) sliceChanged(key string, value json.RawMessage) {
	uid, from, ok := jobs.SplitPiece(key[len(jobs.TaskPrefix):])
	if !ok {
		n.log.Error("slice with a strange key", "key", key)
		return
	}
	j := n.jobOf(uid)
	var records []jobs.Task
	if value != nil {
		var err error
		if records, err = jobs.DecodeSlice(value); err != nil {
			// Kept as stopping on no machine: never placed again, never lost.
			n.log.Error("unreadable slice set aside", "key", key, "error", err)
			records = []jobs.Task{{State: unreadable}}
		}
	}
	j.unreadable = len(records) == 1 && records[0].State == unreadable
	sl := j.slices[from]
	if sl == nil {
		sl = &slice{key: key, from: from, job: j}
	}
	old := sl.tasks
	sl.tasks = make([]*task, len(records))
	for i := range records {
		if i < len(old) && old[i].Same(&records[i]) {
			sl.tasks[i] = old[i]
			continue
		}
		t := &task{Task: records[i], piece: jobs.Piece(uid, from+i), n: from + i, job: j, slice: sl, since: n.now}
		if was := j.tasks[t.n]; was != nil {
			n.unindex(was)
		}
		j.tasks[t.n], sl.tasks[i] = t, t
		n.index(t)
	}
	for i := len(records); i < len(old); i++ {
		n.unindex(old[i])
		delete(j.tasks, old[i].n)
		j.free = min(j.free, old[i].n)
	}
	if len(records) > 0 {
		j.slices[from] = sl
	} else {
		delete(j.slices, from)
	}
	n.refile(j)
	n.runSees(uid)
}

// unreadable marks a task whose record cannot be read.
const unreadable jobs.TaskState = "unreadable"

// index enters a task in the lists by state, takes its room and charges it.
func (n *Node) index(t *task) {
	t.need = parts.Room{}
	if t.job.rec != nil {
		t.need = t.job.rec.Spec.Need()
	}
	switch t.State {
	case jobs.Placed, jobs.Stopping:
		m := n.onHost[t.Host]
		if m == nil {
			m = map[string]*task{}
			n.onHost[t.Host] = m
		}
		m[t.piece] = t
		t.job.on++
		n.countRank(t, 1)
		t.job.active[t.n] = t
		n.occupy(t.Host, t.need)
		n.sawImage(t)
		n.touch(t)
	case jobs.Released:
		n.released[t.piece] = t
		t.job.active[t.n] = t
		if t.Want != "" && !t.unwanted {
			n.occupy(t.Want, t.need)
		}
	case unreadable:
		t.job.active[t.n] = t
	case jobs.Pending:
		t.job.again[t.n] = t
	case jobs.Finished:
		t.job.done++
	}
	n.charge(t, 1)
}

func (n *Node) unindex(t *task) {
	n.charge(t, -1)
	n.touch(t)
	delete(t.job.active, t.n)
	delete(t.job.again, t.n)
	switch t.State {
	case jobs.Placed, jobs.Stopping:
		delete(n.onHost[t.Host], t.piece)
		if len(n.onHost[t.Host]) == 0 {
			delete(n.onHost, t.Host)
		}
		t.job.on--
		n.countRank(t, -1)
		n.vacate(t.Host, t.need)
	case jobs.Released:
		delete(n.released, t.piece)
		if t.Want != "" && !t.unwanted {
			n.vacate(t.Want, t.need)
		}
	case jobs.Finished:
		t.job.done--
	}
}

// countRank counts tasks on machines by the rank of their job.
func (n *Node) countRank(t *task, k int) {
	if t.job.rec != nil {
		n.onRank[t.job.rec.Spec.RankOrder()] += k
	}
}

// charge books a task that is released or may be on a machine.
func (n *Node) charge(t *task, k float64) {
	if t.job.rec != nil && (t.Charged() || t.State == unreadable) {
		n.account.Charge(t.job.rec.Spec.Owner, t.job.rec.Spec.Amount(), k)
	}
}

// usageOf is a machine's usage, begun if need be.
func (n *Node) usageOf(host string) *usage {
	u := n.usage[host]
	if u == nil {
		u = &usage{}
		n.usage[host] = u
	}
	return u
}

func (n *Node) occupy(host string, need parts.Room) {
	u := n.usageOf(host)
	u.room = u.room.Add(need)
	u.count++
}

// vacate gives room back; a machine that holds nothing starts from zero again,
// so that rounding does not add up.
func (n *Node) vacate(host string, need parts.Room) {
	u := n.usageOf(host)
	u.room = u.room.Sub(need)
	if u.count--; u.count <= 0 {
		*u = usage{}
		if n.machines[host] == nil {
			delete(n.usage, host)
		}
	}
}

// used is the room taken on a machine.
func (n *Node) used(host string) parts.Room {
	if u := n.usage[host]; u != nil {
		return u.room
	}
	return parts.Room{}
}

// book reserves what a decision under way will take.
func (n *Node) book(t *task, host, site string) {
	n.unbook(t.piece)
	spec := &t.job.rec.Spec
	r := reservation{t: t, host: host, site: site, need: spec.Need()}
	// A release under way is in no job's active tasks yet; left out here, the
	// next pass would give its share away a second time.
	if t.job.active[t.n] == nil {
		r.owner, r.amount = spec.Owner, spec.Amount()
		n.account.Charge(r.owner, r.amount, 1)
	}
	n.reserve[t.piece] = r
	n.occupy(host, r.need)
	if t.State == jobs.Released && t.Want != "" && !t.unwanted {
		t.unwanted = true
		n.vacate(t.Want, t.need)
	}
}

func (n *Node) unbook(piece string) {
	r, ok := n.reserve[piece]
	if !ok {
		return
	}
	delete(n.reserve, piece)
	n.vacate(r.host, r.need)
	if t := r.t; t.unwanted && t.job.tasks[t.n] == t {
		t.unwanted = false // not placed: the leader's booking stands again
		n.occupy(t.Want, t.need)
	}
	if r.owner != "" {
		n.account.Charge(r.owner, r.amount, -1)
	}
}

// touch has a task's machine reviewed.
func (n *Node) touch(t *task) {
	if t.Host != "" {
		n.touched[t.Host] = true
		n.dirty = true
	}
}

func (n *Node) hostChanged(name string, value json.RawMessage) {
	n.touched[name] = true
	if value == nil {
		delete(n.machines, name)
		n.order = nil
		if u := n.usage[name]; u != nil && u.count == 0 {
			delete(n.usage, name)
		}
		delete(n.health, name)
		delete(n.images, name)
		delete(n.heard, name)
		// The machine is gone: its session must not bring the record back.
		// Should the worker report after all, it is met as a new one.
		delete(n.sessions, name)
		return
	}
	h, err := fleet.Decode(value)
	if err != nil {
		n.log.Error("unreadable machine record set aside", "machine", name, "error", err)
		return
	}
	m := n.machines[name]
	if m == nil {
		m = &machine{name: name, owner: n.owner(name), use: n.usageOf(name)}
		n.machines[name] = m
		n.order = nil
	}
	if m.State != h.State {
		m.since = n.now
	}
	m.Host = *h
}

// byName lists the machines in order.
func (n *Node) byName() []*machine {
	if n.order == nil {
		n.order = make([]*machine, 0, len(n.machines))
		for _, m := range n.machines {
			n.order = append(n.order, m)
		}
		slices.SortFunc(n.order, func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	}
	return n.order
}

// owner is the controller that a machine belongs to under the known view.
func (n *Node) owner(host string) string {
	if n.view == nil {
		return ""
	}
	return parts.Owner(host, n.view.Names())
}

func (n *Node) ms() int64 { return n.now.UnixMilli() }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// refuse answers 503 at once and says when to come back.
func refuse(why string) wire.Reply {
	return wire.Reply{Status: 503, Body: errorBody(why), RetryAfter: tuning.RetryAfter}
}

func errorBody(why string) []byte {
	b, err := json.Marshal(map[string]string{"error": why})
	if err != nil {
		return []byte("{}")
	}
	return b
}
