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
			State: jobs.Stopping, Controller: "ctl-a", Zone: "z-b", PreferredMachine: "m-1", Machine: "m-2", Attempt: 7, Failures: 2,
			FailedOn: []string{"m-3", "m-1"}, NotBeforeMs: 1700000000003, Reason: "makes way",
		}},
		{JobID: "wk-1", Index: 4, Task: jobs.Task{State: jobs.Released, Controller: "ctl-b", Zone: "z-a", PreferredMachine: "m-2"}},
		{JobID: "wk-2", Index: 0, Task: jobs.Task{State: jobs.Pending}},
		{JobID: "wk-2", Index: 1, Task: jobs.Task{State: jobs.Placed, Machine: "m-9", Attempt: 300}},
		{JobID: "wk-2", Index: 2, Task: jobs.Task{State: jobs.Finished, Attempt: 5}},
	}
}

func TestGoldenPack(t *testing.T) {
	full := goldenEntries()
	goldentest.Filled(t, full)
	for name, es := range map[string][]Entry{"pack.json": full, "pack-least.json": full[2:3], "pack-lean.json": withoutPlacementInfo(full)} {
		goldentest.Bytes(t, name, Encode(es))
		stands := goldentest.Read(t, name)
		back, err := Decode(stands)
		if err != nil || !reflect.DeepEqual(back, es) {
			t.Errorf("%s: read %+v, %v", name, back, err)
			continue
		}
		goldentest.Bytes(t, name, Encode(back))
		goldentest.JSON(t, name, storedOf(t, stands))
		if jobIDs, ok := JobIDs(stands); !ok || len(jobIDs) == 0 {
			t.Errorf("%s: its jobs are %q, %v", name, jobIDs, ok)
		}
	}
}

// TestGoldenUnpacked holds what is within a pack, before it is compressed.
func TestGoldenUnpacked(t *testing.T) {
	s := storedOf(t, goldentest.Read(t, "pack.json"))
	goldentest.Filled(t, s)
	packed, err := base64.StdEncoding.DecodeString(s.Tasks)
	if err != nil {
		t.Fatal(err)
	}
	_, dec := zstdCodec()
	b, err := dec.DecodeAll(packed, nil)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "pack-unpacked.bin", b)
}

func storedOf(t *testing.T, b []byte) stored {
	t.Helper()
	var s stored
	if err := json.Unmarshal(b, &s); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestGoldenWords(t *testing.T) {
	words := []string{KeyPrefix}
	for _, s := range states {
		words = append(words, string(s))
	}
	goldentest.Bytes(t, "words.txt", []byte(strings.Join(words, "\n")+"\n"))
}
