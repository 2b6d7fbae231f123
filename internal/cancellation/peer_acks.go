package cancellation

import (
	"maps"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// PeerAcks records what one process has received of the other controllers' logs: jobs that are
// cancelled even if the mirror does not show it yet. Because a cancellation is final, acting on it
// is always safe. An entry is dropped once the mirror is proven to show it.
type PeerAcks struct {
	peers map[string]*peerLog  // by name; exactly the controllers in the settings
	jobs  map[string]time.Time // by job ID, when the cancellation was received
}

// peerLog is what is known about the log of one process of another controller.
type peerLog struct {
	incarnation uint64    // 0 until a message arrives
	since       time.Time // when the first message of this incarnation arrived
	received    uint64    // number of entries that were received or that the mirror shows
	length      uint64    // length of the log according to its newest message
}

// NewPeerAcks returns an empty PeerAcks for the controllers in the settings.
func NewPeerAcks(peers []string) *PeerAcks {
	a := &PeerAcks{peers: map[string]*peerLog{}, jobs: map[string]time.Time{}}
	for _, peer := range peers {
		a.peers[peer] = &peerLog{}
	}
	return a
}

// Cancelled reports whether a job is known to be cancelled from an acknowledgement.
func (a *PeerAcks) Cancelled(jobID string) bool {
	_, ok := a.jobs[jobID]
	return ok
}

// Received returns the position up to which each other controller's log was received. It is sent to
// those controllers as a confirmation, so that they stop resending.
func (a *PeerAcks) Received() map[string]LogPosition {
	positions := map[string]LogPosition{}
	for name, peer := range a.peers {
		if peer.incarnation != 0 {
			positions[name] = LogPosition{peer.incarnation, peer.received}
		}
	}
	return positions
}

// Record adds a job whose cancellation this process acknowledges itself, or has learned of from
// something else than another controller's log, since its own mirror may lag.
func (a *PeerAcks) Record(jobID string, now time.Time) {
	if _, known := a.jobs[jobID]; !known {
		a.jobs[jobID] = now
	}
}

// Receive processes a message and returns the jobs that were not known before. Messages on one
// connection arrive in order, but a network partition may delay them, so messages of an earlier
// incarnation may arrive after those of the next one. The position therefore only advances by
// entries that continue what was received from the current incarnation.
func (a *PeerAcks) Receive(from string, entries AckEntries, now time.Time) []string {
	peer := a.peers[from]
	if peer == nil || entries.Incarnation == 0 {
		return nil
	}
	if peer.incarnation != entries.Incarnation {
		*peer = peerLog{incarnation: entries.Incarnation, since: now}
	}
	peer.length = max(peer.length, entries.LogLength)
	var added []string
	for _, jobID := range entries.JobIDs {
		if _, known := a.jobs[jobID]; known {
			continue
		}
		if len(a.jobs) >= tuning.MaxPeerCancellations {
			return added // the remaining entries count as not received, so nothing is proven by them
		}
		a.jobs[jobID] = now
		added = append(added, jobID)
	}
	count := uint64(len(entries.JobIDs))
	if count > 0 && entries.First > 0 && entries.First <= peer.received+1 {
		peer.received = max(peer.received, entries.First+count-1)
	}
	return added
}

// logLengths returns the lengths of the other controllers' logs according to their newest messages.
func (a *PeerAcks) logLengths() map[string]LogPosition {
	positions := make(map[string]LogPosition, len(a.peers))
	for name, peer := range a.peers {
		positions[name] = LogPosition{peer.incarnation, peer.length}
	}
	return positions
}

// mirrorCaughtUp records that the mirror shows every cancellation acknowledged before a time, and
// thus all log entries up to the lengths that were known at that time.
func (a *PeerAcks) mirrorCaughtUp(at time.Time, logLengths map[string]LogPosition) {
	for name, position := range logLengths {
		if peer := a.peers[name]; peer != nil && peer.incarnation == position.Incarnation {
			peer.received = max(peer.received, position.Seq)
		}
	}
	maps.DeleteFunc(a.jobs, func(_ string, receivedAt time.Time) bool { return receivedAt.Before(at) })
}
