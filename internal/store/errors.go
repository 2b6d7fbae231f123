package store

import (
	"errors"
	"fmt"
)

// Errors that callers tell apart.
var (
	// ErrNoAnswer: no answer; the request may still take effect.
	ErrNoAnswer = errors.New("state service gave no answer")
	// ErrUnavailable: the request was not executed.
	ErrUnavailable = errors.New("state service unavailable")
	// ErrGone: a watch is too old, or a lease has ended.
	ErrGone = errors.New("gone")
	// ErrConflict: a condition did not hold.
	ErrConflict = errors.New("conflict")
	// ErrRefused: the service calls the request malformed.
	ErrRefused = errors.New("refused")
)

// classify classifies an answer and keeps count of failures.
func (c *Client) classify(status int, err error) error {
	switch {
	case err != nil:
		c.countFailure()
		return fmt.Errorf("%w: %v", ErrNoAnswer, err)
	case status == 503:
		c.countFailure()
		return ErrUnavailable
	case status == 429:
		return ErrUnavailable
	}
	c.failures = 0
	switch status {
	case 200:
		return nil
	case 404, 410:
		return ErrGone
	case 409:
		return ErrConflict
	}
	return fmt.Errorf("%w: status %d", ErrRefused, status)
}

func (c *Client) countFailure() { c.failures++ }
