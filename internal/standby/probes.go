package standby

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ProbePrefix is that of the keys by which members are called.
const ProbePrefix = "call/"

// Probe is the value of such a key.
type Probe struct {
	Incarnation uint64 `json:"inc"` // incarnation that is called
	By          string `json:"by"`
	// WaitMs is how long it may stand unanswered.
	WaitMs int64 `json:"wait_ms"`
}

// DecodeProbe reads a call; false if it is none.
func DecodeProbe(v json.RawMessage) (Probe, bool) {
	var c Probe
	ok := json.Unmarshal(v, &c) == nil && c.Incarnation != 0 && c.WaitMs > 0
	return c, ok
}

// probeOrder tells when it is this controller's turn to act on a suspicion: the leader's
// first; after a suspected leader the others' in the order in which they follow it. It
// is -1 while it is not its turn at all. follows is its place among those.
func (s *Standby) probeOrder(x ClusterStatus) (priority, follows int) {
	follows = slices.Index(Successors(x, s.suspected), x.Name)
	switch {
	case x.Leader == x.Name:
		return 0, -1
	case s.suspected(x.Leader):
		return follows, follows
	}
	return -1, follows
}

// delay is how long a controller leaves the first go to those before it. One that is
// behind itself had better not be the one.
func (x ClusterStatus) delay(priority int) time.Duration {
	return time.Duration(priority)*tuning.ProbeStagger + min(x.Lag, tuning.ProbeStagger)
}

// probesDue is the members that this controller is to call now. The leader's call comes
// from its followers, everybody else's from the leader.
func (s *Standby) probesDue(x ClusterStatus, priority int) Action {
	ended := 0
	for _, m := range x.Members {
		if p := s.suspects[m.Name]; p != nil && !p.connectionEndedAt.IsZero() {
			ended++
		}
	}
	act := Action{Kind: ActionProbe, Wait: tuning.ProbeTimeout}
	if ended > 1 {
		// Several at once: more likely it is the way to them, so they are given time.
		act.Wait = tuning.ProbeTimeoutMany
	}
	for _, m := range x.Members {
		p := s.suspects[m.Name]
		_, called := x.Probes[m.Name]
		mine := x.Leader == x.Name || m.Name == x.Leader
		if m.Name == x.Name || !m.AnswersProbes || p == nil || p.connectionEndedAt.IsZero() || called || !mine {
			continue
		}
		if x.Now.Sub(p.connectionEndedAt) >= x.delay(priority) && !x.Now.Before(p.notProbedBefore) {
			act.Names = append(act.Names, m.Name)
			if p.pause > 0 {
				act.Wait = tuning.ProbeTimeoutMany // it has answered before
			}
		}
	}
	return act
}

// unanswered is the members whose calls have stood for too long.
func (s *Standby) unanswered(x ClusterStatus, priority int) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(x.Probes)) {
		c := x.Probes[name]
		p := s.suspects[name]
		mine := x.Leader == x.Name || name == x.Leader
		if name == x.Name || p == nil || p.probeObservedAt.IsZero() || p.incarnation != c.Incarnation || !mine {
			continue
		}
		if x.Now.Sub(p.probeObservedAt) >= time.Duration(c.WaitMs)*time.Millisecond+x.delay(priority) {
			out = append(out, name)
		}
	}
	return out
}
