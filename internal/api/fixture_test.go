package api

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/readconsistency"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/store"
)

// testServer is a Server with a fake state service and fake collaborators.
type testServer struct {
	*Server
	store func(method, target, body string) (status int, response string)
	calls []string // method and target of the calls to the state service
	fake  *fakeController
}

// fakeController implements all collaborators of a Server.
type fakeController struct {
	ready              bool                    // the result of MayDecide and Healthy
	commit             func([]decide.Decision) // if nil, decisions are dropped
	cancelledElsewhere string                  // ID of the job that another controller has reported as cancelled
	acknowledged       []string                // IDs of the jobs passed to Acknowledge
	ackQueries         []readconsistency.PeerQuery
}

func (f *fakeController) MayDecide() bool             { return f.ready }
func (f *fakeController) Healthy() bool               { return f.ready }
func (f *fakeController) OutsideView() bool           { return false }
func (f *fakeController) Members() []string           { return []string{"n0"} }
func (f *fakeController) HearsAllMembers() bool       { return true }
func (f *fakeController) MirrorLive() bool            { return true }
func (f *fakeController) WatchNow()                   {}
func (f *fakeController) Busy(string) bool            { return false }
func (f *fakeController) AwaitsFence() bool           { return false }
func (f *fakeController) Wake()                       {}
func (f *fakeController) Acknowledge(jobID string)    { f.acknowledged = append(f.acknowledged, jobID) }
func (f *fakeController) Cancelled(jobID string) bool { return jobID == f.cancelledElsewhere }

func (f *fakeController) QueryAcks(query readconsistency.PeerQuery) {
	f.ackQueries = append(f.ackQueries, query)
}

func (f *fakeController) Heartbeat(_ []byte, respond func(http1.Reply)) {
	respond(http1.Reply{Status: 299})
}

func (f *fakeController) Commit(decisions []decide.Decision) {
	if f.commit != nil {
		f.commit(decisions)
	}
}

// newTestServer returns a server with budget for reads. optional enables pipelines and quotas.
func newTestServer(t *testing.T, optional bool) *testServer {
	t.Helper()
	s := &testServer{
		store: func(string, string, string) (int, string) { return 404, `{"epoch":7}` },
		fake:  &fakeController{ready: true},
	}
	serverSettings := testSettings(optional)
	state := clusterstate.New(quota.Flat(serverSettings.TeamMap()), func(string) {})
	state.Now = time.UnixMilli(1e12)
	state.MachineTypes["g4"] = &jobs.MachineType{
		Name:         "g4",
		Cores:        8,
		Accelerators: 4,
		MemoryGB:     64,
		Zones:        []string{"a"},
	}
	client := store.New(func(method, target string, body []byte, _ time.Duration, done func(int, []byte, error)) {
		s.calls = append(s.calls, method+" "+target)
		status, response := s.store(method, target, string(body))
		done(status, []byte(response), nil)
	}, nil)
	client.SetBudget(1000, 1000, 1000)
	client.Dispatch(state.Now)
	state.Now = state.Now.Add(time.Second)
	client.Dispatch(state.Now)
	mirror := store.NewMirror(func(key string, value json.RawMessage, _ uint64) {
		if id, ok := strings.CutPrefix(key, "run/"); ok {
			s.ApplyRun(id, value)
		}
		if jobID, ok := strings.CutPrefix(key, jobs.JobPrefix); ok {
			_ = state.ApplyJob(jobID, value)
		}
	})
	mirror.Epoch = 7
	config := Config{
		Settings: serverSettings,
		Client:   client,
		Mirror:   mirror,
		Acks:     readconsistency.NewAckLog(0),
		Log:      slog.New(slog.DiscardHandler),
		Random:   rand.New(rand.NewPCG(1, 1)),
	}
	s.Server = New(state, config, Collaborators{
		View:          s.fake,
		Health:        s.fake,
		Watch:         s.fake,
		Commits:       s.fake,
		Loop:          s.fake,
		Agents:        s.fake,
		Cancellations: s.fake,
		Peers:         s.fake,
	})
	return s
}

func testSettings(optional bool) *settings.Settings {
	serverSettings := &settings.Settings{
		NodeName: "n0",
		Operator: settings.DefaultOperator(),
		Cluster: settings.Cluster{
			Size:  1,
			Teams: []settings.Team{{Name: "team", GpusMax: 4}},
			State: settings.State{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 16},
		},
	}
	if optional {
		serverSettings.Operator.Pipelines, serverSettings.Operator.Quotas = settings.DefaultPipelines(), &quota.Document{}
	}
	return serverSettings
}

// advance moves the time forward and sends the calls that the request budget then allows.
func (s *testServer) advance(pause time.Duration) {
	s.state.Now = s.state.Now.Add(pause)
	s.client.Dispatch(s.state.Now)
}

// exhaustBudget uses up the request budget, so that the state service can't be read.
func (s *testServer) exhaustBudget() {
	s.client.SetBudget(0, 0, 0)
	s.client.Dispatch(s.state.Now)
	for s.client.AllowsRead(0) {
		s.client.Get(0, "x", nil, func(*store.Item, error) {})
	}
}

// request makes a request one second later and returns the response, or a zero reply if there is no
// immediate response.
func (s *testServer) request(method, target, body string) http1.Reply {
	var reply http1.Reply
	s.advance(time.Second)
	s.Request(&http1.Message{Method: method, Target: target, Body: []byte(body)}, func(r http1.Reply) { reply = r })
	return reply
}
