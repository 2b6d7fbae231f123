package api

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/readconsistency"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

const liveItem = `{"key":"job/wk-000001","stamp":5,` +
	`"v":{"s":"live","spec":{"uid":"wk-000001","pieces":1,"rank":"prod"}}}`

// newConfirmingServer returns a server beside one peer, which confirms acknowledgements unless it is
// of an older version.
func newConfirmingServer(t *testing.T, olderPeer bool) *testServer {
	t.Helper()
	server := newTestServer(t, false)
	server.acks.RequireConfirmations([]string{"n1"}, tuning.AckHold, 1)
	server.acks.SetConfirms("n1", !olderPeer)
	server.peerProof = readconsistency.NewPeerProof([]string{"n1"}, 100)
	return server
}

// While all controllers wait for confirmations, a live job is answered from a read of up to
// tuning.ReadLease, but a job that no read finds is not called unknown after tuning.MaxReadAge.
func TestSlowReadIsAnsweredWithinTheReadLease(t *testing.T) {
	for _, c := range []struct {
		name      string
		readTime  time.Duration
		found     bool
		olderPeer bool
		want      int
	}{
		{"live, within the lease", tuning.ReadLease, true, false, 200},
		{"live, beyond the lease", tuning.ReadLease + time.Millisecond, true, false, 503},
		{"live, beside an older version", tuning.MaxReadAge + time.Millisecond, true, true, 503},
		{"unknown, slow", tuning.MaxReadAge + time.Millisecond, false, false, 503},
		{"unknown, fast", tuning.MaxReadAge, false, false, 404},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := newConfirmingServer(t, c.olderPeer)
			server.store = func(_, target, _ string) (int, string) {
				if target == "/store/job/wk-000001" {
					server.state.Now = server.state.Now.Add(c.readTime)
					if c.found {
						return 200, liveItem
					}
				}
				return 404, `{"epoch":7}`
			}
			server.mirror.Changed = func(string, json.RawMessage, uint64) {}
			if reply := server.request("GET", "/work/wk-000001", ""); reply.Status != c.want {
				t.Errorf("got %d %s, want %d", reply.Status, reply.Body, c.want)
			}
		})
	}
}

// The mirror answers for the lease after the read of the epoch that it has reached, however long that
// read and the watch took.
func TestMirrorAnswersWithinTheReadLease(t *testing.T) {
	for _, c := range []struct {
		name      string
		lag       time.Duration // from sending the read until the mirror reaches its epoch
		olderPeer bool
		want      bool
	}{
		{"within the lease", tuning.ReadLease, false, true},
		{"beyond the lease", tuning.ReadLease + time.Millisecond, false, false},
		{"beside an older version", tuning.MaxReadAge + time.Millisecond, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := newConfirmingServer(t, c.olderPeer)
			answered := false
			query := pendingQuery{jobID: "wk-000001", arrivedAt: server.state.Now, answer: func() { answered = true }}
			server.queries.batches = []queryBatch{{queries: []pendingQuery{query}, epoch: 9}}
			server.recency.epochRead(9, server.state.Now)
			server.advance(c.lag)
			server.AnswerQueries(time.Time{})
			if answered {
				t.Fatal("answered before the mirror has reached the epoch")
			}
			server.mirror.Epoch = 9
			server.AnswerQueries(time.Time{})
			if answered != c.want {
				t.Errorf("answered: %v", answered)
			}
		})
	}
}

// The end of a job is acknowledged once the other controller has confirmed that it knows of it, and without
// that once the lease of any earlier read is over.
func TestEndIsAcknowledgedOnceConfirmed(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		server := newConfirmingServer(t, false)
		server.store = func(_, target, _ string) (int, string) {
			if target == "/store/final/wk-000001" {
				return 200, `{"key":"final/wk-000001","v":{"s":"done","n":1},"stamp":5}`
			}
			return 404, `{"epoch":7}`
		}
		status := 0
		request := &http1.Message{Method: "GET", Target: "/work/wk-000001"}
		server.Request(request, func(reply http1.Reply) { status = reply.Status })
		messages := server.acks.TakeUnsent()
		if len(messages) != 1 || messages[0].Ended["wk-000001"].State != jobs.Done {
			t.Fatalf("passed on: %+v", messages)
		}
		server.advance(tuning.AckHold - time.Millisecond)
		server.ReleaseHeld()
		if status != 0 {
			t.Fatal("acknowledged before the other controller knows of it")
		}
		if confirmed {
			server.acks.Confirmed("n1", readconsistency.Confirmation{Line: messages[0].Line})
			server.AcksConfirmed()
		} else {
			server.advance(time.Millisecond)
		}
		server.ReleaseHeld()
		if status != 200 {
			t.Errorf("confirmed %v: status %d", confirmed, status)
		}
	}
}

// A submission whose transaction was answered too late is answered by a read of the job, since the
// job may have ended meanwhile; if that fails, the user repeats it.
func TestLateAcceptanceIsReadAgain(t *testing.T) {
	body := validJob(func(m map[string]any) { m["uid"] = "wk-000001" })
	for _, c := range []struct {
		name       string
		commitTime time.Duration
		end        string // final record that the read finds
		want       string
	}{
		{"in time", tuning.ReadLease, "done", `201 {"uid":"wk-000001","status":"pending"}`},
		{"late, ended", tuning.ReadLease + time.Millisecond, "done", `201 {"uid":"wk-000001","status":"done"}`},
		{"late, unreadable", tuning.ReadLease + time.Millisecond, "", `503`},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := newConfirmingServer(t, false)
			server.store = func(method, target, _ string) (int, string) {
				switch {
				case method == "POST":
					server.state.Now = server.state.Now.Add(c.commitTime)
					return 200, `{"epoch":8}`
				case c.end == "":
					return 503, "{}"
				case strings.HasPrefix(target, "/store/final/"):
					return 200, `{"key":"final/wk-000001","v":{"s":"` + c.end + `","n":1},"stamp":9}`
				}
				return 404, `{"epoch":9}`
			}
			var got string
			server.advance(time.Second)
			request := &http1.Message{Method: "POST", Target: "/work", Body: []byte(body)}
			server.Request(request, func(reply http1.Reply) {
				got = fmt.Sprintf("%d %s", reply.Status, reply.Body)
			})
			server.advance(tuning.AckHold)
			server.ReleaseHeld()
			if !strings.HasPrefix(got, c.want) {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}
