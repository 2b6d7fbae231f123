package pipelines

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
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

// explain says in words why a step is where it is.
func (p *Plan) explain(i int, rec *Record, v *StepStatus, waits string) string {
	s, plan := rec.Steps[i], &p.Steps[i]
	condition := "success()"
	if plan.When != nil {
		condition = plan.When.Text
	}
	var parts []string
	say := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	switch v.Status {
	case Waiting:
		var open []string
		for _, need := range p.Groups[plan.Group].Needs {
			if _, over := groupOutcome(p, need, rec.Steps); !over {
				open = append(open, p.Groups[need].Name)
			}
		}
		if more := len(open) - tuning.MaxNamedSteps; more > 0 {
			// A status has a line for each step, and no line may be above 64 KiB.
			open = append(open[:tuning.MaxNamedSteps], fmt.Sprintf("%d more", more))
		}
		if len(open) > 0 {
			say("waits for %s to end; runs then when %s", strings.Join(open, ", "), condition)
		} else {
			say("all it needs has ended; its condition %s is looked at next", condition)
		}
	case Ready:
		say("may start; its job is submitted as soon as the controllers' changes allow")
	case Submitted, Running:
		say("job %s: %d of %d tasks on machines, %d done", v.Job, v.Running, v.Tasks, v.Done)
		if waits != "" {
			say("%s", waits)
		}
		if s.DoubtMs != 0 {
			say("failing everywhere; called failed after %g s of that", plan.DoubtS)
		}
		if plan.TimeoutS > 0 {
			say("called failed %g s after its acceptance", plan.TimeoutS)
		}
	case Succeeded:
		say("job %s is done", v.Job)
	case Failed:
		say("job %s failed: %s", v.Job, s.Why)
		if plan.AllowFailure {
			say("the run goes on (allow_failure)")
		}
	case Skipped:
		say("%s: %s", s.Why, condition)
	case Cancelling:
		say("job %s is being cancelled", v.Job)
	case Cancelled:
		say("%s", s.Why)
	}
	if s.Repeat > 0 {
		say("repeat %d of at most %d", s.Repeat, plan.Repeats)
	}
	return strings.Join(parts, "; ")
}

// Request is a submission of a run.
type Request struct {
	ID   string
	Doc  []byte // the document's JSON, its fields in order
	Plan *Plan
}

// Refusal is the body of an answer that refuses a submission.
type Refusal struct {
	Error  string  `json:"error"`
	Faults []Fault `json:"faults,omitempty"`
}

// ParseRequest reads a submission's body. The refusal tells every fault.
func ParseRequest(body []byte) (*Request, *Refusal) {
	var r struct {
		ID       string `json:"id"`
		Pipeline any    `json:"pipeline"`
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, &Refusal{Error: "body: " + err.Error()}
	}
	if !ValidID(r.ID) {
		return nil, &Refusal{Error: "id: must be run- and 1 to 40 lower case letters, digits or dashes"}
	}
	p, faults := Compile(r.Pipeline)
	if len(faults) > 0 {
		return nil, &Refusal{Error: fmt.Sprintf("%d faults in the pipeline", len(faults)), Faults: faults}
	}
	return &Request{r.ID, jobs.Encode(r.Pipeline), p}, nil
}

// Judge names the steps that can never run, each by its place in the document.
func (p *Plan) Judge(judge func(*jobs.Spec) string) []Fault {
	var out []Fault
	for i := range p.Steps {
		s := &p.Steps[i]
		if why := judge(&s.Spec); why != "" {
			if f := (Fault{Path: s.path, Want: "can never run: " + why}); !slices.Contains(out, f) &&
				len(out) < tuning.MaxFaults {
				out = append(out, f)
			}
		}
	}
	return out
}

// Accept is the change that accepts a run; the jobs of its first steps go with
// it, as many as one transaction holds. Too long a record is an error.
func (k *Keeper) Accept(q *Request, salt string, nowMs int64, w Cluster) (*Change, error) {
	rec := NewRecord(q.Plan, q.Doc, salt, nowMs)
	if most := rec.MaxBytes(); most > k.limits.ValueBytes {
		return nil, fmt.Errorf(
			"the run would take up to %d bytes of the state service's %d: fewer steps or shorter fields are needed",
			most,
			k.limits.ValueBytes,
		)
	}
	d := k.draft(&run{id: q.ID, rec: rec, plan: q.Plan}, nowMs)
	d.moved = true
	unfold(q.Plan, d.steps, nowMs)
	k.submit(d, w)
	return d.finish(), nil
}
