package standby

import (
	"cmp"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Successors orders the members by who should lead next: those that nobody suspects, first those
// of other zones than the leader's, then by name in turn after the leader's, so that not the same
// one succeeds every leader. No controller suspects itself.
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

// falseFirst puts false before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// handOverTo returns the member that this controller, as a leader that is behind, hands the lead
// to, "" if it does not. It is behind if its loop or its watch has lagged for some time: what it
// decides comes late and conflicts.
func (s *Standby) handOverTo(status ClusterStatus) string {
	if status.Leader != status.Name || status.Lag < tuning.UnfitLag {
		s.laggingSince = time.Time{}
		return ""
	}
	if s.laggingSince.IsZero() {
		s.laggingSince = status.Now
	}
	pausing := !s.handedOverAt.IsZero() && status.Now.Sub(s.handedOverAt) < s.handOverPause
	if status.Now.Sub(s.laggingSince) < tuning.UnfitFor || pausing {
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
