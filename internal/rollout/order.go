package rollout

import (
	"cmp"
	"slices"

	"github.com/harrierreel/harrierreel/internal/standby"
)

// order returns the order in which to replace the controllers that are not yet replaced. It
// alternates between zones where possible; within a zone, the likeliest successors of the leader
// come first. The leader comes last, so that it hands over to a controller that is already
// replaced.
func order(all []Controller, replaced []string, leader string) []string {
	cluster := standby.ClusterStatus{Leader: leader}
	zones := map[string]string{}
	for _, c := range all {
		zones[c.Name] = c.Zone
		cluster.Members = append(cluster.Members, standby.Member{Name: c.Name, Zone: c.Zone})
	}
	var remaining []string
	for _, name := range standby.Successors(cluster, func(string) bool { return false }) {
		if !slices.Contains(replaced, name) {
			remaining = append(remaining, name)
		}
	}
	lastZone := ""
	if len(replaced) > 0 {
		lastZone = zones[replaced[len(replaced)-1]]
	}
	var ordered []string
	for len(remaining) > 0 {
		next := nextController(remaining, zones, lastZone)
		ordered = append(ordered, remaining[next])
		lastZone = zones[remaining[next]]
		remaining = slices.Delete(remaining, next, next+1)
	}
	if _, known := zones[leader]; known && !slices.Contains(replaced, leader) {
		ordered = append(ordered, leader)
	}
	return ordered
}

// nextController returns the index of the controller to replace next. It prefers zones other
// than lastZone, then the zone with the most controllers left, then the earlier index.
func nextController(remaining []string, zones map[string]string, lastZone string) int {
	counts := map[string]int{}
	for _, name := range remaining {
		counts[zones[name]]++
	}
	best := 0
	for i, name := range remaining {
		if comesBefore(name, remaining[best], zones, counts, lastZone) {
			best = i
		}
	}
	return best
}

// comesBefore reports whether a controller is replaced before another one that precedes it in
// the list of successors.
func comesBefore(name, other string, zones map[string]string, counts map[string]int, lastZone string) bool {
	return cmp.Or(
		compareBool(zones[name] == lastZone, zones[other] == lastZone),
		cmp.Compare(counts[zones[other]], counts[zones[name]]),
	) < 0
}

// compareBool compares two booleans; false is less than true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
