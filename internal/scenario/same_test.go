package scenario

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipefile"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// mixedPipeline has a step of every kind: a single task, an array limited by its team's quota, a
// gang in one zone, two concurrent steps bound to different zones, and an idle-priority step.
const mixedPipeline = `
name: same
owner: team
defaults: {cores: 2, accelerators: 1, memory_gb: 8, bundle: img-1, pull_gb: 1, expect_s: 5}
steps:
  - {name: fetch, rank: urgent}
  - {name: score, needs: fetch, pieces: 6, loaner: true}
  - {name: train, needs: score, shape: ensemble, pieces: 2, accelerators: 2, same_place: true,
     snapshot_s: 5, stash_s: 1, due_s: 900}
  - {name: west, needs: train, site: a, builds: [g4], bundle: img-2}
  - {name: east, needs: train, site: b, scatter: true, bundle: img-3}
  - {name: report, needs: [west, east], rank: idle, site: a, expect_s: 9}
`

// schedulerLog is all that the scheduler wrote about the jobs of a simulation.
type schedulerLog struct {
	Specs  map[string]jobs.Spec // by job, as accepted
	Finals map[string]string    // by job
	Tasks  map[string][]string  // by task: its states, with machine, zone and attempt
	Used   map[string]int       // by task: accelerators charged, once for each placement
}

// state appends a task's state if it has changed.
func (log *schedulerLog) state(jobID string, n int, task *jobs.Task) {
	taskID := jobs.TaskID(jobID, n)
	state := fmt.Sprintf("%s on %s in %s, try %d", task.State, task.Machine, task.Zone, task.Attempt)
	if k := len(log.Tasks[taskID]); k == 0 || log.Tasks[taskID][k-1] != state {
		log.Tasks[taskID] = append(log.Tasks[taskID], state)
		if task.State == jobs.Placed {
			log.Used[taskID] += int(log.Specs[jobID].Accelerators)
		}
	}
}

// newLoggedSimulator returns a simulation with three controllers, and the log of what they write.
func newLoggedSimulator(t *testing.T) (*simulation.Simulator, *schedulerLog) {
	t.Helper()
	sim := simulation.NewSimulator(3, slog.New(slog.DiscardHandler))
	set := baseSettings(sim)
	set.Cluster.Teams = []settings.Team{{Name: "team", Gpus: 2, GpusMax: 4}}
	set.Operator.Pipelines = settings.DefaultPipelines()
	sim.TeamLimits["team"] = 4
	for _, zone := range []string{"a", "a", "b"} {
		sim.Cloud.AddRunning("g4", zone, false)
	}
	sim.Cloud.Limit = 3
	log := &schedulerLog{map[string]jobs.Spec{}, map[string]string{}, map[string][]string{}, map[string]int{}}
	sim.Store.Committed = func(key string, v json.RawMessage) {
		kind, name, _ := strings.Cut(key, "/")
		if v == nil {
			return
		}
		switch kind + "/" {
		case jobs.JobPrefix:
			if r, err := jobs.DecodeRecord(name, v); err == nil {
				log.Specs[name] = r.Spec
			}
		case jobs.FinalPrefix:
			log.Finals[name] = string(v)
		case taskbatch.KeyPrefix:
			es, err := taskbatch.Decode(v)
			if err != nil {
				t.Error(err)
			}
			for _, e := range es {
				log.state(e.JobID, e.Index, &e.Task)
			}
		case jobs.TaskPrefix:
			jobID, from, _ := jobs.SplitTaskID(name)
			tasks, err := jobs.DecodeTaskRange(v)
			if err != nil {
				t.Error(err)
			}
			for i, task := range tasks {
				log.state(jobID, from+i, &task)
			}
		}
	}
	sim.AddNodes(3, set)
	return sim, log
}

// submitSteps submits each step of a pipeline file as a job as soon as the steps that it needs are
// done.
func submitSteps(sim *simulation.Simulator, plainLog *schedulerLog, f *pipefile.File, jobID map[string]string) {
	sent := map[string]bool{}
	for at := 5 * time.Second; at < 150*time.Second; at += 20 * time.Millisecond {
		for i := range f.Plan.Steps {
			s := &f.Plan.Steps[i]
			ready := !sent[s.Name]
			for _, need := range f.Plan.Groups[s.Group].Needs {
				ready = ready && plainLog.Finals[jobID[f.Plan.Groups[need].Name]] != ""
			}
			if ready {
				sent[s.Name] = true
				sim.Submit(jobOf(s.Spec, jobID[s.Name]))
			}
		}
		sim.RunUntil(at)
	}
}

// jobOf returns a step's job as a user submits it.
func jobOf(spec jobs.Spec, jobID string) *simulation.Job {
	spec.ID = jobID
	return &simulation.Job{
		ID:                  spec.ID,
		Kind:                spec.Kind,
		Team:                spec.Team,
		TaskCount:           spec.TaskCount,
		Accelerators:        spec.Accelerators,
		RunS:                spec.ExpectedDurationS,
		PullS:               spec.ImageGB,
		SameZone:            spec.SameZone,
		SpreadZones:         spec.SpreadZones,
		Spot:                spec.Spot,
		Zone:                spec.Zone,
		MachineTypes:        spec.MachineTypes,
		CheckpointIntervalS: spec.CheckpointIntervalS,
		Body:                spec.Submission(),
	}
}

// TestPipelineAndPlainJobsScheduleAlike submits the same work as a pipeline file, and as plain jobs
// by a user who submits each as soon as its dependencies are done. All that the scheduler writes
// must be equal: specs, placements, quota charges and outcomes.
func TestPipelineAndPlainJobsScheduleAlike(t *testing.T) {
	f, faults := pipefile.Parse("same", []byte(mixedPipeline))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	sim, pipelineLog := newLoggedSimulator(t)
	sim.RunUntil(5 * time.Second)
	run := &simulation.Run{ID: "run-1", Body: f.Submission("run-1")}
	sim.SubmitRun(run)
	sim.RunUntil(150 * time.Second)
	if run.State != string(pipelines.RunSucceeded) || len(sim.Violations) > 0 {
		t.Fatal(run.State, run.Status, sim.Violations)
	}
	jobID := map[string]string{}
	for _, s := range run.Status.Steps {
		jobID[s.Name] = s.JobID
	}

	sim, plainLog := newLoggedSimulator(t)
	sim.RunUntil(5 * time.Second)
	submitSteps(sim, plainLog, f, jobID)
	if len(sim.Violations) > 0 {
		t.Fatal(sim.Violations)
	}
	if len(plainLog.Finals) != len(f.Plan.Steps) || len(pipelineLog.Tasks) != 12 {
		t.Fatalf("%d jobs ended, %d tasks", len(plainLog.Finals), len(pipelineLog.Tasks))
	}
	a, b := reflect.ValueOf(*pipelineLog), reflect.ValueOf(*plainLog)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			t.Errorf("%s differ:\npipeline %v\nplain jobs %v", a.Type().Field(i).Name, a.Field(i), b.Field(i))
		}
	}
	for _, taskID := range slices.Sorted(maps.Keys(pipelineLog.Tasks)) {
		t.Log(taskID, pipelineLog.Tasks[taskID])
	}
}
