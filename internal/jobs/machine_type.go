package jobs

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// MachineType is a machine type of the cloud's catalogue, as the cloud sends it.
type MachineType struct {
	Name         string   `json:"name"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	MemoryGB     float64  `json:"memory_gb"`
	CacheGB      float64  `json:"cache_gb"`      // for images
	ImageGBPerS  float64  `json:"pull_gb_per_s"` // at which images are pulled
	Hourly       float64  `json:"hourly"`        // price of an hour
	SpotHourly   float64  `json:"low_price"`     // price of an hour as a spot instance
	BootS        float64  `json:"ready_s"`       // seconds from launch to ready
	Zones        []string `json:"sites"`         // that offer it
}

// Capacity is all that a machine of this type has.
func (m *MachineType) Capacity() sharding.Resources {
	return sharding.Resources{Cores: m.Cores, Accelerators: m.Accelerators, MemoryGB: m.MemoryGB}
}

// CanEverRun explains to the user why a job can never run, or returns "". A job array needs
// room for one task at a time, gangs and services for all of theirs at once.
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

// fitsSomeMachineType tells whether a task fits an allowed machine type that its zone offers.
func fitsSomeMachineType(spec *Spec, machineTypes map[string]*MachineType) bool {
	for _, m := range machineTypes {
		inZone := spec.Zone == "" || slices.Contains(m.Zones, spec.Zone)
		if inZone && spec.AllowsMachineType(m.Name) && m.Capacity().Fits(spec.Resources()) {
			return true
		}
	}
	return false
}
