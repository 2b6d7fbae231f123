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

// Finding is a problem in a snapshot's records.
type Finding struct {
	Key     string `json:"key"` // empty if the problem does not concern a single key
	Problem string `json:"what"`
}

// Report is the result of Check.
type Report struct {
	Epoch           uint64         `json:"epoch"`
	Keys            map[string]int `json:"keys"` // number of keys, by the part before the first slash
	LiveJobs        int            `json:"live_jobs"`
	Tasks           int            `json:"tasks"`
	TasksOnMachines int            `json:"tasks_on_machines"`
	Findings        []Finding      `json:"findings"`
}

// checker holds the state of a check in progress.
type checker struct {
	snapshot     *State
	state        *clusterstate.State // built from the records applied so far
	report       Report
	recordByTask map[string]string // by task ID, the key of the record that holds the task
	finalStates  map[string]jobs.StoredState
	claimValues  map[int]fleet.Claims // the readable values of the machine claims, by number
}

// Check reads all records as a controller does, and reports violations of the invariants:
// records that can't be decoded, a task in two records, a task without a job, a task on a machine
// without a record, a finished job without a final state, a live job with one, usage above a
// limit, and maintained counts that differ from a recount. teams are the platform's teams. If
// teams is nil, limits are not checked.
func Check(snapshot *State, teams map[string]quota.Team) Report {
	c := &checker{
		snapshot:     snapshot,
		report:       Report{Epoch: snapshot.Epoch, Keys: map[string]int{}, Findings: []Finding{}},
		recordByTask: map[string]string{},
		finalStates:  map[string]jobs.StoredState{},
		claimValues:  map[int]fleet.Claims{},
	}
	c.state = clusterstate.New(c.quotaTree(teams), func(string) {})
	c.applyRecords()
	for _, jobID := range clusterstate.SortedKeys(c.state.Jobs) {
		job := c.state.Jobs[jobID]
		c.checkLifecycle(jobID, job)
		c.checkTasks(job)
	}
	c.checkClaims()
	c.checkCalendar()
	for _, fault := range c.state.Audit() {
		c.addFinding("", fault)
	}
	if teams != nil {
		c.checkLimits()
	}
	return c.report
}

func (c *checker) addFinding(key, problem string) {
	c.report.Findings = append(c.report.Findings, Finding{Key: key, Problem: problem})
}

// applyRecords applies all records. Like a controller, it reads jobs before their tasks.
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
	kind, name, _ := strings.Cut(key, "/")
	c.report.Keys[kind]++
	var err error
	switch number := fleet.ClaimsNumber(key); {
	case number > 0:
		c.claimValues[number], err = fleet.DecodeClaims(item.Value)
	case key == members.ViewKey:
		if _, ok := members.Decode(item.Value); !ok {
			err = errors.New("not a view")
		}
	case key == quota.StoreKey:
		_, err = quota.Decode(item.Value)
	case key == calendar.StoreKey:
		_, err = calendar.DecodeDocument(item.Value)
	default:
		err = c.applyByPrefix(kind+"/", name, key, item)
	}
	if err != nil {
		c.addFinding(key, fmt.Sprintf("can't be read: %v", err))
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
		c.registerTask(key, jobID, from+i)
	}
	return nil
}

func (c *checker) applyBatch(key string, item store.Item) error {
	if _, err := c.state.ApplyBatch(key, item.Value, item.Revision); err != nil {
		return err
	}
	entries, _ := taskbatch.Decode(item.Value)
	for _, entry := range entries {
		c.registerTask(key, entry.JobID, entry.Index)
	}
	return nil
}

func (c *checker) applyFinal(jobID string, item store.Item) error {
	var final jobs.StoredState
	if err := json.Unmarshal(item.Value, &final); err != nil {
		return err
	}
	c.finalStates[jobID] = final
	return nil
}

// registerTask registers the record that holds a task. No other record may hold the same task.
func (c *checker) registerTask(key, jobID string, index int) {
	taskID := jobs.TaskID(jobID, index)
	if otherKey := c.recordByTask[taskID]; otherKey != "" {
		c.addFinding(key, fmt.Sprintf("holds %s, which %s holds too", taskID, otherKey))
	}
	c.recordByTask[taskID] = key
}

