package tuning

import "time"

// Refused calls counted by kind (package callerrors).
const (
	// CallErrorsLogEvery: how often the log tells of calls refused; a fault that repeats at
	// every look would otherwise fill it.
	CallErrorsLogEvery = time.Minute
	// MaxErrorKinds: kinds of refused calls counted apart between two reports; a few dozen
	// exist. ErrorSampleBytes, bytes: of the first answer of a kind, for the log.
	MaxErrorKinds    = 100
	ErrorSampleBytes = 120
)
