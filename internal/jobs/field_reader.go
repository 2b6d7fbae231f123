package jobs

import (
	"math"
	"slices"
	"strings"
)

// fieldReader keeps the first fault of each field.
type fieldReader struct{ faults []FieldError }

func (r *fieldReader) fail(field, what string) {
	if !slices.ContainsFunc(r.faults, func(f FieldError) bool { return f.Field == field }) {
		r.faults = append(r.faults, FieldError{field, what})
	}
}

func (r *fieldReader) text(field string, v *string) string {
	if v == nil {
		r.fail(field, "is missing")
		return ""
	}
	if *v == "" || len(*v) > maxName {
		r.fail(field, "must have 1 to 200 bytes")
	}
	return *v
}

func (r *fieldReader) oneOf(field string, v *string, allowed ...string) string {
	if v == nil {
		r.fail(field, "is missing")
		return ""
	}
	if !slices.Contains(allowed, *v) {
		r.fail(field, "must be one of "+strings.Join(allowed, ", "))
	}
	return *v
}

func (r *fieldReader) flag(field string, v *bool) bool {
	if v == nil {
		r.fail(field, "is missing")
		return false
	}
	return *v
}

// amount reads a decimal.
func (r *fieldReader) amount(field string, v *float64) float64 {
	if v == nil {
		r.fail(field, "is missing")
		return 0
	}
	if *v < 0 || *v > maxAmount || math.IsNaN(*v) {
		r.fail(field, "is out of range")
	}
	return *v
}
