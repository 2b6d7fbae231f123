package gangs

import (
	"cmp"
	"maps"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Picker returns the index of the candidate for the task with the given index, or -1 if none fits.
// zones counts the gang's tasks by zone. A Picker must not retain its arguments.
type Picker func(task int, candidates []sharding.Candidate, zones map[string]int) int

// Fit selects a machine for each task of a gang, in one shard if possible, otherwise across shards.
// machines is nil if the gang does not fit. oneShard reports whether all machines belong to one
// shard. enoughCapacity reports whether some group of machines has enough capacity for all tasks,
// even if pick finds no machine for one of them. Fit does not modify candidates or zones.
func Fit(
	spec *jobs.Spec,
	candidates []sharding.Candidate,
	zones map[string]int,
	pick Picker,
) (machines []string, oneShard, enoughCapacity bool) {
	groups := groupsThatFit(spec, candidates, zones)
	for _, g := range groups {
		var members []sharding.Candidate
		for _, c := range candidates {
			if (g.zone == "" || c.Zone == g.zone) && (g.controller == "" || c.Controller == g.controller) {
				members = append(members, c)
			}
		}
		if machines := fitGroup(spec, members, maps.Clone(zones), pick); machines != nil {
			return machines, g.controller != "", true
		}
	}
	return nil, false, len(groups) > 0
}

// machineGroup is a set of machines that may run a gang together. An empty zone or controller
// stands for any zone or shard.
type machineGroup struct{ zone, controller string }

// groupCapacity counts the tasks of a gang that fit on the machines of a group.
type groupCapacity struct {
	tasks     int
	withImage int // number of those tasks that fit on machines with the image cached
}

// groupsThatFit lists the groups with enough capacity for a gang, in the order in which Fit tries
// them: single shards first, then groups with more tasks on machines that have the image cached,
// then groups with less capacity.
func groupsThatFit(spec *jobs.Spec, candidates []sharding.Candidate, zones map[string]int) []machineGroup {
	capacities := map[machineGroup]*groupCapacity{}
	add := func(g machineGroup, c *sharding.Candidate) {
		total := capacities[g]
		if total == nil {
			total = &groupCapacity{}
			capacities[g] = total
		}
		tasks := c.Free.HowMany(spec.Resources())
		total.tasks += tasks
		if c.HasImage {
			total.withImage += tasks
		}
	}
	for i := range candidates {
		c := &candidates[i]
		if !clusterstate.ZoneAllowed(spec, zones, c.Zone) {
			continue
		}
		zone := ""
		if spec.SameZone {
			zone = c.Zone
		}
		add(machineGroup{zone, c.Controller}, c)
		add(machineGroup{zone, ""}, c)
	}
	var groups []machineGroup
	for g, total := range capacities {
		if total.tasks >= spec.TaskCount {
			groups = append(groups, g)
		}
	}
	slices.SortFunc(groups, func(a, b machineGroup) int {
		if (a.controller != "") != (b.controller != "") {
			if a.controller != "" {
				return -1
			}
			return 1
		}
		capacityA, capacityB := capacities[a], capacities[b]
		return cmp.Or(
			cmp.Compare(min(capacityB.withImage, spec.TaskCount), min(capacityA.withImage, spec.TaskCount)),
			cmp.Compare(capacityA.tasks, capacityB.tasks),
			cmp.Compare(a.zone, b.zone),
			cmp.Compare(a.controller, b.controller),
		)
	})
	return groups
}

// fitGroup selects a machine among the candidates for every task of a gang. It returns nil if one
// of the tasks does not fit. It modifies candidates and zones.
func fitGroup(spec *jobs.Spec, candidates []sharding.Candidate, zones map[string]int, pick Picker) []string {
	machines := make([]string, spec.TaskCount)
	for task := range machines {
		picked := pick(task, candidates, zones)
		if picked < 0 {
			return nil
		}
		c := &candidates[picked]
		machines[task] = c.Machine
		c.Free = c.Free.Sub(spec.Resources())
		c.Load = c.Capacity.Sub(c.Free).ShareOf(c.Capacity)
		zones[c.Zone]++
	}
	return machines
}
