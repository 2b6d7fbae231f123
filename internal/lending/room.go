package lending

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// KeptRoom is room on a machine that is reserved for the tasks of one job.
type KeptRoom struct {
	Job       string
	Machine   string
	Resources sharding.Resources
	// TaskID is the replica that the room is for; empty where it is a lender's.
	TaskID string
}

// Rooms lists the reserved rooms in order of the loans: for replicas while their room is made,
// then for a while for those that lent it.
func (l *Ledger) Rooms() []KeptRoom {
	var rooms []KeptRoom
	for _, loan := range l.Loans() {
		if l.state.Machines[loan.Machine] == nil {
			continue
		}
		if loan.ForBorrower() {
			rooms = append(rooms, l.replicaRooms(&loan)...)
		}
		if loan.ForLender() {
			rooms = append(rooms, l.lenderRooms(&loan)...)
		}
	}
	return rooms
}

// replicaRooms is the room of a loan's replica, none once the replica has a place.
func (l *Ledger) replicaRooms(loan *Loan) []KeptRoom {
	job := l.state.Jobs[loan.Job]
	if job == nil || !l.mayBegin(job) || job.Active[loan.TaskIndex] != nil {
		return nil
	}
	return []KeptRoom{{
		Job:       loan.Job,
		Machine:   loan.Machine,
		Resources: job.Record.Spec.Resources(),
		TaskID:    jobs.TaskID(loan.Job, loan.TaskIndex),
	}}
}

// lenderRooms is the rooms of those that lent, one for each task that the accelerators of a
// share are enough for, and at least one.
func (l *Ledger) lenderRooms(loan *Loan) []KeptRoom {
	var rooms []KeptRoom
	for _, share := range loan.From {
		job := l.state.Jobs[share.Job]
		if job == nil || !l.mayBegin(job) || l.state.Queued[share.Job] != job {
			continue
		}
		need := job.Record.Spec.Resources()
		room := KeptRoom{Job: share.Job, Machine: loan.Machine, Resources: need}
		rooms = append(rooms, room)
		if need.Accelerators <= 0 {
			continue
		}
		for left := share.GPUs - need.Accelerators; left > 0; left -= need.Accelerators {
			rooms = append(rooms, room)
		}
	}
	return rooms
}

// leavingGangShares is what gangs that lend have on a machine and are leaving: a gang that
// stopped as a whole for one replica gives its other machines to those that wait next.
func (l *Ledger) leavingGangShares(machine string, accelerators float64) []Share {
	tasks := l.state.TasksOnMachine[machine]
	for _, taskID := range clusterstate.SortedKeys(tasks) {
		task := tasks[taskID]
		if task.State != jobs.Stopping || task.Job.Record == nil {
			continue
		}
		spec := &task.Job.Record.Spec
		if spec.IsGang() && l.lends(task.Job.ID) {
			return []Share{{Job: task.Job.ID, GPUs: min(accelerators, spec.Accelerators)}}
		}
	}
	return nil
}
