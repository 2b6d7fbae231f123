// Package api serves the requests of users and operators, and passes the heartbeats of agents
// on to the shard. It turns requests into answers, reads of the state service and
// transactions; it has no IO and no clock: the event loop that calls it sets the time.
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

// Config is what a Server needs that does not depend on the other packages' state.
type Config struct {
	Settings *settings.Settings
	Client   *store.Client
	Mirror   *store.Mirror
	// Acks is what users were told of jobs, here and by the other controllers.
	Acks   *readconsistency.AckLog
	Log    *slog.Logger
	Random *rand.Rand
}

// Collaborators is what a Server asks of the rest of the controller. All are required.
type Collaborators struct {
	View          View
	Health        Health
	Watch         Watch
	Commits       CommitQueue
	Loop          LoopWaker
	Agents        Agents
	Cancellations Cancellations
}

// View is the cluster's membership as this controller knows it.
type View interface {
	// MayDecide reports whether this controller may take decisions for users.
	MayDecide() bool
	// OutsideView reports whether this controller is no member of the view.
	OutsideView() bool
	// Members is the names of the view's members.
	Members() []string
	// HearsAllMembers reports whether the gossip of all other members arrives.
	HearsAllMembers() bool
}

// Health tells the load balancer whether users should come here.
type Health interface {
	Healthy() bool
}

// Watch follows the state service's changes into the mirror.
type Watch interface {
	// MirrorLive reports whether the mirror follows the state service.
	MirrorLive() bool
	// WatchNow opens the watch without waiting for its next turn.
	WatchNow()
}

// CommitQueue commits decisions as transactions.
type CommitQueue interface {
	// Busy reports whether a transaction on the record of a key is under way.
	Busy(key string) bool
	// Fencing reports whether decisions have to wait for a fence.
	Fencing() bool
	Commit(decisions []decide.Decision)
}

// LoopWaker has the event loop look for decisions to take.
type LoopWaker interface {
	Wake()
}

// Agents takes the agents' heartbeats. respond is called exactly once.
type Agents interface {
	Heartbeat(body []byte, respond func(http1.Reply))
}

// Cancellations is the acknowledged cancellations of the whole cluster.
type Cancellations interface {
	// Acknowledge notes that a user is about to be told that a job is cancelled.
	Acknowledge(jobID string)
	// Cancelled reports whether another controller has told a user so.
	Cancelled(jobID string) bool
}

// Server answers the requests that arrive at one controller. Only the event loop may call it.
type Server struct {
	state    *clusterstate.State
	settings *settings.Settings
	client   *store.Client
	mirror   *store.Mirror
	acks     *readconsistency.AckLog
	log      *slog.Logger
	random   *rand.Rand

	view          View
	health        Health
	watch         Watch
	commits       CommitQueue
	loop          LoopWaker
	agents        Agents
	cancellations Cancellations

	finals      *jobs.FinalCache
	sharedReads map[string]*sharedRead // by job
	queries     pendingQueries
	reads       readBatcher
	held        []heldAnswer
	agedEpoch   agedEpoch
	runs        *pipelines.Keeper // nil unless pipelines are turned on
	quotas      quotas
}

// New makes a server over the cluster's state.
func New(state *clusterstate.State, config Config, collaborators Collaborators) *Server {
	s := &Server{
		state:    state,
		settings: config.Settings,
		client:   config.Client,
		mirror:   config.Mirror,
		acks:     config.Acks,
		log:      config.Log,
		random:   config.Random,

		view:          collaborators.View,
		health:        collaborators.Health,
		watch:         collaborators.Watch,
		commits:       collaborators.Commits,
		loop:          collaborators.Loop,
		agents:        collaborators.Agents,
		cancellations: collaborators.Cancellations,

		finals:      jobs.NewFinalCache(config.Settings.Operator.FinalCache),
		sharedReads: map[string]*sharedRead{},
	}
	s.quotas.teams = config.Settings.TeamMap()
	s.quotas.on = config.Settings.Operator.Quotas != nil
	s.newRuns()
	return s
}

// Prefixes is the live keys that the server needs besides those of every controller. Runs come
// last: a run that names a job must not be applied before the job.
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

// Preconditions is the keys that every decision is conditional on because of the server:
// a controller that decides by an older quota tree commits nothing.
func (s *Server) Preconditions() []string {
	if s.quotas.on {
		return []string{quota.StoreKey}
	}
	return nil
}

// ApplyFinal applies a job's final state as the mirror shows it.
func (s *Server) ApplyFinal(jobID string, value json.RawMessage) {
	var final jobs.Final
	if json.Unmarshal(value, &final) == nil {
		s.finals.Put(jobID, final)
	}
}

// ApplyRun applies a run's record as the mirror shows it.
func (s *Server) ApplyRun(id string, value json.RawMessage) {
	if s.runs == nil {
		return
	}
	if err := s.runs.Changed(id, value); err != nil {
		s.log.Error("run record unreadable, quarantined", "run", id, "error", err)
	}
}

// valueBytes is the largest size of a record in bytes.
func (s *Server) valueBytes() int { return int(s.settings.Cluster.State.ValueKB * 1024) }
