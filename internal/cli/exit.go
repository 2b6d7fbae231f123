package cli

import (
	"errors"
	"fmt"

	"github.com/harrierreel/harrierreel/internal/client"
)

// Exit codes, documented in docs/pipelines.md. Scripts depend on them.
const (
	ExitDone        = 0
	ExitFailed      = 1 // a step failed
	ExitUsage       = 2 // a bad file, bad usage, or an id that nobody knows
	ExitCancelled   = 3
	ExitUnreachable = 4 // no controller reachable
	ExitNotYet      = 5 // a controller must not be ended yet
)

// Exit is an error with the code that the program ends with. An empty text is
// not printed: all was said already.
type Exit struct {
	Code int
	Text string
}

func (e *Exit) Error() string { return e.Text }

// usage is the error for a bad file, bad usage, or an id that nobody knows.
func usage(format string, args ...any) error {
	return &Exit{Code: ExitUsage, Text: fmt.Sprintf(format, args...)}
}

// Code is the code to end with after an error, and what to print, if anything.
func Code(err error) (int, string) {
	var exit *Exit
	switch {
	case err == nil:
		return ExitDone, ""
	case errors.As(err, &exit):
		return exit.Code, exit.Text
	case errors.Is(err, client.ErrUnreachable):
		return ExitUnreachable, err.Error()
	}
	return ExitUsage, err.Error() // cobra's own: unknown verbs and flags
}
