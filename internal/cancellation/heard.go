package cancellation

import (
	"maps"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Heard is what one process has taken in of the others' logs: the jobs that are cancelled
// though its mirror may not show it yet. Cancelled is final, so to act on it is always
// safe; an entry is let go once the mirror is proven to show it.
type Heard struct {
	peers map[string]*listened
	jobs  map[string]time.Time // job to when it was heard of
}

// listened is what is known of one other controller's process.
type listened struct {
	inc   uint64
	since time.Time // the first line of this process came
	taken uint64    // entries of its log that were taken in, or that the mirror shows
	upto  uint64    // length of its log by its newest line
}

// NewHeard makes an empty one for the controllers that the settings name.
func NewHeard(peers []string) *Heard {
	h := &Heard{peers: map[string]*listened{}, jobs: map[string]time.Time{}}
	for _, p := range peers {
		h.peers[p] = &listened{}
	}
	return h
}

// Cancelled tells whether a job was heard to be cancelled.
func (h *Heard) Cancelled(uid string) bool {
	_, ok := h.jobs[uid]
	return ok
}

// Taken is the mark up to which each other controller's log was taken in, for it to stop
// telling.
func (h *Heard) Taken() map[string]Mark {
	out := map[string]Mark{}
	for name, p := range h.peers {
		if p.inc != 0 {
			out[name] = Mark{p.inc, p.taken}
		}
	}
	return out
}

// Note enters a job that this process itself has told: its own mirror may lag as well.
func (h *Heard) Note(uid string, now time.Time) {
	if _, known := h.jobs[uid]; !known {
		h.jobs[uid] = now
	}
}

// Take takes in a line and gives back the jobs that are news. Lines arrive in order on a
// connection, but a cut may hold them: those of an earlier process may follow those of the
// next, so what is not this process's own next entry moves no mark.
func (h *Heard) Take(from string, t Told, now time.Time) []string {
	p := h.peers[from]
	if p == nil || t.Inc == 0 {
		return nil
	}
	if p.inc != t.Inc {
		*p = listened{inc: t.Inc, since: now}
	}
	p.upto = max(p.upto, t.Upto)
	var news []string
	for _, uid := range t.UIDs {
		if _, known := h.jobs[uid]; known {
			continue
		}
		if len(h.jobs) >= tuning.MostHeard {
			return news // not taken in: nothing is proven by it
		}
		h.jobs[uid] = now
		news = append(news, uid)
	}
	if n := uint64(len(t.UIDs)); n > 0 && t.First > 0 && t.First <= p.taken+1 {
		p.taken = max(p.taken, t.First+n-1)
	}
	return news
}

// marks is how long the others' logs were by the newest lines.
func (h *Heard) marks() map[string]Mark {
	out := make(map[string]Mark, len(h.peers))
	for name, p := range h.peers {
		out[name] = Mark{p.inc, p.upto}
	}
	return out
}

// shown takes in that the mirror shows all that was told up to a moment, and with it the
// logs as far as they had come by lines from before it.
func (h *Heard) shown(at time.Time, marks map[string]Mark) {
	for name, m := range marks {
		if p := h.peers[name]; p != nil && p.inc == m.Inc {
			p.taken = max(p.taken, m.Seq)
		}
	}
	maps.DeleteFunc(h.jobs, func(_ string, heard time.Time) bool { return heard.Before(at) })
}
