// Package api is the slice for users and operators: jobs (jobs.go), runs of
// pipeline files (runs.go), the tree of quotas (quotas.go). Answers, reads and
// transactions come out; it has no IO and no clock.
package api

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/readconsistency"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/store"
)

// Env is what the front is told from outside.
type Env struct {
	Settings *settings.Settings
	Client   *store.Client
	Mirror   *store.Mirror
	Log      *slog.Logger
	Rand     *rand.Rand

	// MayDecide tells whether this node may decide for users, Up whether users should
	// come here, Live whether the mirror follows the store, Outside whether the
	// node is outside the view, Fencing whether decisions must wait.
	MayDecide, Healthy, MirrorLive, OutsideView, Fencing func() bool
	// Members names the members of the view.
	Members func() []string
	// Busy tells whether a record is under a transaction.
	Busy func(key string) bool
	// Commit takes decisions, Wake has the loop look again, Follow opens the watch.
	Commit         func([]decide.Decision)
	Wake, WatchNow func()
	// Acks is what users were told of jobs.
	Acks *readconsistency.AckLog
	// HearsAllMembers tells whether the lines of all other members come in.
	HearsAllMembers func() bool
	// AcknowledgeCancellation notes that a user is about to be told that a job is cancelled.
	AcknowledgeCancellation func(jobID string)
	// Cancelled tells whether another controller has told a user so.
	Cancelled func(jobID string) bool
	// Heartbeat takes a worker's report.
	Heartbeat func(body []byte, respond func(http1.Reply))
}

// Server is what a node keeps for its users.
type Server struct {
	*clusterstate.State
	Env

	finals      *jobs.FinalCache
	sharedReads map[string]*sharedRead
	queries     pendingQueries
	reads       readBatcher
	held        []heldAnswer
	agedEpoch   agedEpoch
	runs        *pipelines.Keeper // nil unless pipelines are turned on
	quotas      quotas
}

// New makes a front over a book.
func New(state *clusterstate.State, env Env) *Server {
	s := &Server{
		State:       state,
		Env:         env,
		finals:      jobs.NewFinalCache(env.Settings.Operator.FinalCache),
		sharedReads: map[string]*sharedRead{},
	}
	s.quotas.teams, s.quotas.on = env.Settings.TeamMap(), env.Settings.Operator.Quotas != nil
	s.newRuns()
	return s
}

// Prefixes are the live keys that it needs besides those of every node. Runs come
// last: a run that names a job must not be met before the job.
func (s *Server) Prefixes() []string {
	var prefixes []string
	if s.quotas.on {
		prefixes = append(prefixes, quota.StoreKey)
	}
	if s.runs != nil {
		prefixes = append(prefixes, pipelines.RunPrefix)
	}
	return prefixes
}

// Preconditions are the keys that every decision is conditional on because of it.
func (s *Server) Preconditions() []string {
	if s.quotas.on {
		return []string{quota.StoreKey} // whoever decides by an older tree commits nothing
	}
	return nil
}

// ApplyFinal takes in a job's final state.
func (s *Server) ApplyFinal(jobID string, value json.RawMessage) {
	var final jobs.Final
	if json.Unmarshal(value, &final) == nil {
		s.finals.Put(jobID, final)
	}
}

// ApplyRun takes in a run's record.
func (s *Server) ApplyRun(id string, value json.RawMessage) {
	if s.runs == nil {
		return
	}
	if err := s.runs.Changed(id, value); err != nil {
		s.Log.Error("run record unreadable, quarantined", "run", id, "error", err)
	}
}

// valueBytes is the most bytes that a record may have.
func (s *Server) valueBytes() int { return int(s.Settings.Cluster.State.ValueKB * 1024) }
