package pipelines

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

// goldenRecord returns a record with a step in each state and a step with each cause.
func goldenRecord(doc string) Record {
	r := Record{
		State:      RunFailed,
		AcceptedMs: 1700000000001,
		EndMs:      1700000900000,
		Checksum:   Checksum([]byte(doc)),
		Salt:       "0123456789abcdef",
		Document:   []byte(doc),
		Steps: []StepRun{
			{
				State:          Failed,
				Attempt:        3,
				Cause:          TimedOut,
				AcceptedMs:     1700000000010,
				EndMs:          1700000000500,
				DoubtedSinceMs: 1700000000020,
			},
		},
	}
	for _, s := range stepStates {
		r.Steps = append(r.Steps, StepRun{State: s})
	}
	for i, cause := range causes {
		r.Steps = append(r.Steps, StepRun{State: Failed, Cause: cause, AcceptedMs: 1700000001000 + int64(i)})
	}
	return r
}

func TestGoldenRun(t *testing.T) {
	const short = `{"name":"p","owner":"vision"}`
	long := `{"name":"p","owner":"vision","steps":[` + strings.Repeat(`{"name":"a","bundle":"b"},`, 40) + `{}]}`
	full := goldenRecord(long)
	minimal := Record{State: RunLive, Document: []byte(`{}`)}
	goldentest.RequireNonZeroFields(t, full, "packedDoc") // packedDoc is made by Encode
	for name, r := range map[string]Record{
		"run.json":       full,
		"run-plain.json": goldenRecord(short),
		"run-least.json": minimal,
	} {
		want := r
		goldentest.Bytes(t, name, r.Encode())
		golden := goldentest.Read(t, name)
		back, err := Decode(golden)
		if err != nil {
			t.Errorf("%s: not decoded: %v", name, err)
			continue
		}
		again := *back
		goldentest.Bytes(t, name, again.Encode())
		back.packedDoc = nil // packed anew
		if !reflect.DeepEqual(*back, want) {
			t.Errorf("%s: decoded as %+v, want %+v", name, *back, want)
		}
		goldentest.Bytes(t, name, back.Encode())

		var s stored
		if err := json.Unmarshal(golden, &s); err != nil {
			t.Fatal(err)
		}
		goldentest.JSON(t, name, s)
		if name == "run.json" {
			goldentest.RequireNonZeroFields(t, s)
		}
	}
}

func TestGoldenTexts(t *testing.T) {
	texts := []string{RunPrefix, EndedRunPrefix, JobID("run-1", "0123456789abcdef", "a[x=1]", 2), Checksum([]byte(`{}`))}
	for _, s := range []RunState{RunLive, RunCancelling, RunSucceeded, RunFailed, RunCancelled} {
		texts = append(texts, string(s))
	}
	for _, s := range stepStates {
		texts = append(texts, string(s))
	}
	for _, cause := range causes {
		texts = append(texts, string(cause))
	}
	goldentest.Bytes(t, "words.txt", []byte(strings.Join(texts, "\n")+"\n"))
}
