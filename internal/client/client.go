// Package client is the users' side of front: requests to any of several
// controllers, repeated until one answers. Every request it sends may be
// repeated without harm: ids are chosen by the user.
package client

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ErrUnreachable: no controller answered within the client's patience.
var ErrUnreachable = errors.New("no controller reachable")

// Answer is a controller's final word on a request.
type Answer struct {
	Status int
	Body   []byte
	Server string // that gave it
}

// Client asks controllers in turn.
type Client struct {
	Servers  []string      // address:port
	Patience time.Duration // how long a request is repeated
	// Note, if set, is told why a request is repeated.
	Note func(what string)

	// Do, Now and Sleep are the outside; New sets them.
	Do    func(server, method, target string, body []byte) (*http1.Message, error)
	Now   func() time.Time
	Sleep func(time.Duration)

	at    int // server that answered last
	conns map[string]*http1.Client
}

// New makes a client on real sockets and the real clock.
func New(servers []string, patience time.Duration) *Client {
	c := &Client{Servers: servers, Patience: patience, Now: time.Now, Sleep: time.Sleep, conns: map[string]*http1.Client{}}
	for _, s := range servers {
		c.conns[s] = &http1.Client{Addr: s, MaxIdle: 1, MaxBody: tuning.MaxAnswerBody}
	}
	c.Do = func(server, method, target string, body []byte) (*http1.Message, error) {
		return c.conns[server].Do(method, target, body, tuning.ClientTimeout)
	}
	return c
}

// Addresses reads a list of addresses, as in a:1,b:2.
func Addresses(text string) ([]string, error) {
	var out []string
	for _, s := range strings.Split(text, ",") {
		if s = strings.TrimSpace(s); s == "" {
			continue
		}
		if _, port, err := net.SplitHostPort(s); err != nil || port == "" {
			return nil, fmt.Errorf("%q is not address:port", s)
		}
		out = append(out, s)
	}
	if len(out) == 0 {
		return nil, errors.New(
			"no controller's address: give --server or HARRIERREEL_SERVER, as in 10.0.0.1:8080,10.0.0.2:8080",
		)
	}
	return out, nil
}

// Call sends a request until a controller gives a final answer: any but 429, 503
// and 504. One that doesn't answer is followed by the next; after a round in
// which none did, and after an answer that says to come back, it waits.
func (c *Client) Call(method, target string, body []byte) (*Answer, error) {
	end := c.Now().Add(c.Patience)
	last := map[string]string{}
	for tried := 0; ; {
		server := c.Servers[c.at%len(c.Servers)]
		m, err := c.Do(server, method, target, body)
		wait := time.Duration(0)
		switch {
		case err != nil:
			last[server] = err.Error()
			if tried++; tried%len(c.Servers) == 0 {
				wait = tuning.ClientPause
			}
		case m.Status == 429 || m.Status == 503 || m.Status == 504:
			last[server] = fmt.Sprintf("answered %d", m.Status)
			wait = min(max(time.Duration(m.RetryAfter)*time.Second, tuning.ClientPause), tuning.MaxClientPause)
		default:
			return &Answer{m.Status, m.Body, server}, nil
		}
		c.at++
		if !c.Now().Add(wait).Before(end) {
			return nil, c.unreachable(last)
		}
		if c.Note != nil {
			c.Note(fmt.Sprintf("%s: %s; trying %s", server, last[server], c.Servers[c.at%len(c.Servers)]))
		}
		if wait > 0 {
			c.Sleep(wait)
		}
	}
}

func (c *Client) unreachable(last map[string]string) error {
	var parts []string
	for _, s := range c.Servers {
		if why, ok := last[s]; ok {
			parts = append(parts, s+": "+why)
		}
	}
	return fmt.Errorf(
		"%w within %g s (%s); check the addresses, or give it longer with --patience",
		ErrUnreachable,
		c.Patience.Seconds(),
		strings.Join(parts, "; "),
	)
}
