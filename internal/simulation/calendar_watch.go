package simulation

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// lateStart is how long after the end of a window a start of its tasks may still be committed,
// since clocks differ and transactions take time.
const lateStart = time.Second

// calendarWatch checks the rules of the calendar on the records in the store.
type calendarWatch struct {
	sim          *Simulator
	plan         *calendar.Plan
	tracks       map[string]*calendar.Record
	before       map[string]*calendar.Record // before the current transaction
	quotaKeys    map[string]quota.Key        // team and class by job ID
	tasks        map[string]jobs.Task        // latest recorded state by task ID
	startedTasks []string                    // task IDs that the current transaction assigned or placed
	// openCounts counts the openings of each occurrence; finalStates holds the state in which it
	// ended.
	openCounts   map[occurrence]int
	finalStates  map[occurrence]calendar.State
	onTransition func(window string, to calendar.State)
}

// occurrence identifies an occurrence of a window by its start in Unix milliseconds.
type occurrence struct {
	track, window string
	begin         int64
}

// WatchCalendar checks that tasks of a class with windows start only during an open occurrence,
// that tasks of two windows of a track are never on machines at the same time, and that an
// occurrence opens and ends at most once. It calls onTransition for each change of an occurrence's
// state.
func (sim *Simulator) WatchCalendar(onTransition func(window string, to calendar.State)) {
	c := &calendarWatch{
		sim:          sim,
		tracks:       map[string]*calendar.Record{},
		before:       map[string]*calendar.Record{},
		quotaKeys:    map[string]quota.Key{},
		tasks:        map[string]jobs.Task{},
		openCounts:   map[occurrence]int{},
		finalStates:  map[occurrence]calendar.State{},
		onTransition: onTransition,
	}
	sim.observe(c.committed, c.settled)
	sim.Launched = c.checkLaunch
	sim.calendar = c
}

// committed handles one write of a transaction.
func (c *calendarWatch) committed(key string, v json.RawMessage) {
	switch {
	case key == calendar.StoreKey:
		if d, err := calendar.DecodeDocument(v); err == nil {
			c.plan, _ = calendar.Compile(d)
		}
	case strings.HasPrefix(key, calendar.TrackPrefix):
		track := strings.TrimPrefix(key, calendar.TrackPrefix)
		rec, err := calendar.DecodeRecord(v)
		if err != nil && v != nil {
			return // unreadable record written by a scenario
		}
		c.checkTransitions(track, c.tracks[track], rec)
		c.tracks[track] = rec
	case strings.HasPrefix(key, jobs.JobPrefix):
		jobID := key[len(jobs.JobPrefix):]
		if r, err := jobs.DecodeRecord(jobID, v); err == nil {
			c.quotaKeys[jobID] = r.Spec.QuotaKey()
		}
	case strings.HasPrefix(key, jobs.TaskPrefix), strings.HasPrefix(key, taskbatch.KeyPrefix):
		for _, e := range recordTasks(key, v) {
			taskID := jobs.TaskID(e.JobID, e.Index)
			was := c.tasks[taskID]
			if (e.Task.State != was.State || e.Task.Attempt != was.Attempt) &&
				(e.Task.State == jobs.Assigned || e.Task.State == jobs.Placed) {
				c.startedTasks = append(c.startedTasks, taskID)
			}
			c.tasks[taskID] = e.Task
		}
	}
}

// checkTransitions checks the changes of state between two versions of a track's record.
func (c *calendarWatch) checkTransitions(track string, previous, current *calendar.Record) {
	state := map[occurrence]calendar.State{}
	if previous != nil {
		for _, o := range previous.Occurrences {
			state[occurrence{track, o.Window, o.BeginMs}] = o.State
		}
	}
	if current == nil {
		return
	}
	for _, o := range current.Occurrences {
		id := occurrence{track, o.Window, o.BeginMs}
		if state[id] == o.State {
			continue
		}
		if end := c.finalStates[id]; end != "" {
			c.sim.ReportViolation("calendar: %s is %s after it was %s", o.Window, o.State, end)
		}
		if o.State.Final() {
			c.finalStates[id] = o.State
		}
		if o.State == calendar.Open {
			if c.openCounts[id]++; c.openCounts[id] > 1 {
				c.sim.ReportViolation("calendar: %s opened twice", o.Window)
			}
			if c.sim.Now.UnixMilli() < o.BeginMs {
				c.sim.ReportViolation("calendar: %s opened %d ms before its time", o.Window, o.BeginMs-c.sim.Now.UnixMilli())
			}
		}
		if c.onTransition != nil {
			window, to := o.Window, o.State
			c.sim.After(0, func() { c.onTransition(window, to) })
		}
	}
}

// settled checks the tasks that a transaction assigned to a controller or placed.
func (c *calendarWatch) settled() {
	for _, taskID := range c.startedTasks {
		jobID, _, _ := jobs.SplitTaskID(taskID)
		key := c.quotaKeys[jobID]
		t := c.plan.TrackOf(key)
		if t != nil && !c.windowOpen(c.tracks[t.Name], key) && !c.windowOpen(c.before[t.Name], key) {
			c.sim.ReportViolation("calendar: %s of %s begins out of its window", taskID, key.Class)
		}
	}
	c.startedTasks = nil
	for name, rec := range c.tracks {
		c.before[name] = rec
	}
}

// windowOpen reports whether a track's record has an open occurrence for a team and class.
func (c *calendarWatch) windowOpen(r *calendar.Record, key quota.Key) bool {
	if r == nil {
		return false
	}
	for _, o := range r.Occurrences {
		if o.State == calendar.Open && o.Has(key) && c.sim.Now.UnixMilli() <= o.EndMs+lateStart.Milliseconds() {
			return true
		}
	}
	return false
}

// windowsClosed reports whether a team and class has windows and none of them is open.
func (c *calendarWatch) windowsClosed(key quota.Key) bool {
	t := c.plan.TrackOf(key)
	return t != nil && !c.windowOpen(c.tracks[t.Name], key)
}

// checkLaunch reports a launch while a task of another window of the track is on a machine.
func (c *calendarWatch) checkLaunch(taskID string) {
	jobID, _, _ := jobs.SplitTaskID(taskID)
	key := c.quotaKeys[jobID]
	t := c.plan.TrackOf(key)
	if t == nil {
		return
	}
	for _, ag := range c.sim.Agents {
		for _, task := range ag.tasks {
			otherJobID, _, _ := jobs.SplitTaskID(task.taskID)
			otherKey := c.quotaKeys[otherJobID]
			if task.status == statusEnded || otherKey == key ||
				c.plan.TrackOf(otherKey) != t || c.shareWindow(t, key, otherKey) {
				continue
			}
			c.sim.ReportViolation(
				"calendar: %s of %s starts while %s of %s is on %s",
				taskID,
				key.Class,
				task.taskID,
				otherKey.Class,
				ag.machine.ID,
			)
		}
	}
}

// shareWindow reports whether one window of the track includes both keys.
func (c *calendarWatch) shareWindow(t *calendar.Track, a, b quota.Key) bool {
	for _, w := range t.Windows {
		if w.Has(a) && w.Has(b) {
			return true
		}
	}
	return false
}
