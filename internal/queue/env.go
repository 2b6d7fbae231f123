package queue

import (
	"log/slog"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/settings"
)

// Env is Config and Collaborators as one struct of functions. Only the tests of internal/shard and
// internal/provisioning still use it, through New; it goes once they call NewQueue.
type Env struct {
	Name          string
	Objectives    []settings.Objective
	TxnOps        int
	ValueBytes    int
	MaxRangeTasks int
	WriteRPS      float64
	Log           *slog.Logger

	Busy           func(key string) bool
	Allows         func(spent, writes int) bool
	HasSpareWrites func() bool
	Ready          func(m *clusterstate.Machine) bool
	CanPlace       func(task *clusterstate.Task, m *clusterstate.Machine) bool
	UsesBatches    func() bool
	HasLeftView    func(controller string) bool
	Commit         func([]decide.Decision)

	Lending            *settings.Lending
	Gate               func(*jobs.Spec) calendar.Verdict
	ExtraPreconditions int
}

// New makes an empty queue of an Env; see there.
func New(state *clusterstate.State, env Env) *Queue {
	functions := envFunctions{env}
	collaborators := Collaborators{
		Budget:   functions,
		Commits:  functions,
		Machines: functions,
		Cluster:  functions,
	}
	if env.Gate != nil {
		collaborators.Calendar = functions
	}
	return NewQueue(state, Config{
		Name:               env.Name,
		Objectives:         env.Objectives,
		MaxTxnWrites:       env.TxnOps,
		MaxValueBytes:      env.ValueBytes,
		MaxRangeTasks:      env.MaxRangeTasks,
		MaxWritesPerS:      env.WriteRPS,
		ExtraPreconditions: env.ExtraPreconditions,
		Lending:            env.Lending,
		Log:                env.Log,
	}, collaborators)
}

// envFunctions is an Env as the queue's collaborators.
type envFunctions struct{ env Env }

func (f envFunctions) Busy(key string) bool               { return f.env.Busy(key) }
func (f envFunctions) Commit(decisions []decide.Decision) { f.env.Commit(decisions) }
func (f envFunctions) Allows(spent, writes int) bool      { return f.env.Allows(spent, writes) }
func (f envFunctions) HasSpareWrites() bool               { return f.env.HasSpareWrites() }
func (f envFunctions) Ready(m *clusterstate.Machine) bool { return f.env.Ready(m) }
func (f envFunctions) UsesBatches() bool                  { return f.env.UsesBatches() }
func (f envFunctions) HasLeftView(controller string) bool { return f.env.HasLeftView(controller) }

func (f envFunctions) CanPlace(task *clusterstate.Task, m *clusterstate.Machine) bool {
	return f.env.CanPlace(task, m)
}

func (f envFunctions) Gate(spec *jobs.Spec) calendar.Verdict { return f.env.Gate(spec) }
