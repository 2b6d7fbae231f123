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
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/parts"
	"github.com/harrierreel/harrierreel/internal/peer"
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
	uid   string
	rec   *jobs.Record // nil while only tasks of it are known
	tasks map[int]*task
	// The same tasks by state, so that no pass need look at those of a large
	// job that are done.
	active map[int]*task // released, on a machine, or unreadable
	again  map[int]*task // pending, with a record of earlier tries
	done   int           // tasks finished
	on     int           // tasks on machines
	free   int           // below this number every task has a record
}

// task is a task's record in memory.
type task struct {
	jobs.Task
	piece string
	n     int
	job   *job
	since time.Time // when this state was first seen
	ran   bool      // seen running
}

// machine is a machine's record in memory.
type machine struct {
	fleet.Host
	name  string
	since time.Time
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
	onHost   map[string]map[string]*task // machine to tasks on it
	released map[string]*task
	builds   map[string]*jobs.Build
	view     *members.View
	summary  summary

	hold        uint64
	renewedAt   time.Time
	granting    bool
	viewBusy    bool
	role        members.Role
	roleEpoch   uint64
	outUntil    map[string]votedOut
	complaints  map[string]map[string]*complaint // owner to machine
	heard       map[string]time.Time             // machine to last report that its owner did not get
	peersState  map[string]peerState
	lastHint    time.Time
	hintedEpoch uint64

	busy     map[string]bool // keys under an unfinished transaction
	reserve  map[string]reservation
	sessions map[string]*workers.Session
	health   map[string]*health
	images   map[string][]image // on each machine, most recently used first
	calls    int                // direct calls to workers under way

	finals  *finalCache
	readers map[string]*reader

	lead leader

	dirty    bool
	lastPass time.Time
	settling bool
}

type peerState struct {
	stateOK bool
	at      time.Time
}

// votedOut is a member that workers could not reach.
type votedOut struct {
	inc   uint64
	until time.Time
}

type complaint struct {
	first, last time.Time
	here        bool // the worker came to this node
}

// reservation is a release or placement whose transaction runs: it takes room
// on its machine, counts for its zone and is charged to its team already.
type reservation struct {
	t    *task
	host string
	site string
	need parts.Room
}

// New makes a node.
func New(set *settings.Settings, out Outside, log *slog.Logger, rng *rand.Rand) *Node {
	n := &Node{
		set: set, out: out, log: log, rng: rng, teams: set.TeamMap(),
		jobs: map[string]*job{}, machines: map[string]*machine{},
		onHost: map[string]map[string]*task{}, released: map[string]*task{},
		builds: map[string]*jobs.Build{}, role: members.Outside,
		outUntil: map[string]votedOut{}, complaints: map[string]map[string]*complaint{},
		heard: map[string]time.Time{}, peersState: map[string]peerState{},
		busy: map[string]bool{}, reserve: map[string]reservation{},
		sessions: map[string]*workers.Session{}, health: map[string]*health{}, images: map[string][]image{},
		finals: newFinalCache(set.Operator.FinalCache), readers: map[string]*reader{},
	}
	n.client = store.New(out.State, out.Watch)
	n.mirror = store.NewMirror(n.changed)
	n.fence.key = fencePrefix + set.NodeName
	n.lead.reset()
	n.budget()
	return n
}

// Run enters the loop: f is an event, now its time.
func (n *Node) Run(now time.Time, f func()) {
	n.now = now
	n.client.Pump(now)
	f()
	n.settle()
}

// Pulse is the loop's clock.
func (n *Node) Pulse(now time.Time) {
	n.Run(now, func() {
		n.keepMembership()
		n.keepSync()
		n.sayHints()
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
	if !n.sync.live {
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
	n.leaderPass()
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
			n.peersState[h.From] = peerState{h.StateOK, n.now}
		}
	}
	if h.Epoch > n.mirror.Epoch {
		n.followNow()
	}
	// A worker that cannot reach its owner always tries the same next node,
	// which need not be the leader.
	for _, host := range h.Unreached[:min(len(h.Unreached), tuning.MaxUnreached)] {
		if owner := n.owner(host); owner != h.From && n.machines[host] != nil {
			n.complain(owner, host)
		}
	}
}

// unreached lists machines whose workers lately came here in vain.
func (n *Node) unreached() []string {
	var out []string
	for _, owner := range sorted(n.complaints) {
		for _, host := range sorted(n.complaints[owner]) {
			if c := n.complaints[owner][host]; c.here && n.now.Sub(c.last) < tuning.PeerBeat && len(out) < tuning.MaxUnreached {
				out = append(out, host)
			}
		}
	}
	return out
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
	line := peer.Encode(peer.Hint{From: n.set.NodeName, Epoch: n.mirror.Epoch, StateOK: n.sync.live && !n.client.Down(), Unreached: n.unreached()})
	for _, p := range n.set.Peers {
		n.out.Hint(p.NodeName, line)
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
		} else if value != nil {
			n.log.Error("unreadable view", "stamp", stamp)
		}
	case hasPrefix(key, jobs.TaskPrefix):
		n.taskChanged(key[len(jobs.TaskPrefix):], value)
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
			n.finals.put(key[len(jobs.FinalPrefix):], f)
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
		j = &job{uid: uid, tasks: map[int]*task{}, active: map[int]*task{}, again: map[int]*task{}}
		n.jobs[uid] = j
	}
	return j
}

