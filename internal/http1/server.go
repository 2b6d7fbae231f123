package http1

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/evio"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Reply answers one request.
type Reply struct {
	Status     int
	Body       []byte
	RetryAfter int // seconds, 0 for none
	Close      bool
}

// Refuse answers 503 at once and says when to come back.
func Refuse(why string) Reply {
	return Reply{Status: 503, Body: ErrorBody(why), RetryAfter: tuning.RetryAfter}
}

// ErrorBody is an answer that says what is wrong.
func ErrorBody(why string) []byte {
	b, err := json.Marshal(map[string]string{"error": why})
	if err != nil {
		return []byte("{}")
	}
	return b
}

// Server listens for HTTP on one address and for JSON lines on another.
type Server struct {
	Front, Peer string
	MaxConns    int
	// IsGuest, if set, tells a guest's request: users come in any number, workers
	// do not. Beyond MaxGuests of them a guest's connection ends with its answer,
	// so that users who keep theirs open leave room for workers. Beyond
	// tuning.CrowdedShare of MaxConns everybody's does.
	IsGuest   func(m *Message) bool
	MaxGuests int
	// Handle is called on the listener's goroutine. It must call respond
	// exactly once, now or later, from any goroutine.
	Handle func(m *Message, respond func(Reply))
	// Line is called for every line that a peer sends.
	Line func(line []byte)
	// Listening, if set, is called whenever the listener has been set up.
	Listening func()

	open  atomic.Int64
	guest atomic.Int64
	mu    sync.Mutex
	conns map[evio.Conn]*clientConn
	// Down tells how often the listener had to be set up anew.
	Down atomic.Int64
}

// clientConn is the state of one accepted connection. One request is in work
// at a time: evio overwrites output that is still unsent when more is handed
// to it, so a second answer must never be produced before the first is out,
// and what arrives meanwhile (pipelining, which the protocol rules out) ends
// the connection after the answer.
type clientConn struct {
	mu     sync.Mutex
	in     []byte
	busy   bool
	extra  bool // bytes came while a request was in work
	closed bool
	out    []byte
	done   bool      // close once out is written
	guest  bool      // has sent a guest's request
	since  time.Time // of the request in the making
	last   time.Time // anything came or went
}

// stale tells whether a connection is to be closed: it sits on half a request,
// or nothing has come for so long that the other side must be gone. A machine
// that is taken away says no goodbye; kept, its like would use up the cap.
func (cc *clientConn) stale(now time.Time) bool {
	if cc.busy || cc.done {
		return false
	}
	return len(cc.in) > 0 && now.Sub(cc.since) > tuning.SlowRequest || now.Sub(cc.last) > tuning.IdleClient
}

// Run serves until stop is closed. evio's accept loop ends on errors such as
// EMFILE and ECONNABORTED; Run then sets the listener up anew.
func (s *Server) Run(stop <-chan struct{}) {
	for {
		err := s.serve(stop)
		select {
		case <-stop:
			return
		default:
		}
		s.Down.Add(1)
		slog.Error("listener ended, setting it up again", "error", err)
		time.Sleep(tuning.ListenAgain)
	}
}

func (s *Server) serve(stop <-chan struct{}) error {
	s.mu.Lock()
	s.conns = map[evio.Conn]*clientConn{}
	s.mu.Unlock()
	s.open.Store(0)
	s.guest.Store(0)
	ev := evio.Events{NumLoops: 1}
	ev.Serving = func(evio.Server) evio.Action {
		if s.Listening != nil {
			s.Listening()
		}
		return evio.None
	}
	ev.Closed = s.closed
	ev.Data = s.data
	ev.Opened = func(c evio.Conn) ([]byte, evio.Options, evio.Action) {
		select {
		case <-stop:
			return nil, evio.Options{}, evio.Shutdown
		default:
			return s.opened(c)
		}
	}
	addrs := []string{"tcp4://" + s.Front}
	if s.Peer != "" {
		addrs = append(addrs, "tcp4://"+s.Peer)
	}
	ended := make(chan struct{})
	defer close(ended)
	go s.tend(stop, ended)
	err := evio.Serve(ev, addrs...)
	if err == nil {
		err = errors.New("accept loop ended")
	}
	return err
}

// tend does what evio's own tick would: it closes stale connections and, once stop
// is closed, ends the listener by a connection that opened answers with a shutdown.
// That tick must not be used: its goroutine outlives a listener that has ended and
// then writes eight bytes to the number of a descriptor that it no longer has,
// which may by then be a connection to the state service (docs/incidents/stray-bytes.md).
func (s *Server) tend(stop, ended <-chan struct{}) {
	tick := time.NewTicker(tuning.ListenerTick)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-tick.C:
			s.sweep()
		case <-stop:
			if c, err := net.DialTimeout("tcp4", s.Front, tuning.DialTimeout); err == nil {
				c.Close()
			}
			select {
			case <-ended:
				return
			case <-time.After(tuning.ListenAgain):
			}
		}
	}
}

