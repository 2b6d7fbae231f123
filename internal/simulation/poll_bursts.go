package simulation

import (
	"maps"
	"slices"
	"time"
)

// In a poll burst users ask every controller, again and again within milliseconds, around
// the moment at which a job is accepted, ends, or is reported as cancelled. Some of those
// requests come before that moment: their answers must not leave after it with what
// was so before.
const (
	burstRequests    = 3                       // requests to each controller in one burst
	burstWithin      = 60 * time.Millisecond   // they come within so long of it
	burstAfterEnd    = 1200 * time.Millisecond // of an end, which shows only later
	burstCancelShare = 0.15                    // share of those accepted whose user cancels at once
)

// PollInBursts has users poll in bursts for so long.
func (w *Simulator) PollInBursts(long time.Duration) { w.pollBurstsUntil = w.Now.Add(long) }

// CancelAtEnd has, for so long, that share of the jobs that end called off at the moment
// of the end.
func (w *Simulator) CancelAtEnd(share float64, long time.Duration) {
	w.cancelAtEnd = chance{share, w.Now.Add(long)}
}

// pollBurst polls every controller, since a job's status is about to change or just changed.
func (w *Simulator) pollBurst(j *Job, within time.Duration) {
	if !w.Now.Before(w.pollBurstsUntil) {
		return
	}
	for _, name := range w.NodeNames {
		for range burstRequests {
			w.After(w.randomBetween(0, within), func() { w.pollOnce(name, j) })
		}
		w.After(w.randomBetween(0, within), func() { w.repeat(name, j) })
	}
}

// jobAccepted is called once the user has the answer that a job is accepted.
func (w *Simulator) jobAccepted(j *Job) {
	w.pollBurst(j, burstWithin)
	if w.Now.Before(w.pollBurstsUntil) && w.RNG.Float64() < burstCancelShare {
		w.After(w.randomBetween(0, 5*time.Millisecond), func() { w.Cancel(j) })
	}
}

// jobEnded is called once the last task of a job has just ended on its machine.
func (w *Simulator) jobEnded(j *Job) {
	w.pollBurst(j, burstAfterEnd)
	if w.happens(w.cancelAtEnd) {
		w.After(w.randomBetween(0, 3*burstAfterEnd/2), func() { w.Cancel(j) })
	}
}

// pollOnce asks one controller about a job.
func (w *Simulator) pollOnce(name string, j *Job) {
	w.requestAt(name, "GET", "/work/"+j.ID, nil, func(status int, b []byte, err error) {
		switch {
		case err != nil:
		case status == 404 && j.Accepted && w.answerSentAt.After(j.AcceptedAt):
			w.RuleBroken(
				"forgotten: %s gets 404 of %s, asked %v and answered %v after it was accepted",
				j.ID,
				name,
				w.requestSentAt.Sub(j.AcceptedAt),
				w.answerSentAt.Sub(j.AcceptedAt),
			)
		case status == 200:
			w.BurstAnswers++
			if !j.Accepted {
				j.Accepted, j.AcceptedAt, j.AnsweredAt = true, w.Now, w.Now
				w.poll(j)
			}
			w.checkStatus(j, b)
		}
	})
}

// repeat sends a job's submission again, to one controller.
func (w *Simulator) repeat(name string, j *Job) {
	if !j.Accepted {
		return
	}
	w.requestAt(name, "POST", "/work", j.Body, func(status int, b []byte, err error) {
		switch {
		case err != nil:
		case status == 400 || status == 422 || status == 201:
			w.RuleBroken("forgotten: repeat of %s gets %d of %s", j.ID, status, name)
		case status == 200:
			w.BurstAnswers++
			w.checkStatus(j, b)
		}
	})
}

// PollAll asks every controller about every accepted job.
func (w *Simulator) PollAll() {
	for _, jobID := range slices.Sorted(maps.Keys(w.Jobs)) {
		if j := w.Jobs[jobID]; j.Accepted {
			for _, name := range w.NodeNames {
				w.After(w.randomBetween(0, 5*time.Second), func() { w.pollOnce(name, j) })
			}
		}
	}
}
