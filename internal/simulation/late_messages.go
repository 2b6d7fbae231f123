package simulation

import (
	"encoding/json"
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
)

// chance is a trouble that meets a share of what happens until some time.
type chance struct {
	share float64
	until time.Time
}

// happens draws whether the trouble meets this one. Nothing is drawn while there is no
// such fault: simulations without it keep their course.
func (w *Simulator) happens(d chance) bool { return w.Now.Before(d.until) && w.RNG.Float64() < d.share }

// randomBetween draws a time from one to another.
func (w *Simulator) randomBetween(from, to time.Duration) time.Duration {
	return from + time.Duration(w.RNG.Int64N(int64(to-from)))
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
func (w *Simulator) LateWrites(share float64, long time.Duration) {
	w.lateWrites = chance{share, w.Now.Add(long)}
}

// LateReports has, for so long, a copy of that share of the agents' reports arrive again
// at the node that they were sent to, 2 s to 1.5 leases later, though the machine may be
// gone or cut off by then. Nobody hears the answer.
func (w *Simulator) LateReports(share float64, long time.Duration) {
	w.lateReports = chance{share, w.Now.Add(long)}
}

// LostAnswers has, for so long, that share of transactions be carried out at once and get
// no answer.
func (w *Simulator) LostAnswers(share float64, long time.Duration) {
	w.lostAnswers = chance{share, w.Now.Add(long)}
}

// heldReports are copies of reports that are kept for the next leader.
type heldReports struct {
	chance
	everywhere bool // all controllers get them, just as it begins
	bodies     [][]byte
	leader     members.Member // when the copies were begun to be kept
	watching   bool
}

// heldReportsWithin is within how long kept copies arrive, in the order in which they were
// sent or in any order.
const heldReportsWithin = 8 * time.Second

// HoldReports has, for so long, a copy of that share of the agents' reports be kept for
// the next leader: it arrives there once that has acted, or, everywhere, at each
// controller just as that leader begins, all within 8 s. Nobody hears the answers.
func (w *Simulator) HoldReports(share float64, everywhere bool, long time.Duration) {
	h := &w.heldReports
	h.chance, h.everywhere = chance{share, w.Now.Add(long)}, everywhere
	if h.watching {
		return
	}
	h.watching, h.leader = true, w.viewLeader()
	w.deliverHeldReports()
}

// viewLeader is who leads by the view in the state service.
func (w *Simulator) viewLeader() members.Member {
	var v members.View
	if json.Unmarshal(w.Store.Value(members.ViewKey), &v) != nil {
		return members.Member{}
	}
	return members.Member{Name: v.Leader, Incarnation: v.Incarnation(v.Leader)}
}

// deliverHeldReports delivers the copies that are kept once there is another leader.
func (w *Simulator) deliverHeldReports() {
	h := &w.heldReports
	if !w.Now.Before(h.until) && len(h.bodies) == 0 {
		h.watching = false
		return
	}
	next := w.viewLeader()
	switch {
	case next == h.leader || next.Name == "":
	case !h.everywhere && w.Store.commits[next.Name] == w.Store.commitsAtView[next.Name]:
		// it has yet to act
	default:
		to := []string{next.Name}
		if h.everywhere {
			to = w.NodeNames
		}
		inOrder := w.RNG.IntN(2) == 0
		for i, body := range h.bodies {
			at := heldReportsWithin * time.Duration(i) / time.Duration(len(h.bodies))
			if !inOrder {
				at = w.randomBetween(0, heldReportsWithin)
			}
			for _, node := range to {
				w.After(at, func() { w.replayReport(node, body) })
			}
		}
		h.bodies, h.leader = nil, next
	}
	w.After(20*time.Millisecond, w.deliverHeldReports)
}

// replayReport has a copy of a report arrive at a node.
func (w *Simulator) replayReport(node string, body []byte) {
	w.LateCopies++
	w.Nodes[node].request("POST", "/agent/beat", body, func(int, []byte) {})
}

// maybeReplay may have a report come again.
func (w *Simulator) maybeReplay(node string, body []byte) {
	if w.happens(w.heldReports.chance) {
		w.heldReports.bodies = append(w.heldReports.bodies, body)
	}
	if !w.happens(w.lateReports) {
		return
	}
	longest := time.Duration(lateReportLeases * w.LeaseS * float64(time.Second))
	w.After(w.randomBetween(lateReportFrom, longest), func() { w.replayReport(node, body) })
}
