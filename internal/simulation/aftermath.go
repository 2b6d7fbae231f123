package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Limits of the rules by which users judge a run, in addition to the protocol.
const (
	// answeredWithin is the time without an answer about an accepted job after which the job counts
	// as forgotten, even if other users get answers. It applies once all faults are over.
	answeredWithin = 75 * time.Second
	// startsWithin is the maximum time from submission to start of a class's largest jobs.
	startsWithin = 240 * time.Second
	// minServedShare is the minimum share of served jobs in each class, each team and the largest
	// jobs of each class.
	minServedShare = 0.5
	// minRequestsJudged is the minimum number of requests to a controller for which it is judged:
	// it must have answered at least one of them.
	minRequestsJudged = 5
	// largestDivisor defines the largest jobs of a class: the first 1/largestDivisor of them by
	// size, rounded up.
	largestDivisor = 10
)

// EndFaults ends all injected faults: cuts, delays, outages, hangs and crashes of controllers. It
// returns the time since the start at which the last frozen process resumes. Lost machines and
// manipulated records stay as they are.
func (sim *Simulator) EndFaults() time.Duration {
	s := sim.Store
	s.SetDown(false)
	s.Slow, s.SlowWatch, s.Poison, s.FailPages = 0, 0, "", 0
	s.slowShare = faultRate{}
	clear(s.RefusedNodes)
	clear(s.LoseAnswers)
	clear(s.WatchDelay)
	clear(s.TransactionDelay)
	clear(sim.requestDelays)
	sim.lateWrites, sim.lostAnswers, sim.lateReports, sim.heldReports.faultRate =
		faultRate{}, faultRate{}, faultRate{}, faultRate{}
	clear(sim.leaderEvents.cutZones)
	clear(sim.leaderEvents.handlers)
	clear(sim.unreachable)
	sim.Cloud.Down = false
	sim.EntryNode = ""
	for _, key := range slices.Sorted(maps.Keys(sim.cuts)) {
		sim.heal(key)
	}
	for _, id := range slices.Sorted(maps.Keys(sim.Agents)) {
		if ag := sim.Agents[id]; ag.Hung {
			ag.Resume()
		}
	}
	lastResume := sim.Now
	for _, name := range sim.NodeNames {
		sim.RefusePeers(name, false)
		sim.Nodes[name].Boot()
		if resumesAt := sim.Nodes[name].frozenUntil; resumesAt.After(lastResume) {
			lastResume = resumesAt
		}
	}
	return lastResume.Sub(sim.Start)
}

// CheckRecovery ends all faults and checks the recovery: every accepted job is answered about
// within answeredWithin, no controller rejects all requests in that time, and no job is stranded
// for placedWithin.
func (sim *Simulator) CheckRecovery() {
	faultsEnd := sim.EndFaults()
	sim.RunUntil(faultsEnd)
	for _, name := range sim.NodeNames {
		sim.Nodes[name].requests, sim.Nodes[name].answered = 0, 0
	}
	stranded := sim.newStrandedWatch()
	watch := func(from, until time.Duration) {
		for at := from; at < until; at += strandedCheckEvery {
			sim.RunUntil(at)
			stranded.check()
		}
		sim.RunUntil(until)
	}
	watch(faultsEnd, faultsEnd+answeredWithin)
	sim.checkForgotten()
	watch(faultsEnd+answeredWithin, faultsEnd+placedWithin+strandedCheckEvery)
	stranded.check()
}

// checkForgotten reports jobs without an answer in the last answeredWithin, and controllers that
// answered none of their users.
func (sim *Simulator) checkForgotten() {
	for _, jobID := range sim.Unanswered(answeredWithin) {
		sim.ReportViolation("forgotten: no question about %s was answered in the last %v", jobID, answeredWithin)
	}
	for _, name := range sim.NodeNames {
		if node := sim.Nodes[name]; node.alive && node.shutdownSince.IsZero() &&
			node.requests >= minRequestsJudged && node.answered == 0 {
			sim.ReportViolation("%s answered none of %d users in the last %v", name, node.requests, answeredWithin)
		}
	}
}

// LastAnswer returns the time of the last answer about any job.
func (sim *Simulator) LastAnswer() (last time.Time) {
	for _, j := range sim.Jobs {
		if j.AnsweredAt.After(last) {
			last = j.AnsweredAt
		}
	}
	return last
}

