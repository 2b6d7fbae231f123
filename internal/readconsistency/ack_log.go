package readconsistency

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// AckLog holds the newest state that this process has acknowledged to a user or received from another controller, for
// the last tuning.MaxAcks jobs. jobs.Live stands for accepted; an end is newer than that and final.
type AckLog struct {
	delay      time.Duration              // from recording a state to its first answer
	acks       map[string]acknowledgement // by job ID
	order      []string                   // job IDs, as first recorded
	unsent     []string                   // IDs of jobs whose acknowledgement peers have not been sent
	lastGossip map[string]time.Time       // by peer, when its last line came
}

type acknowledgement struct {
	final      jobs.Final
	recordedAt time.Time
}

// NewAckLog makes an empty log. An answer with a new state leaves no earlier than delay after it was recorded.
func NewAckLog(delay time.Duration) *AckLog {
	return &AckLog{delay: delay, acks: map[string]acknowledgement{}, lastGossip: map[string]time.Time{}}
}

// PeerAlive notes that a line of another controller came, whatever its content.
func (l *AckLog) PeerAlive(from string, now time.Time) { l.lastGossip[from] = now }

// HearsAll reports whether lines of all these controllers have come of late.
func (l *AckLog) HearsAll(names []string, now time.Time) bool {
	return !slices.ContainsFunc(names, func(name string) bool {
		return now.Sub(l.lastGossip[name]) > tuning.PeerUnresponsiveAfter
	})
}

// Latest is the newest state of a job that is known to be acknowledged.
func (l *AckLog) Latest(jobID string) (jobs.Final, bool) {
	ack, ok := l.acks[jobID]
	return ack.final, ok
}

// Acknowledge records the state of a job that a user is about to be answered with, for TakeUnsent if it is new, and
// returns how long the answer has to wait. Whoever answers calls Latest first, and answers with that if it is newer.
func (l *AckLog) Acknowledge(jobID string, final jobs.Final, now time.Time) time.Duration {
	if l.record(jobID, final, now) {
		l.unsent = append(l.unsent, jobID)
	}
	ack := l.acks[jobID]
	if ack.final.State != final.State {
		return 0 // a newer state was acknowledged; the caller looks that up first
	}
	return max(0, ack.recordedAt.Add(l.delay).Sub(now))
}

// ApplyPeerAcks records what another controller has acknowledged. It is not sent on.
func (l *AckLog) ApplyPeerAcks(acks Acks, now time.Time) {
	for _, jobID := range acks.Accepted {
		l.record(jobID, jobs.Final{State: jobs.Live}, now)
	}
	for jobID, final := range acks.Ended {
		l.record(jobID, final, now)
	}
}

// record enters a state that is newer than the known one, and reports whether it was.
func (l *AckLog) record(jobID string, final jobs.Final, now time.Time) bool {
	old, known := l.acks[jobID]
	if known && (old.final.State != jobs.Live || final.State == jobs.Live) {
		return false
	}
	if !known {
		if len(l.order) >= tuning.MaxAcks {
			delete(l.acks, l.order[0])
			l.order = l.order[1:]
		}
		l.order = append(l.order, jobID)
	}
	l.acks[jobID] = acknowledgement{final, now}
	return true
}

// TakeUnsent returns the messages for the other controllers with what was acknowledged since it was last called.
func (l *AckLog) TakeUnsent() []Acks {
	var messages []Acks
	for len(l.unsent) > 0 {
		count := min(len(l.unsent), tuning.MaxAcksPerLine)
		message := Acks{Ended: map[string]jobs.Final{}}
		for _, jobID := range l.unsent[:count] {
			ack, ok := l.acks[jobID]
			switch {
			case !ok: // dropped beyond the bound
			case ack.final.State == jobs.Live:
				message.Accepted = append(message.Accepted, jobID)
			default:
				message.Ended[jobID] = ack.final
			}
		}
		l.unsent = l.unsent[count:]
		messages = append(messages, message)
	}
	return messages
}
