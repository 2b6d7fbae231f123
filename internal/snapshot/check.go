package snapshot

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
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
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// Finding is one fault of a snapshot's records.
type Finding struct {
	Key     string `json:"key"` // may be empty
	Problem string `json:"what"`
}

// Report is the result of Check.
type Report struct {
	Epoch           uint64         `json:"epoch"`
	Keys            map[string]int `json:"keys"` // count by the first part of the key
	LiveJobs        int            `json:"live_jobs"`
	Tasks           int            `json:"tasks"`
	TasksOnMachines int            `json:"tasks_on_machines"`
	Findings        []Finding      `json:"findings"`
}

// checker is a check in progress.
type checker struct {
	snapshot    *State
	state       *clusterstate.State // what the records applied so far say
	report      Report
	recordOf    map[string]string // by task, the key of the record that holds it
	finalStates map[string]jobs.Final
}

// Check goes through all records as a controller would read them, and looks for what
// must never be: records that can't be read, a task in two records or on a machine
// without a job or a record of the machine, a job that is over without its final
// state or live with one, more charged than a limit allows, counts that differ from
// counting again. teams are the platform's, nil if they are not known; then limits are
// not checked.
func Check(snapshot *State, teams map[string]quota.Team) Report {
	c := &checker{
		snapshot:    snapshot,
		report:      Report{Epoch: snapshot.Epoch, Keys: map[string]int{}, Findings: []Finding{}},
		recordOf:    map[string]string{},
		finalStates: map[string]jobs.Final{},
	}
	c.state = clusterstate.New(c.quotaTree(teams), func(string) {})
	c.applyRecords()
	for _, jobID := range clusterstate.SortedKeys(c.state.Jobs) {
		job := c.state.Jobs[jobID]
		c.checkLifecycle(jobID, job)
		c.checkTasks(job)
	}
	c.checkCalendar()
	for _, fault := range c.state.Audit() {
		c.add("", fault)
	}
	if teams != nil {
		c.checkLimits()
	}
	return c.report
}

func (c *checker) add(key, fault string) {
	c.report.Findings = append(c.report.Findings, Finding{Key: key, Problem: fault})
}

// applyRecords applies all records. As controllers do, it reads jobs before their tasks.
func (c *checker) applyRecords() {
	keys := clusterstate.SortedKeys(c.snapshot.Items)
	for _, jobRecords := range []bool{true, false} {
		for _, key := range keys {
			if strings.HasPrefix(key, jobs.JobPrefix) == jobRecords {
				c.applyRecord(key, c.snapshot.Items[key])
			}
		}
	}
}

func (c *checker) applyRecord(key string, item store.Item) {
	first, name, _ := strings.Cut(key, "/")
	c.report.Keys[first]++
	var err error
	switch key {
	case members.ViewKey:
		if _, ok := members.Decode(item.Value); !ok {
			err = errors.New("not a view")
		}
	case fleet.ClaimsKey:
		err = c.state.ApplyClaims(item.Value)
	case quota.StoreKey:
		_, err = quota.Decode(item.Value)
	case calendar.StoreKey:
		_, err = calendar.DecodeDocument(item.Value)
	default:
		err = c.applyByPrefix(first+"/", name, key, item)
	}
	if err != nil {
		c.add(key, fmt.Sprintf("can't be read: %v", err))
	}
}

func (c *checker) applyByPrefix(prefix, name, key string, item store.Item) error {
	var err error
	switch prefix {
	case jobs.JobPrefix:
		err = c.state.ApplyJob(name, item.Value)
	case jobs.TaskPrefix:
		err = c.applyTaskRange(key, item)
	case taskbatch.KeyPrefix:
		err = c.applyBatch(key, item)
	case fleet.MachinePrefix:
		err = c.state.ApplyMachine(name, "", item.Value)
	case jobs.FinalPrefix:
		err = c.applyFinal(name, item)
	case lending.Prefix:
		_, err = lending.Decode(item.Value)
	case calendar.TrackPrefix:
		_, err = calendar.DecodeRecord(item.Value)
	case pipelines.RunPrefix:
		_, err = pipelines.Decode(item.Value)
	}
	return err
}

func (c *checker) applyTaskRange(key string, item store.Item) error {
	if _, err := c.state.ApplyTaskRange(key, item.Value); err != nil {
		return err
	}
	jobID, from, _ := jobs.SplitTaskID(strings.TrimPrefix(key, jobs.TaskPrefix))
	tasks, _ := jobs.DecodeTaskRange(item.Value)
	for i := range tasks {
		c.noteTask(key, jobID, from+i)
	}
	return nil
}