// Unanswered returns the accepted jobs, live or not, about which no request was answered for the
// given duration, or whose cancellation has been requested without an answer for that long. It
// excludes the jobs of pipeline runs, whose users poll the run.
func (sim *Simulator) Unanswered(duration time.Duration) (out []string) {
	for _, j := range sim.sortedJobs() {
		waiting := j.Accepted && !j.SubmittedAt.IsZero()
		cancelUnanswered := !j.CancelOpenSince.IsZero() && sim.Now.Sub(j.CancelOpenSince) >= duration
		if waiting && (cancelUnanswered || sim.Now.Sub(j.AnsweredAt) >= duration) {
			out = append(out, j.ID)
		}
	}
	return out
}

// awaitedByUser reports whether a user waits for the job: it is accepted, its cancellation has not
// been requested, and it does not belong to a pipeline run, whose user polls the run.
func (j *Job) awaitedByUser() bool {
	return j.Accepted && !j.CancelRequested && !j.SubmittedAt.IsZero()
}

// sortedJobs returns all jobs, sorted by ID.
func (sim *Simulator) sortedJobs() []*Job {
	out := make([]*Job, 0, len(sim.Jobs))
	for _, jobID := range slices.Sorted(maps.Keys(sim.Jobs)) {
		out = append(out, sim.Jobs[jobID])
	}
	return out
}

// Group holds statistics on how a group of jobs was served: a class, a team or the largest jobs of
// a class.
type Group struct {
	Name         string
	Jobs, Served int
	Late         int           // jobs that began after more than startsWithin, or have waited for longer
	Latest       time.Duration // longest wait
}

// Share returns the share of the jobs that was served, 1 if there are no jobs.
func (g Group) Share() float64 {
	if g.Jobs == 0 {
		return 1
	}
	return float64(g.Served) / float64(g.Jobs)
}

// String returns the group as reports show it.
func (g Group) String() string {
	return fmt.Sprintf(
		"%s: %d of %d served, %d late, the latest after %v",
		g.Name,
		g.Served,
		g.Jobs,
		g.Late,
		g.Latest.Round(100*time.Millisecond),
	)
}

// ServedGroups returns statistics on the accepted jobs by class and by team, and on the largest
// tenth of each class by total accelerators. A job is served once it has begun: an array or a
// service with its first task, a gang with all tasks. Jobs that their users cancelled or that fail
// on every machine don't count.
func (sim *Simulator) ServedGroups() (all, largest []Group) {
	byName := map[string][]*Job{}
	byClass := map[string][]*Job{}
	for _, j := range sim.sortedJobs() {
		if !j.awaitedByUser() || j.FailOn == "every" {
			continue
		}
		byName["class "+j.Class] = append(byName["class "+j.Class], j)
		byName["team "+j.Team] = append(byName["team "+j.Team], j)
		byClass[j.Class] = append(byClass[j.Class], j)
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		all = append(all, sim.group(name, byName[name]))
	}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		js := byClass[class]
		slices.SortStableFunc(js, func(a, b *Job) int { return cmp.Compare(b.totalAccelerators(), a.totalAccelerators()) })
		largest = append(largest, sim.group("largest of "+class, js[:(len(js)+largestDivisor-1)/largestDivisor]))
	}
	return all, largest
}

// totalAccelerators returns the accelerators of all tasks, by which the largest jobs of a class are
// selected.
func (j *Job) totalAccelerators() float64 { return float64(j.TaskCount) * j.Accelerators }

// group returns the statistics on a group of jobs.
func (sim *Simulator) group(name string, js []*Job) Group {
	g := Group{Name: name, Jobs: len(js)}
	for _, j := range js {
		until := sim.Now
		if !j.BegunAt.IsZero() {
			until = j.BegunAt
			g.Served++
		}
		wait := until.Sub(j.SubmittedAt)
		if g.Latest = max(g.Latest, wait); wait > startsWithin {
			g.Late++
		}
	}
	return g
}

// CheckServed reports each class, team and group of largest jobs of which less than minServedShare
// was served and, with inTime, each group of largest jobs in which one began late.
func (sim *Simulator) CheckServed(inTime bool) {
	all, largest := sim.ServedGroups()
	for _, g := range append(all, largest...) {
		if g.Share() < minServedShare {
			sim.ReportViolation("served too little: %s", g)
		}
	}
	for _, g := range largest {
		if inTime && g.Late > 0 {
			sim.ReportViolation("begins late: %s", g)
		}
	}
}
