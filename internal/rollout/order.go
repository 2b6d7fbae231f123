package rollout

import (
	"cmp"
	"slices"

	"github.com/harrierreel/harrierreel/internal/standby"
)

// order takes the zones in turn, so that two controllers that follow each other are of
// different zones where that is possible; within a zone, a likely successor of the
// leader goes first. The leader goes last, and so hands over to a controller that was
// replaced already.
func order(all []Controller, done []string, leader string) []string {
	cluster := standby.ClusterStatus{Leader: leader}
	zones := map[string]string{}
	for _, c := range all {
		zones[c.Name] = c.Zone
		cluster.Members = append(cluster.Members, standby.Member{Name: c.Name, Zone: c.Zone})
	}
	var left []string
	for _, name := range standby.Successors(cluster, func(string) bool { return false }) {
		if !slices.Contains(done, name) {
			left = append(left, name)
		}
	}
	lastZone := ""
	if len(done) > 0 {
		lastZone = zones[done[len(done)-1]]
	}
	var out []string
	for len(left) > 0 {
		next := nextController(left, zones, lastZone)
		out = append(out, left[next])
		lastZone = zones[left[next]]
		left = slices.Delete(left, next, next+1)
	}
	if _, named := zones[leader]; named && !slices.Contains(done, leader) {
		out = append(out, leader)
	}
	return out
}

// nextController is the index of the controller that goes next: of the zones other
// than the last one's, the one with most controllers left; the first among equals.
func nextController(left []string, zones map[string]string, lastZone string) int {
	counts := map[string]int{}
	for _, name := range left {
		counts[zones[name]]++
	}
	best := 0
	for i, name := range left {
		if comesBefore(name, left[best], zones, counts, lastZone) {
			best = i
		}
	}
	return best
}

// comesBefore tells whether a controller is replaced before another one that precedes
// it in the list of successors.
func comesBefore(name, other string, zones map[string]string, counts map[string]int, lastZone string) bool {
	return cmp.Or(
		compareBool(zones[name] == lastZone, zones[other] == lastZone),
		cmp.Compare(counts[zones[other]], counts[zones[name]]),
	) < 0
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
