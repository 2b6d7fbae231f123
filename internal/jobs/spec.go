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
func (s *Spec) AllowsMachineType(build string) bool {
	return len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, build)
}

// Allows tells whether a kind of machine in a zone is allowed.
func (s *Spec) Allows(build, zone string, spot bool) bool {
	return s.AllowsMachineType(build) && (s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
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

func (f FieldError) Error() string { return f.Field + ": " + f.Reason }

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
	var r raw
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, []FieldError{{"body", err.Error()}}
	}
	s := &Spec{}
	p := parser{}
	s.ID = p.text("uid", r.ID)
	if len(p.faults) == 0 && !ValidID(s.ID) {
		p.fail("uid", "must look like wk-000412")
	}
	s.Class = p.text("jobclass", r.Class)
	s.Team = p.text("owner", r.Team)
	s.Kind = p.oneOf("shape", r.Kind, JobArray, Gang, Service)
	s.Priority = p.oneOf("rank", r.Priority, priorities...)
	pieces := p.amount("pieces", r.TaskCount)
	if pieces < 1 || pieces > MaxTasks || pieces != math.Trunc(pieces) {
		p.fail("pieces", "must be a whole number from 1 to 100000")
	}
	s.TaskCount = int(pieces)
	s.Cores = p.amount("cores", r.Cores)
	s.Accelerators = p.amount("accelerators", r.Accelerators)
	s.MemoryGB = p.amount("memory_gb", r.MemoryGB)
	s.Image = p.text("bundle", r.Image)
	s.ImageGB = p.amount("pull_gb", r.ImageGB)
	if r.MachineTypes != nil {
		if len(*r.MachineTypes) > maxMachineTypes {
			p.fail("builds", "has too many entries")
		}
		for i := range *r.MachineTypes {
			s.MachineTypes = append(s.MachineTypes, p.text("builds", &(*r.MachineTypes)[i]))
		}
		if len(*r.MachineTypes) == 0 {
			p.fail("builds", "must not be empty; null allows any")
		}
	}
	if r.Zone != nil {
		s.Zone = p.text("site", r.Zone)
	}
	s.SameZone = p.flag("same_place", r.SameZone)
	s.SpreadZones = p.flag("scatter", r.SpreadZones)
	s.Spot = p.flag("loaner", r.Spot)
	s.ExpectedDurationS = p.amount("expect_s", r.ExpectedDurationS)
	s.CheckpointIntervalS = p.amount("snapshot_s", r.CheckpointIntervalS)
	s.CheckpointTimeS = p.amount("stash_s", r.CheckpointTimeS)
	if r.DeadlineS != nil {
		due := p.amount("due_s", r.DeadlineS)
		s.DeadlineS = &due
	}
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return s, nil
}

// parser keeps the first fault of each field.
type parser struct{ faults []FieldError }

func (p *parser) fail(field, what string) {
	if !slices.ContainsFunc(p.faults, func(f FieldError) bool { return f.Field == field }) {
		p.faults = append(p.faults, FieldError{field, what})
	}
}

func (p *parser) text(field string, v *string) string {
	if v == nil {
		p.fail(field, "is missing")
		return ""
	}
	if *v == "" || len(*v) > maxName {
		p.fail(field, "must have 1 to 200 bytes")
	}
	return *v
}

func (p *parser) oneOf(field string, v *string, allowed ...string) string {
	if v == nil {
		p.fail(field, "is missing")
		return ""
	}
	if !slices.Contains(allowed, *v) {
		p.fail(field, "must be one of "+strings.Join(allowed, ", "))
	}
	return *v
}

func (p *parser) flag(field string, v *bool) bool {
	if v == nil {
		p.fail(field, "is missing")
		return false
	}
	return *v
}

// amount reads a decimal.
func (p *parser) amount(field string, v *float64) float64 {
	if v == nil {
		p.fail(field, "is missing")
		return 0
	}
	if *v < 0 || *v > maxAmount || math.IsNaN(*v) {
		p.fail(field, "is out of range")
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
func (b *MachineType) Capacity() sharding.Resources {
	return sharding.Resources{Cores: b.Cores, Accelerators: b.Accelerators, MemoryGB: b.MemoryGB}
}

// CanEverRun explains why a job can never run, or returns "".
func CanEverRun(s *Spec, tree *quota.Tree, builds map[string]*MachineType) string {
	if !tree.Knows(s.Team) {
		return "unknown team"
	}
	fits := false
	for _, b := range builds {
		if s.AllowsMachineType(b.Name) && (s.Zone == "" || slices.Contains(b.Zones, s.Zone)) &&
			b.Capacity().Fits(s.Resources()) {
			fits = true
		}
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	n := s.TaskCount
	if s.Kind == JobArray {
		n = 1
	}
	if !tree.Ever(tree.Leaf(s.QuotaKey()), s.Amount(), n) {
		return "needs more than the team's limit"
	}
	return ""
}
