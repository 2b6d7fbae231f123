package api

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
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

// A job whose record can't be read is known all the same, until its final state is there.
func TestUnreadableJobIsAnswered(t *testing.T) {
	for _, c := range []struct{ final, want string }{
		{`{"epoch":7}`, `{"uid":"wk-000001","status":"pending","done":0,"running":0}`},
		{`{"key":"final/wk-000001","v":{"s":"done","n":3},"stamp":6}`, `{"uid":"wk-000001","status":"done","done":3,"running":0}`},
	} {
		server := newTestServer(t, false)
		server.store = func(_, target, _ string) (int, string) {
			switch target {
			case "/store/job/wk-000001":
				return 200, `{"key":"job/wk-000001","v":{"s":"what"},"stamp":5}`
			case "/store/final/wk-000001":
				if c.final[2] == 'k' {
					return 200, c.final
				}
			}
			return 404, `{"epoch":7}`
		}
		if r := server.request("GET", "/work/wk-000001", ""); r.Status != 200 || string(r.Body) != c.want {
			t.Errorf("%d %s, not %s", r.Status, r.Body, c.want)
		}
	}
}

// That a job is live is told only by a read that came at once: what came late may be older
// than what another controller has told the user since.
func TestLateReadIsNoAnswer(t *testing.T) {
	for took, want := range map[time.Duration]int{tuning.ReadFresh: 200, tuning.ReadFresh + time.Millisecond: 503} {
		server := newTestServer(t, false)
		server.store = func(_, target, _ string) (int, string) {
			if target == "/store/job/wk-000001" {
				server.state.Now = server.state.Now.Add(took)
				return 200, `{"key":"job/wk-000001","v":{"s":"live","spec":{"uid":"wk-000001","pieces":1,"rank":"prod"}},"stamp":5}`
			}
			return 404, `{"epoch":7}`
		}
		server.mirror.Changed = func(string, json.RawMessage, uint64) {}
		if r := server.request("GET", "/work/wk-000001", ""); r.Status != want {
			t.Errorf("after %v: %d %s", took, r.Status, r.Body)
		}
	}
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

// A submission that is repeated is told that its job is live only by a read that came back
// at once, as a question is: another controller may have told the end of it meanwhile.
func TestRepeatedSubmissionIsNoOlder(t *testing.T) {
	const body = `{"uid":"wk-000001","jobclass":"c","owner":"team","shape":"sweep","rank":"standard","pieces":1,"cores":1,"accelerators":1,"memory_gb":1,"bundle":"b","pull_gb":1,"same_place":false,"scatter":false,"loaner":false,"expect_s":1,"snapshot_s":0,"stash_s":0}`
	for _, known := range []bool{true, false} { // to the mirror
		for took, want := range map[time.Duration]int{0: 200, 2 * tuning.ReadFresh: 503} {
			server := newTestServer(t, false)
			record := ""
			server.store = func(method, target, sent string) (int, string) {
				switch {
				case method == "POST" && record == "":
					_, record, _ = strings.Cut(sent, `"v":`)
					record, _, _ = strings.Cut(record, `}]}`)
					return 200, `{"epoch":8}`
				case method == "POST":
					return 409, `{"failed":["job/wk-000001"],"epoch":8}`
				case target == "/store/job/wk-000001":
					server.state.Now = server.state.Now.Add(took)
					return 200, `{"key":"job/wk-000001","v":` + record + `,"stamp":8}`
				}
				return 404, `{"epoch":8}`
			}
			if r := server.request("POST", "/work", body); r.Status != 201 {
				t.Fatalf("%d %s", r.Status, r.Body)
			}
			if !known {
				delete(server.state.Jobs, "wk-000001")
			}
			if r := server.request("POST", "/work", body); r.Status != want {
				t.Errorf("known %v, read in %v: %d %s", known, took, r.Status, r.Body)
			}
		}
	}
}

// 4,000 questions wait for one reading of the epoch, and none is sent away.
func TestOneEpochReadServes4000Queries(t *testing.T) {
	server := newTestServer(t, false)
	server.exhaustBudget() // the reading has not come
	refused, answered := 0, 0
	for range 4000 {
		server.addQuery(pendingQuery{respond: func(http1.Reply) { refused++ }, answer: func() { answered++ }, at: server.state.Now})
	}
	if refused > 0 || answered > 0 {
		t.Errorf("%d refused, %d answered with nothing read", refused, answered)
	}
	server.client.SetBudget(1000, 1000, 1000)
	for range 5 {
		server.state.Now = server.state.Now.Add(100 * time.Millisecond)
		server.client.Dispatch(server.state.Now)
		server.ReconcileQueries()
	}
	if answered != 4000 || refused > 0 {
		t.Errorf("%d answered, %d refused", answered, refused)
	}
}
