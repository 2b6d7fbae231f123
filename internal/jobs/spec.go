// Package jobs holds what users submit: the specification and its checks, the
// records of jobs and tasks, and the state machines of both.
package jobs

import (
	"slices"
	"time"

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

// Seconds is a duration of so many of them, as settings and records give it.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
