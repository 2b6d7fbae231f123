// Package simulation runs real controllers against a simulated state service, cloud, machine
// agents and users, with a virtual clock and seeded random numbers. The simulated parties follow
// the specification of the protocol and check its rules during the run; violations are collected
// in Simulator.Violations. A run is determined by its seed: an additional draw from RNG changes the
// course of every recorded scenario.
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

// Simulator holds the virtual clock, the event queue, the network and all simulated parties.
type Simulator struct {
	Now       time.Time
	Start     time.Time
	RNG       *rand.Rand
	gossipRNG *rand.Rand
	linkRNG   *rand.Rand
	copyRNG   *rand.Rand
	Links     Links
	Log       *slog.Logger

	events        eventHeap
	requestDelays map[string]*requestDelay
	seq           int
	cuts          map[string]cutMode
	heldPackets   map[string][]func()
	// Unresponsive lists controllers that don't answer probes; AddNodes sets their failover to
	// lease expiry.
	Unresponsive []string
	// Unconfirming holds the controllers that neither declare that they confirm acknowledgements nor
	// do so, like those of the version before.
	Unconfirming map[string]bool
	// refusedPeers holds the controllers whose connections to and from other controllers are
	// refused.
	refusedPeers map[string]bool
	// lateWrites and lostAnswers affect a share of transactions, lateReports a share of reports.
	// ReplayedReports counts replayed reports that have arrived, LateWritesDone transactions that
	// were executed late, and LostWrites transactions that were executed at once but whose answer
	// was lost.
	lateWrites, lostAnswers, lateReports        faultRate
	heldReports                                 heldReports
	ReplayedReports, LateWritesDone, LostWrites int
	copyFaults                                  map[RequestKind]copyFault
	CopiesArrived                               map[RequestKind]int // copies of requests that have arrived, by kind
	leaderEvents                                leaderEvents
	// unreachable holds the machines that can't reach any controller.
	unreachable     map[string]bool
	pollBurstsUntil time.Time // see PollInBursts
	cancelAtEnd     faultRate // share of jobs that are cancelled as they end
	BurstAnswers    int       // answers to polls of bursts
	replacements    replacementWatch
	// Polls counts users' questions about jobs. A question asked is counted in the PollCounts that
	// was set at that time.
	Polls *PollCounts

	Store      *Store
	Cloud      *Cloud
	Agents     map[string]*Agent
	Jobs       map[string]*Job
	Runs       map[string]*Run
	KeepImages bool   // machines cache the images that they have pulled
	Loans      *Loans // nil if loans of GPUs are not watched
	Nodes      map[string]*Node
	NodeNames  []string

	// Durations of the protocol in seconds.
	LeaseS, HeartbeatS, CancelS, GangWaitS, GangPeerS float64

	TeamLimits      map[string]float64 // accelerators by team
	Violations      []string           // violations of rules
	Unavailable     int                // submissions and cancellations that were answered 503
	LimitViolations int                // violations of the protocol's limits, also in Violations
	Sockets         *SocketTransport   // set if the parties communicate over sockets
	EntryNode       string             // the node that all users' requests go to, any if empty
	ExpiredLeases   int                // agent leases that expired while tasks were on the machine
	// StartsAfterCancel counts tasks that started after their user had received the answer
	// that the job is cancelled.
	StartsAfterCancel int
	InvalidAnswers    invalidCounts // answers to invalid requests

	// answerSentAt is when the answer that is being processed left its controller, requestSentAt
	// when its request was sent.
	answerSentAt, requestSentAt time.Time
	commandCount                int // commands that agents have received

	account  *quota.Account // usage under the quota tree in force, nil if quotas are not watched
	calendar *calendarWatch // nil if the calendar is not watched
	stranded *strandedWatch // jobs that wait despite free capacity, nil if not watched

	ClockOffsets map[string]time.Duration // offsets of the controllers' wall clocks
	Launched     func(taskID string)      // called for each launch, if set
	// Messages, if set, is called for every message that a controller sends or receives, in order.
	Messages     func(Message)
	messageCount int // messages numbered so far
}

// SocketTransport carries messages over sockets that the simulator otherwise delivers itself.
type SocketTransport struct {
	Endpoint  func(machine string) string
	Heartbeat func(node string, body []byte, done func(int, []byte, error))
}

// endpoint returns the address of a machine.
func (sim *Simulator) endpoint(machine string) string {
	if sim.Sockets != nil {
		return sim.Sockets.Endpoint(machine)
	}
	return "w:" + machine
}

