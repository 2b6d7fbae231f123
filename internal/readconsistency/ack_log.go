// Package readconsistency is what users were told of jobs: accepted, then done or cancelled. No
// controller answers a user with something older than what another one has told. Three
// things see to that together (docs/incidents/older-answers.md):
//
//   - Whoever is about to tell something new notes it, passes it to the other controllers
//     in the same turn, and lets the answer leave a moment later (Log.Tell). Whoever has
//     heard of it answers with nothing older (Log.Newest).
//   - An answer that may become older, "no such job" or a live job, comes from a read of
//     the state service that left after the question came, and leaves no later than that
//     same moment after the read. So where the lines between controllers are lost, whatever
//     was read before the change has been answered before the change is told.
//   - What took longer is read again, and in the end the user is sent away. A mirror that
//     is not known to be so new answers later, by what was heard, and not at all while
//     another member's lines don't come in.
//
// It has no IO and no clock.
package readconsistency

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// AckLog is what this process has told or heard of, of the jobs last spoken of. Live stands
// for accepted; the ends are newer than that and final.
type AckLog struct {
	delay      time.Duration // from when something is noted until it may be told
	acks       map[string]acknowledgement
	order      []string             // as first entered
	unsent     []string             // to be passed on
	lastGossip map[string]time.Time // each other controller last
}

type acknowledgement struct {
	jobs.Final
	since time.Time
}

// NewAckLog makes an empty log; what is new is told so long after it was noted.
func NewAckLog(ahead time.Duration) *AckLog {
	return &AckLog{delay: ahead, acks: map[string]acknowledgement{}, lastGossip: map[string]time.Time{}}
}

// PeerAlive notes that a line of another controller came, whatever it said.
func (l *AckLog) PeerAlive(from string, now time.Time) { l.lastGossip[from] = now }

// HearsAll tells whether lines of all of these come in: none has been silent for long.
func (l *AckLog) HearsAll(names []string, now time.Time) bool {
	return !slices.ContainsFunc(names, func(n string) bool { return now.Sub(l.lastGossip[n]) > tuning.PeerUnresponsiveAfter })
}

// Latest is the newest that was told of a job, as far as is known.
func (l *AckLog) Latest(jobID string) (jobs.Final, bool) {
	w, ok := l.acks[jobID]
	return w.Final, ok
}

// Acknowledge notes what a user is about to be told of a job, to be passed on if it is news. It
// gives back how long the answer has to wait.
func (l *AckLog) Acknowledge(jobID string, f jobs.Final, now time.Time) time.Duration {
	if l.record(jobID, f, now) {
		l.unsent = append(l.unsent, jobID)
	}
	w := l.acks[jobID]
	if w.State != f.State {
		return 0 // something newer was told; the caller looks that up first
	}
	return max(0, w.since.Add(l.delay).Sub(now))
}

// ApplyPeerAcks takes in what another controller has told.
func (l *AckLog) ApplyPeerAcks(line Acks, now time.Time) {
	for _, jobID := range line.Accepted {
		l.record(jobID, jobs.Final{State: jobs.Live}, now)
	}
	for jobID, f := range line.Ended {
		l.record(jobID, f, now)
	}
}

// record enters what is newer than what is known.
func (l *AckLog) record(jobID string, f jobs.Final, now time.Time) bool {
	old, known := l.acks[jobID]
	if known && (old.State != jobs.Live || f.State == jobs.Live) {
		return false
	}
	if !known {
		if len(l.order) >= tuning.MaxAcks {
			delete(l.acks, l.order[0])
			l.order = l.order[1:]
		}
		l.order = append(l.order, jobID)
	}
	l.acks[jobID] = acknowledgement{f, now}
	return true
}

// Acks is what one line between controllers passes on.
type Acks struct {
	Accepted []string              `json:"accepted,omitempty"`
	Ended    map[string]jobs.Final `json:"ended,omitempty"`
}

// Valid tells whether a line may be what a controller sent.
func (l *Acks) Valid() bool {
	if l == nil {
		return true
	}
	if len(l.Accepted)+len(l.Ended) > tuning.MaxAcksPerLine {
		return false
	}
	for _, jobID := range l.Accepted {
		if !jobs.ValidID(jobID) {
			return false
		}
	}
	for jobID, f := range l.Ended {
		if !jobs.ValidID(jobID) || f.State != jobs.Done && f.State != jobs.Cancelled || f.DoneCount < 0 {
			return false
		}
	}
	return true
}

// TakeUnsent is the lines that pass on what was told since it was last called.
func (l *AckLog) TakeUnsent() []Acks {
	var out []Acks
	for len(l.unsent) > 0 {
		n := min(len(l.unsent), tuning.MaxAcksPerLine)
		line := Acks{Ended: map[string]jobs.Final{}}
		for _, jobID := range l.unsent[:n] {
			switch w, ok := l.acks[jobID]; {
			case !ok:
			case w.State == jobs.Live:
				line.Accepted = append(line.Accepted, jobID)
			default:
				line.Ended[jobID] = w.Final
			}
		}
		l.unsent = l.unsent[n:]
		out = append(out, line)
	}
	return out
}
