package simulation

import (
	"encoding/json"
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
)

// faultRate is the share of messages that a fault affects, until a point in time.
type faultRate struct {
	share float64
	until time.Time
}

// faultOccurs draws whether a fault affects a message. It draws nothing while the fault is not
// active, so that simulations without the fault keep their course.
func (sim *Simulator) faultOccurs(rate faultRate) bool {
	return sim.Now.Before(rate.until) && sim.RNG.Float64() < rate.share
}

// randomDuration returns a random duration of at least from and less than to.
func (sim *Simulator) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(sim.RNG.Int64N(int64(to-from)))
}

// Ranges of the delay of late transactions and of replayed reports. The upper limit for reports is
// a multiple of the agents' lease.
const (
	minLateWriteDelay, maxLateWriteDelay = 2 * time.Second, 12 * time.Second
	minReplayDelay                       = 2 * time.Second
	maxReplayLeases                      = 1.5
)

// LateWrites delays a share of transactions, for the given duration. They get no answer and are
// executed 2 to 12 s later, after newer ones of the same controller, and even if the state service
// refuses that controller by then. One that becomes due while the service is down is lost.
func (sim *Simulator) LateWrites(share float64, duration time.Duration) {
	sim.lateWrites = faultRate{share, sim.Now.Add(duration)}
}

// LateReports replays a share of the agents' reports, for the given duration. A copy arrives at the
// same node 2 s to 1.5 leases later, even if the machine is gone or cut off by then. The answer is
// dropped.
func (sim *Simulator) LateReports(share float64, duration time.Duration) {
	sim.lateReports = faultRate{share, sim.Now.Add(duration)}
}

// LostAnswers drops the answers to a share of transactions, which are executed at once, for the
// given duration.
func (sim *Simulator) LostAnswers(share float64, duration time.Duration) {
	sim.lostAnswers = faultRate{share, sim.Now.Add(duration)}
}

// heldReports holds copies of reports that are replayed to the next leader.
type heldReports struct {
	faultRate
	everywhere bool // deliver to all controllers as soon as the next leader is in the view
	bodies     [][]byte
	leader     members.Member // leader at the start of the recording or at the last delivery
	watching   bool
}

// heldReportsSpread is the interval over which held copies arrive, either in their original order
// or in random order.
const heldReportsSpread = 8 * time.Second

// HoldReports keeps copies of a share of the agents' reports, for the given duration, and replays
// them within 8 s: to the next leader once it has committed a transaction or, with everywhere, to
// all controllers as soon as that leader is in the view. The answers are dropped.
func (sim *Simulator) HoldReports(share float64, everywhere bool, duration time.Duration) {
	h := &sim.heldReports
	h.faultRate, h.everywhere = faultRate{share, sim.Now.Add(duration)}, everywhere
	if h.watching {
		return
	}
	h.watching, h.leader = true, sim.leaderOfView()
	sim.deliverHeldReports()
}

// leaderOfView returns the leader according to the view in the state service.
func (sim *Simulator) leaderOfView() members.Member {
	var v members.View
	if json.Unmarshal(sim.Store.Value(members.ViewKey), &v) != nil {
		return members.Member{}
	}
	return members.Member{Name: v.Leader, Incarnation: v.Incarnation(v.Leader)}
}

// deliverHeldReports polls the view and replays the held copies once there is another leader.
func (sim *Simulator) deliverHeldReports() {
	h := &sim.heldReports
	if !sim.Now.Before(h.until) && len(h.bodies) == 0 {
		h.watching = false
		return
	}
	leader := sim.leaderOfView()
	switch {
	case leader == h.leader || leader.Name == "":
	case !h.everywhere && sim.Store.commits[leader.Name] == sim.Store.commitsAtView[leader.Name]:
		// the new leader has not committed a transaction yet
	default:
		to := []string{leader.Name}
		if h.everywhere {
			to = sim.NodeNames
		}
		inOrder := sim.RNG.IntN(2) == 0
		for i, body := range h.bodies {
			at := heldReportsSpread * time.Duration(i) / time.Duration(len(h.bodies))
			if !inOrder {
				at = sim.randomDuration(0, heldReportsSpread)
			}
			for _, node := range to {
				sim.After(at, func() { sim.replayReport(node, body) })
			}
		}
		h.bodies, h.leader = nil, leader
	}
	sim.After(20*time.Millisecond, sim.deliverHeldReports)
}

// replayReport delivers a copy of a report to a node.
func (sim *Simulator) replayReport(node string, body []byte) {
	sim.ReplayedReports++
	sim.Nodes[node].request("POST", "/agent/beat", body, func(int, []byte) {})
}

// maybeReplay holds or replays a copy of a report if a fault affects it.
func (sim *Simulator) maybeReplay(node string, body []byte) {
	if sim.faultOccurs(sim.heldReports.faultRate) {
		sim.heldReports.bodies = append(sim.heldReports.bodies, body)
	}
	if !sim.faultOccurs(sim.lateReports) {
		return
	}
	longest := time.Duration(maxReplayLeases * sim.LeaseS * float64(time.Second))
	sim.After(sim.randomDuration(minReplayDelay, longest), func() { sim.replayReport(node, body) })
}
