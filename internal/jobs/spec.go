// Package jobs defines job specifications and their validation, the stored records of jobs
// and tasks, and the state machines of both. It does no I/O and reads no clock.
package jobs

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Kinds of jobs, as named in the protocol.
const (
	JobArray = "sweep"    // tasks run independently of one another
	Gang     = "ensemble" // all tasks run at the same time or none does
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
	Cores               float64  `json:"cores"` // of each task, as are all resources
	Accelerators        float64  `json:"accelerators"`
	MemoryGB            float64  `json:"memory_gb"`
	Image               string   `json:"bundle"`
	ImageGB             float64  `json:"pull_gb"`              // size of the image
	MachineTypes        []string `json:"builds,omitempty"`     // allowed machine types; empty: any
	Zone                string   `json:"site,omitempty"`       // required zone; "": any
	SameZone            bool     `json:"same_place,omitempty"` // all tasks in one zone
	SpreadZones         bool     `json:"scatter,omitempty"`    // at most half of the tasks in one zone
	Spot                bool     `json:"loaner,omitempty"`     // may run on spot instances
	ExpectedDurationS   float64  `json:"expect_s"`             // the user's estimate of a task's run time, in seconds
	CheckpointIntervalS float64  `json:"snapshot_s,omitempty"` // seconds between checkpoints; 0: no checkpoints
	CheckpointTimeS     float64  `json:"stash_s,omitempty"`    // seconds that one checkpoint takes
	DeadlineS           *float64 `json:"due_s,omitempty"`      // seconds after acceptance; nil: no deadline
}

// Limits on the fields of a specification.
const (
	// MaxTasks is the maximum number of tasks of a job, set by the protocol.
	MaxTasks        = 100_000
	maxName         = 200 // bytes; also the limit on keys of the state service
	maxMachineTypes = 64  // in one specification
	maxAmount       = 1e9 // of any numeric field; far above any plausible value
)

// priorities lists the priorities, most urgent first.
var priorities = []string{"prod", "urgent", "standard", "idle"}

// Priorities is the number of priorities.
const Priorities = 4

// IsGang reports whether the job is a gang of several tasks. A gang of one is scheduled like
// any other task.
func (s *Spec) IsGang() bool { return s.Kind == Gang && s.TaskCount > 1 }

// PriorityOrder returns the rank of the job's priority: 0 for the most urgent, Priorities-1 for
// the least urgent, -1 for an unknown one.
func (s *Spec) PriorityOrder() int { return slices.Index(priorities, s.Priority) }

// Resources returns the resources that one task needs.
func (s *Spec) Resources() sharding.Resources {
	return sharding.Resources{Cores: s.Cores, Accelerators: s.Accelerators, MemoryGB: s.MemoryGB}
}

// Amount returns the quota that one task is charged.
func (s *Spec) Amount() quota.Amount {
	return quota.NewAmount(s.Cores, s.Accelerators, s.MemoryGB)
}

// QuotaKey returns the team and class to which the tasks are charged.
func (s *Spec) QuotaKey() quota.Key { return quota.Key{Team: s.Team, Class: s.Class} }

// AllowsMachineType reports whether tasks may run on a machine type.
func (s *Spec) AllowsMachineType(machineType string) bool {
	return len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, machineType)
}

// Allows reports whether tasks may run on a machine of the given type and zone, which is a
// spot instance if spot is set.
func (s *Spec) Allows(machineType, zone string, spot bool) bool {
	return s.AllowsMachineType(machineType) && (s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// MaxPerZone returns the maximum number of the job's tasks in one zone.
func (s *Spec) MaxPerZone() int {
	if s.SpreadZones {
		return (s.TaskCount + 1) / 2
	}
	return s.TaskCount
}

// Seconds converts a number of seconds, the unit of settings and records, to a Duration.
func Seconds(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
