package readconsistency

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// AckLog records, for the last tuning.MaxAcks jobs, the newest state that this process has
// acknowledged to a user or received from another controller. jobs.Live means accepted; an end
// state is newer than that and final.
type AckLog struct {
	delay      time.Duration               // between recording a state and the first answer with it
	acks       map[string]*acknowledgement // by job ID
	order      []string                    // job IDs in the order in which they were first recorded
	unsent     []string                    // IDs of jobs whose acknowledgements have not been sent to peers
	lastGossip map[string]time.Time        // by peer, when a message of it last arrived
	// completeSince is the time since which the log has everything that this process has
	// acknowledged; zero until the first message of another controller.
	completeSince time.Time
	confirmations *confirmations // nil if ends of jobs are held back for delay alone
}

type acknowledgement struct {
	state      jobs.StoredState
	recordedAt time.Time
	line       *sentLine // the line that told the peers of it, nil if this process has sent none
	queued     bool      // it is in AckLog.unsent
}

// NewAckLog returns an empty log. An answer with a new state must not leave until delay after the
// state was recorded.
func NewAckLog(delay time.Duration) *AckLog {
	return &AckLog{delay: delay, acks: map[string]*acknowledgement{}, lastGossip: map[string]time.Time{}}
}

// PeerAlive records that a message of another controller arrived, whatever its content.
func (l *AckLog) PeerAlive(from string, now time.Time) {
	l.lastGossip[from] = now
	if l.completeSince.IsZero() {
		l.completeSince = now
	}
}

// AllResponsive reports whether messages of all the given controllers have arrived recently.
func (l *AckLog) AllResponsive(names []string, now time.Time) bool {
	return !slices.ContainsFunc(names, func(name string) bool {
		return now.Sub(l.lastGossip[name]) > tuning.PeerUnresponsiveAfter
	})
}

// Latest returns the newest state of a job that is known to have been acknowledged.
func (l *AckLog) Latest(jobID string) (jobs.StoredState, bool) {
	ack, ok := l.acks[jobID]
	if !ok {
		return jobs.StoredState{}, false
	}
	return ack.state, true
}

// Learn records the end of a job that the mirror shows. No peer is told of it until a user is.
func (l *AckLog) Learn(jobID string, end jobs.StoredState, now time.Time) { l.record(jobID, end, now) }

// Acknowledge records the state of a job that is about to be sent to a user, marks it for
// TakeUnsent if it is new to the peers, and returns how long the answer must wait. The caller must
// call Latest first and answer with that state if it is newer.
func (l *AckLog) Acknowledge(jobID string, state jobs.StoredState, now time.Time) time.Duration {
	isNew := l.record(jobID, state, now)
	ack := l.acks[jobID]
	if ack.state.State != state.State {
		return 0 // a newer state has been acknowledged, which the caller finds with Latest
	}
	wait := l.remaining(ack, now)
	awaited := wait > 0 && ack.line == nil && l.confirmations != nil
	if (isNew || awaited) && !ack.queued {
		ack.queued = true
		l.unsent = append(l.unsent, jobID)
	}
	return wait
}

// Remaining returns how long an answer with the latest state of a job must still wait.
func (l *AckLog) Remaining(jobID string, now time.Time) time.Duration {
	if ack := l.acks[jobID]; ack != nil {
		return l.remaining(ack, now)
	}
	return 0
}

func (l *AckLog) remaining(ack *acknowledgement, now time.Time) time.Duration {
	hold := l.delay
	if c := l.confirmations; c != nil && ack.state.State != jobs.Live && c.awaits(ack.line) {
		hold = c.hold
	}
	return max(0, ack.recordedAt.Add(hold).Sub(now))
}

// ApplyPeerAcks records what another controller has acknowledged. It is not forwarded to other
// peers.
func (l *AckLog) ApplyPeerAcks(acks Acks, now time.Time) {
	for _, jobID := range acks.Accepted {
		l.record(jobID, jobs.StoredState{State: jobs.Live}, now)
	}
	for jobID, state := range acks.Ended {
		l.record(jobID, state, now)
	}
}

// record stores a state if it is newer than the known one, and reports whether it was.
func (l *AckLog) record(jobID string, state jobs.StoredState, now time.Time) bool {
	old, known := l.acks[jobID]
	if known && (old.state.State != jobs.Live || state.State == jobs.Live) {
		return false
	}
	if !known {
		if len(l.order) >= tuning.MaxAcks {
			l.evictOldest()
		}
		l.order = append(l.order, jobID)
	}
	l.acks[jobID] = &acknowledgement{state: state, recordedAt: now}
	return true
}

// evictOldest removes the acknowledgement of the job that was recorded first.
func (l *AckLog) evictOldest() {
	if at := l.acks[l.order[0]].recordedAt; at.After(l.completeSince) {
		l.completeSince = at.Add(1)
	}
	delete(l.acks, l.order[0])
	l.order = l.order[1:]
}

// TakeUnsent returns messages to the other controllers with everything that has been acknowledged
// since the last call.
func (l *AckLog) TakeUnsent() []Acks {
	var messages []Acks
	for len(l.unsent) > 0 {
		count := min(len(l.unsent), tuning.MaxAcksPerLine)
		messages = append(messages, l.newMessage(l.unsent[:count]))
		l.unsent = l.unsent[count:]
	}
	return messages
}

// newMessage returns the message about the given jobs.
func (l *AckLog) newMessage(jobIDs []string) Acks {
	message := Acks{Ended: map[string]jobs.StoredState{}}
	var ended []*acknowledgement
	for _, jobID := range jobIDs {
		ack := l.acks[jobID]
		if ack == nil {
			continue // evicted because of tuning.MaxAcks
		}
		ack.queued = false
		if ack.state.State == jobs.Live {
			message.Accepted = append(message.Accepted, jobID)
			continue
		}
		message.Ended[jobID] = ack.state
		ended = append(ended, ack)
	}
	if l.confirmations != nil && len(ended) > 0 {
		var line *sentLine
		message.Line, line = l.confirmations.begin(ended)
		for _, ack := range ended {
			ack.line = line
		}
	}
	return message
}
