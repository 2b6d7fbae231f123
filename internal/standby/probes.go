package standby

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ProbePrefix is the prefix of the keys in the store that contain probes, one per probed member, by
// name.
const ProbePrefix = "call/"

// Probe is a liveness probe, stored under ProbePrefix. The probed member answers by deleting the
// key.
type Probe struct {
	Incarnation uint64 `json:"inc"` // incarnation of the probed member
	By          string `json:"by"`  // name of the prober
	// WaitMs is how long the probe may stay unanswered, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
}

// timeout returns how long the probe may stay unanswered.
func (p Probe) timeout() time.Duration { return time.Duration(p.WaitMs) * time.Millisecond }

// DecodeProbe decodes a stored probe. It returns false if the value is not a valid probe.
func DecodeProbe(value json.RawMessage) (Probe, bool) {
	var probe Probe
	ok := json.Unmarshal(value, &probe) == nil && probe.Incarnation != 0 && probe.WaitMs > 0
	return probe, ok
}

// probeOrder returns the priority with which this controller acts on suspicions, and its position
// in the order of succession. The leader has priority 0. If the leader is suspected, the others act
// in the order of succession. The priority is -1 if it is not this controller's turn; the
// position is -1 if it has none.
func (s *Standby) probeOrder(status ClusterStatus) (priority, succession int) {
	succession = slices.Index(Successors(status, s.suspected), status.Name)
	switch {
	case status.Leader == status.Name:
		return 0, -1
	case s.suspected(status.Leader):
		return succession, succession
	}
	return -1, succession
}

// probeDelay returns how long a controller waits to let those with a higher priority act first. A
// lagging controller waits longer, since it would make a poor leader.
func (status ClusterStatus) probeDelay(priority int) time.Duration {
	return time.Duration(priority)*tuning.ProbeStagger + min(status.Lag, tuning.ProbeStagger)
}

// probesAndRemovals returns the actions on current suspicions: probes to write, and removals of
// members whose probes timed out. A controller whose watch has not reached its own probes removes
// nobody, because it would become a leader that cannot make decisions; the next controller in line
// sees the probe and acts instead.
func (s *Standby) probesAndRemovals(status ClusterStatus, priority int) []Action {
	var actions []Action
	if probe := s.probesDue(status, priority); probe.Names != nil {
		actions = append(actions, probe)
	}
	if names := s.unansweredProbes(status, priority); names != nil && !status.WatchBehind {
		actions = append(actions, Action{Kind: ActionRemove, Names: names})
	}
	return actions
}

// mayProbe reports whether this controller may probe a member. Followers probe only the leader, the
// leader probes all other members, and no controller probes itself.
func (status ClusterStatus) mayProbe(member string) bool {
	return member != status.Name && (status.Leader == status.Name || member == status.Leader)
}

// probesDue returns the action that writes the probes that are due now, without names if there are
// none.
func (s *Standby) probesDue(status ClusterStatus, priority int) Action {
	action := Action{Kind: ActionProbe, Wait: tuning.ProbeTimeout}
	if s.endedConnections(status) > 1 {
		// If several connections ended, the cause is more likely the network: allow more time.
		action.Wait = tuning.ProbeTimeoutMany
	}
	for _, member := range status.Members {
		if !s.probeDue(status, member, priority) {
			continue
		}
		action.Names = append(action.Names, member.Name)
		if s.suspects[member.Name].pause > 0 {
			action.Wait = tuning.ProbeTimeoutMany // this member has answered a probe recently
		}
	}
	return action
}

// endedConnections returns the number of members whose connections have ended.
func (s *Standby) endedConnections(status ClusterStatus) int {
	ended := 0
	for _, member := range status.Members {
		if entry := s.suspects[member.Name]; entry != nil && !entry.connectionEndedAt.IsZero() {
			ended++
		}
	}
	return ended
}

// probeDue reports whether this controller must probe a member now.
func (s *Standby) probeDue(status ClusterStatus, member Member, priority int) bool {
	if _, probed := status.Probes[member.Name]; probed || !member.AnswersProbes || !status.mayProbe(member.Name) {
		return false
	}
	entry := s.suspects[member.Name]
	if entry == nil || entry.connectionEndedAt.IsZero() || status.Now.Before(entry.nextProbeAt) {
		return false
	}
	return status.Now.Sub(entry.connectionEndedAt) >= status.probeDelay(priority)
}

// unansweredProbes returns the members whose probes have timed out.
func (s *Standby) unansweredProbes(status ClusterStatus, priority int) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(status.Probes)) {
		probe := status.Probes[name]
		entry := s.suspects[name]
		if !status.mayProbe(name) || entry == nil || entry.probeObservedAt.IsZero() ||
			entry.incarnation != probe.Incarnation {
			continue
		}
		if status.Now.Sub(entry.probeObservedAt) >= probe.timeout()+status.probeDelay(priority) {
			out = append(out, name)
		}
	}
	return out
}
