package pipelines

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// rawStep is one step as written in the document, with its placeholders replaced.
type rawStep struct {
	path   string
	fields map[string]any
	matrix map[string]any
	faulty map[string]bool // fields whose wrong kind was reported already
}

// step validates one step and adds it to the plan.
func (c *compiler) step(p *Plan, group int, raw rawStep) {
	s := Step{
		Name:   p.Groups[group].Name + matrixSuffix(raw.matrix),
		Group:  group,
		Matrix: raw.matrix,
		DoubtS: tuning.StepFailureTimeout.Seconds(),
		path:   raw.path,
	}
	// Job IDs are derived from step names: two steps with the same name would share a job.
	if c.stepNames[s.Name] && len(raw.matrix) > 0 {
		c.fail(
			fieldPath(raw.path, "matrix"),
			"expected values that read differently, %s comes twice",
			s.Name,
		)
		return
	}
	c.stepNames[s.Name] = true
	s.AllowFailure, _ = raw.fields["allow_failure"].(bool)
	if v, ok := toNumber(raw.fields["repeats"]); ok {
		if s.MaxRetries = int(v); v > tuning.MaxRepeats {
			c.fail(fieldPath(raw.path, "repeats"), "expected at most %d", tuning.MaxRepeats)
		}
	}
	c.seconds(raw, "timeout_s", &s.TimeoutS)
	c.seconds(raw, "doubt_s", &s.DoubtS)
	spec := c.jobSpec(p, raw)
	if spec == nil {
		return
	}
	s.Spec = *spec
	p.Groups[group].Steps = append(p.Groups[group].Steps, len(p.Steps))
	p.Steps = append(p.Steps, s)
}

// matrixSuffix returns the suffix that distinguishes the names of a matrix's steps, as in
// [x=1,y=2].
func matrixSuffix(values map[string]any) string {
	if len(values) == 0 {
		return ""
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, values[name]))
	}
	return "[" + strings.Join(parts, ",") + "]"
}

// seconds reads a duration in seconds into out. Without the field, out keeps its default.
func (c *compiler) seconds(raw rawStep, name string, out *float64) {
	v, ok := toNumber(raw.fields[name])
	if !ok {
		return
	}
	*out = v
	if v < 1 {
		c.fail(fieldPath(raw.path, name), "expected at least 1 second")
	}
}

// jobSpec returns the spec of a step's job, validated like a submitted job but without an ID. It
// returns nil if the job is invalid.
func (c *compiler) jobSpec(p *Plan, raw rawStep) *jobs.Spec {
	job := map[string]any{
		"uid":      "wk-0",
		"jobclass": p.Name,
		"owner":    p.Owner,
		"shape":    jobs.JobArray,
		"rank":     "standard",
		"pieces":   1,
	}
	for name := range jobFields {
		if v, ok := raw.fields[name]; ok {
			job[name] = v
		}
	}
	jobs.FillDefaults(job)
	if job["shape"] == jobs.Service {
		c.fail(
			fieldPath(raw.path, "shape"),
			"expected sweep or ensemble: a standing job never ends, so no step after it could start",
		)
		return nil
	}
	spec, faults := jobs.CheckSpec(jobs.Encode(job))
	for _, f := range faults {
		// An invalid name or owner of the pipeline, and a field of the wrong kind, were
		// reported already.
		if job[f.Field] != "" && !raw.faulty[f.Field] {
			c.fail(fieldPath(raw.path, f.Field), "%s", f.Reason)
		}
	}
	if spec != nil {
		spec.ID = ""
	}
	return spec
}
