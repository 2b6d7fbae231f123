package http1

import (
	"bytes"
	"sync"
	"time"

	"github.com/tidwall/evio"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// clientConn is the state of one accepted connection. At most one request is in progress at a time:
// evio overwrites unsent output when it is given more, so a second response must never be produced
// before the first is sent. If bytes arrive while a request is in progress (pipelining, which the
// protocol forbids), the connection is closed after the response.
type clientConn struct {
	mu           sync.Mutex
	in           []byte    // received bytes that are not yet a complete request or line
	out          []byte    // response that has not been sent yet
	busy         bool      // a request is in progress
	pipelined    bool      // bytes arrived while a request was in progress
	closing      bool      // close the connection once out is sent
	closed       bool      // evio has closed the connection
	fromUser     bool      // has sent a user's request
	requestSince time.Time // when the first bytes in `in` arrived
	lastActive   time.Time // when bytes were last received or sent
}

// stale reports whether a connection is to be closed because a request has been incomplete for too
// long, or because the connection has been idle for so long that the client must be gone. A machine
// that the cloud takes away does not close its connections; left open, they would use up MaxConns.
func (cc *clientConn) stale(now time.Time) bool {
	if cc.busy || cc.closing {
		return false
	}
	if len(cc.in) > 0 && now.Sub(cc.requestSince) > tuning.RequestReadTimeout {
		return true
	}
	return now.Sub(cc.lastActive) > tuning.IdleClientTimeout
}

// takeOutput returns the response that is ready to send, and whether evio has to close the
// connection afterwards.
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

// receive adds received bytes. Once they form a complete request, it returns the request, which is
// then in progress. After an error the connection is closed.
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

// respond queues the response to request m for sending. It wakes c while holding the lock: after
// Server.closed has run, the file descriptor that Wake writes to may belong to another connection.
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

// receiveLines adds received bytes and calls handle with each complete line.
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
		handle(bytes.Clone(cc.in)) // handle counts it as malformed
		return evio.Close
	}
	return evio.None
}
