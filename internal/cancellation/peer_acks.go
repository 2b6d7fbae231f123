package cancellation

import (
	"maps"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// PeerAcks is what one process has taken in of the others' logs: the jobs that are cancelled
// though its mirror may not show it yet. Cancelled is final, so to act on it is always
// safe; an entry is let go once the mirror is proven to show it.
type PeerAcks struct {
	peers map[string]*peerLog
	jobs  map[string]time.Time // job to when it was heard of
}

// peerLog is what is known of one other controller's process.
type peerLog struct {
	incarnation uint64
	since       time.Time // the first line of this process came
	received    uint64    // entries of its log that were taken in, or that the mirror shows
	length      uint64    // length of its log by its newest line
}

// NewPeerAcks makes an empty one for the controllers that the settings name.
func NewPeerAcks(peers []string) *PeerAcks {
	h := &PeerAcks{peers: map[string]*peerLog{}, jobs: map[string]time.Time{}}
	for _, p := range peers {
		h.peers[p] = &peerLog{}
	}
	return h
}

// Cancelled tells whether a job was heard to be cancelled.
func (h *PeerAcks) Cancelled(jobID string) bool {
	_, ok := h.jobs[jobID]
	return ok
}

// Received is the mark up to which each other controller's log was taken in, for it to stop
// telling.
func (h *PeerAcks) Received() map[string]LogPosition {
	out := map[string]LogPosition{}
	for name, p := range h.peers {
		if p.incarnation != 0 {
			out[name] = LogPosition{p.incarnation, p.received}
		}
	}
	return out
}

// Record enters a job that this process itself has told: its own mirror may lag as well.
func (h *PeerAcks) Record(jobID string, now time.Time) {
	if _, known := h.jobs[jobID]; !known {
		h.jobs[jobID] = now
	}
}

// Receive takes in a line and gives back the jobs that are news. Lines arrive in order on a
// connection, but a cut may hold them: those of an earlier process may follow those of the
// next, so what is not this process's own next entry moves no mark.
func (h *PeerAcks) Receive(from string, t AckEntries, now time.Time) []string {
	p := h.peers[from]
	if p == nil || t.Incarnation == 0 {
		return nil
	}
	if p.incarnation != t.Incarnation {
		*p = peerLog{incarnation: t.Incarnation, since: now}
	}
	p.length = max(p.length, t.LogLength)
	var news []string
	for _, jobID := range t.JobIDs {
		if _, known := h.jobs[jobID]; known {
			continue
		}
		if len(h.jobs) >= tuning.MaxPeerCancellations {
			return news // not taken in: nothing is proven by it
		}
		h.jobs[jobID] = now
		news = append(news, jobID)
	}
	if n := uint64(len(t.JobIDs)); n > 0 && t.First > 0 && t.First <= p.received+1 {
		p.received = max(p.received, t.First+n-1)
	}
	return news
}

// logLengths is how long the others' logs were by the newest lines.
func (h *PeerAcks) logLengths() map[string]LogPosition {
	out := make(map[string]LogPosition, len(h.peers))
	for name, p := range h.peers {
		out[name] = LogPosition{p.incarnation, p.length}
	}
	return out
}

// mirrorCaughtUp takes in that the mirror shows all that was told up to a moment, and with it the
// logs as far as they had come by lines from before it.
func (h *PeerAcks) mirrorCaughtUp(at time.Time, marks map[string]LogPosition) {
	for name, m := range marks {
		if p := h.peers[name]; p != nil && p.incarnation == m.Incarnation {
			p.received = max(p.received, m.Seq)
		}
	}
	maps.DeleteFunc(h.jobs, func(_ string, heard time.Time) bool { return heard.Before(at) })
}
