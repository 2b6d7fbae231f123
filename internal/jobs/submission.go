package jobs

import (
	"bytes"
	"encoding/json"
)

// raw is a decoded submission. A nil field was missing or null, which differs from zero. The
// name of this type is part of the error message for a field of the wrong type.
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

// ParseSpec decodes and validates a submission. The error is a FieldError, the first one if
// there are several.
func ParseSpec(body []byte) (*Spec, error) {
	s, fieldErrors := CheckSpec(body)
	if len(fieldErrors) > 0 {
		return nil, fieldErrors[0]
	}
	return s, nil
}

// FieldError is an invalid field of a submission. Field is the field's name in the protocol.
type FieldError struct{ Field, Reason string }

// Error returns the message that is sent to the user.
func (e FieldError) Error() string { return e.Field + ": " + e.Reason }

// defaultFields holds the default values of the fields that a job in a pipeline or calendar
// file may omit.
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

// FillDefaults sets the fields of a job that a file omits to their default values.
func FillDefaults(fields map[string]any) {
	for f, v := range defaultFields {
		if fields[f] == nil {
			fields[f] = v
		}
	}
}

// Submission returns the body of the request that submits the job. Unlike a record, a request
// has to include fields that are zero.
func (s *Spec) Submission() []byte {
	fields := map[string]any{}
	if err := json.Unmarshal(Encode(s), &fields); err != nil {
		panic(err) // cannot happen: Encode has produced the JSON
	}
	FillDefaults(fields)
	return Encode(fields)
}

// CheckSpec decodes and validates a submission. It returns all errors, in the order of the
// protocol's fields; the specification is nil if there are any. Only fields that may be null
// may be missing: a job without one of the others would not run as its user intended
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
	if len(reader.errors) > 0 {
		return nil, reader.errors
	}
	return spec, nil
}
