package simulation

import (
	"encoding/json"
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
)

// chance is a trouble that meets a share of what happens until some time.
type faultRate struct {
	share float64
	until time.Time
}

// happens draws whether the trouble meets this one. Nothing is drawn while there is no
// such fault: simulations without it keep their course.
func (sim *Simulator) faultOccurs(d faultRate) bool {
	return sim.Now.Before(d.until) && sim.RNG.Float64() < d.share
}

// randomBetween draws a time from one to another.
func (sim *Simulator) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(sim.RNG.Int64N(int64(to-from)))
}

// How late a transaction without an answer is carried out, and the soonest that a copy
// of a report arrives; the latest is so many leases later.
const (
	lateWriteFrom, lateWriteTo = 2 * time.Second, 12 * time.Second
	lateReportFrom             = 2 * time.Second
	lateReportLeases           = 1.5
)

// LateWrites has, for so long, that share of transactions get no answer; they are
// carried out 2 to 12 s later, after newer ones of the same controller, and also when
// the state service has come to refuse that controller meanwhile. One that comes while
// the service is down is lost.
func (sim *Simulator) LateWrites(share float64, duration time.Duration) {
	sim.lateWrites = faultRate{share, sim.Now.Add(duration)}
}

// LateReports has, for so long, a copy of that share of the agents' reports arrive again
// at the node that they were sent to, 2 s to 1.5 leases later, though the machine may be
// gone or cut off by then. Nobody hears the answer.
func (sim *Simulator) LateReports(share float64, duration time.Duration) {
	sim.lateReports = faultRate{share, sim.Now.Add(duration)}
}

// LostAnswers has, for so long, that share of transactions be carried out at once and get
// no answer.
func (sim *Simulator) LostAnswers(share float64, duration time.Duration) {
	sim.lostAnswers = faultRate{share, sim.Now.Add(duration)}
}

// heldReports are copies of reports that are kept for the next leader.
type heldReports struct {
	faultRate
	everywhere bool // all controllers get them, just as it begins
	bodies     [][]byte
	leader     members.Member // when the copies were begun to be kept
	watching   bool
}

// heldReportsWithin is within how long kept copies arrive, in the order in which they were
// sent or in any order.
const heldReportsSpread = 8 * time.Second

// HoldReports has, for so long, a copy of that share of the agents' reports be kept for
// the next leader: it arrives there once that has acted, or, everywhere, at each
// controller just as that leader begins, all within 8 s. Nobody hears the answers.
func (sim *Simulator) HoldReports(share float64, everywhere bool, duration time.Duration) {
	h := &sim.heldReports
	h.faultRate, h.everywhere = faultRate{share, sim.Now.Add(duration)}, everywhere
	if h.watching {
		return
	}
	h.watching, h.leader = true, sim.leaderOfView()
	sim.deliverHeldReports()
}

// viewLeader is who leads by the view in the state service.
func (sim *Simulator) leaderOfView() members.Member {
	var v members.View
	if json.Unmarshal(sim.Store.Value(members.ViewKey), &v) != nil {
		return members.Member{}
	}
	return members.Member{Name: v.Leader, Incarnation: v.Incarnation(v.Leader)}
}

// deliverHeldReports delivers the copies that are kept once there is another leader.
func (sim *Simulator) deliverHeldReports() {
	h := &sim.heldReports
	if !sim.Now.Before(h.until) && len(h.bodies) == 0 {
		h.watching = false
		return
	}
	next := sim.leaderOfView()
	switch {
	case next == h.leader || next.Name == "":
	case !h.everywhere && sim.Store.commits[next.Name] == sim.Store.commitsAtView[next.Name]:
		// it has yet to act
	default:
		to := []string{next.Name}
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
		h.bodies, h.leader = nil, next
	}
	sim.After(20*time.Millisecond, sim.deliverHeldReports)
}

// replayReport has a copy of a report arrive at a node.
func (sim *Simulator) replayReport(node string, body []byte) {
	sim.LateCopies++
	sim.Nodes[node].request("POST", "/agent/beat", body, func(int, []byte) {})
}

// maybeReplay may have a report come again.
func (sim *Simulator) maybeReplay(node string, body []byte) {
	if sim.faultOccurs(sim.heldReports.faultRate) {
		sim.heldReports.bodies = append(sim.heldReports.bodies, body)
	}
	if !sim.faultOccurs(sim.lateReports) {
		return
	}
	longest := time.Duration(lateReportLeases * sim.LeaseS * float64(time.Second))
	sim.After(sim.randomDuration(lateReportFrom, longest), func() { sim.replayReport(node, body) })
}
