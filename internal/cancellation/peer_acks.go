package cancellation

import (
	"maps"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// PeerAcks holds what one process has received of the other controllers' logs: jobs that are cancelled although the
// mirror may not show it yet. A cancellation is final, so it is always safe to act on it. An entry is dropped once the
// mirror is proven to show it.
type PeerAcks struct {
	peers map[string]*peerLog  // by name; exactly the controllers that the settings name
	jobs  map[string]time.Time // by job ID, when its cancellation was received
}

// peerLog is what is known of the log of one other controller's process.
type peerLog struct {
	incarnation uint64    // 0 until a message came
	since       time.Time // when the first message of this incarnation came
	received    uint64    // entries of its log that were received, or that the mirror shows
	length      uint64    // length of its log by its newest message
}

// NewPeerAcks makes an empty one for the controllers that the settings name.
func NewPeerAcks(peers []string) *PeerAcks {
	a := &PeerAcks{peers: map[string]*peerLog{}, jobs: map[string]time.Time{}}
	for _, peer := range peers {
		a.peers[peer] = &peerLog{}
	}
	return a
}

// Cancelled reports whether a job is known to be cancelled by an acknowledgement.
func (a *PeerAcks) Cancelled(jobID string) bool {
	_, ok := a.jobs[jobID]
	return ok
}

// Received is the position up to which each other controller's log was received. They are sent it as a confirmation,
// so that they stop resending.
func (a *PeerAcks) Received() map[string]LogPosition {
	positions := map[string]LogPosition{}
	for name, peer := range a.peers {
		if peer.incarnation != 0 {
			positions[name] = LogPosition{peer.incarnation, peer.received}
		}
	}
	return positions
}

// Record enters a job whose cancellation this process itself acknowledges: its own mirror may lag as well.
func (a *PeerAcks) Record(jobID string, now time.Time) {
	if _, known := a.jobs[jobID]; !known {
		a.jobs[jobID] = now
	}
}

// Receive enters a message and returns the jobs that are new. Messages arrive in order on a connection, but a network
// partition may hold them: those of an earlier incarnation may follow those of the next. So only entries that continue
// what was received of the present incarnation move its position.
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
			return added // the rest is not received, so the position stays and nothing is proven by it
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

// logLengths is how long the other controllers' logs are by their newest messages.
func (a *PeerAcks) logLengths() map[string]LogPosition {
	positions := make(map[string]LogPosition, len(a.peers))
	for name, peer := range a.peers {
		positions[name] = LogPosition{peer.incarnation, peer.length}
	}
	return positions
}

// mirrorCaughtUp notes that the mirror shows every cancellation acknowledged before a time, and with them the logs up
// to the lengths that were known at that time.
func (a *PeerAcks) mirrorCaughtUp(at time.Time, logLengths map[string]LogPosition) {
	for name, position := range logLengths {
		if peer := a.peers[name]; peer != nil && peer.incarnation == position.Incarnation {
			peer.received = max(peer.received, position.Seq)
		}
	}
	maps.DeleteFunc(a.jobs, func(_ string, receivedAt time.Time) bool { return receivedAt.Before(at) })
}
