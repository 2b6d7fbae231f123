package http1

import (
	"encoding/json"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// peerListener is the index of the listener for peers' lines in Server.addrs.
const peerListener = 1

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
	Log       *slog.Logger // slog.Default() if nil

	// Restarts counts how often the listener had to be reopened.
	Restarts atomic.Int64

	openConns int // open connections
	userConns int // open connections that have sent a user's request
}

// Run serves until stop is closed. When accepting connections fails, for want of file descriptors
// for instance, Run closes the listener and all connections and opens the listener again. After Run
// has returned, nothing that it opened is open and none of its goroutines runs.
func (s *Server) Run(stop <-chan struct{}) {
	for {
		err := s.serve(stop)
		if isClosed(stop) {
			return
		}
		s.logger().Error("listener ended, setting it up again",
			"listen", strings.Join(s.addrs(), ","), "error", err, "restarts", s.Restarts.Add(1))
		select {
		case <-stop:
			return
		case <-time.After(tuning.ListenRetryDelay):
		}
	}
}

func (s *Server) logger() *slog.Logger {
	if s.Log == nil {
		return slog.Default()
	}
	return s.Log
}

// isClosed reports whether a channel that carries no values has been closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// addrs returns the addresses to listen on. That of HTTP comes first.
func (s *Server) addrs() []string {
	if s.PeerAddr == "" {
		return []string{s.APIAddr}
	}
	return []string{s.APIAddr, s.PeerAddr}
}

// serve runs one listener until stop is closed or accepting a connection fails.
func (s *Server) serve(stop <-chan struct{}) error {
	loop, err := openEventLoop(s, s.addrs()...)
	if err != nil {
		return err
	}
	defer loop.close()
	if s.Listening != nil {
		s.Listening()
	}
	ended := make(chan struct{})
	supervised := make(chan struct{})
	go func() {
		defer close(supervised)
		supervise(loop, stop, ended)
	}()
	err = loop.run()
	close(ended)
	<-supervised
	return err
}

// supervise makes the loop close stale connections periodically, and stop once stop is closed. It
// returns when ended is closed, or after it has stopped the loop.
func supervise(loop *eventLoop, stop, ended <-chan struct{}) {
	tick := time.NewTicker(tuning.ListenerTick)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-tick.C:
			loop.post(loop.closeStale)
		case <-stop:
			loop.post(loop.stop)
			return
		}
	}
}

// opened implements connHandler. Connections beyond the limit are closed at once: running out of
// file descriptors would end the listener.
func (s *Server) opened(*clientConn) bool {
	s.openConns++
	return s.openConns <= s.MaxConns
}

// closed implements connHandler.
func (s *Server) closed(c *clientConn) {
	s.openConns--
	if c.fromUser {
		s.userConns--
	}
}

// received implements connHandler.
func (s *Server) received(c *clientConn, in []byte) {
	if c.listener == peerListener {
		if !c.receiveLines(in, s.HandlePeerLine) {
			c.loop.closeConn(c)
		}
		return
	}
	m, err := c.receive(in)
	if err != nil {
		c.reject(statusBadRequest, []byte(`{"error":"malformed or too large"}`))
		return
	}
	if m == nil {
		return
	}
	closesAfter := s.closesAfter(c, m)
	s.Handle(m, func(r Reply) {
		r.Close = r.Close || closesAfter
		c.loop.post(func() error {
			c.respond(m, r)
			return nil
		})
	})
}

// closesAfter reports whether the connection is to be closed after the response to m, to leave room
// for other clients: if it is a user's and too many users' connections are open, or if nearly all
// allowed connections are open. A controller that runs alone serves more machines than it may have
// connections; machines that could not connect would lose their leases.
func (s *Server) closesAfter(cc *clientConn, m *Message) bool {
	if !cc.fromUser && s.IsUserRequest != nil && s.IsUserRequest(m) {
		cc.fromUser = true
		s.userConns++
	}
	if cc.fromUser && s.userConns > s.MaxUserConns {
		return true
	}
	return float64(s.openConns) > float64(s.MaxConns)*tuning.KeepAliveShare
}
