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
	"math/rand/v2"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/commit"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/front"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/lending"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/membership"
	"github.com/harrierreel/harrierreel/internal/part"
	"github.com/harrierreel/harrierreel/internal/parts"
	"github.com/harrierreel/harrierreel/internal/peer"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/queue"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/records"
	"github.com/harrierreel/harrierreel/internal/refusals"
	"github.com/harrierreel/harrierreel/internal/rental"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/sight"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/told"
	"github.com/harrierreel/harrierreel/internal/tuning"
	"github.com/harrierreel/harrierreel/internal/wire"
)

// Outside is everything a node can reach. Answers come back on the loop,
// through Run.
type Outside struct {
	State  store.Call
	Watch  store.Call
	Cloud  store.Call
	Worker func(endpoint, method, target string, body []byte, timeout time.Duration, done func(status int, body []byte, err error))
	Hint   func(peer string, line []byte)
	WallMs func() int64 // time of day in ms; nil: that of the loop
}

// counted is the same with all answers that are refusals counted.
func (o Outside) counted(c *refusals.Counter) Outside {
	wrap := func(party refusals.Party, call store.Call) store.Call {
		return func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
			call(method, target, body, timeout, func(status int, answer []byte, err error) {
				c.Note(party, method, target, status, answer)
				done(status, answer, err)
			})
		}
	}
	worker := o.Worker
	o.State, o.Watch, o.Cloud = wrap(refusals.State, o.State), wrap(refusals.State, o.Watch), wrap(refusals.Cloud, o.Cloud)
	o.Worker = func(endpoint, method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
		worker(endpoint, method, target, body, timeout, func(status int, answer []byte, err error) {
			c.Note(refusals.Worker, method, target, status, answer)
			done(status, answer, err)
		})
	}
	return o
}

// Node is one controller.
type Node struct {
	set *settings.Settings
	out Outside
	log *slog.Logger
	rng *rand.Rand

	client *store.Client
	mirror *store.Mirror
	sync   syncState

	*book.Book // what is known from the records
	view       *members.View

	role        members.Role
	roleEpoch   uint64
	lastHint    time.Time
	hintedEpoch uint64

	said    refusals.Counter
	commits *commit.Committer
	front   *front.Front
	lead    leader
	queue   *queue.Queue
	rental  *rental.Rental
	part    *part.Part
	sight   *sight.Sight
	member  *membership.Membership
	cal     *calendar.Service // nil: turned off
	told    *cancellation.Service
	news    *told.Log // what users were told of jobs

	dirty       bool
	lastPass    time.Time
	lastChanges time.Time
	lastLead    time.Time

	checks  standby.Checks // of this node as a leader
	pulsed  time.Time      // when the loop's clock last came round
	tardy   time.Duration  // how late it has been of late
	behind  time.Time      // since when others have seen more than the mirror, zero if not
	leaving time.Time      // asked to end
}

