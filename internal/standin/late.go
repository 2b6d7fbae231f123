package standin

import "time"

// drawn is a trouble that meets a share of what happens until some time.
type drawn struct {
	share float64
	until time.Time
}

// meets draws whether the trouble meets this one. Nothing is drawn while there is no
// such trouble: worlds without it keep their course.
func (w *World) meets(d drawn) bool { return w.Now.Before(d.until) && w.RNG.Float64() < d.share }

// between draws a time from one to another.
func (w *World) between(from, to time.Duration) time.Duration {
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
func (w *World) LateWrites(share float64, long time.Duration) {
	w.lateWrites = drawn{share, w.Now.Add(long)}
}

// LateReports has, for so long, a copy of that share of the workers' reports arrive again
// at the node that they were sent to, 2 s to 1.5 leases later, though the machine may be
// gone or cut off by then. Nobody hears the answer.
func (w *World) LateReports(share float64, long time.Duration) {
	w.lateReports = drawn{share, w.Now.Add(long)}
}

// copyLate may have a report come again.
func (w *World) copyLate(node string, body []byte) {
	if !w.meets(w.lateReports) {
		return
	}
	longest := time.Duration(lateReportLeases * w.LeaseS * float64(time.Second))
	w.After(w.between(lateReportFrom, longest), func() {
		w.LateCopies++
		w.Nodes[node].request("POST", "/agent/beat", body, func(int, []byte) {})
	})
}
