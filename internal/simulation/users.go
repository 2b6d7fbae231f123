package simulation

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"
)

// request sends a user's request through the load balancer.
func (sim *Simulator) request(method, target string, body []byte, done func(int, []byte, error)) {
	sim.requestAt(sim.balancerTarget(), method, target, body, done)
}

// balancerTarget returns the controller to which the load balancer routes a user: EntryNode if it
// is set, else a random one that the balancer does not avoid.
func (sim *Simulator) balancerTarget() string {
	name := sim.NodeNames[sim.RNG.IntN(len(sim.NodeNames))]
	for i := 0; sim.Nodes[name].avoidedByBalancer() && i < len(sim.NodeNames); i++ {
		name = sim.NodeNames[(slices.Index(sim.NodeNames, name)+1)%len(sim.NodeNames)]
	}
	if sim.EntryNode != "" {
		name = sim.EntryNode
	}
	return name
}

// requestAt sends a user's request to the given controller.
func (sim *Simulator) requestAt(name, method, target string, body []byte, done func(int, []byte, error)) {
	var sent time.Time
	requested := sim.Now
	sim.Nodes[name].requests++
	counted := sim.countPoll(name, method)
	serve := func(answer func(int, []byte)) {
		sim.Nodes[name].request(method, target, body, func(status int, b []byte) {
			if sent.IsZero() { // a copy's answer is dropped
				sent = sim.Now
			}
			answer(status, b)
		})
	}
	if method == "POST" {
		serve = sim.withCopies(UserChanges, serve)
	}
	sim.call("user", name, 5*time.Second, serve, func(status int, b []byte, err error) {
		sim.answerSentAt, sim.requestSentAt = sent, requested
		if err == nil {
			counted(status)
			sim.checkUserAnswer(name, method, target, status, b)
		}
		done(status, b, err)
	})
}

// PollCounts counts users' questions about jobs at running controllers.
type PollCounts struct {
	Sent     int
	Answered int // with 200 or 404, within pollTimeout
}

// pollTimeout is how long a user waits for the answer to a question (protocol).
const pollTimeout = 2 * time.Second

// countPoll counts a request if it is a question about a job at a running controller. It returns
// the function to call with the status of the answer.
func (sim *Simulator) countPoll(node, method string) func(status int) {
	if method != "GET" || !sim.Nodes[node].alive {
		return func(int) {}
	}
	counts, sentAt := sim.Polls, sim.Now
	counts.Sent++
	return func(status int) {
		if (status == 200 || status == 404) && sim.Now.Sub(sentAt) <= pollTimeout {
			counts.Answered++
		}
	}
}

// checkUserAnswer counts a controller's answer to a user and checks it against the protocol.
func (sim *Simulator) checkUserAnswer(node, method, target string, status int, body []byte) {
	sim.checkLines(node, body)
	if status != 503 && status != 429 {
		sim.Nodes[node].answered++
	}
	if status == 503 && method == "POST" {
		sim.Unavailable++
	}
	path, _, _ := strings.Cut(target, "?")
	inProtocol := path == "/up" || path == "/work" || strings.HasPrefix(path, "/work/")
	if inProtocol && !userStatusAllowed(method, path, status) {
		sim.ReportLimitViolation("%s answers a user's %s %s with %d", node, method, target, status)
	}
}

// Submit submits a job, repeating until it is accepted or rejected, and polls an accepted job.
func (sim *Simulator) Submit(j *Job) {
	sim.Jobs[j.ID] = j
	j.Done = map[int]bool{}
	j.AnsweredAt, j.SubmittedAt = sim.Now, sim.Now
	sim.replacements.factsChanged()
	sim.pollBurst(j, burstWithin)
	var submit func()
	submit = func() {
		sim.request("POST", "/work", j.Body, func(status int, _ []byte, err error) {
			if err == nil && !j.Accepted {
				sim.checkAdmission(j.ID, j.Body, status)
			}
			switch {
			case err == nil && (status == 201 || status == 200):
				if !j.Accepted {
					j.Accepted, j.AcceptedAt, j.AnsweredAt = true, sim.Now, sim.Now
					sim.jobAccepted(j)
					sim.poll(j)
				}
			case err == nil && (status == 400 || status == 422):
				if j.Accepted {
					sim.ReportViolation("forgotten: %s gets %d", j.ID, status)
				}
				j.Status = strconv.Itoa(status)
			default:
				sim.After(time.Second, submit)
			}
		})
	}
	submit()
}

// Resubmit repeats a job's submission.
func (sim *Simulator) Resubmit(j *Job) { sim.resubmitAt(sim.balancerTarget(), j) }

// resubmitAt repeats a job's submission at one controller.
func (sim *Simulator) resubmitAt(node string, j *Job) {
	sim.requestAt(node, "POST", "/work", j.Body, func(status int, b []byte, err error) {
		if err == nil && j.Accepted && (status == 400 || status == 422 || status == 201) {
			sim.ReportViolation("forgotten: repeat of %s gets %d", j.ID, status)
		}
		if err == nil && status == 200 {
			sim.checkStatus(j, b)
		}
	})
}