// New makes a node.
func New(set *settings.Settings, out Outside, log *slog.Logger, rng *rand.Rand) *Node {
	n := &Node{
		set: set, log: log, rng: rng,
		role: members.Outside,
	}
	n.out = out.counted(&n.said)
	out = n.out
	n.Book = book.New(quota.Flat(set.TeamMap()), func(host string) {
		n.part.Touch(host)
		n.dirty = true
	})
	n.client = store.New(out.State, out.Watch)
	window := cancellation.Window(set.Cluster.Workers.LeaseS, set.Cluster.Workers.CancelS)
	if held := time.Duration(float64(window) * tuning.FollowWindow); held > 0 {
		n.client.FollowHold = min(n.client.FollowHold, held)
	}
	n.told = cancellation.New(n.Book, cancellation.Env{
		Me: set.NodeName, Peers: set.PeerNames(), Window: window, CancelFor: jobs.Seconds(set.Cluster.Workers.CancelS), Log: log,
		Send: n.send, Call: out.Worker, OwnerOf: n.owner, Down: n.client.Down, Touch: func(host string) {
			n.part.Touch(host)
			n.dirty = true
		},
	}, rand.Uint64) // not the seeded chance: what the process's number is decides nothing
	ahead := tuning.ToldAhead
	if len(set.Peers) == 0 {
		ahead = 0 // nobody else answers
	}
	n.news = told.NewLog(ahead)
	n.mirror = store.NewMirror(n.changed)
	n.mirror.Passing = func(key string) bool {
		return hasPrefix(key, jobs.FinalPrefix) || hasPrefix(key, pipelines.RanPrefix)
	}
	n.commits = commit.New(n.Book, commit.Env{
		Me: set.NodeName, State: set.Cluster.State, SliceLimit: n.sliceLimit(), Log: log, Client: n.client, Mirror: n.mirror,
		Viewed: func() bool { return n.view != nil }, Epoch: func() uint64 { return n.roleEpoch }, Mine: n.mine,
		Conds: func() []string { return append(n.front.Conds(), n.cal.Keys()...) }, Guard: func(ds []decide.Decision) []decide.Decision { return n.cal.Guard(ds) },
		Touch: n.touch, Wake: func() { n.dirty = true }, Follow: n.followNow,
	})
	n.sight = sight.New(n.Book, sight.Env{Log: log, Chance: rng, Call: out.Worker, OwnerOf: n.owner, Incarnation: func(name string) uint64 { return n.member.Incarnation(name) },
		Outside: func() bool { return n.role == members.Outside }, Live: func() bool { return n.sync.live }, Down: n.client.Down})
	n.member = membership.New(n.Book, membership.Env{Me: set.NodeName, TTL: jobs.Seconds(set.Operator.MemberTTLS), Client: n.client, Mirror: n.mirror, Log: log,
		Live: func() bool { return n.sync.live }, View: func() *members.View { return n.view }, Unreachable: n.sight.Unreachable,
		Wake: func() { n.dirty = true }, Follow: n.followNow, TxnOps: set.Cluster.State.TxnOps, Calls: set.Operator.TakeOver == settings.TakeOverCalls,
		ZoneOf: set.Zones(), Lag: n.lag, Unchecked: n.unchecked})
	n.cal = calendar.New(n.Book, set.Operator.Calendar, calendar.Env{
		OffMs: set.Cluster.ClockOffMs, Limit: n.sliceLimit(), TxnOps: set.Cluster.State.TxnOps, StepS: set.Operator.StepS, Fresh: set.Operator.FreshSteps,
		Log: log, Mirror: n.mirror, WallMs: out.WallMs, Busy: n.commits.Busy, Commit: n.commits.Commit,
		QuietSince: func(m *book.Machine) (time.Time, bool) { return n.part.QuietSince(m) },
		Moving:     func(host string, e fleet.Event, why string) []decide.Decision { return n.part.Moving(host, e, why) },
	})
	n.queue = queue.New(n.Book, queue.Env{
		Me: set.NodeName, Objectives: set.Cluster.Objectives, TxnOps: set.Cluster.State.TxnOps, SliceLimit: n.sliceLimit(), SliceMost: n.sliceMost(),
		WriteRPS: set.Cluster.State.WriteRPS, Log: log, Busy: n.commits.Busy,
		Allows: n.client.Allows, Spare: n.client.Spare, Commit: n.commits.Commit, Packing: n.packing, Lending: set.Operator.Lending,
		Left:     func(part string) bool { return n.view.Inc(part) == 0 },
		Ready:    func(m *book.Machine) bool { return n.part.Ready(m) },
		CanPlace: func(t *book.Task, m *book.Machine) bool { return n.part.CanPlace(t, m) },
		Gate:     func(s *jobs.Spec) calendar.Verdict { return n.cal.Gate(s) }, MoreConds: n.cal.Conds(),
	})
	n.rental = rental.New(n.Book, rental.Env{
		Operator: set.Operator, Cluster: set.Cluster, SliceLimit: n.sliceLimit(), Log: log, Chance: rng, Queue: n.queue, Send: out.Cloud,
		Leads: func() (bool, uint64) { return n.role == members.Leader, n.roleEpoch }, MayRent: func() bool { return n.checks.May(standby.Rent) && n.part.Reconciling.MayRent(n.Now) }, Hurried: func() bool { return !n.part.Reconciling.Steady() },
		Wake: func() { n.dirty = true },
		Busy: n.commits.Busy, Recorded: func(key string) bool { return n.mirror.Stamp(key) != 0 },
		Allows: n.client.Allows, Spare: n.client.Spare, Down: n.client.Down, Held: n.client.Waiting, Commit: n.commits.Commit,
		Gone: func(t *book.Task, k jobs.TaskEventKind, pause time.Duration) decide.Decision {
			return n.part.Gone(t, k, pause)
		},
		Moving:     func(host string, e fleet.Event, why string) []decide.Decision { return n.part.Moving(host, e, why) },
		InUse:      func(m *book.Machine) bool { return n.part.InUse(m) },
		SilenceOf:  func(m *book.Machine) (fleet.Silence, bool) { return n.part.SilenceOf(m) },
		Heard:      n.sight.Heard,
		HasSession: func(host string) bool { return n.part.HasSession(host) },
	})
	n.part = part.New(n.Book, part.Env{
		Me: set.NodeName, Cluster: set.Cluster, SliceLimit: n.sliceLimit(), Log: log, Queue: n.queue, Rental: n.rental, Call: out.Worker,
		Wake: func() { n.dirty = true }, Speaks: func() bool { return n.role != members.Outside && n.caughtUp() && !n.member.Unsure() },
		Outside: func() bool { return n.role == members.Outside }, Epoch: func() uint64 { return n.roleEpoch }, Known: func() uint64 { return n.mirror.Epoch }, Members: func() []string { return n.view.Names() }, OwnerOf: n.owner, Complain: n.sight.Complain,
		Busy: n.commits.Busy, Allows: n.client.Allows, Spare: n.client.Spare, Commit: n.commits.Commit,
		Cancelled: n.told.Cancelled, Renews: func() bool { return n.told.Renews(n.Now) }, Launches: func() bool { return n.told.Launches(n.Now) }, Withheld: func() { n.told.Withheld++ },
	})
	n.front = front.New(n.Book, front.Env{
		Set: set, Client: n.client, Mirror: n.mirror, Log: log, Chance: rng, Able: n.able, Up: n.up, Live: func() bool { return n.sync.live },
		Outside: func() bool { return n.role == members.Outside }, Fencing: n.commits.Fencing, Members: func() []string { return n.view.Names() },
		Busy: n.commits.Busy, Commit: n.commits.Commit, Wake: func() { n.dirty = true }, Follow: n.followNow, Beat: n.part.Beat, Told: n.news, Hears: n.hears, Tell: n.told.Tell, Cancelled: n.told.Cancelled,
	})
	n.lead.reset()
	n.budget()
	return n
}

