package lending

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// modelMachines is the number of machines in a loanModel.
const modelMachines = 4

// loanModel is a fleet in which jobs, replicas and faults occur in any order.
type loanModel struct {
	*loanFixture
	services []*clusterstate.Job
	lastJob  int
}

// TestEveryLoanEndsAfterAnyFaults runs random steps that lend and fail in a fleet, followed by a
// time without faults. No loan may take a team below its guarantee, no machine may exceed its
// capacity, and gangs must be stopped as a whole. In the end every loan must be over, and all
// accelerators lent must have been returned or lost with their machine.
func TestEveryLoanEndsAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &loanModel{loanFixture: newLoanFixture(modelMachines), lastJob: 10}
		t.Repeat(map[string]func(*rapid.T){
			"":              m.checkCapacity,
			"fill":          m.startJobs,
			"serve":         m.submitService,
			"request":       m.requestOne,
			"reconcile":     m.reconcileSome,
			"leave":         m.removeStopping,
			"place":         m.placeReplicas,
			"time":          m.passTime,
			"leader":        func(*rapid.T) { m.changeLeader() },
			"cancel":        m.cancelAny,
			"machine dies":  m.killMachine,
			"machine warns": m.warnMachine,
		})
		m.settle(t)
		m.checkCapacity(t)
		m.checkAllOver(t)
	})
}

func (m *loanModel) newJobID() string {
	m.lastJob++
	return fmt.Sprintf("wk-%d", m.lastJob)
}

// hasFreeAccelerator reports whether a machine is up and has a free accelerator.
func (m *loanModel) hasFreeAccelerator(i int) bool {
	machine := m.state.Machines[machineName(i)]
	free := m.state.MachineTypes["g4"].Accelerators - m.state.UsedResources(machineName(i)).Accelerators
	return machine != nil && machine.State == fleet.Up && free >= 1
}

// liveServices returns the services that are live.
func (m *loanModel) liveServices() []*clusterstate.Job {
	return slices.DeleteFunc(slices.Clone(m.services), func(job *clusterstate.Job) bool {
		return m.state.Jobs[job.ID] != job || !live(job)
	})
}

func (m *loanModel) machineNames() []string {
	var names []string
	for _, machine := range m.state.MachinesByName() {
		names = append(names, machine.Name)
	}
	return names
}

// tasksOn returns the tasks on a machine, sorted by ID.
func (m *loanModel) tasksOn(machine string) []*clusterstate.Task {
	var tasks []*clusterstate.Task
	for _, taskID := range clusterstate.SortedKeys(m.state.TasksOnMachine[machine]) {
		tasks = append(tasks, m.state.TasksOnMachine[machine][taskID])
	}
	return tasks
}

// startJobs starts a job on each machine with a free accelerator. Some are gangs with a second task
// on the next machine.
func (m *loanModel) startJobs(t *rapid.T) {
	for i := range modelMachines {
		if !m.hasFreeAccelerator(i) {
			continue
		}
		team := rapid.SampledFrom([]string{"train", "batch", "serve"}).Draw(t, "team")
		priority := rapid.SampledFrom([]string{"standard", "idle", "prod"}).Draw(t, "priority")
		machines, kind := []string{machineName(i)}, jobs.JobArray
		next := (i + 1) % modelMachines
		if rapid.Bool().Draw(t, "gang") && m.hasFreeAccelerator(next) {
			machines, kind = append(machines, machineName(next)), jobs.Gang
		}
		m.job(m.newJobID(), team, kind, priority, "img-"+team, 1, len(machines), machines...)
	}
}

func (m *loanModel) submitService(t *rapid.T) {
	priority := rapid.SampledFrom([]string{"prod", "standard"}).Draw(t, "priority")
	replicas := rapid.IntRange(1, 4).Draw(t, "replicas")
	m.services = append(m.services, m.job(m.newJobID(), "serve", jobs.Service, priority, "img-s", 1, replicas))
}

