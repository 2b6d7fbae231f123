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

// lateStart is how long after a window's end a start of its work may be committed: the
// clocks differ, and a transaction takes its time.
const lateStart = time.Second

// calendarWatch is what the records say of the calendar.
type calendarWatch struct {
	sim          *Simulator
	plan         *calendar.Plan
	tracks       map[string]*calendar.Record
	before       map[string]*calendar.Record // as of the transaction before
	specs        map[string]quota.Key
	tasks        map[string]jobs.Task // tasks released to a shard or on a machine, by task ID
	startedTasks []string             // by this transaction
	// opened counts the openings of each occurrence, final is how it ended.
	openCounts   map[occurrence]int
	finalStates  map[occurrence]calendar.State
	onTransition func(window string, to calendar.State)
}

type occurrence struct {
	track, window string
	begin         int64
}

// WatchCalendar checks that no work of a class with windows begins but in an open
// occurrence, that no two windows of a track are ever on machines at once, and that an
// occurrence opens once and ends once. moved is called for each change.
func (sim *Simulator) WatchCalendar(moved func(window string, to calendar.State)) {
	c := &calendarWatch{
		sim:          sim,
		tracks:       map[string]*calendar.Record{},
		before:       map[string]*calendar.Record{},
		specs:        map[string]quota.Key{},
		tasks:        map[string]jobs.Task{},
		openCounts:   map[occurrence]int{},
		finalStates:  map[occurrence]calendar.State{},
		onTransition: moved,
	}
	sim.observe(c.committed, c.settled)
	sim.Launched = c.checkLaunch
	sim.calendar = c
}

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
			return // planted by a scenario
		}
		c.checkTransitions(track, c.tracks[track], rec)
		c.tracks[track] = rec
	case strings.HasPrefix(key, jobs.JobPrefix):
		jobID := key[len(jobs.JobPrefix):]
		if r, err := jobs.DecodeRecord(jobID, v); err == nil {
			c.specs[jobID] = r.Spec.QuotaKey()
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

func (c *calendarWatch) checkTransitions(track string, was, is *calendar.Record) {
	state := map[occurrence]calendar.State{}
	if was != nil {
		for _, o := range was.Occurrences {
			state[occurrence{track, o.Window, o.Begin}] = o.State
		}
	}
	if is == nil {
		return
	}
	for _, o := range is.Occurrences {
		id := occurrence{track, o.Window, o.Begin}
		if state[id] == o.State {
			continue
		}
		if end := c.finalStates[id]; end != "" {
			c.sim.RuleBroken("calendar: %s is %s after it was %s", o.Window, o.State, end)
		}
		if o.State.Final() {
			c.finalStates[id] = o.State
		}
		if o.State == calendar.Open {
			if c.openCounts[id]++; c.openCounts[id] > 1 {
				c.sim.RuleBroken("calendar: %s opened twice", o.Window)
			}
			if c.sim.Now.UnixMilli() < o.Begin {
				c.sim.RuleBroken("calendar: %s opened %d ms before its time", o.Window, o.Begin-c.sim.Now.UnixMilli())
			}
		}
		if c.onTransition != nil {
			window, to := o.Window, o.State
			c.sim.After(0, func() { c.onTransition(window, to) })
		}
	}
}

// settled checks the tasks that a transaction let begin.
func (c *calendarWatch) settled() {
	for _, taskID := range c.startedTasks {
		jobID, _, _ := jobs.SplitTaskID(taskID)
		key := c.specs[jobID]
		t := c.plan.TrackOf(key)
		if t != nil && !c.windowOpen(c.tracks[t.Name], key) && !c.windowOpen(c.before[t.Name], key) {
			c.sim.RuleBroken("calendar: %s of %s begins out of its window", taskID, key.Class)
		}
	}
	c.startedTasks = nil
	for name, rec := range c.tracks {
		c.before[name] = rec
	}
}

// open tells whether a class may begin by a track's record.
func (c *calendarWatch) windowOpen(r *calendar.Record, key quota.Key) bool {
	if r == nil {
		return false
	}
	for _, o := range r.Occurrences {
		if o.State == calendar.Open && o.Has(key) && c.sim.Now.UnixMilli() <= o.End+lateStart.Milliseconds() {
			return true
		}
	}
	return false
}

// closed tells whether a class has windows and none of them is open.
func (c *calendarWatch) windowsClosed(key quota.Key) bool {
	t := c.plan.TrackOf(key)
	return t != nil && !c.windowOpen(c.tracks[t.Name], key)
}

// launched breaks on two windows of a track on machines at once.
func (c *calendarWatch) checkLaunch(taskID string) {
	jobID, _, _ := jobs.SplitTaskID(taskID)
	key := c.specs[jobID]
	t := c.plan.TrackOf(key)
	if t == nil {
		return
	}
	for _, ag := range c.sim.Agents {
		for _, task := range ag.tasks {
			other, _, _ := jobs.SplitTaskID(task.taskID)
			ok := c.specs[other]
			if task.status == statusEnded || ok == key || c.plan.TrackOf(ok) != t || c.shareWindow(t, key, ok) {
				continue
			}
			c.sim.RuleBroken(
				"calendar: %s of %s starts while %s of %s is on %s",
				taskID,
				key.Class,
				task.taskID,
				ok.Class,
				ag.machine.ID,
			)
		}
	}
}

// together tells whether a window is for two classes.
func (c *calendarWatch) shareWindow(t *calendar.Track, a, b quota.Key) bool {
	for _, w := range t.Windows {
		if w.Has(a) && w.Has(b) {
			return true
		}
	}
	return false
}
