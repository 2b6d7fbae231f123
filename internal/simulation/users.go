package simulation

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"
)

// request sends a user's request to some node that is up.
func (w *Simulator) request(method, target string, body []byte, done func(int, []byte, error)) {
	w.requestAt(w.balanced(), method, target, body, done)
}

// balanced is the controller that the load balancer sends a user to.
func (w *Simulator) balanced() string {
	name := w.NodeNames[w.RNG.IntN(len(w.NodeNames))]
	for i := 0; w.Nodes[name].avoidedByBalancer() && i < len(w.NodeNames); i++ {
		name = w.NodeNames[(slices.Index(w.NodeNames, name)+1)%len(w.NodeNames)]
	}
	if w.EntryNode != "" {
		name = w.EntryNode
	}
	return name
}

// requestAt sends a user's request to one controller.
func (w *Simulator) requestAt(name, method, target string, body []byte, done func(int, []byte, error)) {
	var sent time.Time
	requested := w.Now
	w.Nodes[name].requests++
	w.call("user", name, 5*time.Second, func(answer func(int, []byte)) {
		w.Nodes[name].request(method, target, body, func(status int, b []byte) {
			sent = w.Now
			answer(status, b)
		})
	}, func(status int, b []byte, err error) {
		w.answerSentAt, w.requestSentAt = sent, requested
		if err == nil {
			w.checkUserAnswer(name, method, target, status, b)
		}
		done(status, b, err)
	})
}

// checkUserAnswer counts a controller's answer to a user and holds it against the protocol.
func (w *Simulator) checkUserAnswer(node, method, target string, status int, body []byte) {
	w.checkLines(node, body)
	if status != 503 && status != 429 {
		w.Nodes[node].answered++
	}
	if status == 503 && method == "POST" {
		w.Unavailable++
	}
	path, _, _ := strings.Cut(target, "?")
	ruled := path == "/up" || path == "/work" || strings.HasPrefix(path, "/work/")
	if ruled && !userMay(method, path, status) {
		w.LimitBroken("%s answers a user's %s %s with %d", node, method, target, status)
	}
}

// Submit hands in a job until it is accepted, then polls it.
func (w *Simulator) Submit(j *Job) {
	w.Jobs[j.ID] = j
	j.Done = map[int]bool{}
	j.AnsweredAt, j.SubmittedAt = w.Now, w.Now
	w.pollBurst(j, burstWithin)
	var submit func()
	submit = func() {
		w.request("POST", "/work", j.Body, func(status int, _ []byte, err error) {
			if err == nil && !j.Accepted {
				w.checkAdmission(j.ID, j.Body, status)
			}
			switch {
			case err == nil && (status == 201 || status == 200):
				if !j.Accepted {
					j.Accepted, j.AcceptedAt, j.AnsweredAt = true, w.Now, w.Now
					w.jobAccepted(j)
					w.poll(j)
				}
			case err == nil && (status == 400 || status == 422):
				if j.Accepted {
					w.RuleBroken("forgotten: %s gets %d", j.ID, status)
				}
				j.Status = strconv.Itoa(status)
			default:
				w.After(time.Second, submit)
			}
		})
	}
	submit()
}

// Resubmit repeats a job's submission.
func (w *Simulator) Resubmit(j *Job) { w.resubmitAt(w.balanced(), j) }

func (w *Simulator) resubmitAt(node string, j *Job) {
	w.requestAt(node, "POST", "/work", j.Body, func(status int, b []byte, err error) {
		if err == nil && j.Accepted && (status == 400 || status == 422 || status == 201) {
			w.RuleBroken("forgotten: repeat of %s gets %d", j.ID, status)
		}
		if err == nil && status == 200 {
			w.checkStatus(j, b)
		}
	})
}

func (w *Simulator) poll(j *Job) {
	w.request("GET", "/work/"+j.ID, nil, func(status int, b []byte, err error) {
		if err == nil && status == 404 {
			w.RuleBroken("forgotten: %s gets 404", j.ID)
		}
		if err == nil && status == 200 {
			j.AnsweredAt = w.Now
			w.checkStatus(j, b)
		}
		again := 2 * time.Second
		if j.Status == "done" || j.Status == "cancelled" {
			again = 15 * time.Second // only to see that it stays so
		}
		w.After(again, func() { w.poll(j) })
	})
}