// requestOne requests a loan for the first waiting replica without one.
func (m *loanModel) requestOne(t *rapid.T) {
	for _, job := range m.liveServices() {
		for index := range job.Record.Spec.TaskCount {
			if _, requested := m.ledger.LoanFor(job.ID, index); !requested && job.Active[index] == nil {
				m.request(t, job, index, rapid.Bool().Draw(t, "committed"))
				return
			}
		}
	}
}

func (m *loanModel) reconcileSome(t *rapid.T) {
	m.reconcile(allWait, rapid.Bool().Draw(t, "committed"))
}

// removeStopping makes all stopping tasks end.
func (m *loanModel) removeStopping(*rapid.T) {
	for _, machine := range m.machineNames() {
		for _, task := range m.tasksOn(machine) {
			if task.State == jobs.Stopping {
				m.loseTask(task)
			}
		}
	}
}

// placeReplicas places the replicas whose room is vacated.
func (m *loanModel) placeReplicas(*rapid.T) {
	for _, job := range m.liveServices() {
		for index := range job.Record.Spec.TaskCount {
			loan, ok := m.ledger.LoanFor(job.ID, index)
			if !ok || loan.State != Vacated {
				continue
			}
			if machine := m.state.Machines[loan.Machine]; machine != nil && machine.State == fleet.Up {
				m.place(job, index, loan.Machine)
			}
		}
	}
}

func (m *loanModel) passTime(t *rapid.T) {
	m.state.Now = m.state.Now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second)
}

func (m *loanModel) cancelAny(t *rapid.T) {
	jobID := rapid.SampledFrom(append(clusterstate.SortedKeys(m.state.Jobs), "")).Draw(t, "job")
	if job := m.state.Jobs[jobID]; job != nil && live(job) {
		m.cancel(job)
	}
}

// killMachine deletes a machine and all tasks on it; sometimes a new machine takes its name.
func (m *loanModel) killMachine(t *rapid.T) {
	i := rapid.IntRange(0, modelMachines-1).Draw(t, "machine")
	for _, task := range m.tasksOn(machineName(i)) {
		m.loseTask(task)
	}
	_ = m.state.ApplyMachine(machineName(i), "", nil)
	if rapid.Bool().Draw(t, "another") {
		m.setMachine(i, fleet.Up)
	}
}

func (m *loanModel) warnMachine(t *rapid.T) {
	i := rapid.IntRange(0, modelMachines-1).Draw(t, "machine")
	if m.state.Machines[machineName(i)] != nil {
		m.setMachine(i, fleet.Warned)
	}
}

// settle lets time pass without faults until all loans are over: stopping tasks end and services
// are cancelled.
func (m *loanModel) settle(t *rapid.T) {
	for range 8 {
		m.removeStopping(t)
		for _, job := range m.liveServices() {
			m.cancel(job)
		}
		m.reconcile(allWait, true)
		m.state.Now = m.state.Now.Add(20 * time.Second)
	}
}

func (m *loanModel) checkCapacity(t *rapid.T) {
	t.Helper()
	for _, machine := range m.machineNames() {
		if used := m.state.UsedResources(machine); !m.state.MachineTypes["g4"].Capacity().Fits(used) {
			t.Fatalf("%s is above its capacity: %v used", machine, used)
		}
	}
}

func (m *loanModel) checkAllOver(t *rapid.T) {
	t.Helper()
	var taken, returned, lost float64
	for id, loan := range m.began {
		end, over := m.ended[id]
		if !over {
			t.Fatalf("loan %d is still %s", id, loan.State)
		}
		taken += loan.GPUs
		if end.State == Returned {
			returned += end.GPUs
		} else {
			lost += end.GPUs
		}
	}
	if taken != returned+lost {
		t.Fatalf("%v accelerators lent, but %v returned and %v lost with machines", taken, returned, lost)
	}
	if rooms := m.ledger.Reservations(); len(rooms) > 0 {
		t.Fatalf("room is still reserved: %v", rooms)
	}
}
