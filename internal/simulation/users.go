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
	name := w.Order[w.RNG.IntN(len(w.Order))]
	for i := 0; w.Nodes[name].avoidedByBalancer() && i < len(w.Order); i++ {
		name = w.Order[(slices.Index(w.Order, name)+1)%len(w.Order)]
	}
	if w.Door != "" {
		name = w.Door
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
		w.Sent503++
	}
	path, _, _ := strings.Cut(target, "?")
	ruled := path == "/up" || path == "/work" || strings.HasPrefix(path, "/work/")
	if ruled && !userMay(method, path, status) {
		w.Breach("%s answers a user's %s %s with %d", node, method, target, status)
	}
}

// Submit hands in a job until it is accepted, then polls it.
func (w *Simulator) Submit(j *Job) {
	w.Jobs[j.UID] = j
	j.Done = map[int]bool{}
	j.LastOK, j.SubmittedAt = w.Now, w.Now
	w.pollBurst(j, burstWithin)
	var submit func()
	submit = func() {
		w.request("POST", "/work", j.Body, func(status int, _ []byte, err error) {
			if err == nil && !j.Accepted {
				w.checkAdmission(j.UID, j.Body, status)
			}
			switch {
			case err == nil && (status == 201 || status == 200):
				if !j.Accepted {
					j.Accepted, j.AcceptedAt, j.LastOK = true, w.Now, w.Now
					w.jobAccepted(j)
					w.poll(j)
				}
			case err == nil && (status == 400 || status == 422):
				if j.Accepted {
					w.Break("forgotten: %s gets %d", j.UID, status)
				}
				j.Told = strconv.Itoa(status)
			default:
				w.After(time.Second, submit)
			}
		})
	}
	submit()
}

// Again repeats a job's submission.
func (w *Simulator) Again(j *Job) { w.resubmitAt(w.balanced(), j) }

func (w *Simulator) resubmitAt(node string, j *Job) {
	w.requestAt(node, "POST", "/work", j.Body, func(status int, b []byte, err error) {
		if err == nil && j.Accepted && (status == 400 || status == 422 || status == 201) {
			w.Break("forgotten: repeat of %s gets %d", j.UID, status)
		}
		if err == nil && status == 200 {
			w.checkStatus(j, b)
		}
	})
}

func (w *Simulator) poll(j *Job) {
	w.request("GET", "/work/"+j.UID, nil, func(status int, b []byte, err error) {
		if err == nil && status == 404 {
			w.Break("forgotten: %s gets 404", j.UID)
		}
		if err == nil && status == 200 {
			j.LastOK = w.Now
			w.checkStatus(j, b)
		}
		again := 2 * time.Second
		if j.Told == "done" || j.Told == "cancelled" {
			again = 15 * time.Second // only to see that it stays so
		}
		w.After(again, func() { w.poll(j) })
	})
}

// AskAbout asks about a job once, beside the user who polls it.
func (w *Simulator) AskAbout(j *Job) {
	accepted := j.Accepted
	w.request("GET", "/work/"+j.UID, nil, func(status int, b []byte, err error) {
		switch {
		case err == nil && status == 404 && accepted:
			w.Break("forgotten: %s gets 404", j.UID)
		case err == nil && status == 200:
			w.checkStatus(j, b)
		}
	})
}

// Ask checks that a job nobody submitted is unknown.
func (w *Simulator) Ask(jobID string) {
	w.request("GET", "/work/"+jobID, nil, func(status int, _ []byte, err error) {
		if err == nil && status == 200 && w.Jobs[jobID] == nil {
			w.Break("invented: %s", jobID)
		}
	})
}

// checkStatus checks an answer about a job against earlier answers.
func (w *Simulator) checkStatus(j *Job, body []byte) {
	var s jobStatus
	if json.Unmarshal(body, &s) != nil {
		w.Break("unreadable answer %s", body)
		return
	}
	if finalStatus(j.Told) && s.Status != j.Told {
		if !w.answerSentAt.After(j.ToldAt) {
			return // it crossed the other answer: of two requests at once either answer may come last
		}
		w.Break(
			"went_back: %s was %s, is %s, asked %v and answered %v later",
			j.UID,
			j.Told,
			s.Status,
			w.requestSentAt.Sub(j.ToldAt),
			w.answerSentAt.Sub(j.ToldAt),
		)
	}
	w.checkStatusCause(j, s)
	if j.Told != s.Status {
		j.Told, j.ToldAt = s.Status, w.Now
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
	if s.Status == "cancelled" && !j.AbortAsked {
		w.Break("went_back: %s is cancelled by nobody", j.UID)
	}
	if s.Status != "done" {
		return
	}
	if len(j.Done) < j.Pieces {
		w.Break("not_done: %s has %d of %d", j.UID, len(j.Done), j.Pieces)
	}
	if s.Done != nil && *s.Done != j.Pieces {
		w.Break("shown wrong: %s is done with %d of %d", j.UID, *s.Done, j.Pieces)
	}
}

// Abort cancels a job, repeating until it is answered.
func (w *Simulator) Abort(j *Job) {
	if j.AbortAsked = true; j.AbortOpen.IsZero() {
		j.AbortOpen = w.Now
	}
	w.request("POST", "/work/"+j.UID+"/abort", nil, func(status int, b []byte, err error) {
		if err != nil || status != 200 {
			w.After(time.Second, func() { w.Abort(j) })
			return
		}
		j.AbortOpen = time.Time{}
		w.checkStatus(j, b)
	})
}

// noteCancelled notes that a user had that answer, and checks that all is gone in time.
func (w *Simulator) noteCancelled(j *Job) {
	j.Cancelled, j.CancelledAt = true, w.Now
	w.After(time.Duration(w.CancelS*float64(time.Second))+time.Millisecond, func() {
		for _, wk := range w.Workers {
			for _, p := range wk.tasks {
				if p.job == j && p.onMachine() {
					w.checkCancelled(wk, p)
				}
			}
		}
	})
}
