package node

import (
	"errors"
	"fmt"
	"github.com/harrierreel/harrierreel/internal/decide"
	"strings"

	"github.com/harrierreel/harrierreel/internal/ending"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/parts"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
	"github.com/harrierreel/harrierreel/internal/wire"
)

// newRuns makes the keeper of runs, nil unless the operators turned them on.
func (n *Node) newRuns() {
	if p := n.set.Operator.Pipelines; p != nil {
		n.runs = pipelines.NewKeeper(pipelines.Limits{
			Runs: p.MostRuns, Steps: p.MostSteps, ValueBytes: n.sliceLimit(), TxnOps: n.set.Cluster.State.TxnOps,
		})
	}
}

// runBudget gives the runs their share of this node's changes.
func (n *Node) runBudget() {
	if n.runs == nil {
		return
	}
	n.runs.OwnersChanged()
	size := n.set.Cluster.Size
	if n.role != members.Outside {
		size = len(n.view.Members)
	}
	n.runs.SetRate(n.Now, n.set.Cluster.State.WriteRPS*tuning.StateBudget*n.set.Operator.Pipelines.ChangesShare/float64(max(size, 1)))
}

// runSees tells the runs that something became known of a job.
func (n *Node) runSees(uid string) {
	if n.runs != nil {
		n.runs.JobChanged(uid)
	}
}

// runsPass moves the runs that this node owns. It comes last: what rules hang on
// has had its share of the changes.
func (n *Node) runsPass() {
	if n.runs == nil || n.role == members.Outside || n.client.Down() || n.fencing() {
		return
	}
	names := n.view.Names()
	owned := func(id string) bool {
		return !n.busy[pipelines.RunPrefix+id] && parts.Owner(id, names) == n.set.NodeName
	}
	room := func(ops int) bool { return n.client.Allows(0, ops) }
	changes, ask := n.runs.Pass(n.Now, n.ms(), owned, room, runWorld{n})
	for _, uid := range ask {
		n.read(uid, func(_ jobs.Final, err error) {
			if errors.Is(err, errNoJob) {
				n.runs.JobMissing(uid)
			} else {
				n.runs.JobChanged(uid)
			}
			n.dirty = true
		})
	}
	var ds []decide.Decision
	for i := range changes {
		ds = append(ds, n.runDecision(&changes[i], nil))
	}
	n.commit(ds)
}

// runDecision is a run's change as a decision: the run's record, its jobs'
// acceptances and their ends are one transaction.
func (n *Node) runDecision(c *pipelines.Change, done func(bool)) decide.Decision {
	d := decide.Decision{Urgent: c.Urgent, Done: func(ok bool) {
		n.runs.Touch(c.ID)
		if done != nil {
			done(ok)
		}
	}}
	if c.Over {
		d.Writes = append(d.Writes, decide.Put(pipelines.RanPrefix+c.ID, c.Record), decide.Remove(pipelines.RunPrefix+c.ID))
	} else {
		d.Writes = append(d.Writes, decide.Put(pipelines.RunPrefix+c.ID, c.Record))
	}
	for i := range c.Submit {
		w, seen := n.acceptance(&c.Submit[i])
		d.Writes, d.Seen = append(d.Writes, w), append(d.Seen, seen)
	}
	for _, uid := range c.Cancel {
		if j := n.Jobs[uid]; j != nil && j.Rec != nil {
			d.Writes = append(d.Writes, ending.Writes(j, jobs.Cancelled, n.ms())...)
		}
	}
	for _, uid := range c.Absent {
		d.Seen = append(d.Seen, jobs.JobPrefix+uid, jobs.FinalPrefix+uid)
	}
	return d
}

// runWorld is what the runs' keeper may ask.
type runWorld struct{ n *Node }

