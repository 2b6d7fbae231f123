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
func (w *Simulator) EndFaults() time.Duration {
	s := w.Store
	s.SetDown(false)
	s.Slow, s.SlowWatch, s.Poison, s.FailPages = 0, 0, "", 0
	s.slowShare = chance{}
	clear(s.Refuse)
	clear(s.Lose)
	clear(s.Lag)
	clear(s.Late)
	clear(w.lateness)
	w.lateWrites, w.lostAnswers, w.lateReports, w.heldReports.chance = chance{}, chance{}, chance{}, chance{}
	clear(w.leaderEvents.cutZones)
	clear(w.leaderEvents.handlers)
	clear(w.unreachable)
	w.Cloud.Down = false
	w.EntryNode = ""
	for _, key := range slices.Sorted(maps.Keys(w.cuts)) {
		w.heal(key)
	}
	for _, id := range slices.Sorted(maps.Keys(w.Agents)) {
		if wk := w.Agents[id]; wk.Hung {
			wk.Resume()
		}
	}
	over := w.Now
	for _, name := range w.NodeNames {
		w.RefusePeers(name, false)
		w.Nodes[name].Boot()
		if thaw := w.Nodes[name].frozenUntil; thaw.After(over) {
			over = thaw
		}
	}
	return over.Sub(w.Start)
}

// Aftermath ends all troubles and checks that no accepted job is forgotten for
// answeredWithin, that no controller sends everybody away meanwhile, and that no job is
// stranded for placedWithin.
func (w *Simulator) Aftermath() {
	calm := w.EndFaults()
	w.RunUntil(calm)
	for _, name := range w.NodeNames {
		w.Nodes[name].requests, w.Nodes[name].answered = 0, 0
	}
	stranded := w.newStrandedWatch()
	watch := func(from, until time.Duration) {
		for at := from; at < until; at += strandedCheckEvery {
			w.RunUntil(at)
			stranded.check()
		}
		w.RunUntil(until)
	}
	watch(calm, calm+answeredWithin)
	w.checkForgotten()
	watch(calm+answeredWithin, calm+placedWithin+strandedCheckEvery)
	stranded.check()
}

// checkForgotten judges the answers of the last answeredWithin.
func (w *Simulator) checkForgotten() {
	for _, jobID := range w.Unanswered(answeredWithin) {
		w.RuleBroken("forgotten: no question about %s was answered in the last %v", jobID, answeredWithin)
	}
	for _, name := range w.NodeNames {
		if c := w.Nodes[name]; c.alive && c.shutdownSince.IsZero() && c.requests >= minRequestsJudged && c.answered == 0 {
			w.RuleBroken("%s answered none of %d users in the last %v", name, c.requests, answeredWithin)
		}
	}
}

// LastAnswer is when a question about any job was answered last.
func (w *Simulator) LastAnswer() (last time.Time) {
	for _, j := range w.Jobs {
		if j.AnsweredAt.After(last) {
			last = j.AnsweredAt
		}
	}
	return last
}

// Unanswered names the jobs about which no question was answered for so long, be they live or
// over, and those whose users have asked for so long, in vain, to have them cancelled. A
// run's jobs are polled through the run.
func (w *Simulator) Unanswered(long time.Duration) (out []string) {
	for _, j := range w.sortedJobs() {
		asks := j.Accepted && !j.SubmittedAt.IsZero()
		unheard := !j.CancelOpenSince.IsZero() && w.Now.Sub(j.CancelOpenSince) >= long
		if asks && (unheard || w.Now.Sub(j.AnsweredAt) >= long) {
			out = append(out, j.ID)
		}
	}
	return out
}

// ofUser tells that a user waits for the job: accepted, not cancelled, and not one of
// a run's, about which its user asks otherwise.
func (j *Job) ofUser() bool { return j.Accepted && !j.CancelRequested && !j.SubmittedAt.IsZero() }

func (w *Simulator) sortedJobs() []*Job {
	out := make([]*Job, 0, len(w.Jobs))
	for _, jobID := range slices.Sorted(maps.Keys(w.Jobs)) {
		out = append(out, w.Jobs[jobID])
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
func (w *Simulator) ServedGroups() (all, largest []Group) {
	byName := map[string][]*Job{}
	byClass := map[string][]*Job{}
	for _, j := range w.sortedJobs() {
		if !j.ofUser() || j.FailOn == "every" {
			continue
		}
		byName["class "+j.Class] = append(byName["class "+j.Class], j)
		byName["team "+j.Team] = append(byName["team "+j.Team], j)
		byClass[j.Class] = append(byClass[j.Class], j)
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		all = append(all, w.group(name, byName[name]))
	}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		js := byClass[class]
		slices.SortStableFunc(js, func(a, b *Job) int { return cmp.Compare(b.size(), a.size()) })
		largest = append(largest, w.group("largest of "+class, js[:(len(js)+largestDivisor-1)/largestDivisor]))
	}
	return all, largest
}

// size is tasks times resources, by which the largest of a class are chosen.
func (j *Job) size() float64 { return float64(j.TaskCount) * j.Accelerators }

func (w *Simulator) group(name string, js []*Job) Group {
	g := Group{Name: name, Jobs: len(js)}
	for _, j := range js {
		until := w.Now
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
func (w *Simulator) CheckServed(inTime bool) {
	all, largest := w.ServedGroups()
	for _, g := range append(all, largest...) {
		if g.Share() < minServedShare {
			w.RuleBroken("served too little: %s", g)
		}
	}
	for _, g := range largest {
		if inTime && g.Late > 0 {
			w.RuleBroken("begins late: %s", g)
		}
	}
}