// checkLifecycle compares a job's record with its final state.
func (c *checker) checkLifecycle(jobID string, job *clusterstate.Job) {
	key := jobs.JobPrefix + jobID
	final, hasFinal := c.finalStates[jobID]
	if job.Record == nil {
		if !hasFinal && len(job.Tasks) > 0 {
			c.addFinding(key, "has tasks but neither a record nor a final state")
		}
		return
	}
	live := job.Record.State == jobs.Live
	if live {
		c.report.LiveJobs++
	}
	switch {
	case live && hasFinal:
		c.addFinding(key, fmt.Sprintf("is live, and %s for ever", final.State))
	case !live && !hasFinal:
		c.addFinding(key, fmt.Sprintf("is %s, but has no final state", job.Record.State))
	}
}

// checkTasks counts a job's tasks. It reports those with an index beyond the job's task count, and
// those on a machine without a record.
func (c *checker) checkTasks(job *clusterstate.Job) {
	for _, index := range slices.Sorted(maps.Keys(job.Tasks)) {
		task := job.Tasks[index]
		c.report.Tasks++
		if job.Record != nil && index >= job.Record.Spec.TaskCount {
			c.addFinding(task.StoredIn.Key, fmt.Sprintf("holds %s of a job of %d tasks", task.ID, job.Record.Spec.TaskCount))
		}
		if !task.OnMachine() {
			continue
		}
		c.report.TasksOnMachines++
		if c.state.Machines[task.Machine] == nil {
			c.addFinding(task.StoredIn.Key, fmt.Sprintf("%s is on %s, of which there is no record", task.ID, task.Machine))
		}
	}
}

// checkClaims reports values that the first value of the claims refers to and that are missing, and
// machines that are claimed for two jobs.
func (c *checker) checkClaims() {
	for _, number := range c.claimValues[1].Continuations() {
		if key := fleet.ClaimsKeyOf(number); c.snapshot.Items[key].Revision == 0 {
			c.addFinding(fleet.ClaimsKey, fmt.Sprintf("is continued in %s, which is missing", key))
		}
	}
	claims := fleet.JoinClaims(c.claimValues)
	claimedFor := map[string]string{}
	for _, jobID := range clusterstate.SortedKeys(claims) {
		for _, machine := range claims[jobID] {
			if other := claimedFor[machine]; other != "" && other != jobID {
				c.addFinding(fleet.ClaimsKey, fmt.Sprintf("%s is claimed for %s and for %s", machine, other, jobID))
			}
			claimedFor[machine] = jobID
		}
	}
}

// checkCalendar reports the tracks that have tasks on machines of classes without a common window.
func (c *checker) checkCalendar() {
	item, ok := c.snapshot.Items[calendar.StoreKey]
	if !ok {
		return
	}
	document, err := calendar.DecodeDocument(item.Value)
	if err != nil {
		return // reported by applyRecord
	}
	plan, err := calendar.Compile(document)
	if err != nil {
		c.addFinding(calendar.StoreKey, err.Error())
		return
	}
	onMachines := map[quota.Key]bool{}
	for _, job := range c.state.Jobs {
		if job.Record != nil && job.PlacedCount > 0 {
			onMachines[job.Record.Spec.QuotaKey()] = true
		}
	}
	for _, track := range plan.OverlappingTracks(onMachines) {
		c.addFinding(
			calendar.TrackKey(track),
			"work of two of its windows is on machines, unless it was there before the calendar",
		)
	}
}

// checkLimits reports the nodes of the quota tree that use more than their limit.
func (c *checker) checkLimits() {
	account := c.state.Account
	for _, node := range account.NodesOverLimit() {
		c.addFinding(quota.StoreKey, fmt.Sprintf(
			"%s uses %s, more than its limit, unless that was lowered a moment before",
			account.Tree().Path(node), account.Used(node),
		))
	}
}

// quotaTree returns the quota tree of the snapshot, or a flat tree of the teams if the snapshot has
// none, teams is nil or the stored tree is unusable.
func (c *checker) quotaTree(teams map[string]quota.Team) *quota.Tree {
	item, ok := c.snapshot.Items[quota.StoreKey]
	if !ok || teams == nil {
		return quota.Flat(teams)
	}
	stored, err := quota.Decode(item.Value)
	if err != nil {
		return quota.Flat(teams) // reported by applyRecord
	}
	tree, faults := quota.Build(&stored.Doc, teams, nil)
	for _, fault := range faults {
		c.addFinding(quota.StoreKey, fault)
	}
	if tree == nil {
		return quota.Flat(teams)
	}
	return tree
}
