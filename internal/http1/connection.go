package http1

import (
	"bytes"
	"time"

	"github.com/panjf2000/gnet/v2/pkg/netpoll"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// clientConn is the state of one accepted connection. It is used on the event loop's goroutine
// only. At most one request is in progress at a time. If bytes arrive while a request is in progress
// or its response is not sent yet (pipelining, which the protocol forbids), the connection is closed
// after the response.
type clientConn struct {
	loop           *eventLoop
	fd             int
	listener       int // index of the listener that accepted it
	attachment     netpoll.PollAttachment
	awaitsWritable bool // the poller reports when the socket is writable

	in           []byte    // received bytes that are not yet a complete request or line
	out          []byte    // part of the response that has not been sent yet
	busy         bool      // a request is in progress
	pipelined    bool      // bytes arrived while a request was in progress
	closing      bool      // close the connection once out is sent
	closed       bool      // the connection has been closed
	fromUser     bool      // has sent a user's request
	requestSince time.Time // when the first bytes in `in` arrived
	lastActive   time.Time // when bytes were last received or sent
}

func newClientConn(loop *eventLoop, fd, listener int) *clientConn {
	now := time.Now()
	return &clientConn{
		loop:         loop,
		fd:           fd,
		listener:     listener,
		attachment:   netpoll.PollAttachment{FD: fd},
		requestSince: now,
		lastActive:   now,
	}
}

// stale reports whether a connection is to be closed because a request has been incomplete for too
// long, or because the connection has been idle for so long that the client must be gone. A machine
// that the cloud takes away does not close its connections; left open, they would use up MaxConns.
func (cc *clientConn) stale(now time.Time) bool {
	if len(cc.out) > 0 {
		return now.Sub(cc.lastActive) > tuning.IdleClientTimeout
	}
	if cc.busy || cc.closing {
		return false
	}
	if len(cc.in) > 0 && now.Sub(cc.requestSince) > tuning.RequestReadTimeout {
		return true
	}
	return now.Sub(cc.lastActive) > tuning.IdleClientTimeout
}

// receive adds received bytes. Once they form a complete request, it returns the request, which is
// then in progress. After an error the connection is to be closed.
func (cc *clientConn) receive(in []byte) (*Message, error) {
	cc.lastActive = time.Now()
	if cc.busy || len(cc.out) > 0 {
		cc.pipelined = true
		return nil, nil
	}
	if len(cc.in) == 0 {
		cc.requestSince = cc.lastActive
	}
	cc.in = append(cc.in, in...)
	m, used, err := Parse(Request, cc.in, tuning.MaxRequestBody)
	if err != nil {
		cc.in = nil
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

// respond sends the response to request m, which is in progress. It is the task that a handler's
// call of respond posts, so the connection may have been closed before.
func (cc *clientConn) respond(m *Message, r Reply) {
	if cc.closed || !cc.busy {
		return
	}
	cc.busy = false
	cc.closing = r.Close || m.Close || cc.pipelined
	cc.send(AppendResponse(nil, r.Status, r.Body, cc.closing, r.RetryAfter))
}

// reject sends a response to a request that cannot be parsed and closes the connection.
func (cc *clientConn) reject(status int, body []byte) {
	cc.closing = true
	cc.send(AppendResponse(nil, status, body, true, 0))
}

// send starts sending a response. The one before has been sent.
func (cc *clientConn) send(response []byte) {
	cc.out = response
	cc.loop.flush(cc)
}

// wrote records that n bytes of the output have been written.
func (cc *clientConn) wrote(n int, now time.Time) {
	if n > 0 {
		cc.lastActive = now
	}
	if cc.out = cc.out[n:]; len(cc.out) == 0 {
		cc.out = nil
		cc.closing = cc.closing || cc.pipelined
	}
}

// receiveLines adds received bytes and calls handle with each complete line. It reports whether the
// connection is to be kept.
func (cc *clientConn) receiveLines(in []byte, handle func(line []byte)) bool {
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
		return false
	}
	return true
}
