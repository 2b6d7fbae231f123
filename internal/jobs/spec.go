// Package jobs holds what users submit: the specification and its checks, the
// records of jobs and tasks, and the state machines of both. No IO, no clock.
package jobs

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Kinds of a job, by the protocol's words.
const (
	JobArray = "sweep"    // tasks run independently of each other
	Gang     = "ensemble" // all tasks run at once or none
	Service  = "standing" // tasks run until they are stopped
)

// Spec is a job as submitted and as stored in its Record.
type Spec struct {
	ID                  string   `json:"uid"`
	Class               string   `json:"jobclass"`
	Team                string   `json:"owner"`
	Kind                string   `json:"shape"`
	Priority            string   `json:"rank"`
	TaskCount           int      `json:"pieces"`
	Cores               float64  `json:"cores"` // of each task, as all resources
	Accelerators        float64  `json:"accelerators"`
	MemoryGB            float64  `json:"memory_gb"`
	Image               string   `json:"bundle"`
	ImageGB             float64  `json:"pull_gb"`              // size of the image
	MachineTypes        []string `json:"builds,omitempty"`     // allowed ones; none: any
	Zone                string   `json:"site,omitempty"`       // that it must run in; "": any
	SameZone            bool     `json:"same_place,omitempty"` // all tasks in one zone
	SpreadZones         bool     `json:"scatter,omitempty"`    // at most half of the tasks in one zone
	Spot                bool     `json:"loaner,omitempty"`     // may run on spot instances
	ExpectedDurationS   float64  `json:"expect_s"`             // of a task, in seconds, by the user's estimate
	CheckpointIntervalS float64  `json:"snapshot_s,omitempty"` // seconds between checkpoints; 0: none
	CheckpointTimeS     float64  `json:"stash_s,omitempty"`    // seconds that a checkpoint takes
	DeadlineS           *float64 `json:"due_s,omitempty"`      // seconds after its acceptance; nil: none
}

// Limits on what a specification may hold.
const (
	// MaxTasks is how many tasks a job may have (protocol).
	MaxTasks        = 100_000
	maxName         = 200 // bytes; keys are no longer either
	maxMachineTypes = 64  // in one specification
	maxAmount       = 1e9 // of any number of a specification; far above what can be meant
)

// priorities, most urgent first.
var priorities = []string{"prod", "urgent", "standard", "idle"}

// Priorities is how many priorities there are.
const Priorities = 4

// IsGang tells whether it is a gang of several tasks; a gang of one is scheduled like any task.
func (s *Spec) IsGang() bool { return s.Kind == Gang && s.TaskCount > 1 }

// PriorityOrder is the order of the job's priority: 0 the most urgent, Priorities-1 the least;
// -1 if it is unknown.
func (s *Spec) PriorityOrder() int { return slices.Index(priorities, s.Priority) }

// Resources is what one task takes.
func (s *Spec) Resources() sharding.Resources {
	return sharding.Resources{Cores: s.Cores, Accelerators: s.Accelerators, MemoryGB: s.MemoryGB}
}

// Amount is what one task is charged to its team.
func (s *Spec) Amount() quota.Amount {
	return quota.Of(s.Cores, s.Accelerators, s.MemoryGB)
}

// QuotaKey is the team and class that its tasks are charged to.
func (s *Spec) QuotaKey() quota.Key { return quota.Key{Team: s.Team, Class: s.Class} }

// AllowsMachineType tells whether a machine type is allowed.
func (s *Spec) AllowsMachineType(machineType string) bool {
	return len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, machineType)
}

// Allows tells whether a machine of a type, in a zone, spot or not, is allowed.
func (s *Spec) Allows(machineType, zone string, spot bool) bool {
	return s.AllowsMachineType(machineType) && (s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// MaxPerZone is how many of its tasks one zone may hold.
func (s *Spec) MaxPerZone() int {
	if s.SpreadZones {
		return (s.TaskCount + 1) / 2
	}
	return s.TaskCount
}

// Seconds is the duration of so many seconds, as settings and records give them.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
