package lending

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// facts collects what the records currently say about a loan.
func (l *Ledger) facts(loan *Loan) Facts {
	facts := Facts{NowMs: l.state.NowMs()}
	l.addMachineFacts(&facts, l.state.Machines[loan.Machine])
	if job := l.state.Jobs[loan.Job]; job != nil {
		l.addReplicaFacts(&facts, loan, job)
	}
	for _, share := range loan.From {
		if job := l.state.Jobs[share.Job]; job != nil {
			l.addLenderFacts(&facts, loan, job)
		}
	}
	return facts
}

func (l *Ledger) addMachineFacts(facts *Facts, machine *clusterstate.Machine) {
	if machine == nil {
		facts.MachineGone = true
		return
	}
	facts.MachineGone = machine.State == fleet.Deleting || machine.State == fleet.Deleted
	facts.MachineUnschedulable = machine.State == fleet.Warned || machine.State == fleet.Faulty
}

func (l *Ledger) addReplicaFacts(facts *Facts, loan *Loan, job *clusterstate.Job) {
	reservation, reserved := l.state.Reservations[jobs.TaskID(loan.Job, loan.TaskIndex)]
	facts.ReplicaReleased = reserved && reservation.Machine == loan.Machine
	replica := job.Active[loan.TaskIndex]
	if replica == nil {
		facts.ReplicaWaits = !reserved && l.mayBegin(job) && loan.TaskIndex < job.Record.Spec.TaskCount
		return
	}
	facts.ReplicaOnMachine = replica.OnMachine() && replica.Machine == loan.Machine
	if replica.State == jobs.Assigned && replica.PreferredMachine == loan.Machine {
		facts.ReplicaReleased = true
	}
}

// addLenderFacts sets the facts that are true of this lender; a fact that is true of any of a
// loan's lenders stays set.
func (l *Ledger) addLenderFacts(facts *Facts, loan *Loan, lender *clusterstate.Job) {
	if l.mayBegin(lender) && l.state.Queued[lender.ID] == lender {
		facts.LenderWaits = true
	}
	for _, task := range l.state.TasksOnMachine[loan.Machine] {
		if task.Job != lender {
			continue
		}
		if task.State == jobs.Stopping {
			facts.LenderLeaving = true
		}
		if task.State == jobs.Placed && loan.FreeMs > 0 && task.StateSince.UnixMilli() >= loan.FreeMs {
			facts.LenderBack = true
		}
	}
}
