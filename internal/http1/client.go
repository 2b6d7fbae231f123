package http1

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ErrNotSent means that no byte of a request was sent, because it was not permitted any more.
var ErrNotSent = errors.New("request not sent: not permitted any more")

// Client sends requests to one address over a bounded pool of keep-alive connections. It is safe
// for concurrent use.
type Client struct {
	Addr    string
	MaxIdle int // number of idle connections kept open; 0 closes each after its response
	MaxBody int // limit on a response's body, in bytes

	mu   sync.Mutex
	idle []idleConn
}

// idleConn is an open connection without a request in progress.
type idleConn struct {
	conn  net.Conn
	since time.Time
}

// Do sends a request and returns the response. After an error it is unknown whether the server
// processed the request.
func (c *Client) Do(method, target string, body []byte, timeout time.Duration) (*Message, error) {
	return c.DoIf(func() bool { return true }, method, target, body, timeout)
}

// DoIf is like Do, but calls permitted right before it writes the request to an open connection. If
// that returns false, nothing is sent and the error is ErrNotSent.
func (c *Client) DoIf(
	permitted func() bool, method, target string, body []byte, timeout time.Duration,
) (*Message, error) {
	deadline := time.Now().Add(timeout)
	conn, err := c.get(timeout)
	if err != nil {
		return nil, err
	}
	closing := c.MaxIdle == 0
	request := AppendRequest(nil, method, target, c.Addr, body, closing)
	_ = conn.SetDeadline(deadline)
	if !permitted() {
		_ = conn.Close()
		return nil, ErrNotSent
	}
	if _, err = conn.Write(request); err != nil {
		_ = conn.Close()
		return nil, err
	}
	m, reusable, err := c.receive(conn)
	if err != nil || closing || !reusable {
		_ = conn.Close()
		return m, err
	}
	c.put(conn)
	return m, nil
}

// receive reads one response. The connection is reusable if the server keeps it open and no bytes
// follow the response.
func (c *Client) receive(conn net.Conn) (m *Message, reusable bool, err error) {
	buf := make([]byte, 0, 4096)
	for {
		if len(buf) == cap(buf) {
			grown := make([]byte, len(buf), 2*cap(buf))
			copy(grown, buf)
			buf = grown
		}
		n, readErr := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 {
			m, used, err := Parse(Response, buf, c.MaxBody)
			if err != nil || m != nil {
				return m, err == nil && !m.Close && used == len(buf), err
			}
		}
		if readErr != nil {
			return nil, false, readErr
		}
	}
}

// get returns an idle connection, or a new one if there is none.
func (c *Client) get(timeout time.Duration) (net.Conn, error) {
	if conn := c.takeIdle(); conn != nil {
		return conn, nil
	}
	return net.DialTimeout("tcp4", c.Addr, min(timeout, tuning.DialTimeout))
}

// takeIdle removes and returns the most recently used idle connection, or nil if there is none. It
// closes connections that have been idle for too long.
func (c *Client) takeIdle() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(last.since) < tuning.IdleConnTimeout {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

func (c *Client) put(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.MaxIdle {
		_ = conn.Close()
		return
	}
	c.idle = append(c.idle, idleConn{conn: conn, since: time.Now()})
}
