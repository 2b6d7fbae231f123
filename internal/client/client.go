// Package client sends users' requests to any of several controllers and retries
// until one gives a final answer. Every request it sends is idempotent, since users
// choose the ids, and so may be retried without harm.
package client

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ErrUnreachable is wrapped by the error of Call if no controller gave a final answer
// within the client's patience.
var ErrUnreachable = errors.New("no controller reachable")

// Answer is a controller's final answer to a request.
type Answer struct {
	Status int // of HTTP
	Body   []byte
	Server string // address of the controller that gave it
}

// Client sends requests to controllers, one after the other. It is not safe for
// concurrent use.
type Client struct {
	Servers  []string      // address:port of each controller, at least one
	Patience time.Duration // how long a request is retried
	// Note, if set, is told why a request is retried.
	Note func(what string)

	// Do, Now and Sleep reach the network and the clock; New sets them, and tests put
	// their own in their place.
	Do    func(server, method, target string, body []byte) (*http1.Message, error)
	Now   func() time.Time
	Sleep func(time.Duration)

	// next is the index, modulo their number, of the server that a request goes to
	// first: the one that answered last.
	next        int
	connections map[string]*http1.Client // by server
}

// New makes a client on real sockets and the real clock.
func New(servers []string, patience time.Duration) *Client {
	c := &Client{
		Servers:     servers,
		Patience:    patience,
		Now:         time.Now,
		Sleep:       time.Sleep,
		connections: map[string]*http1.Client{},
	}
	for _, server := range servers {
		c.connections[server] = &http1.Client{
			Addr:    server,
			MaxIdle: 1,
			MaxBody: tuning.MaxAnswerBody,
		}
	}
	c.Do = func(server, method, target string, body []byte) (*http1.Message, error) {
		return c.connections[server].Do(method, target, body, tuning.ClientTimeout)
	}
	return c
}

// Addresses reads a list of addresses, as in a:1,b:2. An empty list is an error.
func Addresses(text string) ([]string, error) {
	var out []string
	for _, address := range strings.Split(text, ",") {
		if address = strings.TrimSpace(address); address == "" {
			continue
		}
		if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
			return nil, fmt.Errorf("%q is not address:port", address)
		}
		out = append(out, address)
	}
	if len(out) == 0 {
		return nil, errors.New(
			"no controller's address: give --server or HARRIERREEL_SERVER, as in 10.0.0.1:8080,10.0.0.2:8080",
		)
	}
	return out, nil
}

// Call sends a request until a controller gives a final answer: any but 429, 503
// and 504. A controller that does not answer is followed by the next; after a round in
// which none did, and after an answer that asks for a retry, Call waits.
func (c *Client) Call(method, target string, body []byte) (*Answer, error) {
	deadline := c.Now().Add(c.Patience)
	reasons := map[string]string{} // by server, why it gave no final answer
	for failures := 0; ; {
		server := c.current()
		message, err := c.Do(server, method, target, body)
		wait := time.Duration(0)
		switch {
		case err != nil:
			reasons[server] = err.Error()
			if failures++; failures%len(c.Servers) == 0 {
				wait = tuning.ClientPause
			}
		case retryable(message.Status):
			reasons[server] = fmt.Sprintf("answered %d", message.Status)
			wait = retryPause(message)
		default:
			return &Answer{message.Status, message.Body, server}, nil
		}
		c.next++
		if !c.Now().Add(wait).Before(deadline) {
			return nil, c.unreachable(reasons)
		}
		if c.Note != nil {
			c.Note(fmt.Sprintf("%s: %s; trying %s", server, reasons[server], c.current()))
		}
		if wait > 0 {
			c.Sleep(wait)
		}
	}
}

// current is the server that the next request goes to.
func (c *Client) current() string { return c.Servers[c.next%len(c.Servers)] }

// retryable tells whether an answer is not final: the controller is overloaded, or
// can't serve now.
func retryable(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// retryPause is the pause that an answer asks for, within the client's bounds.
func retryPause(message *http1.Message) time.Duration {
	wanted := time.Duration(message.RetryAfter) * time.Second
	return min(max(wanted, tuning.ClientPause), tuning.MaxClientPause)
}

// unreachable is the error that names why each server gave no final answer.
func (c *Client) unreachable(reasons map[string]string) error {
	var parts []string
	for _, server := range c.Servers {
		if reason, ok := reasons[server]; ok {
			parts = append(parts, server+": "+reason)
		}
	}
	return fmt.Errorf(
		"%w within %g s (%s); check the addresses, or give it longer with --patience",
		ErrUnreachable,
		c.Patience.Seconds(),
		strings.Join(parts, "; "),
	)
}
