package shard

import (
	"encoding/json"
	"slices"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// Heartbeat answers a worker's report.
func (pt *Shard) Heartbeat(body []byte, respond func(http1.Reply)) {
	var r agent.Heartbeat
	if err := json.Unmarshal(body, &r); err != nil || !fleet.ValidName(r.Machine) {
		respond(http1.Reply{Status: 400, Body: http1.ErrorBody("not a report")})
		return
	}
	if !pt.view.MayAnswerAgents() {
		respond(http1.Refuse("not in the view"))
		return
	}
	news := pt.isNewHeartbeat(&r)
	owner := ""
	if m := pt.state.Machines[r.Machine]; m != nil {
		owner = m.Owner
	} else {
		owner = pt.view.OwnerOf(r.Machine)
	}
	if owner != pt.config.Name {
		pt.Reconciling.Redirected(owner)
		if news {
			pt.noteForeignHeartbeat(owner, &r)
		}
		respond(misdirected(owner))
		return
	}
	s := pt.session(r.Machine)
	if s == nil {
		respond(http1.Refuse("too many machines"))
		return
	}
	if r.FencingToken > s.FencingToken() {
		// Another controller holds a later baton: this one is behind, and a
		// 200 would only keep the worker here while its lease runs out.
		s.ObserveToken(r.FencingToken, pt.state.Now)
		respond(misdirected(owner))
		return
	}
	s.LastHeartbeat = pt.state.Now
	if s.Accept(&r, pt.state.Now, pt.placedOn(r.Machine)) {
		pt.toReview[r.Machine] = true
		pt.loop.Wake()
	}
	if !pt.cancellations.MayRenewLeases() {
		// The report counts, its lease does not: what was told to be cancelled and has not
		// come here must end with it.
		pt.cancellations.LeaseWithheld()
		respond(http1.Refuse("not all cancellations are known"))
		return
	}
	orders := []agent.Command{}
	if s.State == agent.Known && !s.CommandPending && r.AgentEpoch == s.AgentEpoch && r.HeartbeatSeq == s.HeartbeatSeq {
		// Only orders that may be repeated go this way; launches are sent to
		// the worker directly, so that there is one place where the answer
		// tells whether they were executed.
		for _, o := range pt.review(s).commands {
			if o.Verb != agent.Launch {
				orders = append(orders, o)
			}
		}
	}
	respond(http1.Reply{Status: 200, Body: jobs.Encode(struct {
		Baton  uint64          `json:"baton"`
		Orders []agent.Command `json:"orders"`
	}{s.FencingToken(), limitCommands(pt.stopsFirst(&r, orders))})})
}

// stopsFirst puts before the orders a stop for each reported task whose job is known to
// be cancelled, also while the machine's reports prove nothing or a command to it is
// under way: each answer that renews a lease carries them.
func (pt *Shard) stopsFirst(r *agent.Heartbeat, orders []agent.Command) []agent.Command {
	stops := cancellation.StopCommands(r.Tasks, pt.cancelled)
	if len(stops) == 0 {
		return orders
	}
	for _, o := range orders {
		if o.Verb != agent.Stop || !slices.ContainsFunc(stops, func(s agent.Command) bool { return s.TaskID == o.TaskID && s.Attempt == o.Attempt }) {
			stops = append(stops, o)
		}
	}
	return stops
}

// cancelled tells whether a job is cancelled, as its record shows or as was told.
func (pt *Shard) cancelled(jobID string) bool {
	j := pt.state.Jobs[jobID]
	return j != nil && j.Record != nil && j.Record.State == jobs.Cancelled || pt.cancellations.Cancelled(jobID)
}

// isNewHeartbeat tells whether a report is newer than all that came here of a known machine. An old one
// that comes late, once the machine has another owner, doesn't tell that it can't reach it.
func (pt *Shard) isNewHeartbeat(r *agent.Heartbeat) bool {
	mark, last := [2]uint64{r.AgentEpoch, r.HeartbeatSeq}, pt.newestHeartbeats[r.Machine]
	if pt.state.Machines[r.Machine] == nil || slices.Compare(mark[:], last[:]) <= 0 {
		return false
	}
	pt.newestHeartbeats[r.Machine] = mark
	return true
}

func misdirected(owner string) http1.Reply {
	if owner == "" {
		return http1.Reply{Status: 421, Body: []byte("{}")}
	}
	return http1.Reply{Status: 421, Body: jobs.Encode(map[string]string{"reports_to": owner})}
}
