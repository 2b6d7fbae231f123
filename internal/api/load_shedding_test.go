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

// While half of the questions can be answered no job's user is sent away twice in a row,
// in whatever order they come; while a third can, not three times.
func TestLoadSheddingTakesTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 3*tuning.MaxPendingReads).Draw(t, "users")
		limit := (n - 1) / tuning.MaxPendingReads
		chance := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		a := readBatcher{}
		for round := range 6 {
			for _, i := range chance.Perm(n) {
				if away, full := a.add(pendingRead{jobID: strconv.Itoa(i)}); full {
					a.shedding.shed(away.jobID)
					if got := a.shedding.timesShed(away.jobID); got > limit {
						t.Fatalf("round %d: %s is sent away %d times in a row, of %d users", round, away.jobID, got, n)
					}
				}
			}
			for len(a.waiting) > 0 {
				a.shedding.reset(a.take(a.first()).jobID)
			}
		}
	})
}

// Without room for a question nobody is kept waiting for longer than users wait, and who
// was sent away goes first once there is room.
func TestShedReadsGoFirstOnceThereIsRoom(t *testing.T) {
	server := newTestServer(t, false)
	server.exhaustBudget()
	var sent, told []string
	ask := func(jobID string) {
		server.requestRead(pendingRead{jobID, func(r http1.Reply) {
			if r.Status == 503 {
				sent = append(sent, jobID)
			} else {
				told = append(told, jobID)
			}
		}, server.state.Now})
	}
	ask("wk-000001")
	server.state.Now = server.state.Now.Add(tuning.QueryTimeout + time.Millisecond)
	ask("wk-000002")
	ask("wk-000001")
	if !slices.Equal(sent, []string{"wk-000001"}) || len(told) > 0 {
		t.Errorf("sent away %v, told %v", sent, told)
	}
	server.client.SetBudget(10, 10, 10)
	server.state.Now = server.state.Now.Add(time.Second)
	server.client.Dispatch(server.state.Now)
	server.reconcileReads()
	if !slices.Equal(told, []string{"wk-000001", "wk-000002"}) {
		t.Errorf("told %v", told)
	}
}
