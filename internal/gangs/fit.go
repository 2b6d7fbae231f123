package gangs

import (
	"cmp"
	"maps"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Picker returns the index of the candidate for a task, which is given by its index, or -1 if none fits. zones counts
// the gang's tasks by zone. It may not keep what it is given.
type Picker func(task int, candidates []sharding.Candidate, zones map[string]int) int

// Fit finds a machine for each of a gang's tasks, in one shard if one holds it, else across shards. machines is nil
// where the gang does not fit. oneShard tells that all machines are of one shard, enoughCapacity that by count alone
// the gang would fit somewhere. Neither candidates nor zones are changed.
func Fit(
	spec *jobs.Spec,
	candidates []sharding.Candidate,
	zones map[string]int,
	pick Picker,
) (machines []string, oneShard, enoughCapacity bool) {
	groups := groupsOf(spec, candidates, zones)
	for _, g := range groups {
		var members []sharding.Candidate
		for _, c := range candidates {
			if (g.zone == "" || c.Zone == g.zone) && (g.controller == "" || c.Controller == g.controller) {
				members = append(members, c)
			}
		}
		if machines := fitInto(spec, members, maps.Clone(zones), pick); machines != nil {
			return machines, g.controller != "", true
		}
	}
	return nil, false, len(groups) > 0
}

// group is machines that may hold a gang together: of one shard or of all ("" for the controller), in one zone or in
// any ("").
type group struct{ zone, controller string }

// capacity is how many of a gang's tasks a group's machines hold.
type capacity struct {
	tasks    int
	hasImage int // of them on machines that have the image
}

// groupsOf lists the groups that hold a gang, in the order in which they are tried: single shards first, then by how
// many tasks find their image, then the tightest.
func groupsOf(spec *jobs.Spec, candidates []sharding.Candidate, zones map[string]int) []group {
	capacities := map[group]*capacity{}
	add := func(g group, c *sharding.Candidate) {
		total := capacities[g]
		if total == nil {
			total = &capacity{}
			capacities[g] = total
		}
		tasks := c.Free.HowMany(spec.Resources())
		total.tasks += tasks
		if c.HasImage {
			total.hasImage += tasks
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
		add(group{zone, c.Controller}, c)
		add(group{zone, ""}, c)
	}
	var groups []group
	for g, total := range capacities {
		if total.tasks >= spec.TaskCount {
			groups = append(groups, g)
		}
	}
	slices.SortFunc(groups, func(a, b group) int {
		if (a.controller != "") != (b.controller != "") {
			if a.controller != "" {
				return -1
			}
			return 1
		}
		of, other := capacities[a], capacities[b]
		return cmp.Or(
			cmp.Compare(min(other.hasImage, spec.TaskCount), min(of.hasImage, spec.TaskCount)),
			cmp.Compare(of.tasks, other.tasks),
			cmp.Compare(a.zone, b.zone),
			cmp.Compare(a.controller, b.controller),
		)
	})
	return groups
}

// fitInto finds a machine for every task of a gang among the candidates, nil if there is none for one. It changes the
// candidates and the zones' counts as it goes.
func fitInto(spec *jobs.Spec, candidates []sharding.Candidate, zones map[string]int, pick Picker) []string {
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
