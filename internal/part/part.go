// Package part is the slice of an owner: the machines that a controller owns under
// the view, the sessions with their workers, what their reports mean for the
// records, what is commanded, and which machines are not heard. Decisions, answers
// and calls come out; it has no IO and no clock.
package part

import (
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/queue"
	"github.com/harrierreel/harrierreel/internal/reconcile"
	"github.com/harrierreel/harrierreel/internal/rental"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/workers"
)

// Env is what an owner is told from outside: settings, and what others know.
type Env struct {
	Me         string
	Cluster    settings.Cluster
	SliceLimit int // bytes of a record
	Log        *slog.Logger
	Queue      *queue.Queue
	Rental     *rental.Rental

	// Call sends a request to a worker; its answer comes back on the loop.
	Call func(endpoint, method, target string, body []byte, timeout time.Duration, done func(status int, body []byte, err error))
	// Wake has the loop look again.
	Wake func()
	// Speaks tells whether this node may answer workers, Outside whether it is
	// outside the view.
	Speaks, Outside func() bool
	// Epoch is the view's, Members are those in it.
	Epoch   func() uint64
	Members func() []string
	// Known is up to where all changes of the state service are known.
	Known func() uint64
	// OwnerOf is the controller that a machine belongs to; Complain notes that a
	// worker came here although it was sent there.
	OwnerOf  func(host string) string
	Complain func(owner, host string, here bool)
	// Busy tells whether a record is under a transaction.
	Busy func(key string) bool
	// Allows tells whether the budget has so many changes now, Spare whether there is some
	// to spare.
	Allows func(spent, writes int) bool
	Spare  func() bool
	// Commit takes decisions.
	Commit func([]decide.Decision)

	// Cancelled tells whether a job was told to be cancelled though its record here may
	// not show it. Renews tells whether workers' leases may be renewed, Launches whether
	// tasks may be launched; Withheld counts a report whose lease was not renewed
	// (package cancellation).
	Cancelled        func(uid string) bool
	Renews, Launches func() bool
	Withheld         func()
}

// Part is what an owner keeps of its machines.
type Part struct {
	*book.Book
	Env

	// Reconciling is what is known of this controller's machines since it started.
	Reconciling *reconcile.Tracker

	sessions map[string]*workers.Session
	health   map[string]*fleet.Health
	came     map[string][2]uint64 // machine to session and number of its newest report here
	visits   map[string]visit     // machine to its last report here that may be an old one

	quietLists map[string]fleet.QuietLists // by owner, what pt.Quiet is joined of

	// What changed since a pass last looked at it.
	touched map[string]bool // machines to review
	revisit map[string]bool // machines to review again before long
	held    map[string]bool // machines with ends that are being gathered

	waiting  []string        // machines for which no call was free
	vanished map[string]bool // tasks to be placed once more where they were
	lastAnew time.Time

	calls     int  // to workers under way
	awaited   int  // of them to machines that have not reported yet
	doubted   int  // of them to machines that left a call unanswered
	counting  bool // the look under way is the one that differences are counted at
	lastSweep time.Time
	lastEnds  time.Time // when ended tasks were last committed
}

// New makes the part of an owner over a book.
func New(b *book.Book, env Env) *Part {
	return &Part{Book: b, Env: env, Reconciling: reconcile.New(env.Cluster.Workers.ReportS, env.Log), sessions: map[string]*workers.Session{}, health: map[string]*fleet.Health{}, came: map[string][2]uint64{}, visits: map[string]visit{}, quietLists: map[string]fleet.QuietLists{},
		touched: map[string]bool{}, revisit: map[string]bool{}, held: map[string]bool{}, vanished: map[string]bool{}}
}

// Touch has a machine reviewed.
func (pt *Part) Touch(host string) { pt.touched[host] = true }

// HasSession tells whether a machine has a session here.
func (pt *Part) HasSession(host string) bool { return pt.sessions[host] != nil }

// StoodStill discounts time in which this node did not listen.
func (pt *Part) StoodStill(gap time.Duration) {
	clear(pt.visits)
	for _, s := range pt.sessions {
		s.StoodStill(gap)
	}
}

// NewView begins every session anew under the view's epoch, and ends those of
// machines that are another owner's now.
func (pt *Part) NewView() {
	clear(pt.visits)
	for host, s := range pt.sessions {
		if pt.OwnerOf(host) != pt.Me {
			delete(pt.sessions, host)
			continue
		}
		s.NewEpoch(pt.Epoch())
		if pt.Reconciling.Steady() || s.CallFails == 0 {
			s.LastCall = time.Time{}
		}
	}
	var own []string
	for _, m := range pt.Machines {
		if m.Owner == pt.Me {
			pt.keepSession(m)
			own = append(own, m.Name)
		}
	}
	var others []string
	if len(own) < len(pt.Machines) {
		others = slices.DeleteFunc(pt.Members(), func(m string) bool { return m == pt.Me })
	}
	pt.Reconciling.View(pt.Epoch(), own, others, pt.Now)
	pt.lastSweep = time.Time{}
}

// QuietChanged takes in which machines an owner does not hear. The name is that of one of
// its lists, the key without fleet.QuietPrefix.
func (pt *Part) QuietChanged(name string, value json.RawMessage) error {
	owner, number := fleet.CutQuietKey(name)
	lists := pt.quietLists[owner]
	if value == nil {
		delete(lists, number)
	} else {
		list, err := fleet.DecodeQuietList(value)
		if err != nil {
			return err
		}
		if lists == nil {
			lists = fleet.QuietLists{}
			pt.quietLists[owner] = lists
		}
		lists[number] = list
	}
	if _, is := lists[1]; !is {
		delete(pt.Quiet, owner)
		return nil
	}
	pt.Quiet[owner] = lists.Join(pt.Quiet[owner], pt.Now)
	pt.believe(owner)
	return nil
}

// HostGone forgets a machine. Its session must not bring the record back; should
// the worker report after all, it is met as a new one.
func (pt *Part) HostGone(host string) {
	delete(pt.health, host)
	delete(pt.came, host)
	delete(pt.visits, host)
	delete(pt.sessions, host)
	pt.Reconciling.Lost(host)
}