// Run enters the loop: f is an event, now its time.
func (n *Node) Run(now time.Time, f func()) {
	last := n.Now
	n.Now = now
	if gap := now.Sub(last); gap >= tuning.Standstill && !last.IsZero() {
		n.stoodStill(gap)
	}
	n.client.Pump(now)
	f()
	n.front.Release()
	n.told.PassOn()
	n.passOn()
	n.settle()
}

// hears tells whether the lines of all other members come in.
func (n *Node) hears() bool {
	if n.view == nil {
		return true
	}
	others := slices.DeleteFunc(slices.Clone(n.view.Names()), func(name string) bool { return name == n.set.NodeName })
	return n.news.Hears(others, n.Now)
}

// passOn tells the other controllers what users are about to be told of jobs, before the
// answers leave.
func (n *Node) passOn() {
	for _, line := range n.news.PassOn() {
		h := n.hint(cancellation.Message{})
		h.Told, h.Epoch, h.Heard = &line, 0, 0
		b := peer.Encode(h)
		for _, p := range n.set.Peers {
			n.out.Hint(p.NodeName, b)
		}
	}
}

// Pulse is the loop's clock.
func (n *Node) Pulse(now time.Time) {
	n.Run(now, func() {
		n.clocked()
		n.keepLeaving()
		n.member.Keep()
		n.sight.Keep()
		n.keepSync()
		n.sayHints()
		n.told.Keep()
		n.front.KeepPolls()
		n.sayChanges()
		n.sayRefusals()
		n.dirty = true
	})
}

