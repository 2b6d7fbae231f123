package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// Sentinel errors of calls, for use with errors.Is. The error that a call returns wraps one of them
// and names the operation and its object.
var (
	// ErrNoAnswer means that no valid answer was received; the request may still take effect.
	ErrNoAnswer = errors.New("state service gave no answer")
	// ErrUnavailable means that the request was not executed.
	ErrUnavailable = errors.New("state service unavailable")
	// ErrGone means that a key is absent, a watch's epoch is too old or a lease has expired.
	ErrGone = errors.New("gone")
	// ErrConflict means that a precondition did not hold.
	ErrConflict = errors.New("conflict")
	// ErrRefused means that the service rejected the request as malformed.
	ErrRefused = errors.New("refused")
)

// classify maps the outcome of a call to nil or to an error that wraps one of the sentinel errors,
// and counts consecutive failures. operation names the operation and its object.
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

// decode classifies an answer and, if the request succeeded, decodes its body into answer. A
// malformed body counts as no answer, since it is unknown what the service did.
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
