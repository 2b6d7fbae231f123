// Package api handles the HTTP requests of users and operators, and forwards the heartbeats of
// agents. It turns each request into a response, reads of the state service and transactions. It
// does no IO and reads no clock: the event loop that calls it sets the time.
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

// Config holds the settings, clients and shared state that a Server is created with.
type Config struct {
	Settings *settings.Settings
	Client   *store.Client
	Mirror   *store.Mirror
	// Acks holds the job states that this and the other controllers have reported to users.
	Acks   *readconsistency.AckLog
	Log    *slog.Logger
	Random *rand.Rand
	// PeerNonce is a random number from which the queries to other controllers are numbered.
	PeerNonce uint64
}

// Collaborators are the parts of the controller that a Server calls. All are required.
type Collaborators struct {
	View          View
	Health        Health
	Watch         Watch
	Commits       CommitQueue
	Loop          LoopWaker
	Agents        Agents
	Cancellations Cancellations
	Peers         Peers
}

// View is the current membership view of the cluster, as this controller knows it.
type View interface {
	// MayDecide reports whether this controller may make decisions for users.
	MayDecide() bool
	// OutsideView reports whether this controller is not a member of the view.
	OutsideView() bool
	// Members returns the names of the view's members.
	Members() []string
	// HearsAllMembers reports whether gossip is arriving from every other member.
	HearsAllMembers() bool
}

// Health is the controller's health, as the load balancer's health check sees it.
type Health interface {
	Healthy() bool
}

// Watch applies the state service's changes to the mirror.
type Watch interface {
	// MirrorLive reports whether the mirror is being kept up to date.
	MirrorLive() bool
	// WatchNow starts the next watch request at once instead of at its scheduled time.
	WatchNow()
}

// CommitQueue commits decisions as transactions.
type CommitQueue interface {
	// Busy reports whether a transaction on the key's record is in flight.
	Busy(key string) bool
	// AwaitsFence reports whether decisions have to wait until the fence is raised.
	AwaitsFence() bool
	Commit(decisions []decide.Decision)
}

// LoopWaker wakes the event loop, which then looks for decisions to make.
type LoopWaker interface {
	Wake()
}

// Agents handles the agents' heartbeats. It calls respond exactly once.
type Agents interface {
	Heartbeat(body []byte, respond func(http1.Reply))
}

// Cancellations tracks the cancellations that any controller has reported to a user.
type Cancellations interface {
	// Acknowledge records that a user is about to be told that a job is cancelled.
	Acknowledge(jobID string)
	// Cancelled reports whether another controller has told a user that the job is cancelled.
	Cancelled(jobID string) bool
}

// Peers are the other controllers in the settings.
type Peers interface {
	// QueryAcks sends a query to all of them. Server.PeerAnswered is called for each answer.
	QueryAcks(query readconsistency.PeerQuery)
}

// Server handles the requests that arrive at one controller. Only the event loop may call it.
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
	peers         Peers

	finals      *jobs.FinalCache
	sharedReads map[string]*sharedRead // by job ID
	queries     pendingQueries
	recency     mirrorRecency
	counts      queryCounts
	reads       readQueue
	held        []heldAnswer
	agedEpoch   agedEpoch
	peerProof   *readconsistency.PeerProof
	runs        *pipelines.Keeper // nil unless pipelines are enabled
	quotas      quotas
}

// New returns a Server that reads from and decides on the given cluster state.
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
		peers:         collaborators.Peers,

		finals:      jobs.NewFinalCache(config.Settings.Operator.FinalCache),
		sharedReads: map[string]*sharedRead{},
		counts:      newQueryCounts(),
	}
	s.peerProof = readconsistency.NewPeerProof(config.Settings.PeerNames(), config.PeerNonce)
	s.quotas.teams = config.Settings.TeamMap()
	s.quotas.enabled = config.Settings.Operator.Quotas != nil
	s.newRuns()
	return s
}

// Prefixes returns the key prefixes that the server needs mirrored in addition to those that every
// controller mirrors. Runs come last: a run that refers to a job must not be applied before the
// job.
func (s *Server) Prefixes() []string {
	var prefixes []string
	if s.quotas.enabled {
		prefixes = append(prefixes, quota.StoreKey)
	}
	if s.runs != nil {
		prefixes = append(prefixes, pipelines.RunPrefix)
	}
	return prefixes
}

// Preconditions returns the keys that the server makes every decision conditional on, so that a
// controller with an outdated quota tree cannot commit anything.
func (s *Server) Preconditions() []string {
	if s.quotas.enabled {
		return []string{quota.StoreKey}
	}
	return nil
}

// ApplyFinal applies a job's final record from the mirror.
func (s *Server) ApplyFinal(jobID string, value json.RawMessage) {
	var final jobs.StoredState
	if json.Unmarshal(value, &final) == nil {
		s.finals.Put(jobID, final)
		s.acks.Learn(jobID, final, s.state.Now)
	}
}

// ApplyRun applies a run's record from the mirror.
func (s *Server) ApplyRun(id string, value json.RawMessage) {
	if s.runs == nil {
		return
	}
	if err := s.runs.Changed(id, value); err != nil {
		s.log.Error("run record unreadable, quarantined", "run", id, "error", err)
	}
}

// maxValueBytes returns the state service's limit on the size of a value, in bytes.
func (s *Server) maxValueBytes() int { return int(s.settings.Cluster.State.ValueKB * 1024) }
