package http1

import (
	"net"
	"sync"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Client sends requests to one address over a bounded set of kept
// connections.
type Client struct {
	Addr    string
	MaxIdle int
	MaxBody int

	mu   sync.Mutex
	idle []idleConn
}

type idleConn struct {
	net.Conn
	at time.Time
}

// Do sends a request and returns the answer. Any error means that the outcome
// is unknown to the caller.
func (c *Client) Do(method, target string, body []byte, timeout time.Duration) (*Message, error) {
	deadline := time.Now().Add(timeout)
	conn, err := c.get(timeout)
	if err != nil {
		return nil, err
	}
	closing := c.MaxIdle == 0
	_ = conn.SetDeadline(deadline)
	if _, err = conn.Write(AppendRequest(nil, method, target, c.Addr, body, closing)); err != nil {
		conn.Close()
		return nil, err
	}
	buf := make([]byte, 0, 4096)
	for {
		if len(buf) == cap(buf) {
			grown := make([]byte, len(buf), 2*cap(buf))
			copy(grown, buf)
			buf = grown
		}
		n, err := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 {
			m, used, perr := Parse(Response, buf, c.MaxBody)
			if perr != nil {
				conn.Close()
				return nil, perr
			}
			if m != nil {
				if m.Close || closing || used != len(buf) {
					conn.Close()
				} else {
					c.put(conn)
				}
				return m, nil
			}
		}
		if err != nil {
			conn.Close()
			return nil, err
		}
	}
}

func (c *Client) get(timeout time.Duration) (net.Conn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(last.at) < tuning.IdleConn {
			c.mu.Unlock()
			return last.Conn, nil
		}
		last.Conn.Close()
	}
	c.mu.Unlock()
	if timeout > tuning.DialTimeout {
		timeout = tuning.DialTimeout
	}
	return net.DialTimeout("tcp4", c.Addr, timeout)
}

func (c *Client) put(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.MaxIdle {
		conn.Close()
		return
	}
	c.idle = append(c.idle, idleConn{conn, time.Now()})
}
