package cancellation

import (
	"log/slog"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Message is what one line between controllers carries of this.
type Message struct {
	Entries  *AckEntries            `json:"told,omitempty"`
	Query    *Query                 `json:"ask,omitempty"`
	Received map[string]LogPosition `json:"taken,omitempty"` // of each other controller's log, by the sender
}

// Valid tells whether a message may be what a controller sent.
func (m *Message) Valid() bool {
	if t := m.Entries; t != nil {
		n := uint64(len(t.JobIDs))
		if t.Incarnation == 0 || n > tuning.MaxAcksPerLine || n > 0 && (t.First == 0 || t.First+n-1 > t.LogLength) {
			return false
		}
		for _, jobID := range t.JobIDs {
			if !jobs.ValidID(jobID) {
				return false
			}
		}
	}
	return (m.Query == nil || m.Query.Nonce != 0) && len(m.Received) <= tuning.MaxPeers
}

// Env is what it is told from outside.
type Env struct {
	Name      string
	Peers     []string // all other controllers that the settings name
	Window    time.Duration
	CancelFor time.Duration // cancel_s
	Log       *slog.Logger
	// Send has a line sent to a peer; it may be lost.
	Send func(peer string, m Message)
	// Call sends a request to a worker; its answer comes back on the loop.
	Call func(endpoint, method, target string, body []byte, timeout time.Duration, done func(status int, body []byte, err error))
	// OwnerOf is the controller that a machine belongs to.
	OwnerOf func(machine string) string
	// StoreUnavailable tells that the state service does not answer.
	StoreUnavailable func() bool
	// ReviewMachine has a machine looked at.
	ReviewMachine func(machine string)
}

// Service is what one controller keeps of cancellations that were told.
type Service struct {
	*clusterstate.State
	Env
	*Proof

	log         *AckLog
	acks        map[string]LogPosition // of this log, by peer
	sentEntries uint64                 // entries passed on once
	sentAt      time.Time              // they were last passed on again
	relay       StopRelay

	// LeasesWithheld counts reports whose lease was not renewed, Delivered stops that were
	// commanded past an owner that had not confirmed them.
	LeasesWithheld, StopsRelayed int
	withheldBefore               int // Withheld when it began to lapse
}

// New makes the service of a process; chance gives it a name of its own.
func New(b *clusterstate.State, env Env, chance func() uint64) *Service {
	incarnation := chance()>>1 | 1
	return &Service{State: b, Env: env, Proof: NewProof(env.Peers, env.Window, chance()>>2), log: NewAckLog(incarnation), acks: map[string]LogPosition{}}
}

// Acknowledge notes that a user is about to be told that a job is cancelled. Whoever tells
// calls it before the answer leaves.
func (s *Service) Acknowledge(jobID string) {
	if s.log.Append(jobID) {
		s.Record(jobID, s.Now)
		s.relay.add(jobID, s.log.Position().Seq, s.Now)
		s.reviewMachinesOf(jobID)
	}
}

// reviewMachinesOf has the machines with a job's tasks looked at: they are to be stopped.
func (s *Service) reviewMachinesOf(jobID string) {
	if j := s.Jobs[jobID]; j != nil {
		for _, t := range j.Active {
			if t.OnMachine() {
				s.ReviewMachine(t.Machine)
			}
		}
	}
}

// Handshake is what every line to the others carries: where the log stands, and how far
// theirs were taken in.
func (s *Service) Handshake() Message {
	m := s.log.Position()
	return Message{Entries: &AckEntries{Incarnation: m.Incarnation, LogLength: m.Seq}, Received: s.Received()}
}

// Receive takes in a line of another controller.
func (s *Service) Receive(from string, m Message) {
	if s.peers[from] == nil {
		return
	}
	if m.Entries != nil {
		for _, jobID := range s.Proof.Receive(from, *m.Entries, s.Now) {
			s.reviewMachinesOf(jobID)
		}
		s.PeerAnswered(from, *m.Entries)
	}
	if mark, ok := m.Received[s.Name]; ok && mark.Incarnation == s.log.incarnation {
		s.acks[from] = mark
	}
	if m.Query != nil {
		for _, t := range s.log.EntriesAfter(m.Query.Received, m.Query.Nonce) {
			s.Send(from, Message{Entries: &t})
		}
	}
}

// confirmed tells whether a controller has taken an entry of this log in.
func (s *Service) confirmed(peer string, seq uint64) bool {
	m := s.acks[peer]
	return m.Incarnation == s.log.incarnation && m.Seq >= seq
}

func (s *Service) confirmedByAll(seq uint64) bool {
	return !slices.ContainsFunc(s.Peers, func(p string) bool { return !s.confirmed(p, seq) })
}

// Reconcile passes on what was told, asks the others where the state service does not answer,
// and has stops delivered. It is called with each pulse of the loop.
func (s *Service) Reconcile() {
	s.Broadcast()
	now := s.log.Position().Seq
	if s.sentEntries == now && len(s.relay.undelivered) > 0 && s.Now.Sub(s.sentAt) >= tuning.AckResend {
		s.sentAt = s.Now
		first := s.relay.undelivered[0].seq
		for _, p := range s.Peers {
			if !s.confirmed(p, now) {
				s.send(LogPosition{s.log.incarnation, max(s.acks[p].Seq, first-1)}, []string{p})
			}
		}
	}
	if nonce, due := s.NextQuery(s.Now, s.StoreUnavailable()); due {
		taken := s.Received()
		for _, p := range s.Peers {
			s.Send(p, Message{Query: &Query{Nonce: nonce, Received: taken[p]}})
		}
	}
	s.relayStops()
	s.logTransitions()
}

// Broadcast passes on what was told since it last did, in the same turn of the loop as the
// answers that tell it: a question about the job that another controller has had for a
// while must not be answered by what it knew before. Of many, those of some turns go
// together.
func (s *Service) Broadcast() {
	if now := s.log.Position().Seq; s.sentEntries < now && s.Now.Sub(s.sentAt) >= tuning.AckGatherFor {
		s.send(LogPosition{s.log.incarnation, s.sentEntries}, s.Peers)
		s.sentEntries, s.sentAt = now, s.Now
	}
}

// send passes entries on after a mark.
func (s *Service) send(from LogPosition, to []string) {
	for _, t := range s.log.EntriesAfter(from, 0) {
		for _, p := range to {
			s.Send(p, Message{Entries: &t})
		}
	}
}

// logTransitions logs when leases are no longer renewed, and when they are again.
func (s *Service) logTransitions() {
	standing, changed := s.Advance(s.Now)
	if !changed || s.provenAt.IsZero() {
		return
	}
	switch {
	case standing == Lapsing:
		s.withheldBefore = s.LeasesWithheld
		s.Log.Info("leases are not renewed: not all cancellations told are known", "proven_ms_ago", s.Age(s.Now).Milliseconds())
	case s.LeasesWithheld > s.withheldBefore:
		s.Log.Info("leases are renewed again", "reports_not_answered", s.LeasesWithheld-s.withheldBefore)
		s.withheldBefore = s.LeasesWithheld
	}
}