// poll requests a job's status every 2 s, and every 15 s once it is final.
func (sim *Simulator) poll(j *Job) {
	sim.request("GET", "/work/"+j.ID, nil, func(status int, b []byte, err error) {
		if err == nil && status == 404 {
			sim.ReportViolation("forgotten: %s gets 404", j.ID)
		}
		if err == nil && status == 200 {
			j.AnsweredAt = sim.Now
			sim.checkStatus(j, b)
		}
		interval := 2 * time.Second
		if j.Status == "done" || j.Status == "cancelled" {
			interval = 15 * time.Second // only to check that the status remains
		}
		sim.After(interval, func() { sim.poll(j) })
	})
}

// PollJob requests a job's status once, in addition to its user's polling.
func (sim *Simulator) PollJob(j *Job) {
	accepted := j.Accepted
	sim.request("GET", "/work/"+j.ID, nil, func(status int, b []byte, err error) {
		switch {
		case err == nil && status == 404 && accepted:
			sim.ReportViolation("forgotten: %s gets 404", j.ID)
		case err == nil && status == 200:
			sim.checkStatus(j, b)
		}
	})
}

// CheckUnknown checks that no controller knows a job that nobody submitted.
func (sim *Simulator) CheckUnknown(jobID string) {
	sim.request("GET", "/work/"+jobID, nil, func(status int, _ []byte, err error) {
		if err == nil && status == 200 && sim.Jobs[jobID] == nil {
			sim.ReportViolation("invented: %s", jobID)
		}
	})
}

// checkStatus checks an answer about a job against earlier answers, and records its status.
func (sim *Simulator) checkStatus(j *Job, body []byte) {
	var s jobStatus
	if json.Unmarshal(body, &s) != nil {
		sim.ReportViolation("unreadable answer %s", body)
		return
	}
	if finalStatus(j.Status) && s.Status != j.Status {
		if !sim.answerSentAt.After(j.StatusAt) {
			return // sent before the final status was received: concurrent answers may be reordered
		}
		sim.ReportViolation(
			"went_back: %s was %s, is %s, asked %v and answered %v later",
			j.ID,
			j.Status,
			s.Status,
			sim.requestSentAt.Sub(j.StatusAt),
			sim.answerSentAt.Sub(j.StatusAt),
		)
	}
	sim.checkStatusCause(j, s)
	if j.Status != s.Status {
		j.Status, j.StatusAt = s.Status, sim.Now
		if finalStatus(s.Status) {
			sim.pollBurst(j, burstWithin)
		}
	}
	if s.Status == "cancelled" && !j.Cancelled {
		sim.recordCancelled(j) // cancel_s counts from the first answer that says so
	}
}

// jobStatus holds the fields that a user reads from an answer about a job.
type jobStatus struct {
	Status string `json:"status"`
	Done   *int   `json:"done"`
}

// finalStatus reports whether a status is final.
func finalStatus(status string) bool { return status == "done" || status == "cancelled" }

// checkStatusCause checks that a job reported as cancelled was cancelled by its user, and that of
// one reported as done all tasks are done.
func (sim *Simulator) checkStatusCause(j *Job, status jobStatus) {
	if status.Status == "cancelled" && !j.CancelRequested {
		sim.ReportViolation("went_back: %s is cancelled by nobody", j.ID)
	}
	if status.Status != "done" {
		return
	}
	if len(j.Done) < j.TaskCount {
		sim.ReportViolation("not_done: %s has %d of %d", j.ID, len(j.Done), j.TaskCount)
	}
	if status.Done != nil && *status.Done != j.TaskCount {
		sim.ReportViolation("shown wrong: %s is done with %d of %d", j.ID, *status.Done, j.TaskCount)
	}
}

// Cancel requests the cancellation of a job, repeating until the answer is 200.
func (sim *Simulator) Cancel(j *Job) {
	if j.CancelRequested = true; j.CancelOpenSince.IsZero() {
		j.CancelOpenSince = sim.Now
		sim.replacements.factsChanged()
	}
	sim.request("POST", "/work/"+j.ID+"/abort", nil, func(status int, b []byte, err error) {
		if err != nil || status != 200 {
			sim.After(time.Second, func() { sim.Cancel(j) })
			return
		}
		j.CancelOpenSince = time.Time{}
		sim.checkStatus(j, b)
	})
}

// recordCancelled records that the user was told of the cancellation, and checks after cancel_s
// that no task of the job is on a machine.
func (sim *Simulator) recordCancelled(j *Job) {
	j.Cancelled, j.CancelledAt = true, sim.Now
	sim.After(time.Duration(sim.CancelS*float64(time.Second))+time.Millisecond, func() {
		for _, ag := range sim.Agents {
			for _, task := range ag.tasks {
				if task.job == j && task.onMachine() {
					sim.checkCancelled(ag, task)
				}
			}
		}
	})
}
