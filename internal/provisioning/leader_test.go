package provisioning

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/queue"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/settings"
)

// testCatalog is a catalogue with one machine type.
const testCatalog = `{"builds":[{"name":"g4","cores":32,"accelerators":4,"memory_gb":256,"cache_gb":100,` +
	`"pull_gb_per_s":1,"hourly":10,"low_price":3,"ready_s":20,"sites":["a","b"]}]}`

// leader is the provisioner of a leader and implements all its collaborators. Its cloud responds
// immediately, as configured by the test, and its decisions are committed immediately.
type leader struct {
	*Provisioner
	t            *testing.T
	leads        bool
	epoch        uint64
	unavailable  bool // the state service does not respond
	unresponsive map[string]fleet.Unresponsiveness
	committed    []decide.Decision

	// send replaces the simulated cloud if it is not nil.
	send       func(method, target string, body []byte, timeout time.Duration, done responseFunc)
	listed     []fleet.ListedMachine
	requestIDs []string // of the launch requests that the cloud received
	deleted    []string // machines that the cloud deleted
	noCapacity bool     // the cloud refuses launch requests for lack of capacity
	malformed  bool     // the cloud refuses launch requests as malformed
}

func newLeader(t *testing.T) *leader {
	t.Helper()
	l := &leader{t: t, leads: true, epoch: 3, unresponsive: map[string]fleet.Unresponsiveness{}}
	teams := map[string]quota.Team{"t": {Name: "t"}}
	state := clusterstate.New(quota.Flat(teams), func(string) {})
	state.Now = time.UnixMilli(1e12)
	log := slog.New(slog.DiscardHandler)
	q := queue.New(state, queue.Config{
		Name:          "n0",
		MaxTxnWrites:  16,
		MaxValueBytes: 8192,
		MaxRangeTasks: 30,
		MaxWritesPerS: 100,
		Log:           log,
	}, queue.Collaborators{
		Budget:   queueDependencies{},
		Commits:  queueDependencies{},
		Machines: queueDependencies{},
		Cluster:  queueDependencies{},
	})
	l.Provisioner = New(state,
		Config{
			Operator: settings.DefaultOperator(),
			Cluster: settings.Cluster{
				Cloud:   settings.Cloud{RPS: 20, ListLagS: 4},
				Workers: settings.Workers{HeartbeatS: 3, LeaseS: 30, CancelS: 60},
				State:   settings.State{TxnOps: 16, WriteRPS: 100},
			},
			ValueBytes: 8192,
			Log:        log,
			Rand:       rand.New(rand.NewPCG(1, 1)),
		},
		Collaborators{
			Queue:       q,
			Cloud:       l,
			Leadership:  l,
			Loop:        l,
			Commits:     l,
			Budget:      l,
			Records:     l,
			Transitions: l,
			Machines:    l,
		})
	l.ObservingSince = state.Now.Add(-time.Hour)
	return l
}

// Methods of Leadership.
func (l *leader) IsLeader() (bool, uint64) { return l.leads, l.epoch }
func (l *leader) MayScaleOut() bool        { return true }
func (l *leader) Reconciled() bool         { return true }

// Methods of Loop.
func (l *leader) Wake() {}

// Methods of Budget.
func (l *leader) Allows(int, int) bool { return true }
func (l *leader) HasSpareWrites() bool { return true }
func (l *leader) Unavailable() bool    { return l.unavailable }
func (l *leader) Waiting() int         { return 0 }

// Methods of Records.
func (l *leader) Revision(string) uint64 { return 0 }

// Methods of Machines.
func (l *leader) InUse(machine *clusterstate.Machine) bool {
	return machine.State == fleet.Up && !l.IsDecommissioning(machine.Name)
}

func (l *leader) UnresponsivenessOf(machine *clusterstate.Machine) (fleet.Unresponsiveness, bool) {
	state, unresponsive := l.unresponsive[machine.Name]
	return state, unresponsive
}

func (l *leader) LastHeard(string) time.Time { return time.Time{} }
func (l *leader) HasSession(string) bool     { return false }

// Methods of Transitions.
func (l *leader) TaskLost(task *clusterstate.Task, _ jobs.TaskEventKind, _ time.Duration) decide.Decision {
	pending := jobs.Task{State: jobs.Pending, Attempt: task.Attempt}
	return decide.Decision{Changes: decide.TransitionTask(task, pending)}
}

func (l *leader) TransitionMachine(machine string, event fleet.Event, _ string) []decide.Decision {
	record := l.state.Machines[machine].MachineRecord
	record.State, _ = fleet.NextState(record.State, event)
	return []decide.Decision{{OnSettled: func(bool) { l.applyMachine(machine, record) }}}
}

// Methods of CommitQueue.
func (l *leader) Busy(string) bool { return false }

