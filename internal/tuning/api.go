package tuning

// Answers to users.
const (
	// AcceptAttempts: times that a submission is tried while the view changes under it; two
	// changes follow each other where a controller is replaced.
	AcceptAttempts = 3
	// FinalCache: final job states kept in memory.
	FinalCache = 20000
	// RetryAfter, seconds, told to users who are refused.
	RetryAfter = 1
)
