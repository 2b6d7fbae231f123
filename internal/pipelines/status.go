package pipelines

import (
	"bytes"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// Status is the status of a run as shown to users. Fields are only ever added.
type Status struct {
	ID        string       `json:"id"`
	Name      string       `json:"name"`
	Team      string       `json:"owner"`
	Status    RunState     `json:"status"`
	DurationS float64      `json:"took_s"` // seconds from its acceptance until now or its end
	Steps     []StepStatus `json:"steps"`
}

// StepStatus is the status of a step as shown to users.
type StepStatus struct {
	Name         string    `json:"name"`
	Status       StepState `json:"status"`
	JobID        string    `json:"job"`    // ID of its current or next job
	Attempt      int       `json:"repeat"` // number of its current or last attempt, counted from 0
	Why          Cause     `json:"why,omitempty"`
	AllowFailure bool      `json:"allow_failure,omitempty"`
	Needs        []string  `json:"needs,omitempty"`
	Tasks        int       `json:"pieces"`
	Done         int       `json:"done"`
	Running      int       `json:"running"`
	DurationS    float64   `json:"took_s"` // seconds from its job's acceptance until now or its end
	Explain      string    `json:"explain,omitempty"`
}

// Encode returns the status as JSON with one line for each step, because receivers may not accept
// lines longer than 64 KiB.
func (s Status) Encode() []byte {
	steps := s.Steps
	s.Steps = []StepStatus{}
	head := jobs.Encode(s)
	var b bytes.Buffer
	b.Write(bytes.TrimSuffix(head, []byte("]}")))
	for i := range steps {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteByte('\n')
		b.Write(jobs.Encode(steps[i]))
	}
	b.WriteString("]}")
	return b.Bytes()
}

// StatusOf returns the status of a live or ended run, or false if its document can't be read.
func (k *Keeper) StatusOf(id string, record *Record, nowMs int64, cluster Cluster, explain bool) (Status, bool) {
	p := k.planOf(record)
	if p == nil || len(p.Steps) != len(record.Steps) {
		return Status{}, false
	}
	out := Status{
		ID:        id,
		Name:      p.Name,
		Team:      p.Owner,
		Status:    record.State,
		DurationS: elapsedSeconds(record.AcceptedMs, record.EndMs, nowMs),
	}
	for i := range record.Steps {
		status := p.stepStatus(i, id, record, nowMs, cluster)
		if explain {
			status.Explain = p.explain(i, record, &status, cluster.Why(status.JobID))
		}
		out.Steps = append(out.Steps, status)
	}
	return out, true
}

// stepStatus returns the status of a step, without an explanation.
func (p *Plan) stepStatus(i int, id string, record *Record, nowMs int64, cluster Cluster) StepStatus {
	run, step := record.Steps[i], &p.Steps[i]
	out := StepStatus{
		Name:         step.Name,
		Status:       run.State,
		JobID:        JobID(id, record.Salt, step.Name, run.Attempt),
		Attempt:      run.Attempt,
		Why:          run.Cause,
		AllowFailure: step.AllowFailure,
		Tasks:        step.Spec.TaskCount,
		DurationS:    elapsedSeconds(run.AcceptedMs, run.EndMs, nowMs),
	}
	for _, need := range p.Groups[step.Group].Needs {
		out.Needs = append(out.Needs, p.Groups[need].Name)
	}
	switch {
	case run.State == Succeeded:
		out.Done = out.Tasks
	case run.State.HasJob():
		job, _ := cluster.Job(out.JobID)
		out.Done = job.Done
		out.Running = job.Running
		if run.State == Submitted && job.Running > 0 {
			out.Status = Running
		}
	}
	return out
}

// elapsedSeconds returns the time from startMs until endMs, or until now if endMs is 0. It returns
// 0 if startMs is 0. The result is never negative, even if the wall clock was set back.
func elapsedSeconds(startMs, endMs, nowMs int64) float64 {
	if startMs == 0 {
		return 0
	}
	if endMs == 0 {
		endMs = nowMs
	}
	return float64(max(endMs-startMs, 0)) / 1000
}
