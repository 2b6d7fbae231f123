package pipelines

import (
	"bytes"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// Status is what users are told of a run. Fields are only ever added.
type Status struct {
	ID     string       `json:"id"`
	Name   string       `json:"name"`
	Owner  string       `json:"owner"`
	Status RunState     `json:"status"`
	TookS  float64      `json:"took_s"` // since its acceptance, or until its end
	Steps  []StepStatus `json:"steps"`
}

// StepStatus is what users are told of a step.
type StepStatus struct {
	Name         string    `json:"name"`
	Status       StepState `json:"status"`
	Job          string    `json:"job"`    // uid of its present job, or of the one it will have
	Repeat       int       `json:"repeat"` // counted from 0
	Why          Why       `json:"why,omitempty"`
	AllowFailure bool      `json:"allow_failure,omitempty"`
	Needs        []string  `json:"needs,omitempty"`
	Tasks        int       `json:"pieces"`
	Done         int       `json:"done"`
	Running      int       `json:"running"`
	TookS        float64   `json:"took_s"` // since its job's acceptance, or until its end
	Explain      string    `json:"explain,omitempty"`
}

// Encode writes a status with a line for each step: receivers may take no
// longer lines than 64 KiB.
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

// StatusOf describes a run, ended or not; false if its document can't be read.
func (k *Keeper) StatusOf(id string, rec *Record, nowMs int64, w Cluster, explain bool) (Status, bool) {
	p := k.planOf(rec)
	if p == nil || len(p.Steps) != len(rec.Steps) {
		return Status{}, false
	}
	seconds := func(from, to int64) float64 {
		if from == 0 {
			return 0
		}
		if to == 0 {
			to = nowMs
		}
		return float64(max(to-from, 0)) / 1000
	}
	out := Status{ID: id, Name: p.Name, Owner: p.Owner, Status: rec.State, TookS: seconds(rec.AtMs, rec.EndMs)}
	for i, s := range rec.Steps {
		plan := &p.Steps[i]
		v := StepStatus{
			Name: plan.Name, Status: s.State, Job: JobID(id, rec.Salt, plan.Name, s.Repeat), Repeat: s.Repeat, Why: s.Why,
			AllowFailure: plan.AllowFailure, Tasks: plan.Spec.TaskCount, TookS: seconds(s.AtMs, s.EndMs),
		}
		for _, n := range p.Groups[plan.Group].Needs {
			v.Needs = append(v.Needs, p.Groups[n].Name)
		}
		switch {
		case s.State == Succeeded:
			v.Done = v.Tasks
		case s.State.HasJob():
			job, _ := w.Job(v.Job)
			v.Done, v.Running = job.Done, job.Running
			if s.State == Submitted && job.Running > 0 {
				v.Status = Running
			}
		}
		if explain {
			v.Explain = p.explain(i, rec, &v, w.Why(v.Job))
		}
		out.Steps = append(out.Steps, v)
	}
	return out, true
}
