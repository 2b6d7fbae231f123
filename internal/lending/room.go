package lending

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// ReservedRoom is room on a machine that is reserved for the tasks of one job.
type ReservedRoom struct {
	Job       string
	Machine   string
	Resources sharding.Resources
	// TaskID is the replica that the room is reserved for; empty if it is reserved for a lender.
	TaskID string
}

// Reservations returns the reserved rooms in the order of the loans. The room of a loan is reserved
// for the replica until the replica is placed. Once the loan is called back and its room is free,
// the room is reserved for the lenders for a limited time.
func (l *Ledger) Reservations() []ReservedRoom {
	var rooms []ReservedRoom
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

// replicaRooms returns the room reserved for a loan's replica, none once the replica is placed.
func (l *Ledger) replicaRooms(loan *Loan) []ReservedRoom {
	job := l.state.Jobs[loan.Job]
	if job == nil || !l.mayBegin(job) || job.Active[loan.TaskIndex] != nil {
		return nil
	}
	return []ReservedRoom{{
		Job:       loan.Job,
		Machine:   loan.Machine,
		Resources: job.Record.Spec.Resources(),
		TaskID:    jobs.TaskID(loan.Job, loan.TaskIndex),
	}}
}

// lenderRooms returns the rooms reserved for a loan's lenders: for each lender as many task-sized
// rooms as cover the accelerators of its share, and at least one.
func (l *Ledger) lenderRooms(loan *Loan) []ReservedRoom {
	var rooms []ReservedRoom
	for _, share := range loan.From {
		job := l.state.Jobs[share.Job]
		if job == nil || !l.mayBegin(job) || l.state.Queued[share.Job] != job {
			continue
		}
		need := job.Record.Spec.Resources()
		room := ReservedRoom{Job: share.Job, Machine: loan.Machine, Resources: need}
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

// leavingGangShares returns the share of a lending gang that is stopping on a machine, if there is
// one. A gang that is stopped as a whole for one replica frees its other machines too, and those
// can be lent to the next waiting replicas without stopping more tasks.
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
