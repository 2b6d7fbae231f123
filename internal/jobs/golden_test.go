package jobs

import (
	"reflect"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

const goldenUID = "wk-000412"

func goldenRecord() Record {
	due := 900.5
	return Record{State: Cancelled, AtMs: 1700000000001, EndMs: 1700000000002, Done: 3, Spec: Spec{
		UID: goldenUID, Class: "train", Owner: "vision", Shape: Ensemble, Rank: "urgent", Pieces: 8,
		Cores: 1.5, Accel: 0.25, MemoryGB: 12.75, Bundle: "registry/<image>&1", PullGB: 3.5,
		Builds: []string{"g2", "g4"}, Site: "z-b", SamePlace: true, Scatter: true, Loaner: true,
		ExpectS: 60.5, SnapshotS: 30, StashS: 4, DueS: &due,
	}}
}

func goldenTask() Task {
	return Task{State: Stopping, Part: "ctl-a", Site: "z-b", Want: "m-1", Host: "m-2", Try: 7, Fails: 2,
		Bad: []string{"m-3", "m-4"}, After: 1700000000003, Why: "makes way"}
}

func TestGoldenRecord(t *testing.T) {
	full := goldenRecord()
	goldentest.Filled(t, full)
	least := Record{State: Live, Spec: Spec{UID: goldenUID, Rank: "prod", Pieces: 1}}
	for name, r := range map[string]Record{"job.json": full, "job-least.json": least} {
		goldentest.JSON(t, name, r)
		back, err := DecodeRecord(goldenUID, goldentest.Read(t, name))
		if err != nil || !reflect.DeepEqual(*back, r) {
			t.Errorf("%s: read %+v, %v", name, back, err)
			continue
		}
		goldentest.Bytes(t, name, Encode(back))
	}
}

func TestGoldenFinal(t *testing.T) {
	full := Final{State: Done, Done: 9}
	goldentest.Filled(t, full)
	goldentest.JSON(t, "final.json", full)
	goldentest.JSON(t, "final-least.json", Final{State: Cancelled})
}

func TestGoldenSlice(t *testing.T) {
	full := goldenTask()
	goldentest.Filled(t, full)
	goldentest.Filled(t, storedSlice{Version: sliceVersion, Tasks: []Task{full}})
	tasks := []Task{full, {State: Pending}, {State: Released, Part: "ctl-b"}, {State: Placed, Host: "m", Try: 1}, {State: Finished, Try: 4}}
	lean := append([]Task{}, tasks...)
	lean[0].Bad, lean[0].Why = nil, ""
	for _, c := range []struct {
		name  string
		limit int
		want  []Task
	}{{"slice.json", 1 << 20, tasks}, {"slice-lean.json", 1, lean}} {
		goldentest.Bytes(t, c.name, EncodeSlice(tasks, c.limit))
		back, err := DecodeSlice(goldentest.Read(t, c.name))
		if err != nil || !reflect.DeepEqual(back, c.want) {
			t.Errorf("%s: read %+v, %v", c.name, back, err)
			continue
		}
		goldentest.Bytes(t, c.name, EncodeSlice(back, 1<<20))
	}
}

// TestGoldenFirstTask is the first form of a task's record, which is still read.
func TestGoldenFirstTask(t *testing.T) {
	for name, task := range map[string]Task{"task-first.json": goldenTask(), "task-first-least.json": {State: Pending}} {
		goldentest.JSON(t, name, task)
		back, err := DecodeSlice(goldentest.Read(t, name))
		if err != nil || !reflect.DeepEqual(back, []Task{task}) {
			t.Errorf("%s: read %+v, %v", name, back, err)
			continue
		}
		goldentest.Bytes(t, name, Encode(back[0]))
	}
}

func TestGoldenBuild(t *testing.T) {
	full := Build{Name: "g2", Cores: 64.5, Accel: 8, MemoryGB: 512, CacheGB: 200, PullRate: 1.25, Hourly: 12.5, LowPrice: 3.75, ReadyS: 90, Sites: []string{"z-a", "z-b"}}
	goldentest.Filled(t, full)
	goldentest.JSON(t, "build.json", full)
	goldentest.JSON(t, "build-least.json", Build{})
}

func TestGoldenWords(t *testing.T) {
	words := []string{
		JobPrefix, TaskPrefix, FinalPrefix, SliceKey(goldenUID, 16),
		string(Live), string(Cancelled), string(Done),
		string(Pending), string(Released), string(Placed), string(Stopping), string(Finished),
		Sweep, Ensemble, Standing,
	}
	goldentest.Bytes(t, "words.txt", []byte(strings.Join(append(words, ranks...), "\n")+"\n"))
}
