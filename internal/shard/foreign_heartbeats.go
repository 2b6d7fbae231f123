package shard

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// foreignHeartbeat is a report of another owner's machine that may be an old one.
type foreignHeartbeat struct {
	owner string
	at    time.Time
}

// noteForeignHeartbeat takes in a report of another owner's machine. It complains if it shows a token of
// this view, and so is from after the owner's first word to the machine, or if the owner
// itself tells that it does not hear the machine. Copies of reports from under an earlier
// view show neither, and where the machine never came they pass for news one after another:
// taken for complaints they had a sound controller left out of the view (meet-next-views,
// docs/incidents/reports-for-next.md).
func (pt *Shard) noteForeignHeartbeat(owner string, r *agent.Heartbeat) {
	_, unresponsive := pt.state.Unresponsive[owner][r.Machine]
	if unresponsive || r.FencingToken/agent.FencingTokenSpan >= pt.view.Epoch() {
		delete(pt.foreignHeartbeats, r.Machine)
		pt.complaints.Complain(owner, r.Machine, true)
		return
	}
	pt.foreignHeartbeats[r.Machine] = foreignHeartbeat{owner, pt.state.Now}
}

// confirmComplaints has visits that were doubted complain after all, once the owner tells that it does
// not hear those machines.
func (pt *Shard) confirmComplaints(owner string) {
	for _, machine := range clusterstate.SortedKeys(pt.foreignHeartbeats) {
		v := pt.foreignHeartbeats[machine]
		_, unresponsive := pt.state.Unresponsive[owner][machine]
		switch {
		case pt.state.Now.Sub(v.at) > tuning.ComplaintGap:
			delete(pt.foreignHeartbeats, machine)
		case v.owner == owner && unresponsive:
			delete(pt.foreignHeartbeats, machine)
			pt.complaints.Complain(owner, machine, true)
		}
	}
}
