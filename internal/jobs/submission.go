package jobs

import (
	"bytes"
	"encoding/json"
	"math"
)

// raw tells absent fields from zero ones.
type raw struct {
	ID                  *string   `json:"uid"`
	Class               *string   `json:"jobclass"`
	Team                *string   `json:"owner"`
	Kind                *string   `json:"shape"`
	Priority            *string   `json:"rank"`
	TaskCount           *float64  `json:"pieces"`
	Cores               *float64  `json:"cores"`
	Accelerators        *float64  `json:"accelerators"`
	MemoryGB            *float64  `json:"memory_gb"`
	Image               *string   `json:"bundle"`
	ImageGB             *float64  `json:"pull_gb"`
	MachineTypes        *[]string `json:"builds"`
	Zone                *string   `json:"site"`
	SameZone            *bool     `json:"same_place"`
	SpreadZones         *bool     `json:"scatter"`
	Spot                *bool     `json:"loaner"`
	ExpectedDurationS   *float64  `json:"expect_s"`
	CheckpointIntervalS *float64  `json:"snapshot_s"`
	CheckpointTimeS     *float64  `json:"stash_s"`
	DeadlineS           *float64  `json:"due_s"`
}

// ParseSpec reads a submission. The error says which field is wrong, the first
// one if there are several.
func ParseSpec(body []byte) (*Spec, error) {
	s, faults := CheckSpec(body)
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return s, nil
}

// FieldError is what is wrong with one field of a submission.
type FieldError struct{ Field, Reason string }

func (e FieldError) Error() string { return e.Field + ": " + e.Reason }

// defaultFields are the values of the fields that a file of ours may leave out.
var defaultFields = map[string]any{
	"accelerators": 0,
	"pull_gb":      0,
	"expect_s":     0,
	"snapshot_s":   0,
	"stash_s":      0,
	"same_place":   false,
	"scatter":      false,
	"loaner":       false,
}

// FillDefaults puts the usual values where a file leaves fields of a job out.
func FillDefaults(fields map[string]any) {
	for f, v := range defaultFields {
		if fields[f] == nil {
			fields[f] = v
		}
	}
}

// Submission is the request that hands a job in. A record leaves out what is zero; a
// request may not.
func (s *Spec) Submission() []byte {
	fields := map[string]any{}
	if err := json.Unmarshal(Encode(s), &fields); err != nil {
		panic(err) // our own encoding
	}
	FillDefaults(fields)
	return Encode(fields)
}

// CheckSpec reads a submission and names every fault; the specification is nil
// if there is any. Only fields that may be null may be missing: a job that lacks
// another was not meant as it would run (docs/incidents/lacking-fields.md).
func CheckSpec(body []byte) (*Spec, []FieldError) {
	trimmed := bytes.TrimLeft(body, " \t\r\n")
	if len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, []FieldError{{"body", "is not a JSON object"}}
	}
	var fields raw
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, []FieldError{{"body", err.Error()}}
	}
	spec := &Spec{}
	reader := fieldReader{}
	spec.ID = reader.text("uid", fields.ID)
	if len(reader.faults) == 0 && !ValidID(spec.ID) {
		reader.fail("uid", "must look like wk-000412")
	}
	spec.Class = reader.text("jobclass", fields.Class)
	spec.Team = reader.text("owner", fields.Team)
	spec.Kind = reader.oneOf("shape", fields.Kind, JobArray, Gang, Service)
	spec.Priority = reader.oneOf("rank", fields.Priority, priorities...)
	taskCount := reader.amount("pieces", fields.TaskCount)
	if taskCount < 1 || taskCount > MaxTasks || taskCount != math.Trunc(taskCount) {
		reader.fail("pieces", "must be a whole number from 1 to 100000")
	}
	spec.TaskCount = int(taskCount)
	spec.Cores = reader.amount("cores", fields.Cores)
	spec.Accelerators = reader.amount("accelerators", fields.Accelerators)
	spec.MemoryGB = reader.amount("memory_gb", fields.MemoryGB)
	spec.Image = reader.text("bundle", fields.Image)
	spec.ImageGB = reader.amount("pull_gb", fields.ImageGB)
	if fields.MachineTypes != nil {
		if len(*fields.MachineTypes) > maxMachineTypes {
			reader.fail("builds", "has too many entries")
		}
		for i := range *fields.MachineTypes {
			spec.MachineTypes = append(spec.MachineTypes, reader.text("builds", &(*fields.MachineTypes)[i]))
		}
		if len(*fields.MachineTypes) == 0 {
			reader.fail("builds", "must not be empty; null allows any")
		}
	}
	if fields.Zone != nil {
		spec.Zone = reader.text("site", fields.Zone)
	}
	spec.SameZone = reader.flag("same_place", fields.SameZone)
	spec.SpreadZones = reader.flag("scatter", fields.SpreadZones)
	spec.Spot = reader.flag("loaner", fields.Spot)
	spec.ExpectedDurationS = reader.amount("expect_s", fields.ExpectedDurationS)
	spec.CheckpointIntervalS = reader.amount("snapshot_s", fields.CheckpointIntervalS)
	spec.CheckpointTimeS = reader.amount("stash_s", fields.CheckpointTimeS)
	if fields.DeadlineS != nil {
		deadline := reader.amount("due_s", fields.DeadlineS)
		spec.DeadlineS = &deadline
	}
	if len(reader.faults) > 0 {
		return nil, reader.faults
	}
	return spec, nil
}