// PollJob asks about a job once, beside the user who polls it.
func (w *Simulator) PollJob(j *Job) {
	accepted := j.Accepted
	w.request("GET", "/work/"+j.ID, nil, func(status int, b []byte, err error) {
		switch {
		case err == nil && status == 404 && accepted:
			w.RuleBroken("forgotten: %s gets 404", j.ID)
		case err == nil && status == 200:
			w.checkStatus(j, b)
		}
	})
}

// CheckUnknown checks that a job nobody submitted is unknown.
func (w *Simulator) CheckUnknown(jobID string) {
	w.request("GET", "/work/"+jobID, nil, func(status int, _ []byte, err error) {
		if err == nil && status == 200 && w.Jobs[jobID] == nil {
			w.RuleBroken("invented: %s", jobID)
		}
	})
}

// checkStatus checks an answer about a job against earlier answers.
func (w *Simulator) checkStatus(j *Job, body []byte) {
	var s jobStatus
	if json.Unmarshal(body, &s) != nil {
		w.RuleBroken("unreadable answer %s", body)
		return
	}
	if finalStatus(j.Status) && s.Status != j.Status {
		if !w.answerSentAt.After(j.StatusAt) {
			return // it crossed the other answer: of two requests at once either answer may come last
		}
		w.RuleBroken(
			"went_back: %s was %s, is %s, asked %v and answered %v later",
			j.ID,
			j.Status,
			s.Status,
			w.requestSentAt.Sub(j.StatusAt),
			w.answerSentAt.Sub(j.StatusAt),
		)
	}
	w.checkStatusCause(j, s)
	if j.Status != s.Status {
		j.Status, j.StatusAt = s.Status, w.Now
		if finalStatus(s.Status) {
			w.pollBurst(j, burstWithin)
		}
	}
	if s.Status == "cancelled" && !j.Cancelled {
		w.noteCancelled(j) // whichever answer tells it first: cancel_s counts from there
	}
}

// jobStatus is what a user reads of an answer about a job.
type jobStatus struct {
	Status string `json:"status"`
	Done   *int   `json:"done"`
}

// finalStatus tells whether a job with this status keeps it.
func finalStatus(status string) bool { return status == "done" || status == "cancelled" }

// checkStatusCause checks that a job is only reported as cancelled or done if its user
// cancelled it or all its tasks are done.
func (w *Simulator) checkStatusCause(j *Job, s jobStatus) {
	if s.Status == "cancelled" && !j.CancelRequested {
		w.RuleBroken("went_back: %s is cancelled by nobody", j.ID)
	}
	if s.Status != "done" {
		return
	}
	if len(j.Done) < j.TaskCount {
		w.RuleBroken("not_done: %s has %d of %d", j.ID, len(j.Done), j.TaskCount)
	}
	if s.Done != nil && *s.Done != j.TaskCount {
		w.RuleBroken("shown wrong: %s is done with %d of %d", j.ID, *s.Done, j.TaskCount)
	}
}

// Cancel cancels a job, repeating until it is answered.
func (w *Simulator) Cancel(j *Job) {
	if j.CancelRequested = true; j.CancelOpenSince.IsZero() {
		j.CancelOpenSince = w.Now
	}
	w.request("POST", "/work/"+j.ID+"/abort", nil, func(status int, b []byte, err error) {
		if err != nil || status != 200 {
			w.After(time.Second, func() { w.Cancel(j) })
			return
		}
		j.CancelOpenSince = time.Time{}
		w.checkStatus(j, b)
	})
}

// noteCancelled notes that a user had that answer, and checks that all is gone in time.
func (w *Simulator) noteCancelled(j *Job) {
	j.Cancelled, j.CancelledAt = true, w.Now
	w.After(time.Duration(w.CancelS*float64(time.Second))+time.Millisecond, func() {
		for _, wk := range w.Agents {
			for _, p := range wk.tasks {
				if p.job == j && p.onMachine() {
					w.checkCancelled(wk, p)
				}
			}
		}
	})
}
