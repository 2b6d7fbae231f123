package http1

import (
	"bytes"
	"sync"
	"time"

	"github.com/tidwall/evio"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// clientConn is the state of one accepted connection. At most one request is in progress:
// evio overwrites output that is still unsent when more is handed to it, so a second
// response must never be produced before the first is sent. Bytes that arrive meanwhile
// (pipelining, which the protocol rules out) end the connection after the response.
type clientConn struct {
	mu           sync.Mutex
	in           []byte    // received, not yet a whole request or line
	out          []byte    // response, not yet sent
	busy         bool      // a request is in progress
	pipelined    bool      // bytes came while a request was in progress
	closing      bool      // close once out is sent
	closed       bool      // evio has closed it
	guest        bool      // has sent a guest's request
	requestSince time.Time // when the first bytes in `in` came
	lastActive   time.Time // when anything was received or sent
}

// stale reports whether a connection is to be closed: it holds part of a request
// for too long, or nothing has come for so long that the other side must be gone. A machine
// that is taken away does not close its connections; kept, they would use up MaxConns.
func (cc *clientConn) stale(now time.Time) bool {
	if cc.busy || cc.closing {
		return false
	}
	if len(cc.in) > 0 && now.Sub(cc.requestSince) > tuning.SlowRequest {
		return true
	}
	return now.Sub(cc.lastActive) > tuning.IdleClient
}

// takeOutput returns the response that is ready and what happens to the connection
// afterwards.
func (cc *clientConn) takeOutput() ([]byte, evio.Action) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	out := cc.out
	cc.out = nil
	if cc.closing {
		return out, evio.Close
	}
	return out, evio.None
}

// receive adds received bytes. It returns a request, which is then in progress, once it is
// whole; an error ends the connection.
func (cc *clientConn) receive(in []byte) (*Message, error) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.lastActive = time.Now()
	if cc.busy {
		cc.pipelined = true
		return nil, nil
	}
	if len(cc.in) == 0 {
		cc.requestSince = time.Now()
	}
	cc.in = append(cc.in, in...)
	m, used, err := Parse(Request, cc.in, tuning.MaxRequestBody)
	if err != nil {
		cc.in = nil
		cc.closing = true
		return nil, err
	}
	if m == nil {
		return nil, nil
	}
	cc.pipelined = used < len(cc.in)
	cc.in = nil
	cc.busy = true
	return m, nil
}

// respond hands the response to request m to the connection. It wakes c while it holds
// the lock: once closed has run, the descriptor that Wake writes to may be
// another connection's.
func (cc *clientConn) respond(c evio.Conn, m *Message, r Reply) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed || !cc.busy {
		return
	}
	cc.busy = false
	cc.lastActive = time.Now()
	cc.closing = r.Close || m.Close || cc.pipelined
	cc.out = AppendResponse(nil, r.Status, r.Body, cc.closing, r.RetryAfter)
	c.Wake()
}

// receiveLines adds received bytes and hands each line that is complete to handle.
func (cc *clientConn) receiveLines(in []byte, handle func(line []byte)) evio.Action {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closing {
		return evio.Close
	}
	cc.in = append(cc.in, in...)
	cc.requestSince = time.Now()
	cc.lastActive = cc.requestSince
	for {
		line, rest, complete := bytes.Cut(cc.in, []byte("\n"))
		if !complete {
			break
		}
		handle(bytes.Clone(line))
		cc.in = rest
	}
	if len(cc.in) > tuning.MaxPeerLine {
		handle(bytes.Clone(cc.in)) // to be counted as malformed
		return evio.Close
	}
	return evio.None
}