// settle takes the decisions that the last events made possible, not more
// often than the pass gap.
func (n *Node) settle() {
	if !n.dirty || n.Now.Sub(n.lastPass) < tuning.PassGap {
		return
	}
	n.dirty, n.lastPass = false, n.Now
	if !n.caughtUp() || !n.member.Sure() {
		n.dirty = n.sync.live
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
	n.check()
	n.follow()
	n.part.Pass()
	// The leader's pass looks at every machine, so its pace follows their number.
	if gap := tuning.PassGap + time.Duration(len(n.Machines))*tuning.LeadGapEach; n.Now.Sub(n.lastLead) >= gap {
		n.lastLead = n.Now
		n.leaderPass()
	} else {
		n.dirty = n.dirty || n.role == members.Leader
	}
	n.front.RunsPass()
	n.cal.Keep(n.role != members.Outside)
	n.client.Pump(n.Now)
}

// Wait tells how long the loop may sleep.
func (n *Node) Wait() time.Duration {
	if n.dirty {
		return n.front.Holds(tuning.PassGap)
	}
	if n.client.Waiting() > 0 {
		return n.front.Holds(tuning.PumpGap)
	}
	return n.front.Holds(tuning.Pulse)
}

// Role is this node's role under the last view it knows.
func (n *Node) Role() members.Role { return n.role }

// Line takes a line from a peer.
func (n *Node) Line(line []byte) {
	h, fault := peer.Decode(line, func(name string) bool {
		return slices.ContainsFunc(n.set.Peers, func(p settings.Peer) bool { return p.NodeName == name })
	})
	if fault != "" {
		n.said.Note(refusals.Peers, "line", string(fault), 400, line)
		return
	}
	n.member.PeerHeard(h.From)
	n.told.Take(h.From, h.Message)
	n.news.Spoke(h.From, n.Now)
	if h.Told != nil {
		n.news.Hear(*h.Told, n.Now)
	}
	n.sight.Hint(h.From, h.StateOK, h.Blind)
	n.part.Reconciling.OtherHeard(h.From, h.Heard, h.Epoch)
	if h.Epoch > n.mirror.Epoch {
		if n.behind.IsZero() {
			n.behind = n.Now
		}
		n.followNow()
	}
	// A worker that cannot reach its owner always tries the same next node,
	// which need not be the leader.
	for _, host := range h.Unreached[:min(len(h.Unreached), tuning.MaxUnreached)] {
		if owner := n.owner(host); owner != h.From && n.Machines[host] != nil {
			n.sight.Complain(owner, host, false)
		}
	}
}

func (n *Node) sayHints() {
	news := n.mirror.Epoch > n.hintedEpoch
	if !news && n.Now.Sub(n.lastHint) < tuning.PeerBeat {
		return
	}
	if n.Now.Sub(n.lastHint) < tuning.PeerBeat/2 {
		return
	}
	n.lastHint, n.hintedEpoch = n.Now, n.mirror.Epoch
	h := n.hint(n.told.Greeting())
	h.Unreached = n.sight.Here()
	line := peer.Encode(h)
	for _, p := range n.set.Peers {
		n.out.Hint(p.NodeName, line)
	}
}

// hint is what this node says of itself with each line, beside what the line is about.
func (n *Node) hint(m cancellation.Message) peer.Hint {
	return peer.Hint{From: n.set.NodeName, Message: m, Epoch: n.mirror.Epoch, StateOK: n.sync.live && !n.client.Down(), Blind: n.sight.Blind(), Heard: n.heardUnder()}
}

// send sends a peer a line about cancellations.
func (n *Node) send(name string, m cancellation.Message) {
	n.out.Hint(name, peer.Encode(n.hint(m)))
}

// heardUnder is the view under which this node has heard its machines, as its own watch
// shows: whoever is told waits for that epoch.
func (n *Node) heardUnder() uint64 {
	for _, key := range n.part.QuietKeys() {
		if n.mirror.Epoch < n.mirror.Stamp(key) {
			return 0
		}
	}
	return n.part.HeardUnder()
}

// sayChanges logs what the changes of the state service were spent on.
func (n *Node) sayChanges() {
	if n.Now.Sub(n.lastChanges) >= tuning.Step {
		n.lastChanges = n.Now
		n.log.Debug("changes", "sent", fmt.Sprint(n.client.Spent()))
	}
}

// sayRefusals logs which calls were refused, once a minute.
func (n *Node) sayRefusals() {
	wrong, load := n.said.Due(n.Now)
	if wrong != "" {
		n.log.Error("calls refused that should not have been made", "calls", wrong)
	}
	if load != "" {
		n.log.Info("calls refused", "calls", load)
	}
}

// Wrong counts the calls and decisions so far that a correct program never makes.
func (n *Node) Wrong() int { return n.said.Wrong + n.commits.Wrong() }

// changed takes a change of the mirror into the typed state. An unreadable
// record is reported and set aside: it stays in the store, and nothing is
// decided from it.
func (n *Node) changed(key string, value json.RawMessage, stamp uint64) {
	n.dirty = true
	switch {
	case n.cal.Changed(key, value):
	case key == members.ViewKey:
		if v, ok := members.Decode(value); ok {
			n.view = v
			for _, m := range n.Machines {
				m.Owner = n.owner(m.Name)
			}
		} else if value != nil {
			n.log.Error("unreadable view", "stamp", stamp)
		}
	case hasPrefix(key, members.MemberPrefix):
		n.member.KeyChanged(members.NameOfKey(key), value)
	case hasPrefix(key, standby.CallPrefix):
		n.member.CallChanged(key[len(standby.CallPrefix):], value)
	case hasPrefix(key, members.FormPrefix):
		n.member.FormChanged(key[len(members.FormPrefix):], value)
	case hasPrefix(key, fleet.QuietPrefix):
		if err := n.part.QuietChanged(key[len(fleet.QuietPrefix):], value); err != nil {
			n.log.Error("unreadable list of machines set aside", "key", key, "error", err)
		}
	case hasPrefix(key, jobs.TaskPrefix), hasPrefix(key, records.Prefix), hasPrefix(key, jobs.JobPrefix):
		n.workChanged(key, value, stamp)
	case hasPrefix(key, fleet.HostPrefix):
		n.hostChanged(key[len(fleet.HostPrefix):], value)
	case fleet.ClaimsNumber(key) > 0:
		if err := n.queue.ClaimsChanged(key, value); err != nil {
			n.log.Error("unreadable claims set aside", "error", err)
		}
	case hasPrefix(key, rental.BuildPrefix):
		var b jobs.Build
		if value == nil {
			delete(n.Builds, key[len(rental.BuildPrefix):])
		} else if json.Unmarshal(value, &b) == nil && b.Name != "" {
			n.Builds[b.Name] = &b
		} else {
			n.log.Error("unreadable machine type", "key", key)
		}
	case rental.IsSummaryKey(key):
		n.rental.SummaryChanged(key, value)
	case hasPrefix(key, jobs.FinalPrefix):
		n.front.FinalSeen(key[len(jobs.FinalPrefix):], value)
	case key == quota.StoreKey:
		n.front.QuotaChanged(value)
	case hasPrefix(key, lending.Prefix):
		n.queue.LoansChanged(key, value)
	case hasPrefix(key, pipelines.RunPrefix):
		n.front.RunChanged(key[len(pipelines.RunPrefix):], value)
	}
}

// workChanged takes the record of a job or of tasks in.
func (n *Node) workChanged(key string, value json.RawMessage, stamp uint64) {
	var uids []string
	var err error
	switch {
	case hasPrefix(key, records.Prefix):
		uids, err = n.PackChanged(key, value, stamp)
	case hasPrefix(key, jobs.TaskPrefix):
		uids = []string{""}
		uids[0], err = n.SliceChanged(key, value)
	default:
		uids = []string{key[len(jobs.JobPrefix):]}
		err = n.JobChanged(uids[0], value)
	}
	if err != nil {
		n.log.Error("unreadable record set aside", "key", key, "error", err)
	}
	for _, uid := range uids {
		n.front.RunSees(uid)
	}
}

// hostChanged takes a machine's record in.
func (n *Node) hostChanged(name string, value json.RawMessage) {
	n.part.Touch(name)
	if err := n.HostChanged(name, n.owner(name), value); err != nil {
		n.log.Error("unreadable machine record set aside", "machine", name, "error", err)
	}
	if value == nil {
		n.sight.HostGone(name)
		n.part.HostGone(name)
	}
}

func hasPrefix(s, p string) bool { return len(s) > len(p) && s[:len(p)] == p }

// able tells whether this node may decide for users.
func (n *Node) able() bool {
	return !n.client.Down() && n.sync.live && n.role != members.Outside && n.member.Sure()
}

// up tells whether users should be sent here. During an outage of the state
// service every node stays up and refuses at once; a node that alone is refused, as
// its peers' hints show, steps aside.
func (n *Node) up() bool {
	return n.sync.live && n.role != members.Outside && n.member.Sure() && n.leaving.IsZero() && !(n.client.Down() && n.sight.StateElsewhere())
}

// Request takes a request from the front door. respond is called exactly once.
func (n *Node) Request(m *wire.Message, respond func(wire.Reply)) {
	party := refusals.Workers
	if front.IsUsers(m) {
		party = refusals.Users
	}
	n.front.Request(m, func(r wire.Reply) {
		n.said.Note(party, m.Method, m.Target, r.Status, r.Body)
		respond(r)
	})
}

// touch has a task's machine reviewed.
func (n *Node) touch(t *book.Task) {
	if t.Host != "" {
		n.part.Touch(t.Host)
		n.dirty = true
	}
}

// owner is the controller that a machine belongs to under the known view.
func (n *Node) owner(host string) string {
	if n.view == nil {
		return ""
	}
	return parts.Owner(host, n.view.Names())
}
