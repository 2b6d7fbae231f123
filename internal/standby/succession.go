package standby

import (
	"cmp"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Successors returns the members in the order in which they should succeed the leader. Suspected
// members are left out, but a controller never suspects itself. Members in other zones than the
// leader's come first; within each group the order is by name, starting after the leader's, so that
// different leaders have different successors.
func Successors(status ClusterStatus, suspected func(string) bool) []string {
	leaderZone := ""
	for _, member := range status.Members {
		if member.Name == status.Leader {
			leaderZone = member.Zone
		}
	}
	var successors []Member
	for _, member := range status.Members {
		if member.Name != status.Leader && (member.Name == status.Name || !suspected(member.Name)) {
			successors = append(successors, member)
		}
	}
	slices.SortFunc(successors, func(a, b Member) int {
		return cmp.Or(
			falseFirst(a.Zone == leaderZone, b.Zone == leaderZone),
			falseFirst(a.Name < status.Leader, b.Name < status.Leader),
			cmp.Compare(a.Name, b.Name),
		)
	})
	names := make([]string, len(successors))
	for i, member := range successors {
		names[i] = member.Name
	}
	return names
}

// falseFirst is a comparison function that orders false before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// handOverTo returns the member to which this controller, as a lagging leader, should hand over
// leadership, "" if it should not. A leader is lagging if its event loop or its watch has been
// behind for some time: its decisions come late and conflict.
func (s *Standby) handOverTo(status ClusterStatus) string {
	if status.Leader != status.Name || status.Lag < tuning.MaxLeaderLag {
		s.laggingSince = time.Time{}
		return ""
	}
	if s.laggingSince.IsZero() {
		s.laggingSince = status.Now
	}
	pausing := !s.handedOverAt.IsZero() && status.Now.Sub(s.handedOverAt) < s.handOverPause
	if status.Now.Sub(s.laggingSince) < tuning.LeaderLagFor || pausing {
		return ""
	}
	successors := Successors(status, s.suspected)
	if len(successors) == 0 || s.suspected(successors[0]) {
		return ""
	}
	s.laggingSince, s.handedOverAt = time.Time{}, status.Now
	s.handOverPause = min(max(2*s.handOverPause, tuning.HandOverPause), tuning.MaxHandOverPause)
	return successors[0]
}
