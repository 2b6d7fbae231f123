// Package simulation simulates the state service, the cloud, the agents on machines and the
// users around real controllers, on a fake clock and with seeded random draws. The simulated
// parties follow the protocol's text and check its rules as they go; a rule that a controller
// breaks is noted in Simulator.Broken. A run is determined by its seed: whoever adds a draw
// from RNG changes the course of every recorded scenario.
package simulation

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Simulator holds the clock, the network and what lives in it.
type Simulator struct {
	Now       time.Time
	Start     time.Time
	RNG       *rand.Rand
	gossipRNG *rand.Rand
	Log       *slog.Logger

	events      eventHeap
	lateness    map[string]*lateness
	seq         int
	cuts        map[string]cutMode
	heldPackets map[string][]func()
	// Unresponsive are controllers whose program does not answer calls.
	Unresponsive []string
	// refusedPeers are controllers whose connections with the others are refused.
	refusedPeers map[string]bool
	// lateWrites, lostAnswers and lateReports meet a share of transactions and reports.
	// LateCopies counts the copies that have arrived, LateDone the transactions carried
	// out late, Unheard those carried out at once without an answer.
	lateWrites, lostAnswers, lateReports   faultRate
	heldReports                            heldReports
	LateCopies, LateWritesDone, LostWrites int
	leaderEvents                           leaderEvents
	// unreachable are machines that reach no controller.
	unreachable     map[string]bool
	pollBurstsUntil time.Time // see CloseLooks; Looks counts the answers
	cancelAtEnd     faultRate // jobs that are called off as they end
	BurstAnswers    int

	Store      *Store
	Cloud      *Cloud
	Agents     map[string]*Agent
	Jobs       map[string]*Job
	Runs       map[string]*Run
	KeepImages bool   // machines keep what they have fetched
	Loans      *Loans // where GPUs are lent
	Nodes      map[string]*Node
	NodeNames  []string // node names

	// Times in seconds.
	LeaseS, ReportS, CancelS, GangWaitS, GangPeerS float64

	TeamLimits  map[string]float64 // accelerators by team
	Broken      []string           // rules that were broken
	Unavailable int                // answers to submissions and cancellations
	Breaches    int                // of the protocol's limits, in Broken as well
	Real        *SocketTransport   // set when the parties speak over sockets
	EntryNode   string             // the node that users reach, any if empty
	Expired     int                // leases that ran out with tasks on the machine
	// StartsAfterCancel counts starts of tasks whose user had the answer that the job
	// is cancelled.
	StartsAfterCancel int
	InvalidAnswers    invalidCounts // invalid requests that were answered

	// answerSentAt is when the answer that is being taken left its controller,
	// requestSentAt when its request was sent.
	answerSentAt, requestSentAt time.Time
	commandCount                int // sent to agents

	account  *quota.Account // of the tree in force, where quotas are watched
	calendar *calendarWatch // where there is one
	stranded *strandedWatch // of jobs that wait although there is room, nil if not watched

	ClockOffsets map[string]time.Duration // of controllers' time of day
	Launched     func(taskID string)      // called for each launch, if set
	// Messages, if set, is called for all that the controllers send and receive, in order.
	Messages     func(Message)
	messageCount int // counted so far
}

// SocketTransport carries over sockets what the simulator otherwise delivers itself.
type SocketTransport struct {
	Endpoint  func(machine string) string
	Heartbeat func(node string, body []byte, done func(int, []byte, error))
}

// endpoint is a machine's address.
func (sim *Simulator) endpoint(machine string) string {
	if sim.Real != nil {
		return sim.Real.Endpoint(machine)
	}
	return "w:" + machine
}

// Job is what the users know of a job.
type Job struct {
	ID           string
	Kind         string // sweep, gang or standing, as in jobs.Spec.Kind
	Team         string // team
	Class        string
	TaskCount    int     // number of tasks
	Accelerators float64 // accelerators of each task
	RunS         float64 // how long each task runs
	ApartS       float64 // each task of an array runs so much longer than the one before it
	PullS        float64 // how long a machine fetches the image
	Image        string  // image
	SameZone     bool    // all tasks in one zone
	SpreadZones  bool    // at most half of the tasks, rounded up, in one zone
	Spot         bool    // spot machines are allowed
	Zone         string  // the only zone allowed, any if empty
	MachineTypes []string
	SnapshotS    float64    // interval of checkpoints, 0 if it takes none
	FailOn       string     // "every" machine, or a machine's name
	Body         []byte     // the submission
	spec         *jobs.Spec // as submitted

	// What the user knows from answers.
	SubmittedAt     time.Time
	Accepted        bool
	AcceptedAt      time.Time // when its user first had that answer
	Status          string    // newest status that its user had in an answer
	StatusAt        time.Time
	AnsweredAt      time.Time // a request about it was answered
	CancelRequested bool      // its user cancels it
	CancelOpenSince time.Time // it was requested then and is not answered yet
	Cancelled       bool      // its user had that answer, at CancelledAt
	CancelledAt     time.Time

	// What happened on machines.
	Done       map[int]bool // tasks that are done
	Starts     int          // of its tasks
	FirstStart time.Time
	BegunAt    time.Time // first task runs, of a gang all
	LastDone   time.Time
}

// NewSimulator makes an empty simulation; all random draws come from the seed.
func NewSimulator(seed uint64, log *slog.Logger) *Simulator {
	sim := &Simulator{
		Start: time.Date(
			2030,
			1,
			1,
			0,
			0,
			0,
			0,
			time.UTC,
		),
		RNG:          rand.New(rand.NewPCG(seed, 1)),
		gossipRNG:    rand.New(rand.NewPCG(seed, 2)),
		Log:          log,
		cuts:         map[string]cutMode{},
		lateness:     map[string]*lateness{},
		heldPackets:  map[string][]func(){},
		refusedPeers: map[string]bool{},
		unreachable:  map[string]bool{},
		Agents:       map[string]*Agent{},
		Jobs:         map[string]*Job{},
		Runs:         map[string]*Run{},
		Nodes:        map[string]*Node{},
		LeaseS:       30,
		ReportS:      3,
		CancelS:      60,
		GangWaitS:    30,
		GangPeerS:    5,
		TeamLimits:   map[string]float64{},
		ClockOffsets: map[string]time.Duration{},
	}
	sim.Now = sim.Start
	sim.Store = newStore(sim)
	sim.Cloud = newCloud(sim)
	return sim
}

// At is the time since the start.
func (sim *Simulator) At() time.Duration { return sim.Now.Sub(sim.Start) }

// RuleBroken notes a broken rule.
func (sim *Simulator) RuleBroken(format string, args ...any) {
	sim.Broken = append(sim.Broken, fmt.Sprintf("%.3f s: ", sim.At().Seconds())+fmt.Sprintf(format, args...))
}

type event struct {
	at  time.Time
	seq int
	f   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{} // it holds whoever it was for
	*h = old[:len(old)-1]
	return e
}

// After runs f after d.
func (sim *Simulator) After(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.Now.Add(max(d, 0)), sim.seq, f})
}

// RunUntil plays events up to a time since the start.
func (sim *Simulator) RunUntil(d time.Duration) {
	end := sim.Start.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.Now = e.at
		e.f()
	}
	sim.Now = end
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // a value of this package
	}
	return b
}
