package api

import (
	"errors"
	"fmt"
	"strings"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// newRuns makes the keeper of runs, nil unless the operators turned them on.
func (fr *Server) newRuns() {
	if p := fr.Settings.Operator.Pipelines; p != nil {
		fr.runs = pipelines.NewKeeper(pipelines.Limits{
			Runs: p.MaxRuns, Steps: p.MaxSteps, ValueBytes: fr.valueBytes(), TxnOps: fr.Settings.Cluster.State.TxnOps,
		})
	}
}

// RunBudget gives the runs their share of this node's changes.
func (fr *Server) RunBudget() {
	if fr.runs == nil {
		return
	}
	fr.runs.OwnersChanged()
	size := fr.Settings.Cluster.Size
	if !fr.OutsideView() {
		size = len(fr.Members())
	}
	fr.runs.SetRate(
		fr.Now,
		fr.Settings.Cluster.State.WriteRPS*tuning.StateBudget*fr.Settings.Operator.Pipelines.ChangesShare/float64(
			max(size, 1),
		),
	)
}

// RunJobChanged tells the runs that something became known of a job.
func (fr *Server) RunJobChanged(jobID string) {
	if fr.runs != nil {
		fr.runs.JobChanged(jobID)
	}
}

// ReconcileRuns moves the runs that this node owns. It comes last: what rules hang on
// has had its share of the changes.
func (fr *Server) ReconcileRuns() {
	if fr.runs == nil || fr.OutsideView() || fr.Client.Unavailable() || fr.Fencing() {
		return
	}
	names := fr.Members()
	owned := func(id string) bool { return sharding.Owner(id, names) == fr.Settings.NodeName }
	busy := func(id string) bool { return fr.Busy(pipelines.RunPrefix + id) }
	room := func(ops int) bool { return fr.Client.Allows(0, ops) }
	changes, ask := fr.runs.Pass(fr.Now, fr.NowMs(), owned, busy, room, runResources{fr})
	for _, jobID := range ask {
		fr.read(jobID, func(_ jobs.Final, err error) {
			if errors.Is(err, errNoJob) {
				fr.runs.JobMissing(jobID)
			} else {
				fr.runs.JobChanged(jobID)
			}
			fr.Wake()
		})
	}
	var ds []decide.Decision
	for i := range changes {
		ds = append(ds, fr.runDecision(&changes[i], nil))
	}
	fr.Commit(ds)
}

// runDecision is a run's change as a decision: the run's record, its jobs'
// acceptances and their ends are one transaction.
func (fr *Server) runDecision(c *pipelines.Change, done func(bool)) decide.Decision {
	d := decide.Decision{Urgent: c.Urgent, OnSettled: func(ok bool) {
		fr.runs.Touch(c.ID)
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
		w, seen := fr.acceptance(&c.Submit[i])
		d.Writes, d.ReadSet = append(d.Writes, w), append(d.ReadSet, seen)
	}
	for _, jobID := range c.Cancel {
		if j := fr.Jobs[jobID]; j != nil && j.Record != nil {
			d.Writes = append(d.Writes, completion.FinalWrites(j, jobs.Cancelled, fr.NowMs())...)
		}
	}
	for _, jobID := range c.Absent {
		d.ReadSet = append(d.ReadSet, jobs.JobPrefix+jobID, jobs.FinalPrefix+jobID)
	}
	return d
}

// runResources is what the runs' keeper may ask.
type runResources struct{ fr *Server }

func (w runResources) Job(jobID string) (pipelines.JobView, bool) {
	fr := w.fr
	j := fr.Jobs[jobID]
	if j == nil || j.Record == nil {
		return pipelines.JobView{}, false
	}
	return pipelines.JobView{
		State:   j.Record.State,
		Running: j.PlacedCount,
		Done:    j.DoneCount,
		Probing: fr.Trust(j, "") == jobs.Probing,
	}, true
}

func (w runResources) Why(jobID string) string {
	j := w.fr.Jobs[jobID]
	if j == nil || j.Record == nil {
		return ""
	}
	why, late := w.fr.waits(j), w.fr.unmet(j)
	if why != "" && late != "" {
		return why + "; " + late
	}
	return why + late
}

// waits says what a live job's tasks wait for, if they do.
func (fr *Server) waits(j *clusterstate.Job) string {
	spec := &j.Record.Spec
	waits := spec.TaskCount - j.PlacedCount - j.DoneCount
	if fr.Trust(j, "") == jobs.Probing {
		return "its tasks failed on several machines; one is tried at a time"
	}
	if waits <= 0 {
		return ""
	}
	if full := fr.Account.Full(fr.QuotaLeaf(spec), spec.Amount()); full != "" {
		return fmt.Sprintf("%d tasks wait: %s", waits, full)
	}
	return fmt.Sprintf("%d tasks wait for room on a machine", waits)
}

func (w runResources) Final(jobID string) (jobs.JobState, bool) {
	f, ok := w.fr.finals.Get(jobID)
	return f.State, ok
}

func (w runResources) Judge(spec *jobs.Spec) string {
	if why := jobs.CanEverRun(spec, w.fr.Account.Tree(), w.fr.MachineTypes); why != "" {
		return why
	}
	if record, _ := w.fr.acceptance(spec); w.fr.tooLong(record) {
		return "its description is too long"
	}
	return ""
}

// pipelinesPath is where users' requests about runs go.
const pipelinesPath = "/pipelines"

func isPipelines(path string) bool {
	return path == pipelinesPath || strings.HasPrefix(path, pipelinesPath+"/")
}

// pipelineRequest takes a user's request about runs.
func (fr *Server) pipelineRequest(m *http1.Message, path string, respond func(http1.Reply)) {
	if fr.runs == nil {
		respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such path")})
		return
	}
	if path == pipelinesPath {
		if method(m, "POST", respond) {
			fr.acceptRun(m.Body, respond)
		}
		return
	}
	id, verb, _ := strings.Cut(strings.TrimPrefix(path, pipelinesPath+"/"), "/")
	switch {
	case !pipelines.ValidID(id):
		respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such run")})
	case verb == "" || verb == "explain":
		if method(m, "GET", respond) {
			fr.showRun(id, 200, verb != "", "", respond)
		}
	case verb == "abort":
		if method(m, "POST", respond) {
			fr.abortRun(id, tuning.CancelAttempts, respond)
		}
	default:
		respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such path")})
	}
}

// showRun answers with a run's state as it is after the request came: like
// users' polls, it waits for the mirror to get there. sum, if given, is that of
// the document which the run must have.
func (fr *Server) showRun(id string, status int, explain bool, sum string, respond func(http1.Reply)) {
	fr.afterEpoch(respond, func() {
		if rec, aside := fr.runs.Known(id); rec != nil || aside {
			fr.answerRun(id, rec, status, explain, sum, respond)
			return
		}
		fr.Client.Get(store.PriorityUser, pipelines.RanPrefix+id, nil, func(it *store.Item, err error) {
			switch {
			case err != nil:
				respond(http1.Refuse("state unavailable"))
			case it == nil:
				respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such run")})
			default:
				rec, _ := pipelines.Decode(it.Value)
				fr.answerRun(id, rec, status, explain, sum, respond)
			}
		})
	})
}

func (fr *Server) answerRun(
	id string,
	rec *pipelines.Record,
	status int,
	explain bool,
	sum string,
	respond func(http1.Reply),
) {
	if rec != nil && sum != "" && rec.Sum != sum {
		respond(http1.Reply{Status: 409, Body: http1.ErrorBody("another pipeline has this id")})
		return
	}
	if rec != nil {
		if s, ok := fr.runs.StatusOf(id, rec, fr.NowMs(), runResources{fr}, explain); ok {
			respond(http1.Reply{Status: status, Body: s.Encode()})
			return
		}
	}
	respond(http1.Refuse("this run's record can't be read by this version"))
}

// acceptRun accepts a run, with the jobs of its first steps.
func (fr *Server) acceptRun(body []byte, respond func(http1.Reply)) {
	q, bad := pipelines.ParseRequest(body)
	if bad != nil {
		respond(http1.Reply{Status: 400, Body: jobs.Encode(bad)})
		return
	}
	if !fr.MayDecide() || len(fr.MachineTypes) == 0 {
		respond(http1.Refuse("not able to accept"))
		return
	}
	sum := pipelines.Sum(q.Doc)
	known := func() { fr.showRun(q.ID, 200, false, sum, respond) }
	if rec, aside := fr.runs.Known(q.ID); rec != nil || aside {
		known()
		return
	}
	c, err := fr.runs.Accept(
		q,
		fmt.Sprintf("%016x%016x", fr.Rand.Uint64(), fr.Rand.Uint64()),
		fr.NowMs(),
		runResources{fr},
	)
	// Only an unknown run is judged: what made it acceptable may have changed since.
	unknown := func(r http1.Reply) {
		fr.Client.Get(store.PriorityUser, pipelines.RanPrefix+q.ID, nil, func(it *store.Item, gerr error) {
			switch {
			case gerr != nil:
				respond(http1.Refuse("state unavailable"))
			case it != nil:
				known()
			default:
				respond(r)
			}
		})
	}
	if err != nil {
		unknown(http1.Reply{Status: 413, Body: http1.ErrorBody(err.Error())})
		return
	}
	if faults := q.Plan.Judge(runResources{fr}.Judge); len(faults) > 0 {
		unknown(
			http1.Reply{Status: 422, Body: jobs.Encode(pipelines.Refusal{Error: "steps that can never run", Faults: faults})},
		)
		return
	}
	if !fr.runs.Room(len(q.Plan.Steps)) {
		unknown(http1.Reply{Status: 429, Body: http1.ErrorBody("too many runs are live"), RetryAfter: tuning.RetryAfter})
		return
	}
	d := fr.runDecision(c, nil)
	t := store.Txn{Writes: d.Writes}
	for _, k := range append(d.Keys(), d.ReadSet...) {
		t.Preconditions = append(t.Preconditions, store.Precondition{Key: k})
	}
	t.Preconditions = append(
		t.Preconditions,
		store.Precondition{Key: pipelines.RanPrefix + q.ID},
		store.Precondition{Key: members.ViewKey, Revision: fr.Mirror.Revision(members.ViewKey)},
	)
	fr.Client.Commit(store.PriorityUser, t, func(epoch uint64, failed []string, err error) {
		switch {
		case err == nil:
			fr.Mirror.ApplyCommit(t.Writes, epoch)
			rec, _ := fr.runs.Known(q.ID)
			fr.answerRun(q.ID, rec, 201, false, "", respond)
		case errors.Is(err, store.ErrConflict) && len(failed) > 0 && failed[0] != members.ViewKey:
			known()
		default:
			// Unknown counts as not accepted; a repeat finds out.
			respond(http1.Refuse("try again"))
		}
	})
}

// abortRun cancels a run. What the run's owner changes meanwhile fails or makes
// this fail; then it is tried again from the newer record.
func (fr *Server) abortRun(id string, tries int, respond func(http1.Reply)) {
	if !fr.MayDecide() {
		respond(http1.Refuse("not able to cancel"))
		return
	}
	c := fr.runs.CancelRun(id, fr.Now, fr.NowMs(), runResources{fr})
	if c == nil { // over, being cancelled, or unknown
		fr.showRun(id, 200, false, "", respond)
		return
	}
	fr.Commit([]decide.Decision{fr.runDecision(c, func(ok bool) {
		switch {
		case ok:
			for _, jobID := range c.Cancel {
				fr.AcknowledgeCancellation(jobID) // with the run
			}
			fr.showRun(id, 200, false, "", respond)
		case tries > 1 && !fr.Busy(pipelines.RunPrefix+id):
			fr.abortRun(id, tries-1, respond)
		default:
			respond(http1.Refuse("try again"))
		}
	})})
}
