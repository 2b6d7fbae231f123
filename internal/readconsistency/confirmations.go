package readconsistency

import (
	"maps"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Confirmation confirms to the sender of a line with acknowledgements that the receiver has recorded
// them, and thus answers no user with an older state.
type Confirmation struct {
	Line uint64 `json:"line"` // Acks.Line of the confirmed line
}

// Valid reports whether the confirmation could have been sent by a controller. None (nil) is valid.
func (c *Confirmation) Valid() bool { return c == nil || c.Line != 0 }

// confirmations tracks which of this process's lines the other controllers have confirmed.
//
// It is what makes reads monotonic whatever the delay of messages. A controller may answer that a
// job is live for readLease after it sent the read that shows it. A controller that tells a user of
// the job's end first waits until every other controller has confirmed that it knows of the end or,
// where a confirmation does not come, until hold has passed since it learned of the end itself: by
// then the right to answer from any read of before the end has lapsed everywhere. Both times are
// measured by one process each, from an event that precedes or follows the commit of the end, so no
// clocks are compared; hold exceeds readLease by what their rates may differ.
type confirmations struct {
	hold     time.Duration
	confirms map[string]bool // by peer, whether its version confirms lines
	lastLine uint64
	lines    map[uint64]*sentLine // those that are still awaited, by number
}

// sentLine is a line with ends of jobs that was sent to all peers.
type sentLine struct {
	recordedAt  time.Time       // when the newest of these ends was recorded
	unconfirmed map[string]bool // peers
}

// RequireConfirmations makes Acknowledge hold back the end of a job until all peers have confirmed
// that they know of it, or until hold has passed since this process learned of it. Lines are numbered
// from a random number, so that a confirmation of an earlier process's line is not taken for one of
// this process's.
func (l *AckLog) RequireConfirmations(peers []string, hold time.Duration, firstLine uint64) {
	c := &confirmations{
		hold:     hold,
		confirms: map[string]bool{},
		lastLine: firstLine,
		lines:    map[uint64]*sentLine{},
	}
	for _, name := range peers {
		c.confirms[name] = true
	}
	l.confirmations = c
}

// SetConfirms records whether a peer's version confirms lines. Until it is called, the peer is taken
// to do so. A version that does not is one that tells ends of jobs AckLog.delay after it learned of
// them, and answers from reads that are no older than that.
func (l *AckLog) SetConfirms(peer string, confirms bool) {
	if c := l.confirmations; c != nil {
		if _, known := c.confirms[peer]; known {
			c.confirms[peer] = confirms
		}
	}
}

// HasOlderPeer reports whether a peer is known to be of a version that does not confirm lines.
func (l *AckLog) HasOlderPeer() bool {
	if l.confirmations == nil {
		return false
	}
	for _, confirms := range l.confirmations.confirms {
		if !confirms {
			return true
		}
	}
	return false
}

// MaxLiveReadAge returns how old the read may be from which an answer that a job is live leaves.
func (l *AckLog) MaxLiveReadAge() time.Duration {
	if l.confirmations == nil || l.HasOlderPeer() {
		return tuning.MaxReadAge
	}
	return tuning.ReadLease
}

// Confirmed records a peer's confirmation, and reports whether it was the last one of its line.
func (l *AckLog) Confirmed(from string, confirmation Confirmation) bool {
	c := l.confirmations
	if c == nil {
		return false
	}
	line := c.lines[confirmation.Line]
	if line == nil {
		return false
	}
	delete(line.unconfirmed, from)
	if len(line.unconfirmed) > 0 {
		return false
	}
	delete(c.lines, confirmation.Line)
	return true
}

// begin numbers and registers a line with the given ends that is sent to all peers.
func (c *confirmations) begin(ended []*acknowledgement) (uint64, *sentLine) {
	line := &sentLine{unconfirmed: map[string]bool{}}
	for name := range c.confirms {
		line.unconfirmed[name] = true
	}
	for _, ack := range ended {
		if ack.recordedAt.After(line.recordedAt) {
			line.recordedAt = ack.recordedAt
		}
	}
	maps.DeleteFunc(c.lines, func(_ uint64, earlier *sentLine) bool {
		return line.recordedAt.Sub(earlier.recordedAt) > c.hold // no answer waits for it any more
	})
	c.lastLine = max(c.lastLine+1, 1) // 0 stands for a line that is not to be confirmed
	c.lines[c.lastLine] = line
	return c.lastLine, line
}

// awaits reports whether the end of a job is still unknown to a peer that confirms lines. line is the
// line that told the peers of it, nil if this process has sent none.
func (c *confirmations) awaits(line *sentLine) bool {
	for name, confirms := range c.confirms {
		if confirms && (line == nil || line.unconfirmed[name]) {
			return true
		}
	}
	return false
}