func (c *checker) applyBatch(key string, item store.Item) error {
	if _, err := c.state.ApplyBatch(key, item.Value, item.Revision); err != nil {
		return err
	}
	entries, _ := taskbatch.Decode(item.Value)
	for _, entry := range entries {
		c.noteTask(key, entry.JobID, entry.Index)
	}
	return nil
}

func (c *checker) applyFinal(jobID string, item store.Item) error {
	var final jobs.Final
	if err := json.Unmarshal(item.Value, &final); err != nil {
		return err
	}
	c.finalStates[jobID] = final
	return nil
}

// noteTask notes that a record holds a task; no other may.
func (c *checker) noteTask(key, jobID string, index int) {
	taskID := jobs.TaskID(jobID, index)
	if other := c.recordOf[taskID]; other != "" {
		c.add(key, fmt.Sprintf("holds %s, which %s holds too", taskID, other))
	}
	c.recordOf[taskID] = key
}

// checkLifecycle compares a job's record with its final state.
func (c *checker) checkLifecycle(jobID string, job *clusterstate.Job) {
	key := jobs.JobPrefix + jobID
	final, over := c.finalStates[jobID]
	if job.Record == nil {
		if !over && len(job.Tasks) > 0 {
			c.add(key, "has tasks but neither a record nor a final state")
		}
		return
	}
	live := job.Record.State == jobs.Live
	if live {
		c.report.LiveJobs++
	}
	switch {
	case live && over:
		c.add(key, fmt.Sprintf("is live, and %s for ever", final.State))
	case !live && !over:
		c.add(key, fmt.Sprintf("is %s, but has no final state", job.Record.State))
	}
}

// checkTasks counts a job's tasks and looks for those that the job or the fleet can't have.
func (c *checker) checkTasks(job *clusterstate.Job) {
	for _, index := range slices.Sorted(maps.Keys(job.Tasks)) {
		task := job.Tasks[index]
		c.report.Tasks++
		if job.Record != nil && index >= job.Record.Spec.TaskCount {
			c.add(task.StoredIn.Key, fmt.Sprintf("holds %s of a job of %d tasks", task.ID, job.Record.Spec.TaskCount))
		}
		if !task.OnMachine() {
			continue
		}
		c.report.TasksOnMachines++
		if c.state.Machines[task.Machine] == nil {
			c.add(task.StoredIn.Key, fmt.Sprintf("%s is on %s, of which there is no record", task.ID, task.Machine))
		}
	}
}

// checkCalendar looks for work of two windows of one track on machines.
func (c *checker) checkCalendar() {
	item, ok := c.snapshot.Items[calendar.StoreKey]
	if !ok {
		return
	}
	document, err := calendar.DecodeDocument(item.Value)
	if err != nil {
		return // a finding of applyRecord
	}
	plan, err := calendar.Compile(document)
	if err != nil {
		c.add(calendar.StoreKey, err.Error())
		return
	}
	onMachines := map[quota.Key]bool{}
	for _, job := range c.state.Jobs {
		if job.Record != nil && job.PlacedCount > 0 {
			onMachines[job.Record.Spec.QuotaKey()] = true
		}
	}
	for _, track := range plan.OverlappingTracks(onMachines) {
		c.add(
			calendar.TrackKey(track),
			"work of two of its windows is on machines, unless it was there before the calendar",
		)
	}
}

func (c *checker) checkLimits() {
	account := c.state.Account
	for _, node := range account.Over() {
		c.add(quota.StoreKey, fmt.Sprintf(
			"%s uses %s, more than its limit, unless that was lowered a moment before",
			account.Tree().Path(node), account.Used(node),
		))
	}
}

// quotaTree returns the tree of quotas that the snapshot has, or that of the teams alone.
func (c *checker) quotaTree(teams map[string]quota.Team) *quota.Tree {
	item, ok := c.snapshot.Items[quota.StoreKey]
	if !ok || teams == nil {
		return quota.Flat(teams)
	}
	stored, err := quota.Decode(item.Value)
	if err != nil {
		return quota.Flat(teams) // a finding of applyRecord
	}
	tree, faults := quota.Build(&stored.Doc, teams, nil)
	for _, fault := range faults {
		c.add(quota.StoreKey, fault)
	}
	if tree == nil {
		return quota.Flat(teams)
	}
	return tree
}
