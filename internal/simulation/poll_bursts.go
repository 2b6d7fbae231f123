package simulation

import (
	"maps"
	"slices"
	"time"
)

// In a poll burst, users poll every controller repeatedly within milliseconds around the time when
// a job is accepted, ends or is reported as cancelled. Requests that arrive before the change must
// not be answered after it with the old status.
const (
	burstRequests    = 3                       // polls of each controller in one burst
	burstWithin      = 60 * time.Millisecond   // maximum time from the change to a poll
	burstAfterEnd    = 1200 * time.Millisecond // the same for the end of a job, which shows in answers only later
	burstCancelShare = 0.15                    // share of accepted jobs that are cancelled at once
)

// PollInBursts makes users poll in bursts for the given duration.
func (sim *Simulator) PollInBursts(duration time.Duration) {
	sim.pollBurstsUntil = sim.Now.Add(duration)
}

// CancelAtEnd cancels a share of the jobs at about the time at which they end, for the given
// duration.
func (sim *Simulator) CancelAtEnd(share float64, duration time.Duration) {
	sim.cancelAtEnd = faultRate{share, sim.Now.Add(duration)}
}

// pollBurst polls every controller and repeats the job's submission there, because the job's status
// is about to change or has just changed.
func (sim *Simulator) pollBurst(j *Job, within time.Duration) {
	if !sim.Now.Before(sim.pollBurstsUntil) {
		return
	}
	for _, name := range sim.NodeNames {
		for range burstRequests {
			sim.After(sim.randomDuration(0, within), func() { sim.pollOnce(name, j) })
		}
		sim.After(sim.randomDuration(0, within), func() { sim.repeat(name, j) })
	}
}

// jobAccepted is called when the user receives the answer that a job is accepted.
func (sim *Simulator) jobAccepted(j *Job) {
	sim.pollBurst(j, burstWithin)
	if sim.Now.Before(sim.pollBurstsUntil) && sim.RNG.Float64() < burstCancelShare {
		sim.After(sim.randomDuration(0, 5*time.Millisecond), func() { sim.Cancel(j) })
	}
}

// jobEnded is called when the last task of a job has ended on its machine.
func (sim *Simulator) jobEnded(j *Job) {
	sim.pollBurst(j, burstAfterEnd)
	if sim.faultOccurs(sim.cancelAtEnd) {
		sim.After(sim.randomDuration(0, 3*burstAfterEnd/2), func() { sim.Cancel(j) })
	}
}

// pollOnce requests a job's status from one controller.
func (sim *Simulator) pollOnce(name string, j *Job) {
	sim.requestAt(name, "GET", "/work/"+j.ID, nil, func(status int, b []byte, err error) {
		switch {
		case err != nil:
		case status == 404 && j.Accepted && sim.answerSentAt.After(j.AcceptedAt):
			sim.ReportViolation(
				"forgotten: %s gets 404 of %s, asked %v and answered %v after it was accepted",
				j.ID,
				name,
				sim.requestSentAt.Sub(j.AcceptedAt),
				sim.answerSentAt.Sub(j.AcceptedAt),
			)
		case status == 200:
			sim.BurstAnswers++
			if !j.Accepted {
				j.Accepted, j.AcceptedAt, j.AnsweredAt = true, sim.Now, sim.Now
				sim.poll(j)
			}
			sim.checkStatus(j, b)
		}
	})
}

// repeat repeats a job's submission at one controller.
func (sim *Simulator) repeat(name string, j *Job) {
	if !j.Accepted {
		return
	}
	sim.requestAt(name, "POST", "/work", j.Body, func(status int, b []byte, err error) {
		switch {
		case err != nil:
		case status == 400 || status == 422 || status == 201:
			sim.ReportViolation("forgotten: repeat of %s gets %d of %s", j.ID, status, name)
		case status == 200:
			sim.BurstAnswers++
			sim.checkStatus(j, b)
		}
	})
}

// PollAll requests the status of every accepted job from every controller within 5 s.
func (sim *Simulator) PollAll() {
	for _, jobID := range slices.Sorted(maps.Keys(sim.Jobs)) {
		if j := sim.Jobs[jobID]; j.Accepted {
			for _, name := range sim.NodeNames {
				sim.After(sim.randomDuration(0, 5*time.Second), func() { sim.pollOnce(name, j) })
			}
		}
	}
}