// Job holds a job's parameters, what its user has learned from answers, and what its tasks have
// done on machines.
type Job struct {
	ID                  string
	Kind                string // jobs.JobArray, jobs.Gang or jobs.Service
	Team                string
	Class               string
	TaskCount           int
	Accelerators        float64 // per task
	RunS                float64 // run time of each task
	RunIncrementS       float64 // task i runs for RunS + i*RunIncrementS
	PullS               float64 // time to pull the image
	Image               string
	SameZone            bool   // all tasks in one zone
	SpreadZones         bool   // at most half of the tasks, rounded up, in one zone
	Spot                bool   // spot machines are allowed
	Zone                string // the only zone allowed, any if empty
	MachineTypes        []string
	CheckpointIntervalS float64    // checkpoint interval, 0 for no checkpoints
	FailOn              string     // machine on which tasks fail, "every" for all machines
	Body                []byte     // body of the submission
	spec                *jobs.Spec // parsed from the submission

	// State that the user knows from answers.
	SubmittedAt     time.Time
	Accepted        bool
	AcceptedAt      time.Time // when the user first received that answer
	Status          string    // latest status that the user received
	StatusAt        time.Time // when the user received it
	AnsweredAt      time.Time // when a request about the job was last answered
	CancelRequested bool      // the user has requested cancellation
	CancelOpenSince time.Time // time of a cancellation request without an answer so far, else zero
	Cancelled       bool      // the user was told at CancelledAt that the job is cancelled
	CancelledAt     time.Time

	// State on the machines.
	Done       map[int]bool // indexes of the tasks that are done
	Starts     int          // starts of its tasks
	FirstStart time.Time
	BegunAt    time.Time // when the first task ran, for a gang all of them
	LastDone   time.Time // when the last task that is done ended
}

// NewSimulator returns an empty simulation whose random numbers are all derived from seed.
func NewSimulator(seed uint64, log *slog.Logger) *Simulator {
	sim := &Simulator{
		Start:         time.Date(2030, time.January, 1, 0, 0, 0, 0, time.UTC),
		RNG:           rand.New(rand.NewPCG(seed, 1)),
		gossipRNG:     rand.New(rand.NewPCG(seed, 2)),
		linkRNG:       rand.New(rand.NewPCG(seed, 3)),
		copyRNG:       rand.New(rand.NewPCG(seed, 4)),
		copyFaults:    map[RequestKind]copyFault{},
		CopiesArrived: map[RequestKind]int{},
		Polls:         &PollCounts{},
		replacements:  newReplacementWatch(),
		Log:           log,
		cuts:          map[string]cutMode{},
		requestDelays: map[string]*requestDelay{},
		heldPackets:   map[string][]func(){},
		refusedPeers:  map[string]bool{},
		unreachable:   map[string]bool{},
		Unconfirming:  map[string]bool{},
		Agents:        map[string]*Agent{},
		Jobs:          map[string]*Job{},
		Runs:          map[string]*Run{},
		Nodes:         map[string]*Node{},
		LeaseS:        30,
		HeartbeatS:    3,
		CancelS:       60,
		GangWaitS:     30,
		GangPeerS:     5,
		TeamLimits:    map[string]float64{},
		ClockOffsets:  map[string]time.Duration{},
	}
	sim.Now = sim.Start
	sim.Store = newStore(sim)
	sim.Cloud = newCloud(sim)
	return sim
}

// At returns the time since the start of the simulation.
func (sim *Simulator) At() time.Duration { return sim.Now.Sub(sim.Start) }

// ReportViolation records the violation of a rule.
func (sim *Simulator) ReportViolation(format string, args ...any) {
	sim.Violations = append(sim.Violations, fmt.Sprintf("%.3f s: ", sim.At().Seconds())+fmt.Sprintf(format, args...))
}

// event is a scheduled callback; seq orders events of the same time.
type event struct {
	at  time.Time
	seq int
	f   func()
}

// eventHeap is a heap.Interface of events, ordered by time.
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
	old[len(old)-1] = event{} // lets the garbage collector free what the callback references
	*h = old[:len(old)-1]
	return e
}

// After schedules f to run after d, or at once if d is negative.
func (sim *Simulator) After(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.Now.Add(max(d, 0)), sim.seq, f})
}

// RunUntil executes events up to d after the start and sets the clock to that time.
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
		panic(err) // only values of this package are encoded
	}
	return b
}
