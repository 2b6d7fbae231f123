package api

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// As long as half of the requests can be answered, no job's user is refused twice in a row,
// whatever the order of arrival. As long as a third can be answered, none is refused three times in
// a row.
func TestLoadSheddingIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 3*tuning.MaxPendingReads).Draw(t, "users")
		limit := (n - 1) / tuning.MaxPendingReads
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		queue := readQueue{}
		for round := range 6 {
			for _, i := range random.Perm(n) {
				if shed, full := queue.add(pendingRead{jobID: strconv.Itoa(i)}); full {
					queue.shedding.recordShed(shed.jobID)
					if got := queue.shedding.timesShed(shed.jobID); got > limit {
						t.Fatalf("round %d: job %s was refused %d times in a row, with %d users", round, shed.jobID, got, n)
					}
				}
			}
			for len(queue.waiting) > 0 {
				queue.shedding.reset(queue.take(queue.first()).jobID)
			}
		}
	})
}

// While there is no budget for reads, requests are refused once their users have timed out. Once
// there is budget, the jobs whose requests were refused are read first.
func TestShedReadsGoFirstOnceThereIsBudget(t *testing.T) {
	server := newTestServer(t, false)
	server.exhaustBudget()
	var refused, answered []string
	request := func(jobID string) {
		respond := func(reply http1.Reply) {
			if reply.Status == 503 {
				refused = append(refused, jobID)
			} else {
				answered = append(answered, jobID)
			}
		}
		server.requestRead(pendingRead{jobID: jobID, respond: respond, arrivedAt: server.state.Now})
	}
	request("wk-000001")
	server.state.Now = server.state.Now.Add(tuning.QueryTimeout + time.Millisecond)
	request("wk-000002")
	request("wk-000001")
	if !slices.Equal(refused, []string{"wk-000001"}) || len(answered) > 0 {
		t.Errorf("without budget: refused %v, answered %v", refused, answered)
	}
	server.client.SetBudget(10, 10, 10)
	server.advance(time.Second)
	server.reconcileReads()
	if !slices.Equal(answered, []string{"wk-000001", "wk-000002"}) {
		t.Errorf("with budget: answered %v", answered)
	}
}
