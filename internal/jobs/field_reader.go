package jobs

import (
	"math"
	"slices"
	"strings"
)

// fieldReader validates the fields of a submission and copies them into a specification. It
// keeps the first error of each field, in the order in which the fields are read.
type fieldReader struct{ errors []FieldError }

// fail records an error unless the field already has one.
func (r *fieldReader) fail(field, reason string) {
	if !slices.ContainsFunc(r.errors, func(f FieldError) bool { return f.Field == field }) {
		r.errors = append(r.errors, FieldError{field, reason})
	}
}

// identity reads the fields that identify and classify the job.
func (r *fieldReader) identity(spec *Spec, fields *raw) {
	spec.ID = r.text("uid", fields.ID)
	if len(r.errors) == 0 && !ValidID(spec.ID) {
		r.fail("uid", "must look like wk-000412")
	}
	spec.Class = r.text("jobclass", fields.Class)
	spec.Team = r.text("owner", fields.Team)
	spec.Kind = r.oneOf("shape", fields.Kind, JobArray, Gang, Service)
	spec.Priority = r.oneOf("rank", fields.Priority, priorities...)
	taskCount := r.amount("pieces", fields.TaskCount)
	if taskCount < 1 || taskCount > MaxTasks || taskCount != math.Trunc(taskCount) {
		r.fail("pieces", "must be a whole number from 1 to 100000")
	}
	spec.TaskCount = int(taskCount)
}

// resources reads the resources and the image that a task needs.
func (r *fieldReader) resources(spec *Spec, fields *raw) {
	spec.Cores = r.amount("cores", fields.Cores)
	spec.Accelerators = r.amount("accelerators", fields.Accelerators)
	spec.MemoryGB = r.amount("memory_gb", fields.MemoryGB)
	spec.Image = r.text("bundle", fields.Image)
	spec.ImageGB = r.amount("pull_gb", fields.ImageGB)
}

// placement reads the constraints on where tasks may run.
func (r *fieldReader) placement(spec *Spec, fields *raw) {
	if fields.MachineTypes != nil {
		spec.MachineTypes = r.machineTypes(*fields.MachineTypes)
	}
	if fields.Zone != nil {
		spec.Zone = r.text("site", fields.Zone)
	}
	spec.SameZone = r.flag("same_place", fields.SameZone)
	spec.SpreadZones = r.flag("scatter", fields.SpreadZones)
	spec.Spot = r.flag("loaner", fields.Spot)
}

// machineTypes reads the machine types that a job allows.
func (r *fieldReader) machineTypes(names []string) []string {
	if len(names) > maxMachineTypes {
		r.fail("builds", "has too many entries")
	}
	var machineTypes []string
	for i := range names {
		machineTypes = append(machineTypes, r.text("builds", &names[i]))
	}
	if len(names) == 0 {
		r.fail("builds", "must not be empty; null allows any")
	}
	return machineTypes
}

// timing reads the durations and the deadline, all in seconds.
func (r *fieldReader) timing(spec *Spec, fields *raw) {
	spec.ExpectedDurationS = r.amount("expect_s", fields.ExpectedDurationS)
	spec.CheckpointIntervalS = r.amount("snapshot_s", fields.CheckpointIntervalS)
	spec.CheckpointTimeS = r.amount("stash_s", fields.CheckpointTimeS)
	if fields.DeadlineS != nil {
		deadline := r.amount("due_s", fields.DeadlineS)
		spec.DeadlineS = &deadline
	}
}

// text reads a string of 1 to maxName bytes.
func (r *fieldReader) text(field string, value *string) string {
	if value == nil {
		r.fail(field, "is missing")
		return ""
	}
	if *value == "" || len(*value) > maxName {
		r.fail(field, "must have 1 to 200 bytes")
	}
	return *value
}

// oneOf reads a string that must be one of the allowed values.
func (r *fieldReader) oneOf(field string, value *string, allowed ...string) string {
	if value == nil {
		r.fail(field, "is missing")
		return ""
	}
	if !slices.Contains(allowed, *value) {
		r.fail(field, "must be one of "+strings.Join(allowed, ", "))
	}
	return *value
}

// flag reads a boolean.
func (r *fieldReader) flag(field string, value *bool) bool {
	if value == nil {
		r.fail(field, "is missing")
		return false
	}
	return *value
}

// amount reads a number from 0 to maxAmount.
func (r *fieldReader) amount(field string, value *float64) float64 {
	if value == nil {
		r.fail(field, "is missing")
		return 0
	}
	if *value < 0 || *value > maxAmount || math.IsNaN(*value) {
		r.fail(field, "is out of range")
	}
	return *value
}
