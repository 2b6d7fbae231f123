package cancellation

import (
	"log/slog"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Config is the configuration of a Service.
type Config struct {
	Name         string        // of this controller
	Peers        []string      // all other controllers in the settings
	ProofWindow  time.Duration // how long after a proof leases may be renewed, see Window
	CancelWithin time.Duration // cancel_s: how soon after the acknowledgement a cancelled job's tasks must have ended
	Log          *slog.Logger
}

// PeerSender sends messages to other controllers.
type PeerSender interface {
	// SendToPeer sends a message, which may get lost.
	SendToPeer(peer string, message Message)
}

// AgentCaller sends requests to the agents on the workers.
type AgentCaller interface {
	// CallAgent sends a request. done is called on the event loop.
	CallAgent(endpoint, method, target string, body []byte, timeout time.Duration,
		done func(status int, body []byte, err error))
}

// Shards provides the assignment of machines to controllers.
type Shards interface {
	// OwnerOf returns the controller that owns the shard of the machine, "" if no view is known.
	OwnerOf(machine string) string
	// ReviewMachine schedules a comparison of the machine's records with its heartbeat.
	ReviewMachine(machine string)
}

// StoreStatus reports whether the state service is unavailable.
type StoreStatus interface {
	Unavailable() bool
}

// Collaborators are the dependencies of a Service.
type Collaborators struct {
	Peers  PeerSender
	Agents AgentCaller
	Shards Shards
	Store  StoreStatus
}

// Service enforces acknowledged cancellations on behalf of one controller. Not safe for concurrent
// use; only the event loop uses it.
type Service struct {
	config Config
	state  *clusterstate.State
	peers  PeerSender
	agents AgentCaller
	shards Shards
	store  StoreStatus

	proof         *Proof
	log           *AckLog
	confirmations map[string]LogPosition // by peer, the position up to which it has received this log
	sentEntries   uint64                 // number of entries that have been sent to all peers once
	sentAt        time.Time              // when entries were last sent
	relay         StopRelay

	// LeasesWithheld counts heartbeats that were not answered with 200 because no proof was valid.
	LeasesWithheld int
	// StopsRelayed counts stop commands sent to machines of other owners.
	StopsRelayed int

	withheldBefore int // value of LeasesWithheld when the proof expired
}

// New returns the service of a process. random provides its incarnation and its first nonce.
func New(state *clusterstate.State, config Config, collaborators Collaborators, random func() uint64) *Service {
	incarnation := random()>>1 | 1
	return &Service{
		config:        config,
		state:         state,
		peers:         collaborators.Peers,
		agents:        collaborators.Agents,
		shards:        collaborators.Shards,
		store:         collaborators.Store,
		proof:         NewProof(config.Peers, config.ProofWindow, random()>>2),
		log:           NewAckLog(incarnation),
		confirmations: map[string]LogPosition{},
	}
}

// Cancelled reports whether a job is known to be cancelled from an acknowledgement, even if the
// mirror does not show it yet.
func (s *Service) Cancelled(jobID string) bool { return s.proof.Cancelled(jobID) }

// MayRenewLeases reports whether leases of workers may be renewed now.
func (s *Service) MayRenewLeases(now time.Time) bool { return s.proof.MayRenewLeases(now) }

// LaunchUntil returns the time until which launches of a job that is not Cancelled may be sent.
func (s *Service) LaunchUntil(jobID string) time.Time { return s.proof.LaunchUntil(jobID) }

// JobsVerified records that the state service, in answer to a request sent at sentAt, found the
// records of the jobs to be as the mirror shows them.
func (s *Service) JobsVerified(jobIDs []string, sentAt time.Time) {
	s.proof.JobsVerified(jobIDs, sentAt)
}

// BeginStoreQuery records that a request to the state service is being sent now.
func (s *Service) BeginStoreQuery(now time.Time) StoreQuery { return s.proof.BeginStoreQuery(now) }

// StoreQueryAnswered records that the mirror shows all changes up to the answer to the request.
func (s *Service) StoreQueryAnswered(query StoreQuery) { s.proof.StoreQueryAnswered(query) }

// Acknowledge records that a user is about to be told that a job is cancelled. It must be called
// before the answer leaves.
func (s *Service) Acknowledge(jobID string) {
	if s.log.Append(jobID) {
		s.proof.peerAcks.Record(jobID, s.state.Now)
		s.relay.add(jobID, s.log.Position().Seq, s.state.Now)
		s.reviewMachinesOf(jobID)
	}
}

// Learn records that another controller is about to tell a user that a job is cancelled. It returns
// false if that could not be recorded, because too many cancellations are known that the mirror does
// not show yet.
func (s *Service) Learn(jobID string) bool {
	if s.proof.Cancelled(jobID) {
		return true
	}
	if len(s.proof.peerAcks.jobs) >= tuning.MaxPeerCancellations {
		return false
	}
	s.proof.peerAcks.Record(jobID, s.state.Now)
	s.reviewMachinesOf(jobID)
	return true
}

// reviewMachinesOf schedules a review of all machines with tasks of a cancelled job, which stops
// the tasks.
func (s *Service) reviewMachinesOf(jobID string) {
	if job := s.state.Jobs[jobID]; job != nil {
		for _, task := range job.Active {
			if task.OnMachine() {
				s.shards.ReviewMachine(task.Machine)
			}
		}
	}
}

// Handshake returns what every periodic message to the other controllers contains: the length of
// this log, and the positions up to which the other logs were received.
func (s *Service) Handshake() Message {
	end := s.log.Position()
	return Message{
		Entries:  &AckEntries{Incarnation: end.Incarnation, LogLength: end.Seq},
		Received: s.proof.Received(),
	}
}

// Receive processes a message of another controller. Messages of controllers that are not in the
// settings are ignored.
func (s *Service) Receive(from string, message Message) {
	if s.proof.peerAcks.peers[from] == nil {
		return
	}
	if message.Entries != nil {
		for _, jobID := range s.proof.Receive(from, *message.Entries, s.state.Now) {
			s.reviewMachinesOf(jobID)
		}
		s.proof.PeerAnswered(from, *message.Entries)
	}
	if position, ok := message.Received[s.config.Name]; ok && position.Incarnation == s.log.incarnation {
		s.confirmations[from] = position
	}
	if message.Query != nil {
		for _, entries := range s.log.EntriesAfter(message.Query.Received, message.Query.Nonce) {
			s.peers.SendToPeer(from, Message{Entries: &entries})
		}
	}
}

// confirmed reports whether a controller has confirmed that it received an entry of this log.
func (s *Service) confirmed(peer string, seq uint64) bool {
	position := s.confirmations[peer]
	return position.Incarnation == s.log.incarnation && position.Seq >= seq
}

func (s *Service) confirmedByAll(seq uint64) bool {
	return !slices.ContainsFunc(s.config.Peers, func(peer string) bool { return !s.confirmed(peer, seq) })
}

// Reconcile sends entries that peers have not received, queries the peers if the state service does
// not answer, and relays stop commands. The controller calls it on each tick of the event loop.
func (s *Service) Reconcile() {
	s.Broadcast()
	s.resendUnconfirmed()
	if nonce, due := s.proof.NextQuery(s.state.Now, s.store.Unavailable()); due {
		received := s.proof.Received()
		for _, peer := range s.config.Peers {
			s.peers.SendToPeer(peer, Message{Query: &Query{Nonce: nonce, Received: received[peer]}})
		}
	}
	s.relayStops()
	s.logTransitions()
}

// Broadcast sends the entries appended since the last broadcast. The controller calls it in the
// same turn of the event loop in which the answers leave, so that another controller that is asked
// about the job does not answer with outdated knowledge. In a burst, the entries of several turns
// are sent together.
func (s *Service) Broadcast() {
	if end := s.log.Position().Seq; s.sentEntries < end && s.state.Now.Sub(s.sentAt) >= tuning.AckGatherFor {
		s.sendEntries(LogPosition{s.log.incarnation, s.sentEntries}, s.config.Peers)
		s.sentEntries, s.sentAt = end, s.state.Now
	}
}

// resendUnconfirmed resends the entries that a peer has not confirmed, at most every
// tuning.AckResend and only while a pending stop depends on it.
func (s *Service) resendUnconfirmed() {
	end := s.log.Position().Seq
	if s.sentEntries != end || len(s.relay.undelivered) == 0 || s.state.Now.Sub(s.sentAt) < tuning.AckResend {
		return
	}
	s.sentAt = s.state.Now
	first := s.relay.undelivered[0].seq
	for _, peer := range s.config.Peers {
		if !s.confirmed(peer, end) {
			from := LogPosition{s.log.incarnation, max(s.confirmations[peer].Seq, first-1)}
			s.sendEntries(from, []string{peer})
		}
	}
}

// sendEntries sends the entries after a position to the given peers.
func (s *Service) sendEntries(from LogPosition, peers []string) {
	for _, entries := range s.log.EntriesAfter(from, 0) {
		for _, peer := range peers {
			s.peers.SendToPeer(peer, Message{Entries: &entries})
		}
	}
}

// logTransitions logs when the renewal of leases is suspended and resumed. It does not log the
// first time that a proof becomes valid, nor the end of a suspension during which no heartbeat
// arrived.
func (s *Service) logTransitions() {
	state, changed := s.proof.Advance(s.state.Now)
	if !changed || s.proof.provenAt.IsZero() {
		return
	}
	switch state {
	case ProofExpired:
		s.withheldBefore = s.LeasesWithheld
		s.config.Log.Info("lease renewal suspended",
			"reason", "not all acknowledged cancellations are known",
			"proof_age_ms", s.proof.Age(s.state.Now).Milliseconds())
	case ProofValid:
		if s.LeasesWithheld > s.withheldBefore {
			s.config.Log.Info("lease renewal resumed", "heartbeats_refused", s.LeasesWithheld-s.withheldBefore)
			s.withheldBefore = s.LeasesWithheld
		}
	}
}
