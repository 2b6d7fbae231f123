package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// The users' own rules, as they judge a day.
const (
	// answeredWithin: once all troubles are over, a user who gets no answer about an
	// accepted job for so long counts it as forgotten, however others fare.
	answeredWithin = 75 * time.Second
	// startsWithin: a class's largest jobs are to begin so soon after they were submitted.
	startsWithin = 240 * time.Second
	// minServedShare: of a class, of a team and of a class's largest jobs.
	minServedShare = 0.5
	// minRequestsJudged: a controller that was asked so often is to have answered once.
	minRequestsJudged = 5
	// largestDivisor of a class's jobs, rounded up, are its largest.
	largestDivisor = 10
)

// EndFaults ends every fault that the simulation can have: what was cut, slow, late, down,
// hung or ended is whole again. It returns when the last process that stands still
// runs on. What was lost or planted stays so.
func (sim *Simulator) EndFaults() time.Duration {
	s := sim.Store
	s.SetDown(false)
	s.Slow, s.SlowWatch, s.Poison, s.FailPages = 0, 0, "", 0
	s.slowShare = faultRate{}
	clear(s.Refuse)
	clear(s.Lose)
	clear(s.Lag)
	clear(s.Late)
	clear(sim.lateness)
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
	over := sim.Now
	for _, name := range sim.NodeNames {
		sim.RefusePeers(name, false)
		sim.Nodes[name].Boot()
		if thaw := sim.Nodes[name].frozenUntil; thaw.After(over) {
			over = thaw
		}
	}
	return over.Sub(sim.Start)
}

// Aftermath ends all troubles and checks that no accepted job is forgotten for
// answeredWithin, that no controller sends everybody away meanwhile, and that no job is
// stranded for placedWithin.
func (sim *Simulator) Aftermath() {
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

// checkForgotten judges the answers of the last answeredWithin.
func (sim *Simulator) checkForgotten() {
	for _, jobID := range sim.Unanswered(answeredWithin) {
		sim.RuleBroken("forgotten: no question about %s was answered in the last %v", jobID, answeredWithin)
	}
	for _, name := range sim.NodeNames {
		if node := sim.Nodes[name]; node.alive && node.shutdownSince.IsZero() &&
			node.requests >= minRequestsJudged && node.answered == 0 {
			sim.RuleBroken("%s answered none of %d users in the last %v", name, node.requests, answeredWithin)
		}
	}
}

// LastAnswer is when a question about any job was answered last.
func (sim *Simulator) LastAnswer() (last time.Time) {
	for _, j := range sim.Jobs {
		if j.AnsweredAt.After(last) {
			last = j.AnsweredAt
		}
	}
	return last
}

// Unanswered names the jobs about which no question was answered for so long, be they live or
// over, and those whose users have asked for so long, in vain, to have them cancelled. A
// run's jobs are polled through the run.
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

// ofUser tells that a user waits for the job: accepted, not cancelled, and not one of
// a run's, about which its user asks otherwise.
func (j *Job) awaitedByUser() bool {
	return j.Accepted && !j.CancelRequested && !j.SubmittedAt.IsZero()
}

func (sim *Simulator) sortedJobs() []*Job {
	out := make([]*Job, 0, len(sim.Jobs))
	for _, jobID := range slices.Sorted(maps.Keys(sim.Jobs)) {
		out = append(out, sim.Jobs[jobID])
	}
	return out
}

// Group is how a class, a team or a class's largest jobs were served.
type Group struct {
	Name         string
	Jobs, Served int
	Late         int           // began after beginsWithin, or have waited for longer
	Latest       time.Duration // wait of the one that waited longest
}

// Share is the part of the jobs that was served, 1 if there were none.
func (g Group) Share() float64 {
	if g.Jobs == 0 {
		return 1
	}
	return float64(g.Served) / float64(g.Jobs)
}

// String is a group as reports show it.
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

// ServedGroups counts the accepted jobs by class, by team, and of each class the
// largest tenth by tasks times resources. A job is served once it has begun: an array and
// a service with the first task, a gang with all of them. Jobs that their users
// cancelled or that can never run do not count.
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

// size is tasks times resources, by which the largest of a class are chosen.
func (j *Job) totalAccelerators() float64 { return float64(j.TaskCount) * j.Accelerators }

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

// CheckServed breaks on a class, a team or a class's largest jobs of which less than
// half was served and, with inTime, on largest jobs that begin late.
func (sim *Simulator) CheckServed(inTime bool) {
	all, largest := sim.ServedGroups()
	for _, g := range append(all, largest...) {
		if g.Share() < minServedShare {
			sim.RuleBroken("served too little: %s", g)
		}
	}
	for _, g := range largest {
		if inTime && g.Late > 0 {
			sim.RuleBroken("begins late: %s", g)
		}
	}
}
