package standby

import (
	"cmp"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Successors orders the members by who should lead next: those that nobody suspects,
// of other zones than the leader's first, then by name in turn after the leader's, so
// that not the same one follows every leader.
func Successors(x ClusterStatus, suspected func(string) bool) []string {
	zone := ""
	for _, m := range x.Members {
		if m.Name == x.Leader {
			zone = m.Zone
		}
	}
	var out []Member
	for _, m := range x.Members {
		if m.Name != x.Leader && (m.Name == x.Name || !suspected(m.Name)) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(falseFirst(a.Zone == zone, b.Zone == zone), falseFirst(a.Name < x.Leader, b.Name < x.Leader), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, len(out))
	for i, m := range out {
		names[i] = m.Name
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

// handOverTo is who a leader hands the lead to because it is behind, for some time, with its
// own loop or with the watch: what it decides comes late and conflicts. None if it isn't.
func (s *Standby) handOverTo(x ClusterStatus) string {
	if x.Leader != x.Name || x.Lag < tuning.UnfitLag {
		s.laggingSince = time.Time{}
		return ""
	}
	if s.laggingSince.IsZero() {
		s.laggingSince = x.Now
	}
	to := Successors(x, s.suspected)
	if x.Now.Sub(s.laggingSince) < tuning.UnfitFor || len(to) == 0 || s.suspected(to[0]) || !s.handedOverAt.IsZero() && x.Now.Sub(s.handedOverAt) < s.handOverPause {
		return ""
	}
	s.laggingSince, s.handedOverAt = time.Time{}, x.Now
	s.handOverPause = min(max(2*s.handOverPause, tuning.HandOverPause), tuning.MaxHandOverPause)
	return to[0]
}
