package pipelines

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// step checks one step's job as a submission is checked.
func (c *compiler) step(p *Plan, group int, path string, fields, values map[string]any, faulty map[string]bool) {
	s := Step{Name: p.Groups[group].Name, Group: group, Matrix: values, DoubtS: tuning.StepDoubt.Seconds(), path: path}
	if len(values) > 0 {
		var parts []string
		for _, k := range slices.Sorted(maps.Keys(values)) {
			parts = append(parts, fmt.Sprintf("%s=%v", k, values[k]))
		}
		s.Name += "[" + strings.Join(parts, ",") + "]"
	}
	// Names are what uids are derived from: values that read the same would make
	// two steps with one job.
	if c.names[s.Name] && len(values) > 0 {
		c.fail(under(path, "matrix"), "expected values that read differently, %s comes twice", s.Name)
		return
	}
	c.names[s.Name] = true
	s.AllowFailure, _ = fields["allow_failure"].(bool)
	if v, ok := amount(fields["repeats"]); ok {
		if s.Repeats = int(v); v > tuning.MaxRepeats {
			c.fail(under(path, "repeats"), "expected at most %d", tuning.MaxRepeats)
		}
	}
	for _, f := range []struct {
		name string
		to   *float64
	}{{"timeout_s", &s.TimeoutS}, {"doubt_s", &s.DoubtS}} {
		if v, ok := amount(fields[f.name]); ok {
			if *f.to = v; v < 1 {
				c.fail(under(path, f.name), "expected at least 1 second")
			}
		}
	}
	job := map[string]any{
		"uid":      "wk-0",
		"jobclass": p.Name,
		"owner":    p.Owner,
		"shape":    jobs.JobArray,
		"rank":     "standard",
		"pieces":   1,
	}
	for k := range jobFields {
		if v, ok := fields[k]; ok {
			job[k] = v
		}
	}
	jobs.FillDefaults(job)
	if job["shape"] == jobs.Service {
		c.fail(under(path, "shape"), "expected sweep or ensemble: a standing job never ends, so no step after it could start")
		return
	}
	spec, faults := jobs.CheckSpec(jobs.Encode(job))
	for _, f := range faults {
		// What is wrong with the pipeline's name or owner, or with the field's
		// kind, was told already.
		if job[f.Field] != "" && !faulty[f.Field] {
			c.fail(under(path, f.Field), "%s", f.Reason)
		}
	}
	if spec == nil {
		return
	}
	spec.ID = ""
	s.Spec = *spec
	p.Groups[group].Steps = append(p.Groups[group].Steps, len(p.Steps))
	p.Steps = append(p.Steps, s)
}
