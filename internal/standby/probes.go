package standby

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ProbePrefix is the prefix of the store's keys, one a member by its name, in which a member is
// probed.
const ProbePrefix = "call/"

// Probe is a liveness probe: the value of a key under ProbePrefix. The probed member removes the
// key.
type Probe struct {
	Incarnation uint64 `json:"inc"` // the incarnation that is probed
	By          string `json:"by"`  // the prober's name
	// WaitMs is how long it may stand unanswered, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
}

// timeout returns how long the probe may stand unanswered.
func (p Probe) timeout() time.Duration { return time.Duration(p.WaitMs) * time.Millisecond }

// DecodeProbe reads a stored probe; false if it is none.
func DecodeProbe(value json.RawMessage) (Probe, bool) {
	var probe Probe
	ok := json.Unmarshal(value, &probe) == nil && probe.Incarnation != 0 && probe.WaitMs > 0
	return probe, ok
}

// probeOrder returns when it is this controller's turn to act on a suspicion: the leader comes
// first; after a suspected leader come the others in the order of succession. The priority is -1
// while it is not its turn at all. succession is its place among the successors, -1 if it has none.
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

// probeDelay returns how long a controller leaves the first go to those before it. One that is
// behind itself had better not be the one to lead.
func (status ClusterStatus) probeDelay(priority int) time.Duration {
	return time.Duration(priority)*tuning.ProbeStagger + min(status.Lag, tuning.ProbeStagger)
}

// probesAndRemovals returns the actions by which this controller acts on suspicions: it probes, and
// removes those whose probes are unanswered. A controller that is behind its own probe removes
// nobody, as it would be a leader that can't decide: those after it see the probe and follow
// instead.
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

// probes reports whether a member is this controller's to probe: the leader is probed by its
// followers, everybody else by the leader, and nobody by itself.
func (status ClusterStatus) probes(member string) bool {
	return member != status.Name && (status.Leader == status.Name || member == status.Leader)
}

// probesDue returns the probes that this controller has to write now.
func (s *Standby) probesDue(status ClusterStatus, priority int) Action {
	action := Action{Kind: ActionProbe, Wait: tuning.ProbeTimeout}
	if s.endedConnections(status) > 1 {
		// Several at once: more likely it is the network's fault, so they are given time.
		action.Wait = tuning.ProbeTimeoutMany
	}
	for _, member := range status.Members {
		if !s.probeDue(status, member, priority) {
			continue
		}
		action.Names = append(action.Names, member.Name)
		if s.suspects[member.Name].pause > 0 {
			action.Wait = tuning.ProbeTimeoutMany // it has answered before
		}
	}
	return action
}

// endedConnections counts the members whose connections have ended.
func (s *Standby) endedConnections(status ClusterStatus) int {
	ended := 0
	for _, member := range status.Members {
		if p := s.suspects[member.Name]; p != nil && !p.connectionEndedAt.IsZero() {
			ended++
		}
	}
	return ended
}

// probeDue reports whether this controller has to probe a member now.
func (s *Standby) probeDue(status ClusterStatus, member Member, priority int) bool {
	if _, probed := status.Probes[member.Name]; probed || !member.AnswersProbes || !status.probes(member.Name) {
		return false
	}
	p := s.suspects[member.Name]
	if p == nil || p.connectionEndedAt.IsZero() || status.Now.Before(p.notProbedBefore) {
		return false
	}
	return status.Now.Sub(p.connectionEndedAt) >= status.probeDelay(priority)
}

// unansweredProbes lists the members whose probes have stood for too long.
func (s *Standby) unansweredProbes(status ClusterStatus, priority int) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(status.Probes)) {
		probe := status.Probes[name]
		p := s.suspects[name]
		if !status.probes(name) || p == nil || p.probeObservedAt.IsZero() || p.incarnation != probe.Incarnation {
			continue
		}
		if status.Now.Sub(p.probeObservedAt) >= probe.timeout()+status.probeDelay(priority) {
			out = append(out, name)
		}
	}
	return out
}
