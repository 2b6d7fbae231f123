package readconsistency

import (
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Acks contains the acknowledgements in one message between controllers.
type Acks struct {
	Accepted []string                    `json:"accepted,omitempty"` // IDs of jobs acknowledged as live
	Ended    map[string]jobs.StoredState `json:"ended,omitempty"`    // by job ID
	// Line is the number of the message if the receiver is to confirm it, else 0.
	Line uint64 `json:"line,omitempty"`
}

// Valid reports whether the acknowledgements could have been sent by a controller. A message
// without any (nil) is valid.
func (a *Acks) Valid() bool {
	if a == nil {
		return true
	}
	if len(a.Accepted)+len(a.Ended) > tuning.MaxAcksPerLine {
		return false
	}
	for _, jobID := range a.Accepted {
		if !jobs.ValidID(jobID) {
			return false
		}
	}
	for jobID, final := range a.Ended {
		ended := final.State == jobs.Done || final.State == jobs.Cancelled
		if !jobs.ValidID(jobID) || !ended || final.DoneCount < 0 {
			return false
		}
	}
	return true
}
