package tuning

// Responses to users.
const (
	// AcceptAttempts is the maximum number of attempts to commit a submission while the view
	// changes. Where a controller is replaced, two view changes follow each other.
	AcceptAttempts = 3
	// FinalCache is the number of final job states that a controller keeps in memory.
	FinalCache = 20000
	// RetryAfter is the Retry-After header, in seconds, of responses that refuse a user's request.
	RetryAfter = 1
)
