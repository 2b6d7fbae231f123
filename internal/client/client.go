// Package client sends users' requests to a list of controllers and retries until one of them
// returns a final response. Every request is idempotent, because users choose the IDs, so it is
// safe to retry.
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

// ErrUnreachable is wrapped by the error of Call if no controller returned a final response
// within Client.Patience.
var ErrUnreachable = errors.New("no controller reachable")

// Response is a controller's final response to a request.
type Response struct {
	Status int // HTTP status code
	Body   []byte
	Server string // address of the controller that responded
}

// Client sends requests to a list of controllers, one at a time. It is not safe for concurrent
// use.
type Client struct {
	Servers  []string      // address:port of each controller, at least one
	Patience time.Duration // how long a request is retried
	// OnRetry, if set, is called before each retry with a message that gives the reason.
	OnRetry func(message string)

	// Do, Now and Sleep access the network and the clock. New sets them; tests replace them.
	Do    func(server, method, target string, body []byte) (*http1.Message, error)
	Now   func() time.Time
	Sleep func(time.Duration)

	// next, modulo the number of servers, is the index of the server that gets the next
	// request. It stays on a server that returned a final response.
	next        int
	httpClients map[string]*http1.Client // by server address
}

// New returns a client that uses the network and the system clock.
func New(servers []string, patience time.Duration) *Client {
	c := &Client{
		Servers:     servers,
		Patience:    patience,
		Now:         time.Now,
		Sleep:       time.Sleep,
		httpClients: map[string]*http1.Client{},
	}
	for _, server := range servers {
		c.httpClients[server] = &http1.Client{
			Addr:    server,
			MaxIdle: 1,
			MaxBody: tuning.MaxAnswerBody,
		}
	}
	c.Do = func(server, method, target string, body []byte) (*http1.Message, error) {
		return c.httpClients[server].Do(method, target, body, tuning.ClientTimeout)
	}
	return c
}

// Addresses parses a comma-separated list of addresses, such as "a:1,b:2". An empty list is an
// error.
func Addresses(text string) ([]string, error) {
	var addresses []string
	for _, address := range strings.Split(text, ",") {
		if address = strings.TrimSpace(address); address == "" {
			continue
		}
		if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
			return nil, fmt.Errorf("%q is not address:port", address)
		}
		addresses = append(addresses, address)
	}
	if len(addresses) == 0 {
		return nil, errors.New(
			"no controller's address: give --server or HARRIERREEL_SERVER, as in 10.0.0.1:8080,10.0.0.2:8080",
		)
	}
	return addresses, nil
}

// Call sends a request, and retries it until a controller returns a final response, which is
// any status except 429, 503 and 504. Each retry goes to the next controller. Call pauses after
// every len(Servers) attempts without a response, and after a response that is not final.
func (c *Client) Call(method, target string, body []byte) (*Response, error) {
	deadline := c.Now().Add(c.Patience)
	reasons := map[string]string{} // by server, why it returned no final response
	for networkErrors := 0; ; {
		server := c.nextServer()
		response, err := c.Do(server, method, target, body)
		wait := time.Duration(0)
		switch {
		case err != nil:
			reasons[server] = err.Error()
			if networkErrors++; networkErrors%len(c.Servers) == 0 {
				wait = tuning.ClientPause
			}
		case retryable(response.Status):
			reasons[server] = fmt.Sprintf("answered %d", response.Status)
			wait = retryPause(response)
		default:
			return &Response{response.Status, response.Body, server}, nil
		}
		c.next++
		if !c.Now().Add(wait).Before(deadline) {
			return nil, c.unreachableError(reasons)
		}
		if c.OnRetry != nil {
			c.OnRetry(fmt.Sprintf("%s: %s; trying %s", server, reasons[server], c.nextServer()))
		}
		if wait > 0 {
			c.Sleep(wait)
		}
	}
}

// nextServer returns the server that the next request goes to.
func (c *Client) nextServer() string { return c.Servers[c.next%len(c.Servers)] }

// retryable reports whether a status code is not final: the controller is overloaded or
// temporarily unable to serve the request.
func retryable(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// retryPause returns the pause that a response asks for, clamped to the client's minimum and
// maximum.
func retryPause(response *http1.Message) time.Duration {
	requested := time.Duration(response.RetryAfter) * time.Second
	return min(max(requested, tuning.ClientPause), tuning.MaxClientPause)
}

// unreachableError returns an error that says for each server why it returned no final response.
func (c *Client) unreachableError(reasons map[string]string) error {
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
