package http1

import (
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

// Reply is the response to one request.
type Reply struct {
	Status     int
	Body       []byte
	RetryAfter int  // seconds, 0 for none
	Close      bool // close the connection afterwards
}

// Unavailable returns a 503 response that gives the reason and a Retry-After of tuning.RetryAfter.
func Unavailable(reason string) Reply {
	return Reply{Status: statusServiceUnavailable, Body: ErrorBody(reason), RetryAfter: tuning.RetryAfter}
}

// ErrorBody returns the body of an error response that gives the reason.
func ErrorBody(reason string) []byte {
	b, err := json.Marshal(map[string]string{"error": reason})
	if err != nil {
		return []byte("{}")
	}
	return b
}

// Server serves HTTP on one address and receives JSON lines from peers on another. Its exported
// fields are set before Run, except Restarts, which may be read at any time.
type Server struct {
	APIAddr  string // address of the HTTP listener
	PeerAddr string // address of the listener for peers' lines; may be empty
	MaxConns int
	// IsUserRequest, if set, reports whether a request comes from a user, as opposed to a worker.
	// The number of users is unbounded, that of workers is not. While more than MaxUserConns
	// connections of users are open, each of them is closed after its response, so that users who
	// keep connections open leave room for workers. While more than tuning.KeepAliveShare of
	// MaxConns are open, every connection is closed after its response.
	IsUserRequest func(m *Message) bool
	MaxUserConns  int
	// Handle is called on the listener's goroutine, so it must not block. It must call respond
	// exactly once, immediately or later, from any goroutine.
	Handle func(m *Message, respond func(Reply))
	// HandlePeerLine is called on the listener's goroutine for every line that a peer sends.
	HandlePeerLine func(line []byte)
	// Listening, if set, is called each time the listener has been opened.
	Listening func()

	// Restarts counts how often the listener had to be reopened.
	Restarts atomic.Int64

	openConns atomic.Int64
	userConns atomic.Int64 // open connections that have sent a user's request

	mu    sync.Mutex
	conns map[evio.Conn]*clientConn
}

// Run serves until stop is closed. evio's accept loop ends on errors such as EMFILE and
// ECONNABORTED; Run then opens the listener again.
func (s *Server) Run(stop <-chan struct{}) {
	for {
		err := s.serve(stop)
		select {
		case <-stop:
			return
		default:
		}
		s.Restarts.Add(1)
		slog.Error("listener ended, setting it up again", "error", err)
		time.Sleep(tuning.ListenRetryDelay)
	}
}

// serve runs one listener until stop is closed or its accept loop ends.
func (s *Server) serve(stop <-chan struct{}) error {
	s.mu.Lock()
	s.conns = map[evio.Conn]*clientConn{}
	s.mu.Unlock()
	s.openConns.Store(0)
	s.userConns.Store(0)
	events := evio.Events{
		NumLoops: 1,
		Closed:   s.closed,
		Data:     s.data,
		Serving: func(evio.Server) evio.Action {
			if s.Listening != nil {
				s.Listening()
			}
			return evio.None
		},
		Opened: func(c evio.Conn) ([]byte, evio.Options, evio.Action) {
			select {
			case <-stop:
				return nil, evio.Options{}, evio.Shutdown
			default:
				return s.opened(c)
			}
		},
	}
	addrs := []string{"tcp4://" + s.APIAddr}
	if s.PeerAddr != "" {
		addrs = append(addrs, "tcp4://"+s.PeerAddr)
	}
	ended := make(chan struct{})
	defer close(ended)
	go s.superviseConns(stop, ended)
	// Serve never returns if its loop ends before it begins to wait for that, which may happen when
	// stop is closed within milliseconds (docs/incidents/lost-shutdown.md).
	err := evio.Serve(events, addrs...)
	if err == nil {
		err = errors.New("accept loop ended")
	}
	return err
}

// superviseConns closes stale connections periodically. Once stop is closed, it shuts down the
// listener by connecting to it, which makes the Opened event return a shutdown. It replaces evio's
// own tick, which must not be used: the tick's goroutine outlives the listener and then writes
// eight bytes to a file descriptor that is already closed. The descriptor's number may have been
// reused, for instance by a connection to the key-value store (docs/incidents/stray-bytes.md).
func (s *Server) superviseConns(stop, ended <-chan struct{}) {
	tick := time.NewTicker(tuning.ListenerTick)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-tick.C:
			s.closeStale()
		case <-stop:
			s.requestShutdown()
			select {
			case <-ended:
				return
			case <-time.After(tuning.ListenRetryDelay):
			}
		}
	}
}

// requestShutdown connects to the listener, so that its Opened event shuts it down.
func (s *Server) requestShutdown() {
	if c, err := net.DialTimeout("tcp4", s.APIAddr, tuning.DialTimeout); err == nil {
		_ = c.Close()
	}
}

func (s *Server) opened(c evio.Conn) ([]byte, evio.Options, evio.Action) {
	opts := evio.Options{ReuseInputBuffer: true}
	open := s.openConns.Add(1)
	cc := &clientConn{requestSince: time.Now(), lastActive: time.Now()}
	c.SetContext(cc)
	s.mu.Lock()
	s.conns[c] = cc
	s.mu.Unlock()
	if int(open) > s.MaxConns {
		// Connections beyond the limit are closed at once: running out of file descriptors would
		// end evio's accept loop.
		return nil, opts, evio.Close
	}
	return nil, opts, evio.None
}

func (s *Server) closed(c evio.Conn, _ error) evio.Action {
	s.openConns.Add(-1)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	if cc, ok := c.Context().(*clientConn); ok {
		cc.mu.Lock()
		cc.closed = true
		if cc.fromUser {
			s.userConns.Add(-1)
		}
		cc.mu.Unlock()
	}
	return evio.None
}

// closeStale closes stale connections.
func (s *Server) closeStale() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, cc := range s.conns {
		cc.mu.Lock()
		if !cc.closed && cc.stale(now) {
			cc.closing = true
			c.Wake()
		}
		cc.mu.Unlock()
	}
}

// data handles what evio received on a connection; in is nil when the connection was woken
// to send a response or to be closed.
func (s *Server) data(c evio.Conn, in []byte) ([]byte, evio.Action) {
	cc, ok := c.Context().(*clientConn)
	if !ok {
		return nil, evio.Close
	}
	if c.AddrIndex() == 1 {
		return nil, cc.receiveLines(in, s.HandlePeerLine)
	}
	if in == nil {
		return cc.takeOutput()
	}
	m, err := cc.receive(in)
	if err != nil {
		return AppendResponse(nil, statusBadRequest, []byte(`{"error":"malformed or too large"}`), true, 0), evio.Close
	}
	if m == nil {
		return nil, evio.None
	}
	closesAfter := s.closesAfter(cc, m)
	s.Handle(m, func(r Reply) {
		r.Close = r.Close || closesAfter
		cc.respond(c, m, r)
	})
	return nil, evio.None
}

// closesAfter reports whether the connection is to be closed after the response to m, to leave room
// for other clients: if it is a user's and too many users' connections are open, or if nearly all
// allowed connections are open. A controller that runs alone serves more machines than it may have
// connections; machines that could not connect would lose their leases.
func (s *Server) closesAfter(cc *clientConn, m *Message) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if !cc.fromUser && s.IsUserRequest != nil && s.IsUserRequest(m) {
		cc.fromUser = true
		s.userConns.Add(1)
	}
	if cc.fromUser && int(s.userConns.Load()) > s.MaxUserConns {
		return true
	}
	return float64(s.openConns.Load()) > float64(s.MaxConns)*tuning.KeepAliveShare
}
