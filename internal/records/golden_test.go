package records

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
		{UID: "wk-1", N: 3, Task: jobs.Task{State: jobs.Stopping, Part: "ctl-a", Site: "z-b", Want: "m-1", Host: "m-2", Try: 7, Fails: 2,
			Bad: []string{"m-3", "m-1"}, After: 1700000000003, Why: "makes way"}},
		{UID: "wk-1", N: 4, Task: jobs.Task{State: jobs.Released, Part: "ctl-b", Site: "z-a", Want: "m-2"}},
		{UID: "wk-2", N: 0, Task: jobs.Task{State: jobs.Pending}},
		{UID: "wk-2", N: 1, Task: jobs.Task{State: jobs.Placed, Host: "m-9", Try: 300}},
		{UID: "wk-2", N: 2, Task: jobs.Task{State: jobs.Finished, Try: 5}},
	}
}

func TestGoldenPack(t *testing.T) {
	full := goldenEntries()
	goldentest.Filled(t, full)
	for name, es := range map[string][]Entry{"pack.json": full, "pack-least.json": full[2:3], "pack-lean.json": lean(full)} {
		goldentest.Bytes(t, name, Encode(es))
		stands := goldentest.Read(t, name)
		back, err := Decode(stands)
		if err != nil || !reflect.DeepEqual(back, es) {
			t.Errorf("%s: read %+v, %v", name, back, err)
			continue
		}
		goldentest.Bytes(t, name, Encode(back))
		goldentest.JSON(t, name, storedOf(t, stands))
		if uids, ok := Jobs(stands); !ok || len(uids) == 0 {
			t.Errorf("%s: its jobs are %q, %v", name, uids, ok)
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
	_, dec := coder()
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
	words := []string{Prefix}
	for _, s := range states {
		words = append(words, string(s))
	}
	goldentest.Bytes(t, "words.txt", []byte(strings.Join(words, "\n")+"\n"))
}
