package completion

import (
	"slices"
	"testing"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

const jobID = "wk-0"

var (
	placed   = jobs.Task{State: jobs.Placed, Machine: "i-1", Attempt: 1}
	finished = jobs.Task{State: jobs.Finished, Attempt: 1}
)

// newState returns a state with a live job array of taskCount tasks.
func newState(t *testing.T, taskCount int) *clusterstate.State {
	t.Helper()
	state := clusterstate.New(quota.Flat(nil), func(string) {})
	record := jobs.Record{State: jobs.Live, AcceptedMs: 1, Spec: jobs.Spec{
		ID:        jobID,
		Class:     "c",
		Team:      "t",
		Kind:      jobs.JobArray,
		Priority:  "standard",
		TaskCount: taskCount,
		Cores:     1,
		MemoryGB:  1,
		Image:     "b",
	}}
	if err := state.ApplyJob(jobID, jobs.Encode(record)); err != nil {
		t.Fatal(err)
	}
	return state
}

// applyRange adds tasks to the state in a task range of the job.
func applyRange(t *testing.T, state *clusterstate.State, first int, tasks ...jobs.Task) {
	t.Helper()
	if _, err := state.ApplyTaskRange(jobs.TaskRangeKey(jobID, first), jobs.EncodeTaskRange(tasks, 8192)); err != nil {
		t.Fatal(err)
	}
}

// applyBatch adds tasks of the job to the state in a batch record at revision 5.
func applyBatch(t *testing.T, state *clusterstate.State, tasks ...jobs.Task) {
	t.Helper()
	var entries []taskbatch.Entry
	for index, task := range tasks {
		entries = append(entries, taskbatch.Entry{JobID: jobID, Index: index, Task: task})
	}
	if _, err := state.ApplyBatch("pack/1", taskbatch.Encode(entries), 5); err != nil {
		t.Fatal(err)
	}
}

func notBusy(string) bool { return false }

func writtenKeys(decisions ...decide.Decision) []string {
	var keys []string
	for _, decision := range decisions {
		keys = append(keys, decision.Keys()...)
	}
	return keys
}

func TestInOneTransactionRequiresInactiveJobThatFits(t *testing.T) {
	firstRange := jobs.TaskRangeKey(jobID, 0)
	cases := []struct {
		name   string
		task   jobs.Task
		txnOps int
		busy   func(string) bool
		want   bool
	}{
		{"all finished", finished, 3, notBusy, true},
		{"one task on a machine", placed, 3, notBusy, false},
		{"more records than fit a transaction", finished, 2, notBusy, false},
		{"a task range in flight", finished, 3, func(key string) bool { return key == firstRange }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := newState(t, 1)
			applyRange(t, state, 0, c.task)
			decision, ok := InOneTransaction(state.Jobs[jobID], jobs.Done, c.txnOps, c.busy)
			if ok != c.want {
				t.Fatalf("InOneTransaction returned ok = %v", ok)
			}
			want := []string{jobs.FinalPrefix + jobID, jobs.JobPrefix + jobID, firstRange}
			if ok && (!slices.Equal(writtenKeys(decision), want) || !decision.Urgent || !decision.CompletesJob) {
				t.Errorf("got decision %+v, want an urgent one that completes the job and writes its three records", decision)
			}
		})
	}
}

func TestClearRecordsKeepsTasksThatMayBeOnMachines(t *testing.T) {
	ranges := []string{jobs.TaskRangeKey(jobID, 0), jobs.TaskRangeKey(jobID, 2)}
	cases := []struct {
		name   string
		second jobs.Task // second task of the second task range
		txnOps int
		busy   func(string) bool
		want   []string
	}{
		{"all finished", finished, 4, notBusy, ranges},
		{"at most the writes of one transaction", finished, 1, notBusy, ranges[:1]},
		{"a task on a machine", placed, 4, notBusy, ranges[:1]},
		{"a task range in flight", finished, 4, func(key string) bool { return key == ranges[0] }, ranges[1:]},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := newState(t, 4)
			applyRange(t, state, 0, finished, finished)
			applyRange(t, state, 2, finished, c.second)
			if got := writtenKeys(ClearRecords(state.Jobs[jobID], c.txnOps, c.busy)...); !slices.Equal(got, c.want) {
				t.Errorf("removed records %v", got)
			}
		})
	}
	t.Run("no task range left", func(t *testing.T) {
		got := writtenKeys(ClearRecords(newState(t, 1).Jobs[jobID], 4, notBusy)...)
		if !slices.Equal(got, []string{jobs.JobPrefix + jobID}) {
			t.Errorf("removed records %v, want only that of the job", got)
		}
	})
}

func TestWithLastTaskRequiresOneRangeOrBatches(t *testing.T) {
	cases := []struct {
		name  string
		apply func(t *testing.T, state *clusterstate.State)
		index int
		want  bool
		reads []string
	}{
		{"last of one task range", func(t *testing.T, state *clusterstate.State) {
			t.Helper()
			applyRange(t, state, 0, finished, placed)
		}, 1, true, nil},
		{"not the last", func(t *testing.T, state *clusterstate.State) {
			t.Helper()
			applyRange(t, state, 0, placed, placed)
		}, 1, false, nil},
		{"one of two task ranges", func(t *testing.T, state *clusterstate.State) {
			t.Helper()
			applyRange(t, state, 0, finished)
			applyRange(t, state, 1, placed)
		}, 1, false, nil},
		{"last in a batch record", func(t *testing.T, state *clusterstate.State) {
			t.Helper()
			applyBatch(t, state, finished, placed)
		}, 1, true, []string{fleet.MachinePrefix + "i-1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := newState(t, 2)
			c.apply(t, state)
			decision, ok := WithLastTask(state.Jobs[jobID].Tasks[c.index])
			if ok != c.want || !slices.Equal(decision.ReadSet, c.reads) {
				t.Errorf("got ok %v, decision %+v", ok, decision)
			}
		})
	}
}

func TestClearBatchesRemovesOnlyThoseOfEndedJobs(t *testing.T) {
	cases := []struct {
		name       string
		jobGone    bool
		knownEpoch uint64
		want       []string
	}{
		{"job is live", false, 5, nil},
		{"job is gone", true, 5, []string{"pack/1"}},
		{"job is gone, batch record newer than the known epoch", true, 4, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := newState(t, 1)
			applyBatch(t, state, finished)
			if c.jobGone {
				if err := state.ApplyJob(jobID, nil); err != nil {
					t.Fatal(err)
				}
			}
			decisions := ClearBatches(state, c.knownEpoch, decide.ReplayGuard{}, 4, notBusy)
			if got := writtenKeys(decisions...); !slices.Equal(got, c.want) {
				t.Errorf("removed records %v", got)
			}
		})
	}
}

func TestClearBatchesKeepsRecordsUntilReplayGuardChanges(t *testing.T) {
	for _, c := range []struct {
		changedRevision uint64
		want            []string
	}{{5, nil}, {6, []string{"pack/1"}}} {
		state := newState(t, 1)
		applyBatch(t, state, finished) // created at revision 5
		if err := state.ApplyJob(jobID, nil); err != nil {
			t.Fatal(err)
		}
		guard := decide.ReplayGuard{Key: "scaler", ChangedRevision: c.changedRevision}
		if got := writtenKeys(ClearBatches(state, 9, guard, 4, notBusy)...); !slices.Equal(got, c.want) {
			t.Errorf("guard changed at revision %d: removed records %v, want %v", c.changedRevision, got, c.want)
		}
	}
}
