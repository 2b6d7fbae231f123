package jobs

import (
	"bytes"
	"encoding/json"
)

// raw is a submission as received: a nil field was absent or null, which differs from
// zero. Its name is part of the answers that name a field of a wrong type.
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

// ParseSpec reads a submission. The error is a FieldError, the first one if there are
// several.
func ParseSpec(body []byte) (*Spec, error) {
	s, faults := CheckSpec(body)
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return s, nil
}

// FieldError is what is wrong with one field of a submission. Field is the protocol's name.
type FieldError struct{ Field, Reason string }

// Error is the text that users are answered with.
func (e FieldError) Error() string { return e.Field + ": " + e.Reason }

// defaultFields are the values of the fields that a job in a pipeline or calendar file may
// leave out.
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

// FillDefaults sets the usual values where a file leaves fields of a job out.
func FillDefaults(fields map[string]any) {
	for f, v := range defaultFields {
		if fields[f] == nil {
			fields[f] = v
		}
	}
}

// Submission is the request that submits the job. A record leaves out what is zero; a
// request may not.
func (s *Spec) Submission() []byte {
	fields := map[string]any{}
	if err := json.Unmarshal(Encode(s), &fields); err != nil {
		panic(err) // our own encoding
	}
	FillDefaults(fields)
	return Encode(fields)
}

// CheckSpec reads a submission and names every fault, in the order of the protocol's
// fields; the specification is nil if there is any. Only fields that may be null may be
// missing: a job that lacks another was not meant as it would run
// (docs/incidents/lacking-fields.md).
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
	reader.identity(spec, &fields)
	reader.resources(spec, &fields)
	reader.placement(spec, &fields)
	reader.timing(spec, &fields)
	if len(reader.faults) > 0 {
		return nil, reader.faults
	}
	return spec, nil
}
