package http1

import (
	"fmt"
	"log/slog"
	"sync"

	"github.com/panjf2000/gnet/v2/pkg/logging"
)

// pollerLog passes what the poller logs to slog, with the format as the message's text. By itself
// the poller would log to standard output.
type pollerLog struct{}

// sendPollerLogToSlog makes the poller log to slog.
var sendPollerLogToSlog = sync.OnceFunc(func() {
	logging.SetDefaultLoggerAndFlusher(pollerLog{}, nil)
})

// Debugf implements logging.Logger.
func (pollerLog) Debugf(format string, args ...any) {
	slog.Debug("poller", "text", fmt.Sprintf(format, args...))
}

// Infof implements logging.Logger.
func (pollerLog) Infof(format string, args ...any) {
	slog.Info("poller", "text", fmt.Sprintf(format, args...))
}

// Warnf implements logging.Logger.
func (pollerLog) Warnf(format string, args ...any) {
	slog.Warn("poller", "text", fmt.Sprintf(format, args...))
}

// Errorf implements logging.Logger.
func (pollerLog) Errorf(format string, args ...any) {
	slog.Error("poller", "text", fmt.Sprintf(format, args...))
}

// Fatalf implements logging.Logger. It does not end the process.
func (pollerLog) Fatalf(format string, args ...any) {
	slog.Error("poller", "text", fmt.Sprintf(format, args...))
}
