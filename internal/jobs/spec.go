// Package jobs holds what users submit: the specification and its checks, the
// records of jobs and tasks, and the state machines of both.
package jobs

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Shapes of a job.
const (
	JobArray = "sweep"
	Gang     = "ensemble"
	Service  = "standing"
)

// Spec is a job as submitted.
type Spec struct {
	ID                  string   `json:"uid"`
	Class               string   `json:"jobclass"`
	Team                string   `json:"owner"`
	Kind                string   `json:"shape"`
	Priority            string   `json:"rank"`
	TaskCount           int      `json:"pieces"`
	Cores               float64  `json:"cores"`
	Accelerators        float64  `json:"accelerators"`
	MemoryGB            float64  `json:"memory_gb"`
	Image               string   `json:"bundle"`
	ImageGB             float64  `json:"pull_gb"`
	MachineTypes        []string `json:"builds,omitempty"`
	Zone                string   `json:"site,omitempty"`
	SameZone            bool     `json:"same_place,omitempty"`
	SpreadZones         bool     `json:"scatter,omitempty"`
	Spot                bool     `json:"loaner,omitempty"`
	ExpectedDurationS   float64  `json:"expect_s"`
	CheckpointIntervalS float64  `json:"snapshot_s,omitempty"`
	CheckpointTimeS     float64  `json:"stash_s,omitempty"`
	DeadlineS           *float64 `json:"due_s,omitempty"`
}

// Limits on what a specification may hold.
const (
	// MaxTasks is the most tasks that a job may have (protocol).
	MaxTasks        = 100_000
	maxName         = 200 // bytes; keys are no longer either
	maxMachineTypes = 64
	maxAmount       = 1e9
)

// priorities, most urgent first.
var priorities = []string{"prod", "urgent", "standard", "idle"}

// Priorities is how many there are.
const Priorities = 4

// IsGang tells whether it is an ensemble of several tasks.
func (s *Spec) IsGang() bool { return s.Kind == Gang && s.TaskCount > 1 }

// PriorityOrder is the place of a rank, 0 the most urgent.
func (s *Spec) PriorityOrder() int { return slices.Index(priorities, s.Priority) }

// Resources is what one task takes.
func (s *Spec) Resources() sharding.Resources {
	return sharding.Resources{Cores: s.Cores, Accelerators: s.Accelerators, MemoryGB: s.MemoryGB}
}

// Amount is what one task counts for its team.
func (s *Spec) Amount() quota.Amount {
	return quota.Of(s.Cores, s.Accelerators, s.MemoryGB)
}

// QuotaKey is what its tasks are charged to.
func (s *Spec) QuotaKey() quota.Key { return quota.Key{Team: s.Team, Class: s.Class} }

// AllowsMachineType tells whether a machine type is allowed.
func (s *Spec) AllowsMachineType(machineType string) bool {
	return len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, machineType)
}

// Allows tells whether a kind of machine in a zone is allowed.
func (s *Spec) Allows(machineType, zone string, spot bool) bool {
	return s.AllowsMachineType(machineType) && (s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// MaxPerZone is the most tasks that one zone may hold.
func (s *Spec) MaxPerZone() int {
	if s.SpreadZones {
		return (s.TaskCount + 1) / 2
	}
	return s.TaskCount
}

// ValidID tells whether an id has the form of job ids.
func ValidID(jobID string) bool {
	digits, ok := strings.CutPrefix(jobID, "wk-")
	if !ok || len(digits) == 0 || len(digits) > 19 {
		return false
	}
	for _, c := range []byte(digits) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

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

// MachineType is a machine type from the catalogue.
type MachineType struct {
	Name         string   `json:"name"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	MemoryGB     float64  `json:"memory_gb"`
	CacheGB      float64  `json:"cache_gb"`
	ImageGBPerS  float64  `json:"pull_gb_per_s"`
	Hourly       float64  `json:"hourly"`
	SpotHourly   float64  `json:"low_price"`
	BootS        float64  `json:"ready_s"`
	Zones        []string `json:"sites"`
}

// Capacity is all that a machine of this type has.
func (m *MachineType) Capacity() sharding.Resources {
	return sharding.Resources{Cores: m.Cores, Accelerators: m.Accelerators, MemoryGB: m.MemoryGB}
}

// CanEverRun explains why a job can never run, or returns "".
func CanEverRun(spec *Spec, tree *quota.Tree, machineTypes map[string]*MachineType) string {
	if !tree.Knows(spec.Team) {
		return "unknown team"
	}
	fits := false
	for _, m := range machineTypes {
		if spec.AllowsMachineType(m.Name) && (spec.Zone == "" || slices.Contains(m.Zones, spec.Zone)) &&
			m.Capacity().Fits(spec.Resources()) {
			fits = true
		}
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	atOnce := spec.TaskCount
	if spec.Kind == JobArray {
		atOnce = 1
	}
	if !tree.Ever(tree.Leaf(spec.QuotaKey()), spec.Amount(), atOnce) {
		return "needs more than the team's limit"
	}
	return ""
}
