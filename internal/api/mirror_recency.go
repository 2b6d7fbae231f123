package api

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// mirrorRecency tracks up to which time the mirror is known to include all changes.
type mirrorRecency struct {
	shownAt time.Time        // zero if unknown
	reads   []timedEpochRead // reads whose epochs the mirror has not reached, oldest first
}

// timedEpochRead is an epoch that the state service returned to a read sent at sentAt.
type timedEpochRead struct {
	epoch  uint64
	sentAt time.Time
}

// shown records that the mirror includes all changes up to some time after at.
func (r *mirrorRecency) shown(at time.Time) {
	if at.After(r.shownAt) {
		r.shownAt = at
	}
}

// epochRead records the epoch that a read sent at sentAt returned.
func (r *mirrorRecency) epochRead(epoch uint64, sentAt time.Time) {
	if len(r.reads) >= tuning.MaxEpochReads {
		r.reads = r.reads[1:]
	}
	r.reads = append(r.reads, timedEpochRead{epoch, sentAt})
}

// mirrorReached records that the mirror has reached an epoch.
func (r *mirrorRecency) mirrorReached(epoch uint64) {
	rest := r.reads[:0]
	for _, read := range r.reads {
		if read.epoch <= epoch {
			r.shown(read.sentAt)
		} else {
			rest = append(rest, read)
		}
	}
	r.reads = rest
}
