package cancellation

import (
	"log/slog"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Config is the settings of a Service.
type Config struct {
	Name         string        // of this controller
	Peers        []string      // all other controllers that the settings name
	ProofWindow  time.Duration // how long after a proof leases may be renewed, see Window
	CancelWithin time.Duration // cancel_s: when a cancelled job's tasks must be gone after the acknowledgement
	Log          *slog.Logger
}

// PeerSender sends messages to other controllers.
type PeerSender interface {
	// SendToPeer sends a message, which may be lost.
	SendToPeer(peer string, message Message)
}

// AgentCaller calls the agents of workers.
type AgentCaller interface {
	// CallAgent sends a request; done is called on the event loop.
	CallAgent(endpoint, method, target string, body []byte, timeout time.Duration,
		done func(status int, body []byte, err error))
}

// Shards knows which controller owns which machine.
type Shards interface {
	// OwnerOf is the controller whose shard has the machine, "" while no view is known.
	OwnerOf(machine string) string
	// ReviewMachine has the machine's records compared with its heartbeat soon.
	ReviewMachine(machine string)
}

// StoreStatus tells whether the state service answers.
type StoreStatus interface {
	Unavailable() bool
}

// Collaborators are the parts of the controller that a Service calls.
type Collaborators struct {
	Peers  PeerSender
	Agents AgentCaller
	Shards Shards
	Store  StoreStatus
}

// Service is one controller's part in carrying out acknowledged cancellations. It is used on the event loop only.
type Service struct {
	config Config
	state  *clusterstate.State
	peers  PeerSender
	agents AgentCaller
	shards Shards
	store  StoreStatus

	proof         *Proof
	log           *AckLog
	confirmations map[string]LogPosition // by peer, up to where it has received this log
	sentEntries   uint64                 // entries that were sent to all peers once
	sentAt        time.Time              // when entries were last sent
	relay         StopRelay

	// LeasesWithheld counts heartbeats that were not answered 200 since no proof was valid.
	LeasesWithheld int
	// StopsRelayed counts stop commands that were sent to machines of other owners.
	StopsRelayed int

	withheldBefore int // LeasesWithheld when the proof expired
}

// New makes the service of a process; random supplies its incarnation and its first nonce.
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

// Cancelled reports whether a job is known to be cancelled by an acknowledgement, though the mirror may not show it.
func (s *Service) Cancelled(jobID string) bool { return s.proof.Cancelled(jobID) }

// MayRenewLeases reports whether a worker's lease may be renewed now.
func (s *Service) MayRenewLeases(now time.Time) bool { return s.proof.MayRenewLeases(now) }

// MayLaunch reports whether a task may be launched now.
func (s *Service) MayLaunch(now time.Time) bool { return s.proof.MayLaunch(now) }

// BeginStoreQuery notes that a request to the state service is sent now.
func (s *Service) BeginStoreQuery(now time.Time) StoreQuery { return s.proof.BeginStoreQuery(now) }

// StoreQueryAnswered notes that the mirror shows all changes up to the answer to that request.
func (s *Service) StoreQueryAnswered(query StoreQuery) { s.proof.StoreQueryAnswered(query) }

// Acknowledge notes that a user is about to be told that a job is cancelled. It must be called before the answer
// leaves.
func (s *Service) Acknowledge(jobID string) {
	if s.log.Append(jobID) {
		s.proof.peerAcks.Record(jobID, s.state.Now)
		s.relay.add(jobID, s.log.Position().Seq, s.state.Now)
		s.reviewMachinesOf(jobID)
	}
}

// reviewMachinesOf has the machines that hold tasks of a cancelled job reviewed, which stops the tasks.
func (s *Service) reviewMachinesOf(jobID string) {
	if job := s.state.Jobs[jobID]; job != nil {
		for _, task := range job.Active {
			if task.OnMachine() {
				s.shards.ReviewMachine(task.Machine)
			}
		}
	}
}

// Handshake is what every periodic line to the other controllers carries: the length of this log, and up to where
// theirs were received.
func (s *Service) Handshake() Message {
	end := s.log.Position()
	return Message{
		Entries:  &AckEntries{Incarnation: end.Incarnation, LogLength: end.Seq},
		Received: s.proof.Received(),
	}
}

// Receive handles a message of another controller. One that the settings do not name is ignored.
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

// confirmed reports whether a controller has received an entry of this log.
func (s *Service) confirmed(peer string, seq uint64) bool {
	position := s.confirmations[peer]
	return position.Incarnation == s.log.incarnation && position.Seq >= seq
}

func (s *Service) confirmedByAll(seq uint64) bool {
	return !slices.ContainsFunc(s.config.Peers, func(peer string) bool { return !s.confirmed(peer, seq) })
}

// Reconcile sends what peers have not received, queries them where the state service does not answer, and relays
// stops. The controller calls it with each tick of the event loop.
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

// Broadcast sends the entries that were made since it last did. The controller calls it in the same turn of the event
// loop in which the answers leave: another controller that is asked about the job must not answer by what it knew
// before. In a burst the entries of several turns are sent together.
func (s *Service) Broadcast() {
	if end := s.log.Position().Seq; s.sentEntries < end && s.state.Now.Sub(s.sentAt) >= tuning.AckGatherFor {
		s.sendEntries(LogPosition{s.log.incarnation, s.sentEntries}, s.config.Peers)
		s.sentEntries, s.sentAt = end, s.state.Now
	}
}

// resendUnconfirmed sends the entries that a peer has not confirmed once more, at most every tuning.AckResend and only
// while a pending stop needs it.
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

// sendEntries sends the entries after a position.
func (s *Service) sendEntries(from LogPosition, peers []string) {
	for _, entries := range s.log.EntriesAfter(from, 0) {
		for _, peer := range peers {
			s.peers.SendToPeer(peer, Message{Entries: &entries})
		}
	}
}

// logTransitions logs when leases are no longer renewed, and when they are again. A proof that becomes valid for the
// first time is no such transition, nor is an expiry in which no heartbeat came.
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
