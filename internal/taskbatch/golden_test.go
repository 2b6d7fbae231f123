package taskbatch

import (
	"encoding/base64"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

func goldenEntries() []Entry {
	return []Entry{
		{JobID: "wk-1", Index: 3, Task: jobs.Task{
			State:            jobs.Stopping,
			Controller:       "ctl-a",
			Zone:             "z-b",
			PreferredMachine: "m-1",
			Machine:          "m-2",
			Attempt:          7,
			Failures:         2,
			FailedOn:         []string{"m-3", "m-1"},
			NotBeforeMs:      1700000000003,
			Reason:           "makes way",
		}},
		{JobID: "wk-1", Index: 4, Task: jobs.Task{
			State:            jobs.Assigned,
			Controller:       "ctl-b",
			Zone:             "z-a",
			PreferredMachine: "m-2",
		}},
		{JobID: "wk-2", Index: 0, Task: jobs.Task{State: jobs.Pending}},
		{JobID: "wk-2", Index: 1, Task: jobs.Task{State: jobs.Placed, Machine: "m-9", Attempt: 300}},
		{JobID: "wk-2", Index: 2, Task: jobs.Task{State: jobs.Finished, Attempt: 5}},
	}
}

func TestGoldenBatchRecord(t *testing.T) {
	full := goldenEntries()
	goldentest.RequireNonZeroFields(t, full)
	tests := []struct {
		file    string
		entries []Entry
	}{
		{"pack.json", full},
		{"pack-least.json", full[2:3]},
		{"pack-lean.json", withoutPlacementInfo(full)},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			goldentest.Bytes(t, test.file, Encode(test.entries))
			recorded := goldentest.Read(t, test.file)
			decoded, err := Decode(recorded)
			if err != nil || !reflect.DeepEqual(decoded, test.entries) {
				t.Fatalf("decoded %+v, error %v", decoded, err)
			}
			goldentest.Bytes(t, test.file, Encode(decoded))
			goldentest.JSON(t, test.file, decodeStored(t, recorded))
			if jobIDs, ok := JobIDs(recorded); !ok || len(jobIDs) == 0 {
				t.Errorf("got job IDs %q, ok %v", jobIDs, ok)
			}
		})
	}
}

// TestGoldenPackedForm checks the packed form of the tasks before compression.
func TestGoldenPackedForm(t *testing.T) {
	s := decodeStored(t, goldentest.Read(t, "pack.json"))
	goldentest.RequireNonZeroFields(t, s)
	compressed, err := base64.StdEncoding.DecodeString(s.Tasks)
	if err != nil {
		t.Fatal(err)
	}
	_, decompressor := zstdCodec()
	packed, err := decompressor.DecodeAll(compressed, nil)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "pack-unpacked.bin", packed)
}

func decodeStored(t *testing.T, value []byte) stored {
	t.Helper()
	var s stored
	if err := json.Unmarshal(value, &s); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestGoldenConstants(t *testing.T) {
	constants := []string{KeyPrefix}
	for _, s := range states {
		constants = append(constants, string(s))
	}
	goldentest.Bytes(t, "words.txt", []byte(strings.Join(constants, "\n")+"\n"))
}
