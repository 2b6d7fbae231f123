package jobs

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// MachineType is an entry of the cloud's catalogue of machine types, as the cloud sends it.
type MachineType struct {
	Name         string   `json:"name"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	MemoryGB     float64  `json:"memory_gb"`
	CacheGB      float64  `json:"cache_gb"`      // size of the image cache
	ImageGBPerS  float64  `json:"pull_gb_per_s"` // rate at which images are pulled
	Hourly       float64  `json:"hourly"`        // price per hour
	SpotHourly   float64  `json:"low_price"`     // price per hour of a spot instance
	BootS        float64  `json:"ready_s"`       // seconds from launch until it is ready
	Zones        []string `json:"sites"`         // in which it is available
}

// Capacity returns the total resources of a machine of this type.
func (m *MachineType) Capacity() sharding.Resources {
	return sharding.Resources{Cores: m.Cores, Accelerators: m.Accelerators, MemoryGB: m.MemoryGB}
}

// CanEverRun returns a message for the user that explains why a job can never run, or "" if it
// can. A job array needs quota for one task at a time, gangs and services for all tasks at once.
func CanEverRun(spec *Spec, tree *quota.Tree, machineTypes map[string]*MachineType) string {
	if !tree.HasTeam(spec.Team) {
		return "unknown team"
	}
	if !fitsSomeMachineType(spec, machineTypes) {
		return "a task fits no allowed machine type"
	}
	atOnce := spec.TaskCount
	if spec.Kind == JobArray {
		atOnce = 1
	}
	if !tree.EverAllows(tree.Leaf(spec.QuotaKey()), spec.Amount(), atOnce) {
		return "needs more than the team's limit"
	}
	return ""
}

// fitsSomeMachineType reports whether a task fits an allowed machine type that is available in
// the job's zone.
func fitsSomeMachineType(spec *Spec, machineTypes map[string]*MachineType) bool {
	for _, m := range machineTypes {
		inZone := spec.Zone == "" || slices.Contains(m.Zones, spec.Zone)
		if inZone && spec.AllowsMachineType(m.Name) && m.Capacity().Fits(spec.Resources()) {
			return true
		}
	}
	return false
}