func (w runWorld) Job(uid string) (pipelines.JobView, bool) {
	n := w.n
	j := n.Jobs[uid]
	if j == nil || j.Rec == nil {
		return pipelines.JobView{}, false
	}
	v := pipelines.JobView{State: j.Rec.State, Running: j.On, Done: j.Done, Probing: n.Trust(j, "") == jobs.Probing}
	spec := &j.Rec.Spec
	switch waits := spec.Pieces - j.On - j.Done; {
	case v.Probing:
		v.Why = "its tasks failed on several machines; one is tried at a time"
	case waits <= 0:
	case n.Account.Full(n.Leaf(spec), spec.Amount()) != "":
		v.Why = fmt.Sprintf("%d tasks wait: %s", waits, n.Account.Full(n.Leaf(spec), spec.Amount()))
	default:
		v.Why = fmt.Sprintf("%d tasks wait for room on a machine", waits)
	}
	return v, true
}

func (w runWorld) Final(uid string) (jobs.JobState, bool) {
	f, ok := w.n.finals.Get(uid)
	return f.State, ok
}

func (w runWorld) Judge(spec *jobs.Spec) string {
	return jobs.CanEverRun(spec, w.n.Account.Tree(), w.n.Builds)
}

// pipelinesPath is where users' requests about runs go.
const pipelinesPath = "/pipelines"

func isPipelines(path string) bool {
	return path == pipelinesPath || strings.HasPrefix(path, pipelinesPath+"/")
}

// pipelineRequest takes a user's request about runs.
func (n *Node) pipelineRequest(m *wire.Message, path string, respond func(wire.Reply)) {
	if n.runs == nil {
		respond(wire.Reply{Status: 404, Body: wire.ErrorBody("no such path")})
		return
	}
	if path == pipelinesPath {
		if method(m, "POST", respond) {
			n.acceptRun(m.Body, respond)
		}
		return
	}
	id, verb, _ := strings.Cut(strings.TrimPrefix(path, pipelinesPath+"/"), "/")
	switch {
	case !pipelines.ValidID(id):
		respond(wire.Reply{Status: 404, Body: wire.ErrorBody("no such run")})
	case verb == "" || verb == "explain":
		if method(m, "GET", respond) {
			n.showRun(id, 200, verb != "", "", respond)
		}
	case verb == "abort":
		if method(m, "POST", respond) {
			n.abortRun(id, tuning.AbortTries, respond)
		}
	default:
		respond(wire.Reply{Status: 404, Body: wire.ErrorBody("no such path")})
	}
}

// showRun answers with a run's state as it is after the request came: like
// users' polls, it waits for the mirror to get there. sum, if given, is that of
// the document which the run must have.
func (n *Node) showRun(id string, status int, explain bool, sum string, respond func(wire.Reply)) {
	n.afterEpoch(respond, func() {
		if rec, aside := n.runs.Known(id); rec != nil || aside {
			n.answerRun(id, rec, status, explain, sum, respond)
			return
		}
		n.client.Get(store.User, pipelines.RanPrefix+id, nil, func(it *store.Item, err error) {
			switch {
			case err != nil:
				respond(wire.Refuse("state unavailable"))
			case it == nil:
				respond(wire.Reply{Status: 404, Body: wire.ErrorBody("no such run")})
			default:
				rec, _ := pipelines.Decode(it.Value)
				n.answerRun(id, rec, status, explain, sum, respond)
			}
		})
	})
}

func (n *Node) answerRun(id string, rec *pipelines.Record, status int, explain bool, sum string, respond func(wire.Reply)) {
	if rec != nil && sum != "" && rec.Sum != sum {
		respond(wire.Reply{Status: 409, Body: wire.ErrorBody("another pipeline has this id")})
		return
	}
	if rec != nil {
		if s, ok := n.runs.StatusOf(id, rec, n.ms(), runWorld{n}, explain); ok {
			respond(wire.Reply{Status: status, Body: s.Encode()})
			return
		}
	}
	respond(wire.Refuse("this run's record can't be read by this version"))
}

