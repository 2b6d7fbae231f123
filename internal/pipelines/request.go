package pipelines

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Request is a validated submission of a run.
type Request struct {
	ID       string
	Document []byte // the document as JSON, its fields sorted
	Plan     *Plan
}

// Refusal is the response body for a rejected submission.
type Refusal struct {
	Error  string  `json:"error"`
	Faults []Fault `json:"faults,omitempty"`
}

// ParseRequest decodes and validates a submission's body. The Refusal of an invalid one contains
// its faults, up to tuning.MaxFaults.
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
	return &Request{ID: r.ID, Document: jobs.Encode(r.Pipeline), Plan: p}, nil
}

// FeasibilityFaults returns a fault for each step that can never run, with the step's path in the
// document. infeasible returns the reason why a job can never run, or "".
func (p *Plan) FeasibilityFaults(infeasible func(*jobs.Spec) string) []Fault {
	var out []Fault
	for i := range p.Steps {
		step := &p.Steps[i]
		reason := infeasible(&step.Spec)
		if reason == "" {
			continue
		}
		fault := Fault{Path: step.path, Want: "can never run: " + reason}
		if !slices.Contains(out, fault) && len(out) < tuning.MaxFaults {
			out = append(out, fault)
		}
	}
	return out
}

// Accept returns the change that accepts a run and submits the jobs of its first steps, as many as
// fit into one transaction. It fails if the run's record could exceed the value limit of the state
// service.
func (k *Keeper) Accept(q *Request, salt string, nowMs int64, cluster Cluster) (*Change, error) {
	record := NewRecord(q.Plan, q.Document, salt, nowMs)
	if size := record.MaxBytes(); size > k.limits.ValueBytes {
		return nil, fmt.Errorf(
			"the run would take up to %d bytes of the state service's %d: fewer steps or shorter fields are needed",
			size,
			k.limits.ValueBytes,
		)
	}
	d := newDraft(&run{id: q.ID, record: record, plan: q.Plan}, nowMs)
	d.mustCommit = true
	advanceSteps(q.Plan, d.steps, nowMs)
	k.submit(d, cluster)
	return d.finish(), nil
}
