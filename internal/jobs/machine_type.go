package jobs

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

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
