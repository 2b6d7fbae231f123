package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// Sentinel errors of calls, compared with errors.Is. What a call returns wraps one of them and
// names the operation and its object.
var (
	// ErrNoAnswer means that no answer came; the request may still take effect.
	ErrNoAnswer = errors.New("state service gave no answer")
	// ErrUnavailable means that the request was not executed.
	ErrUnavailable = errors.New("state service unavailable")
	// ErrGone means that a watch is too old, or that a lease has ended.
	ErrGone = errors.New("gone")
	// ErrConflict means that a precondition did not hold.
	ErrConflict = errors.New("conflict")
	// ErrRefused means that the service calls the request malformed.
	ErrRefused = errors.New("refused")
)

// classify turns an answer into nil or one of the sentinel errors and counts consecutive
// failures. operation names what was called and on what.
func (c *Client) classify(operation string, status int, err error) error {
	switch {
	case err != nil:
		c.failures++
		return fmt.Errorf("%s: %w: %w", operation, ErrNoAnswer, err)
	case status == http.StatusServiceUnavailable:
		c.failures++
		return fmt.Errorf("%s: %w", operation, ErrUnavailable)
	case status == http.StatusTooManyRequests:
		return fmt.Errorf("%s: %w: rate limit", operation, ErrUnavailable)
	}
	c.failures = 0
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound, http.StatusGone:
		return fmt.Errorf("%s: %w", operation, ErrGone)
	case http.StatusConflict:
		return fmt.Errorf("%s: %w", operation, ErrConflict)
	}
	return fmt.Errorf("%s: %w: status %d", operation, ErrRefused, status)
}

// decode classifies an answer and, if the request was executed, reads its body into answer.
// A body that cannot be read counts as no answer, since what the service did is unknown.
func (c *Client) decode(operation string, status int, body []byte, err error, answer any) error {
	if err := c.classify(operation, status, err); err != nil {
		return err
	}
	return unmarshal(operation, body, answer)
}

func unmarshal(operation string, body []byte, answer any) error {
	if err := json.Unmarshal(body, answer); err != nil {
		return fmt.Errorf("%s: %w: %w", operation, ErrNoAnswer, err)
	}
	return nil
}
