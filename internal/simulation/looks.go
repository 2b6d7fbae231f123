package simulation

import (
	"maps"
	"slices"
	"time"
)

// Users who look closely ask at every controller, again and again within milliseconds,
// around the moment at which a job is accepted, ends, or is told to be cancelled. Some of
// those questions come before that moment: their answers must not leave after it with what
// was so before.
const (
	lookEach  = 3                       // questions to each controller at one such moment
	lookFor   = 60 * time.Millisecond   // they come within so long of it
	lookEnd   = 1200 * time.Millisecond // of an end, which shows only later
	lookAbort = 0.15                    // share of those accepted whose user cancels at once
)

// CloseLooks has users look closely for so long.
func (w *Simulator) CloseLooks(long time.Duration) { w.closeLooks = w.Now.Add(long) }

// CancelAtEnd has, for so long, that share of the jobs that end called off at the moment
// of the end.
func (w *Simulator) CancelAtEnd(share float64, long time.Duration) {
	w.cancelAtEnd = drawn{share, w.Now.Add(long)}
}

// looked: something of a job is about to be told, or was just told.
func (w *Simulator) looked(j *Job, within time.Duration) {
	if !w.Now.Before(w.closeLooks) {
		return
	}
	for _, name := range w.Order {
		for range lookEach {
			w.After(w.between(0, within), func() { w.look(name, j) })
		}
		w.After(w.between(0, within), func() { w.repeat(name, j) })
	}
}

// acceptedNow: the user was just told that a job is accepted.
func (w *Simulator) acceptedNow(j *Job) {
	w.looked(j, lookFor)
	if w.Now.Before(w.closeLooks) && w.RNG.Float64() < lookAbort {
		w.After(w.between(0, 5*time.Millisecond), func() { w.Abort(j) })
	}
}

// ended: the last task of a job has just ended on its machine.
func (w *Simulator) ended(j *Job) {
	w.looked(j, lookEnd)
	if w.meets(w.cancelAtEnd) {
		w.After(w.between(0, 3*lookEnd/2), func() { w.Abort(j) })
	}
}

// look asks one controller about a job.
func (w *Simulator) look(name string, j *Job) {
	w.askAt(name, "GET", "/work/"+j.UID, nil, func(status int, b []byte, err error) {
		switch {
		case err != nil:
		case status == 404 && j.Accepted && w.sent.After(j.AcceptedAt):
			w.Break(
				"forgotten: %s gets 404 of %s, asked %v and answered %v after it was accepted",
				j.UID,
				name,
				w.asked.Sub(j.AcceptedAt),
				w.sent.Sub(j.AcceptedAt),
			)
		case status == 200:
			w.Looks++
			if !j.Accepted {
				j.Accepted, j.AcceptedAt, j.LastOK = true, w.Now, w.Now
				w.poll(j)
			}
			w.told(j, b)
		}
	})
}

// repeat sends a job's submission again, to one controller.
func (w *Simulator) repeat(name string, j *Job) {
	if !j.Accepted {
		return
	}
	w.askAt(name, "POST", "/work", j.Body, func(status int, b []byte, err error) {
		switch {
		case err != nil:
		case status == 400 || status == 422 || status == 201:
			w.Break("forgotten: repeat of %s gets %d of %s", j.UID, status, name)
		case status == 200:
			w.Looks++
			w.told(j, b)
		}
	})
}

// LookAll asks every controller about every accepted job.
func (w *Simulator) LookAll() {
	for _, jobID := range slices.Sorted(maps.Keys(w.Jobs)) {
		if j := w.Jobs[jobID]; j.Accepted {
			for _, name := range w.Order {
				w.After(w.between(0, 5*time.Second), func() { w.look(name, j) })
			}
		}
	}
}
