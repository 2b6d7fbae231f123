package snapshot

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/lending"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// Finding is what is wrong with a snapshot's records.
type Finding struct {
	Key  string `json:"key"`
	What string `json:"what"`
}

// Report is what a check found.
type Report struct {
	Epoch    uint64         `json:"epoch"`
	Keys     map[string]int `json:"keys"` // by the first part of the key
	Live     int            `json:"live_jobs"`
	Tasks    int            `json:"tasks"`
	On       int            `json:"tasks_on_machines"`
	Findings []Finding      `json:"findings"`
}

// checker is a check under way.
type checker struct {
	*clusterstate.State
	s      *State
	out    Report
	in     map[string]string // task to the record that holds it
	finals map[string]jobs.Final
}

// Check goes through all records as a controller would read them, and looks for what
// must never be: records that can't be read, a task in two records or on a machine
// without a job or a record of the machine, a job that is over without its final
// state or live with one, more charged than a limit allows, counts that counting
// does not give. teams are the platform's, nil if they are not known; then limits are
// not checked.
func Check(s *State, teams map[string]quota.Team) Report {
	c := &checker{s: s, in: map[string]string{}, finals: map[string]jobs.Final{}}
	c.out = Report{Epoch: s.Epoch, Keys: map[string]int{}, Findings: []Finding{}}
	c.State = clusterstate.New(c.tree(teams), func(string) {})
	keys := clusterstate.SortedKeys(s.Items)
	// As controllers do, jobs are read before their tasks.
	for _, jobsOnly := range []bool{true, false} {
		for _, key := range keys {
			if strings.HasPrefix(key, jobs.JobPrefix) == jobsOnly {
				c.record(key, s.Items[key].Value, s.Items[key].Revision)
			}
		}
	}
	for _, jobID := range clusterstate.SortedKeys(c.Jobs) {
		c.job(jobID, c.Jobs[jobID])
	}
	c.calendar()
	for _, what := range c.Audit() {
		c.find("", what)
	}
	if teams != nil {
		for _, i := range c.Account.Over() {
			c.find(
				quota.StoreKey,
				fmt.Sprintf(
					"%s uses %s, more than its limit, unless that was lowered a moment before",
					c.Account.Tree().Path(i),
					c.Account.Used(i),
				),
			)
		}
	}
	return c.out
}

func (c *checker) find(key, what string) { c.out.Findings = append(c.out.Findings, Finding{key, what}) }

// calendar looks for work of two windows of one track on machines.
func (c *checker) calendar() {
	it, ok := c.s.Items[calendar.StoreKey]
	if !ok {
		return
	}
	d, err := calendar.DecodeDocument(it.Value)
	if err != nil {
		return // told with the record
	}
	plan, err := calendar.Compile(d)
	if err != nil {
		c.find(calendar.StoreKey, err.Error())
		return
	}
	on := map[quota.Key]bool{}
	for _, j := range c.Jobs {
		if j.Record != nil && j.PlacedCount > 0 {
			on[j.Record.Spec.QuotaKey()] = true
		}
	}
	for _, t := range plan.Meet(on) {
		c.find(calendar.TrackKey(t), "work of two of its windows is on machines, unless it was there before the calendar")
	}
}

// tree is the tree of quotas that the snapshot has, or that of the teams alone.
func (c *checker) tree(teams map[string]quota.Team) *quota.Tree {
	it, ok := c.s.Items[quota.StoreKey]
	if !ok || teams == nil {
		return quota.Flat(teams)
	}
	stored, err := quota.Decode(it.Value)
	if err != nil {
		return quota.Flat(teams) // told with the record
	}
	tree, faults := quota.Build(&stored.Doc, teams, nil)
	for _, f := range faults {
		c.find(quota.StoreKey, f)
	}
	if tree == nil {
		return quota.Flat(teams)
	}
	return tree
}

// record takes one record in, whatever it is.
func (c *checker) record(key string, v json.RawMessage, revision uint64) {
	first, name, _ := strings.Cut(key, "/")
	c.out.Keys[first]++
	var err error
	switch {
	case key == members.ViewKey:
		if _, ok := members.Decode(v); !ok {
			err = errors.New("not a view")
		}
	case key == fleet.ClaimsKey:
		err = c.ApplyClaims(v)
	case key == quota.StoreKey:
		_, err = quota.Decode(v)
	case key == calendar.StoreKey:
		_, err = calendar.DecodeDocument(v)
	default:
		switch first + "/" {
		case jobs.JobPrefix:
			err = c.ApplyJob(name, v)
		case jobs.TaskPrefix:
			if _, err = c.ApplyTaskRange(key, v); err == nil {
				c.slice(key, v)
			}
		case taskbatch.KeyPrefix:
			if _, err = c.ApplyBatch(key, v, revision); err == nil {
				es, _ := taskbatch.Decode(v)
				for _, e := range es {
					c.holds(key, e.JobID, e.Index)
				}
			}
		case fleet.MachinePrefix:
			err = c.ApplyMachine(name, "", v)
		case jobs.FinalPrefix:
			var f jobs.Final
			if err = json.Unmarshal(v, &f); err == nil {
				c.finals[name] = f
			}
		case lending.Prefix:
			_, err = lending.Decode(v)
		case calendar.TrackPrefix:
			_, err = calendar.DecodeRecord(v)
		case pipelines.RunPrefix:
			_, err = pipelines.Decode(v)
		}
	}
	if err != nil {
		c.find(key, fmt.Sprintf("can't be read: %v", err))
	}
}

func (c *checker) slice(key string, v json.RawMessage) {
	jobID, from, _ := jobs.SplitTaskID(strings.TrimPrefix(key, jobs.TaskPrefix))
	tasks, _ := jobs.DecodeTaskRange(v)
	for i := range tasks {
		c.holds(key, jobID, from+i)
	}
}

// holds notes that a record holds a task.
func (c *checker) holds(key, jobID string, n int) {
	taskID := jobs.TaskID(jobID, n)
	if other := c.in[taskID]; other != "" {
		c.find(key, fmt.Sprintf("holds %s, which %s holds too", taskID, other))
	}
	c.in[taskID] = key
}

// job looks at a job with its tasks.
func (c *checker) job(jobID string, j *clusterstate.Job) {
	final, over := c.finals[jobID]
	key := jobs.JobPrefix + jobID
	switch {
	case j.Record == nil && !over && len(j.Tasks) > 0:
		c.find(key, "has tasks but neither a record nor a final state")
	case j.Record == nil:
	case j.Record.State == jobs.Live && over:
		c.find(key, fmt.Sprintf("is live, and %s for ever", final.State))
	case j.Record.State != jobs.Live && !over:
		c.find(key, fmt.Sprintf("is %s, but has no final state", j.Record.State))
	}
	if j.Record != nil && j.Record.State == jobs.Live {
		c.out.Live++
	}
	var nums []int
	for n := range j.Tasks {
		nums = append(nums, n)
	}
	slices.Sort(nums)
	for _, n := range nums {
		t := j.Tasks[n]
		c.out.Tasks++
		if j.Record != nil && n >= j.Record.Spec.TaskCount {
			c.find(t.Stored.Key, fmt.Sprintf("holds %s of a job of %d tasks", t.ID, j.Record.Spec.TaskCount))
		}
		if !t.OnMachine() {
			continue
		}
		c.out.On++
		if c.Machines[t.Machine] == nil {
			c.find(t.Stored.Key, fmt.Sprintf("%s is on %s, of which there is no record", t.ID, t.Machine))
		}
	}
}