// able tells whether this node may decide for users.
func (n *Node) able() bool {
	return !n.client.Down() && n.sync.live && n.role != members.Outside && n.certain.Standing == members.Sure
}

// acceptRun accepts a run, with the jobs of its first steps.
func (n *Node) acceptRun(body []byte, respond func(wire.Reply)) {
	q, bad := pipelines.ParseRequest(body)
	if bad != nil {
		respond(wire.Reply{Status: 400, Body: jobs.Encode(bad)})
		return
	}
	if !n.able() || len(n.Builds) == 0 {
		respond(wire.Refuse("not able to accept"))
		return
	}
	sum := pipelines.Sum(q.Doc)
	known := func() { n.showRun(q.ID, 200, false, sum, respond) }
	if rec, aside := n.runs.Known(q.ID); rec != nil || aside {
		known()
		return
	}
	c, err := n.runs.Accept(q, fmt.Sprintf("%016x%016x", n.rng.Uint64(), n.rng.Uint64()), n.ms(), runWorld{n})
	// Only an unknown run is judged: what made it acceptable may have changed since.
	unknown := func(r wire.Reply) {
		n.client.Get(store.User, pipelines.RanPrefix+q.ID, nil, func(it *store.Item, gerr error) {
			switch {
			case gerr != nil:
				respond(wire.Refuse("state unavailable"))
			case it != nil:
				known()
			default:
				respond(r)
			}
		})
	}
	if err != nil {
		unknown(wire.Reply{Status: 413, Body: wire.ErrorBody(err.Error())})
		return
	}
	if faults := q.Plan.Judge(runWorld{n}.Judge); len(faults) > 0 {
		unknown(wire.Reply{Status: 422, Body: jobs.Encode(pipelines.Refusal{Error: "steps that can never run", Faults: faults})})
		return
	}
	if !n.runs.Room(len(q.Plan.Steps)) {
		unknown(wire.Reply{Status: 429, Body: wire.ErrorBody("too many runs are live"), RetryAfter: tuning.RetryAfter})
		return
	}
	d := n.runDecision(c, nil)
	t := store.Txn{Writes: d.Writes}
	for _, k := range append(d.Keys(), d.Seen...) {
		t.If = append(t.If, store.Cond{Key: k})
	}
	t.If = append(t.If, store.Cond{Key: pipelines.RanPrefix + q.ID}, store.Cond{Key: members.ViewKey, Stamp: n.mirror.Stamp(members.ViewKey)})
	n.client.Multi(store.User, t, func(epoch uint64, failed []string, err error) {
		switch {
		case err == nil:
			n.mirror.Commit(t.Writes, epoch)
			rec, _ := n.runs.Known(q.ID)
			n.answerRun(q.ID, rec, 201, false, "", respond)
		case errors.Is(err, store.ErrConflict) && len(failed) > 0 && failed[0] != members.ViewKey:
			known()
		default:
			// Unknown counts as not accepted; a repeat finds out.
			respond(wire.Refuse("try again"))
		}
	})
}

// abortRun cancels a run. What the run's owner changes meanwhile fails or makes
// this fail; then it is tried again from the newer record.
func (n *Node) abortRun(id string, tries int, respond func(wire.Reply)) {
	if !n.able() {
		respond(wire.Refuse("not able to cancel"))
		return
	}
	c := n.runs.CancelRun(id, n.Now, n.ms(), runWorld{n})
	if c == nil { // over, being cancelled, or unknown
		n.showRun(id, 200, false, "", respond)
		return
	}
	n.commit([]decide.Decision{n.runDecision(c, func(ok bool) {
		switch {
		case ok:
			n.showRun(id, 200, false, "", respond)
		case tries > 1 && !n.busy[pipelines.RunPrefix+id]:
			n.abortRun(id, tries-1, respond)
		default:
			respond(wire.Refuse("try again"))
		}
	})})
}
