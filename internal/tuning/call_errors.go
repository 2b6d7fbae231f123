package tuning

import "time"

// Refused calls, counted by kind (package callerrors).
const (
	// CallErrorsLogEvery is the interval at which refused calls are logged. A fault that repeats
	// with every pass would otherwise flood the log.
	CallErrorsLogEvery = time.Minute
	// MaxErrorKinds is the maximum number of kinds of refused calls that are counted separately
	// between two log lines; a few dozen exist.
	MaxErrorKinds = 100
	// ErrorSampleBytes is the number of bytes of a kind's first response that are logged.
	ErrorSampleBytes = 120
)