func (l *leader) Commit(decisions []decide.Decision) {
	l.committed = append(l.committed, decisions...)
	for _, decision := range decisions {
		for _, write := range decision.Writes {
			if name, found := strings.CutPrefix(write.Put, fleet.MachinePrefix); found {
				_ = l.state.ApplyMachine(name, "n0", write.Value)
			}
			if strings.HasPrefix(write.Put, MachineTypePrefix) {
				var machineType jobs.MachineType
				_ = json.Unmarshal(write.Value, &machineType)
				l.state.MachineTypes[machineType.Name] = &machineType
			}
			if key := write.Put + write.Remove; IsSummaryKey(key) {
				l.ApplySummary(key, write.Value)
			}
		}
		if decision.OnSettled != nil {
			decision.OnSettled(true)
		}
	}
}

// Methods of Cloud.
func (l *leader) Send(method, target string, body []byte, timeout time.Duration, done responseFunc) {
	switch {
	case l.send != nil:
		l.send(method, target, body, timeout, done)
	case target == "/catalog":
		done(http.StatusOK, []byte(testCatalog), nil)
	case method == http.MethodGet:
		done(http.StatusOK, jobs.Encode(map[string]any{"hosts": l.listed}), nil)
	case target == "/hosts/delete":
		var request struct{ Hosts []string }
		_ = json.Unmarshal(body, &request)
		l.deleted = append(l.deleted, request.Hosts...)
		done(http.StatusOK, []byte("{}"), nil)
	default:
		l.launch(body, done)
	}
}

func (l *leader) launch(body []byte, done responseFunc) {
	var request launchRequest
	_ = json.Unmarshal(body, &request)
	l.requestIDs = append(l.requestIDs, request.LaunchRequestID)
	switch {
	case l.malformed:
		done(http.StatusBadRequest, []byte(`{}`), nil)
	case l.noCapacity:
		done(http.StatusServiceUnavailable, []byte(`{"error":"no capacity"}`), nil)
	default:
		var machines []string
		for i := range request.Count {
			machines = append(machines, fmt.Sprintf("i-%s-%d", request.LaunchRequestID, i))
		}
		done(http.StatusOK, jobs.Encode(map[string]any{"hosts": machines}), nil)
	}
}

// run advances the clock by the given number of seconds, running the queue and the provisioner
// every 200 ms.
func (l *leader) run(seconds int) {
	for range seconds * 5 {
		l.state.Now = l.state.Now.Add(200 * time.Millisecond)
		l.collaborators.Queue.RunCycle()
		l.Reconcile()
		l.Decommission()
	}
}

func (l *leader) applyMachine(name string, record fleet.MachineRecord) {
	l.t.Helper()
	if err := l.state.ApplyMachine(name, "n0", jobs.Encode(record)); err != nil {
		l.t.Error(err)
	}
}

// addRunning adds a machine with a record, which the cloud lists as running.
func (l *leader) addRunning(name, zone string) {
	l.t.Helper()
	l.applyMachine(name, fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: zone})
	l.listed = append(l.listed, fleet.ListedMachine{
		Name:        name,
		MachineType: "g4",
		Zone:        zone,
		Status:      "running",
		AgeS:        500,
	})
}

// testSpec returns the specification of a job array.
func testSpec(jobID string, tasks int) jobs.Spec {
	return jobs.Spec{
		ID:                jobID,
		Class:             "c",
		Team:              "t",
		Kind:              jobs.JobArray,
		Priority:          "standard",
		TaskCount:         tasks,
		Cores:             2,
		Accelerators:      1,
		MemoryGB:          8,
		Image:             "b",
		ExpectedDurationS: 60,
	}
}

// submit adds a waiting job.
func (l *leader) submit(jobID string, tasks int) {
	l.t.Helper()
	l.applyJob(jobs.Record{State: jobs.Live, AcceptedMs: l.state.NowMs(), Spec: testSpec(jobID, tasks)})
}

func (l *leader) applyJob(record jobs.Record) {
	l.t.Helper()
	if err := l.state.ApplyJob(record.Spec.ID, jobs.Encode(record)); err != nil {
		l.t.Fatal(err)
	}
}

// place records a job's tasks as placed, one on each of the machines.
func (l *leader) place(jobID string, machines ...string) {
	l.t.Helper()
	var tasks []jobs.Task
	for _, machine := range machines {
		tasks = append(tasks, jobs.Task{State: jobs.Placed, Machine: machine, Attempt: 1})
	}
	if _, err := l.state.ApplyTaskRange(jobs.TaskRangeKey(jobID, 0), jobs.EncodeTaskRange(tasks, 8192)); err != nil {
		l.t.Fatal(err)
	}
}

// queueDependencies implements the collaborators of the queue. They permit everything.
type queueDependencies struct{}

func (queueDependencies) Busy(string) bool                                        { return false }
func (queueDependencies) Commit([]decide.Decision)                                {}
func (queueDependencies) Allows(int, int) bool                                    { return true }
func (queueDependencies) HasSpareWrites() bool                                    { return true }
func (queueDependencies) Ready(m *clusterstate.Machine) bool                      { return m.State == fleet.Up }
func (queueDependencies) CanPlace(*clusterstate.Task, *clusterstate.Machine) bool { return true }
func (queueDependencies) UsesBatches() bool                                       { return false }
func (queueDependencies) HasLeftView(string) bool                                 { return false }
