package jobs

import (
	"reflect"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

const goldenJobID = "wk-000412"

func goldenRecord() Record {
	due := 900.5
	return Record{State: Cancelled, AcceptedMs: 1700000000001, EndMs: 1700000000002, DoneCount: 3, Spec: Spec{
		ID: goldenJobID, Class: "train", Team: "vision", Kind: Gang, Priority: "urgent", TaskCount: 8,
		Cores: 1.5, Accelerators: 0.25, MemoryGB: 12.75, Image: "registry/<image>&1", ImageGB: 3.5,
		MachineTypes: []string{"g2", "g4"}, Zone: "z-b", SameZone: true, SpreadZones: true, Spot: true,
		ExpectedDurationS: 60.5, CheckpointIntervalS: 30, CheckpointTimeS: 4, DeadlineS: &due,
	}}
}

func goldenTask() Task {
	return Task{
		State: Stopping, Controller: "ctl-a", Zone: "z-b", PreferredMachine: "m-1", Machine: "m-2", Attempt: 7, Failures: 2,
		FailedOn: []string{"m-3", "m-4"}, NotBeforeMs: 1700000000003, Reason: "makes way",
	}
}

func TestGoldenRecord(t *testing.T) {
	full := goldenRecord()
	goldentest.RequireNonZeroFields(t, full)
	minimal := Record{State: Live, Spec: Spec{ID: goldenJobID, Priority: "prod", TaskCount: 1}}
	for name, r := range map[string]Record{"job.json": full, "job-least.json": minimal} {
		goldentest.JSON(t, name, r)
		decoded, err := DecodeRecord(goldenJobID, goldentest.Read(t, name))
		if err != nil || !reflect.DeepEqual(*decoded, r) {
			t.Errorf("%s: read %+v, %v", name, decoded, err)
			continue
		}
		goldentest.Bytes(t, name, Encode(decoded))
	}
}

func TestGoldenStoredState(t *testing.T) {
	full := StoredState{State: Done, DoneCount: 9}
	goldentest.RequireNonZeroFields(t, full)
	goldentest.JSON(t, "final.json", full)
	goldentest.JSON(t, "final-least.json", StoredState{State: Cancelled})
}

func TestGoldenTaskRange(t *testing.T) {
	full := goldenTask()
	goldentest.RequireNonZeroFields(t, full)
	goldentest.RequireNonZeroFields(t, storedTaskRange{Version: taskRangeVersion, Tasks: []Task{full}})
	tasks := []Task{
		full,
		{State: Pending},
		{State: Assigned, Controller: "ctl-b"},
		{State: Placed, Machine: "m", Attempt: 1},
		{State: Finished, Attempt: 4},
	}
	trimmed := append([]Task{}, tasks...)
	trimmed[0].FailedOn, trimmed[0].Reason = nil, ""
	for _, c := range []struct {
		name  string
		limit int
		want  []Task
	}{{"slice.json", 1 << 20, tasks}, {"slice-lean.json", 1, trimmed}} {
		goldentest.Bytes(t, c.name, EncodeTaskRange(tasks, c.limit))
		decoded, err := DecodeTaskRange(goldentest.Read(t, c.name))
		if err != nil || !reflect.DeepEqual(decoded, c.want) {
			t.Errorf("%s: read %+v, %v", c.name, decoded, err)
			continue
		}
		goldentest.Bytes(t, c.name, EncodeTaskRange(decoded, 1<<20))
	}
}

// TestGoldenTaskFirstVersion checks that the first version of a task's record can still be read.
func TestGoldenTaskFirstVersion(t *testing.T) {
	for name, task := range map[string]Task{"task-first.json": goldenTask(), "task-first-least.json": {State: Pending}} {
		goldentest.JSON(t, name, task)
		decoded, err := DecodeTaskRange(goldentest.Read(t, name))
		if err != nil || !reflect.DeepEqual(decoded, []Task{task}) {
			t.Errorf("%s: read %+v, %v", name, decoded, err)
			continue
		}
		goldentest.Bytes(t, name, Encode(decoded[0]))
	}
}

func TestGoldenMachineType(t *testing.T) {
	full := MachineType{
		Name:         "g2",
		Cores:        64.5,
		Accelerators: 8,
		MemoryGB:     512,
		CacheGB:      200,
		ImageGBPerS:  1.25,
		Hourly:       12.5,
		SpotHourly:   3.75,
		BootS:        90,
		Zones:        []string{"z-a", "z-b"},
	}
	goldentest.RequireNonZeroFields(t, full)
	goldentest.JSON(t, "build.json", full)
	goldentest.JSON(t, "build-least.json", MachineType{})
}

func TestGoldenConstants(t *testing.T) {
	constants := []string{
		JobPrefix, TaskPrefix, FinalPrefix, TaskRangeKey(goldenJobID, 16),
		string(Live), string(Cancelled), string(Done),
		string(Pending), string(Assigned), string(Placed), string(Stopping), string(Finished),
		JobArray, Gang, Service,
	}
	goldentest.Bytes(t, "words.txt", []byte(strings.Join(append(constants, priorities...), "\n")+"\n"))
}
