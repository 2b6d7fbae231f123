package cancellation

import (
	"log/slog"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Message is what one line between controllers carries of this.
type Message struct {
	Told  *Told           `json:"told,omitempty"`
	Ask   *Ask            `json:"ask,omitempty"`
	Taken map[string]Mark `json:"taken,omitempty"` // of each other controller's log, by the sender
}

// Valid tells whether a message may be what a controller sent.
func (m *Message) Valid() bool {
	if t := m.Told; t != nil {
		n := uint64(len(t.UIDs))
		if t.Inc == 0 || n > tuning.ToldInLine || n > 0 && (t.First == 0 || t.First+n-1 > t.Upto) {
			return false
		}
		for _, uid := range t.UIDs {
			if !jobs.ValidUID(uid) {
				return false
			}
		}
	}
	return (m.Ask == nil || m.Ask.Nonce != 0) && len(m.Taken) <= tuning.MostPeers
}

// Env is what it is told from outside.
type Env struct {
	Me        string
	Peers     []string // all other controllers that the settings name
	Window    time.Duration
	CancelFor time.Duration // cancel_s
	Log       *slog.Logger
	// Send has a line sent to a peer; it may be lost.
	Send func(peer string, m Message)
	// Call sends a request to a worker; its answer comes back on the loop.
	Call func(endpoint, method, target string, body []byte, timeout time.Duration, done func(status int, body []byte, err error))
	// OwnerOf is the controller that a machine belongs to.
	OwnerOf func(host string) string
	// Down tells that the state service does not answer.
	Down func() bool
	// Touch has a machine looked at.
	Touch func(host string)
}

// Service is what one controller keeps of cancellations that were told.
type Service struct {
	*book.Book
	Env
	*Proof

	log     *Log
	acks    map[string]Mark // of this log, by peer
	pushed  uint64          // entries passed on once
	pushAt  time.Time       // they were last passed on again
	courier Courier

	// Withheld counts reports whose lease was not renewed, Delivered stops that were
	// commanded past an owner that had not confirmed them.
	Withheld, Delivered int
	lapsed              int // Withheld when it began to lapse
}

// New makes the service of a process; chance gives it a name of its own.
func New(b *book.Book, env Env, chance func() uint64) *Service {
	inc := chance()>>1 | 1
	return &Service{Book: b, Env: env, Proof: NewProof(env.Peers, env.Window, chance()>>2), log: NewLog(inc), acks: map[string]Mark{}}
}

// Tell notes that a user is about to be told that a job is cancelled. Whoever tells
// calls it before the answer leaves.
func (s *Service) Tell(uid string) {
	if s.log.Tell(uid) {
		s.Note(uid, s.Now)
		s.courier.begin(uid, s.log.Mark().Seq, s.Now)
		s.touch(uid)
	}
}

// touch has the machines with a job's tasks looked at: they are to be stopped.
func (s *Service) touch(uid string) {
	if j := s.Jobs[uid]; j != nil {
		for _, t := range j.Active {
			if t.On() {
				s.Touch(t.Host)
			}
		}
	}
}

// Greeting is what every line to the others carries: where the log stands, and how far
// theirs were taken in.
func (s *Service) Greeting() Message {
	m := s.log.Mark()
	return Message{Told: &Told{Inc: m.Inc, Upto: m.Seq}, Taken: s.Taken()}
}

// Take takes in a line of another controller.
func (s *Service) Take(from string, m Message) {
	if s.peers[from] == nil {
		return
	}
	if m.Told != nil {
		for _, uid := range s.Proof.Take(from, *m.Told, s.Now) {
			s.touch(uid)
		}
		s.Answered(from, *m.Told)
	}
	if mark, ok := m.Taken[s.Me]; ok && mark.Inc == s.log.inc {
		s.acks[from] = mark
	}
	if m.Ask != nil {
		for _, t := range s.log.Answer(m.Ask.Taken, m.Ask.Nonce) {
			s.Send(from, Message{Told: &t})
		}
	}
}

// confirmed tells whether a controller has taken an entry of this log in.
func (s *Service) confirmed(peer string, seq uint64) bool {
	m := s.acks[peer]
	return m.Inc == s.log.inc && m.Seq >= seq
}

func (s *Service) confirmedByAll(seq uint64) bool {
	return !slices.ContainsFunc(s.Peers, func(p string) bool { return !s.confirmed(p, seq) })
}

// Keep passes on what was told, asks the others where the state service does not answer,
// and has stops delivered. It is called with each pulse of the loop.
func (s *Service) Keep() {
	s.PassOn()
	now := s.log.Mark().Seq
	if s.pushed == now && len(s.courier.open) > 0 && s.Now.Sub(s.pushAt) >= tuning.ToldAgain {
		s.pushAt = s.Now
		first := s.courier.open[0].seq
		for _, p := range s.Peers {
			if !s.confirmed(p, now) {
				s.push(Mark{s.log.inc, max(s.acks[p].Seq, first-1)}, []string{p})
			}
		}
	}
	if nonce, due := s.Question(s.Now, s.Down()); due {
		taken := s.Taken()
		for _, p := range s.Peers {
			s.Send(p, Message{Ask: &Ask{Nonce: nonce, Taken: taken[p]}})
		}
	}
	s.deliver()
	s.tell()
}

// PassOn passes on what was told since it last did, in the same turn of the loop as the
// answers that tell it: a question about the job that another controller has had for a
// while must not be answered by what it knew before. Of many, those of some turns go
// together.
func (s *Service) PassOn() {
	if now := s.log.Mark().Seq; s.pushed < now && s.Now.Sub(s.pushAt) >= tuning.ToldGather {
		s.push(Mark{s.log.inc, s.pushed}, s.Peers)
		s.pushed, s.pushAt = now, s.Now
	}
}

// push passes entries on after a mark.
func (s *Service) push(from Mark, to []string) {
	for _, t := range s.log.Answer(from, 0) {
		for _, p := range to {
			s.Send(p, Message{Told: &t})
		}
	}
}

// tell logs when leases are no longer renewed, and when they are again.
func (s *Service) tell() {
	standing, changed := s.Next(s.Now)
	if !changed || s.at.IsZero() {
		return
	}
	switch {
	case standing == Lapsing:
		s.lapsed = s.Withheld
		s.Log.Info("leases are not renewed: not all cancellations told are known", "proven_ms_ago", s.Age(s.Now).Milliseconds())
	case s.Withheld > s.lapsed:
		s.Log.Info("leases are renewed again", "reports_not_answered", s.Withheld-s.lapsed)
		s.lapsed = s.Withheld
	}
}
