package tuning

// Answers to users.
const (
	// AcceptAttempts: times that a submission is tried while the view changes under it; two
	// changes follow each other where a controller is replaced.
	AcceptAttempts = 3
	// FinalCache: final job states kept in memory.
	FinalCache = 20000
	// RetryAfter, in seconds, of answers that refuse a user.
	RetryAfter = 1
)