func (s *Server) opened(c evio.Conn) ([]byte, evio.Options, evio.Action) {
	opts := evio.Options{ReuseInputBuffer: true}
	n := s.open.Add(1)
	cc := &clientConn{since: time.Now(), last: time.Now()}
	c.SetContext(cc)
	s.mu.Lock()
	s.conns[c] = cc
	s.mu.Unlock()
	if int(n) > s.MaxConns {
		// Past the cap a connection is closed at once: running out of
		// descriptors would end evio's accept loop.
		return nil, opts, evio.Close
	}
	return nil, opts, evio.None
}

func (s *Server) closed(c evio.Conn, _ error) evio.Action {
	s.open.Add(-1)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	if cc, ok := c.Context().(*clientConn); ok {
		cc.mu.Lock()
		cc.closed = true
		if cc.guest {
			s.guest.Add(-1)
		}
		cc.mu.Unlock()
	}
	return evio.None
}

// sweep closes stale connections.
func (s *Server) sweep() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, cc := range s.conns {
		cc.mu.Lock()
		if !cc.closed && cc.stale(now) {
			cc.done = true
			c.Wake()
		}
		cc.mu.Unlock()
	}
}

func (s *Server) data(c evio.Conn, in []byte) ([]byte, evio.Action) {
	cc, ok := c.Context().(*clientConn)
	if !ok {
		return nil, evio.Close
	}
	if c.AddrIndex() == 1 {
		return s.lines(cc, in)
	}
	cc.mu.Lock()
	if in == nil { // woken: an answer is ready
		out, done := cc.out, cc.done
		cc.out = nil
		cc.mu.Unlock()
		if done {
			return out, evio.Close
		}
		return out, evio.None
	}
	cc.last = time.Now()
	if cc.busy {
		cc.extra = true
		cc.mu.Unlock()
		return nil, evio.None
	}
	if len(cc.in) == 0 {
		cc.since = time.Now()
	}
	cc.in = append(cc.in, in...)
	m, used, err := Parse(Request, cc.in, tuning.MaxRequestBody)
	if err != nil {
		cc.in, cc.done = nil, true
		cc.mu.Unlock()
		return AppendResponse(nil, 400, []byte(`{"error":"malformed or too large"}`), true, 0), evio.Close
	}
	if m == nil {
		cc.mu.Unlock()
		return nil, evio.None
	}
	cc.extra = used < len(cc.in)
	cc.in = nil
	cc.busy = true
	if !cc.guest && s.IsGuest != nil && s.IsGuest(m) {
		cc.guest = true
		s.guest.Add(1)
	}
	// Where nearly all connections are open, everybody's ends with its answer: a
	// controller that stands alone has more machines than it may have connections, and
	// those that found none open would lose their leases.
	crowded := cc.guest && int(s.guest.Load()) > s.MaxGuests ||
		float64(s.open.Load()) > float64(s.MaxConns)*tuning.CrowdedShare
	cc.mu.Unlock()
	s.Handle(m, func(r Reply) {
		r.Close = r.Close || crowded
		answer(c, cc, m, r)
	})
	return nil, evio.None
}

// answer hands an answer to the connection. It wakes it while it holds the
// connection's lock: once closed has run the descriptor that Wake writes to may be
// another's.
func answer(c evio.Conn, cc *clientConn, m *Message, r Reply) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed || !cc.busy {
		return
	}
	cc.busy, cc.last = false, time.Now()
	closing := r.Close || m.Close || cc.extra
	cc.done = closing
	cc.out = AppendResponse(nil, r.Status, r.Body, closing, r.RetryAfter)
	c.Wake()
}

// lines hands complete lines of a peer to Line.
func (s *Server) lines(cc *clientConn, in []byte) ([]byte, evio.Action) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.done {
		return nil, evio.Close
	}
	cc.in = append(cc.in, in...)
	cc.since = time.Now()
	cc.last = cc.since
	for {
		i := bytes.IndexByte(cc.in, '\n')
		if i < 0 {
			break
		}
		s.Line(append([]byte(nil), cc.in[:i]...))
		cc.in = cc.in[i+1:]
	}
	if len(cc.in) > tuning.MaxPeerLine {
		s.Line(append([]byte(nil), cc.in...)) // to be counted
		return nil, evio.Close
	}
	return nil, evio.None
}
