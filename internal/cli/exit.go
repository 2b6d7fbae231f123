package cli

import (
	"errors"
	"fmt"

	"github.com/harrierreel/harrierreel/internal/client"
)

// Exit codes. Scripts depend on them; docs/pipelines.md documents them.
const (
	ExitDone        = 0
	ExitFailed      = 1 // a step or a check failed
	ExitUsage       = 2 // an invalid file, invalid usage or an unknown ID
	ExitCancelled   = 3
	ExitUnreachable = 4 // no controller reachable
	ExitNotYet      = 5 // a controller must not be stopped yet
)

// ExitError is an error with an exit code for the program. Its text is empty if everything was
// already printed.
type ExitError struct {
	Code int
	Text string
}

func (e *ExitError) Error() string { return e.Text }

// usageError returns the error for an invalid file, invalid usage or an unknown ID.
func usageError(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Text: fmt.Sprintf(format, args...)}
}

// ExitCode returns the exit code for the result of a command, and the text to print, if any.
func ExitCode(err error) (int, string) {
	var exit *ExitError
	switch {
	case err == nil:
		return ExitDone, ""
	case errors.As(err, &exit):
		return exit.Code, exit.Text
	case errors.Is(err, client.ErrUnreachable):
		return ExitUnreachable, err.Error()
	}
	return ExitUsage, err.Error() // from cobra, such as an unknown command or flag
}
