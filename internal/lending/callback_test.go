package lending

import (
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// countNotPlaced returns the number of a job's tasks that are not placed.
func countNotPlaced(job *clusterstate.Job) int {
	count := 0
	for _, task := range job.Tasks {
		if task.State != jobs.Placed {
			count++
		}
	}
	return count
}

// lendReplicas stores a loan from job wk-1 for each of the first replicas of a service, in two
// records.
func (f *loanFixture) lendReplicas(service *clusterstate.Job, replicas int) {
	records := [2]LoanRecord{}
	for index := range replicas {
		record := &records[index%2]
		record.Loans = append(record.Loans, Loan{
			ID:        index,
			State:     Lent,
			Job:       service.ID,
			TaskIndex: index,
			Machine:   service.Tasks[index].Machine,
			From:      []Share{{Job: "wk-1", GPUs: 1, Tasks: 1}},
			GPUs:      1,
			SinceMs:   f.state.NowMs(),
		})
	}
	for number := range records {
		f.storeLoans(number, &records[number])
	}
}

// TestReplicasAreCalledBackOneAtATimeDownToHalf checks that replicas are called back for a lender
// that waits for what it is guaranteed, one at a time, until half of the service's replicas are
// left.
func TestReplicasAreCalledBackOneAtATimeDownToHalf(t *testing.T) {
	f := newLoanFixture(4)
	machines := []string{"i-0", "i-0", "i-0", "i-0", "i-1", "i-1", "i-2", "i-2", "i-1", "i-2", "i-0", "i-1"}
	service := f.job("wk-9", "batch", jobs.Service, "prod", "w", 1, 12, machines...)
	f.job("wk-1", "train", jobs.JobArray, "standard", "x", 1, 4)
	f.lendReplicas(service, 9)
	lenderWaits := func(jobID string) bool { return jobID == "wk-1" }
	f.reconcile(lenderWaits, true)
	if countNotPlaced(service) != 0 {
		t.Fatal("a replica was called back before tuning.MinLoanTime")
	}
	for range 30 {
		f.state.Now = f.state.Now.Add(tuning.MinLoanTime + time.Second)
		before := countNotPlaced(service)
		f.reconcile(noneWait, true)
		if countNotPlaced(service) != before {
			t.Fatal("a replica was called back although no lender waits")
		}
		f.reconcile(lenderWaits, true)
		if after := countNotPlaced(service); after > before+1 {
			t.Fatalf("%d replicas were called back at once", after-before)
		}
		f.loseStopping(service)
	}
	if got := countNotPlaced(service); got != 6 {
		t.Errorf("%d of 12 replicas were called back, want 6", got)
	}
}

func TestLastReplicaOfZoneIsNotCalledBack(t *testing.T) {
	f := newLoanFixture(4)
	service := f.job("wk-9", "serve", jobs.Service, "prod", "w", 2, 4, "i-0", "i-0", "i-2", "i-1")
	f.job("wk-1", "train", jobs.JobArray, "standard", "x", 1, 4)
	f.storeLoans(0, &LoanRecord{Loans: []Loan{{
		ID:        1,
		State:     Lent,
		Job:       "wk-9",
		TaskIndex: 3,
		Machine:   "i-1",
		From:      []Share{{Job: "wk-1", GPUs: 2, Tasks: 2}},
		GPUs:      2,
		SinceMs:   1,
	}}})
	f.reconcile(allWait, true)
	if service.Tasks[3].State != jobs.Placed {
		t.Error("the last replica in its zone was called back")
	}
}