func (n *Node) jobChanged(uid string, value json.RawMessage) {
	j := n.jobOf(uid)
	j.rec = nil
	if value != nil {
		rec, err := jobs.DecodeRecord(uid, value)
		if err != nil {
			n.log.Error("unreadable job record set aside", "job", uid, "error", err)
		} else {
			j.rec = rec
		}
	}
	n.dropJob(j)
}

func (n *Node) dropJob(j *job) {
	if j.rec == nil && len(j.tasks) == 0 {
		delete(n.jobs, j.uid)
	}
}

func (n *Node) taskChanged(piece string, value json.RawMessage) {
	uid, num, ok := jobs.SplitPiece(piece)
	if !ok {
		n.log.Error("task record with a strange key", "key", piece)
		return
	}
	j := n.jobOf(uid)
	if old := j.tasks[num]; old != nil {
		n.unindex(old)
		delete(j.tasks, num)
		j.free = min(j.free, num)
	}
	if value != nil {
		rec, err := jobs.DecodeTask(value)
		if err != nil {
			// Kept as stopping on no machine: never placed again, never lost.
			n.log.Error("unreadable task record set aside", "task", piece, "error", err)
			rec = &jobs.Task{State: unreadable}
		}
		t := &task{Task: *rec, piece: piece, n: num, job: j, since: n.now}
		j.tasks[num] = t
		n.index(t)
	}
	n.dropJob(j)
}

// unreadable marks a task whose record cannot be read.
const unreadable jobs.TaskState = "unreadable"

func (n *Node) index(t *task) {
	switch t.State {
	case jobs.Placed, jobs.Stopping:
		m := n.onHost[t.Host]
		if m == nil {
			m = map[string]*task{}
			n.onHost[t.Host] = m
		}
		m[t.piece] = t
		t.job.on++
		t.job.active[t.n] = t
		n.sawImage(t)
	case jobs.Released:
		n.released[t.piece] = t
		t.job.active[t.n] = t
	case unreadable:
		t.job.active[t.n] = t
	case jobs.Pending:
		t.job.again[t.n] = t
	case jobs.Finished:
		t.job.done++
	}
}

func (n *Node) unindex(t *task) {
	delete(t.job.active, t.n)
	delete(t.job.again, t.n)
	switch t.State {
	case jobs.Placed, jobs.Stopping:
		delete(n.onHost[t.Host], t.piece)
		if len(n.onHost[t.Host]) == 0 {
			delete(n.onHost, t.Host)
		}
		t.job.on--
	case jobs.Released:
		delete(n.released, t.piece)
	case jobs.Finished:
		t.job.done--
	}
}

func (n *Node) hostChanged(name string, value json.RawMessage) {
	if value == nil {
		delete(n.machines, name)
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
	since := n.now
	if old := n.machines[name]; old != nil && old.State == h.State {
		since = old.since
	}
	n.machines[name] = &machine{Host: *h, name: name, since: since}
}

// use is the room taken on each machine: by tasks on it, by released tasks
// that the leader has room in mind for, and by placements under way.
func (n *Node) use() map[string]parts.Room {
	out := map[string]parts.Room{}
	for host, ts := range n.onHost {
		sum := parts.Room{}
		for _, t := range ts {
			if t.job.rec != nil {
				sum = sum.Add(t.job.rec.Spec.Need())
			}
		}
		out[host] = sum
	}
	for _, t := range n.released {
		if t.Want != "" && t.job.rec != nil {
			if _, placing := n.reserve[jobs.TaskKey(t.piece)]; !placing {
				out[t.Want] = out[t.Want].Add(t.job.rec.Spec.Need())
			}
		}
	}
	for _, r := range n.reserve {
		out[r.host] = out[r.host].Add(r.need)
	}
	return out
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
