package pipelines

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

func TestJobIDsAreDistinctAndValid(t *testing.T) {
	taken := map[string]bool{}
	for _, id := range []string{"run-1", "run-12"} {
		for _, salt := range []string{"a", "b"} {
			for _, name := range []string{"2a", "a", "a[x=1]"} {
				for attempt := range 3 {
					jobID := JobID(id, salt, name, attempt)
					if len(jobID) != 21 || !jobs.ValidID(jobID) || taken[jobID] || jobID != JobID(id, salt, name, attempt) {
						t.Errorf("invalid or repeated job ID %s of run %s, salt %s, step %s, attempt %d", jobID, id, salt, name, attempt)
					}
					taken[jobID] = true
				}
			}
		}
	}
}

// TestRecordsOfEarlierVersionsAreRead checks that records of all earlier versions stay readable.
// The files in testdata must never change; each version adds one.
func TestRecordsOfEarlierVersionsAreRead(t *testing.T) {
	for v := 1; v <= recordVersion; v++ {
		b, err := os.ReadFile(fmt.Sprintf("testdata/run-v%d.json", v))
		if err != nil {
			t.Fatal(err)
		}
		r, err := Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		s := r.Steps[1]
		if r.State != RunLive || r.AcceptedMs != 1e12 || len(r.Steps) != 3 || r.Steps[0].State != Succeeded ||
			s != (StepRun{State: Running, Attempt: 1, Cause: InDoubt, AcceptedMs: 1e12 + 5000, DoubtedSinceMs: 1e12 + 9000}) {
			t.Errorf("version %d: decoded as %+v", v, r)
		}
		if p, faults := CompileJSON(r.Document); p == nil {
			t.Errorf("version %d: faults of the document: %v", v, faults)
		}
	}
}

func TestUnreadableRecordsAreQuarantined(t *testing.T) {
	k := NewKeeper(Limits{Runs: 2, Steps: 10, TxnOps: 16})
	good := NewRecord(&Plan{Steps: make([]Step, 2)}, []byte(`{}`), "s", 1).Encode()
	for name, bad := range map[string]string{
		"null":                           `null`,
		"list":                           `[]`,
		"later version, no other fields": `{"v":2}`,
		"unknown state":                  `{"v":1,"s":"odd"}`,
		"document not packed":            `{"v":1,"s":"running","doc":"x","t":""}`,
		"steps not packed":               `{"v":1,"s":"running","doc":{},"t":"AAAA"}`,
		"later version":                  strings.Replace(string(good), `"v":1`, `"v":9`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			if k.Changed("run-1", json.RawMessage(bad)) == nil {
				t.Errorf("%s was accepted", bad)
			}
			if _, quarantined := k.Known("run-1"); !quarantined {
				t.Errorf("%s is not quarantined", bad)
			}
		})
	}
	// A readable record with an invalid document is quarantined as well.
	if err := k.Changed("run-1", good); err != nil {
		t.Fatal(err)
	}
	k.Reconcile(time.Now(), 1, yes, no, unlimitedBudget, &testController{})
	if _, quarantined := k.Known("run-1"); !quarantined || k.openSteps != 0 {
		t.Errorf("quarantined: %v, %d open steps", quarantined, k.openSteps)
	}
}

// FuzzDecode checks that no record causes a panic or unbounded decompression, and that decoded
// records can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"v":1,"s":"running","doc":{},"t":""}`))
	f.Add([]byte(NewRecord(&Plan{Steps: make([]Step, 2)}, []byte(documents[0]), "s", 1).Encode()))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		if again, err := Decode(r.Encode()); err != nil || len(again.Steps) != len(r.Steps) {
			t.Errorf("can't be decoded after encoding: %v", err)
		}
	})
}

func TestStepsSurvivePacking(t *testing.T) {
	at := int64(1e12)
	for i, state := range stepStates {
		for j, cause := range causes {
			want := []StepRun{
				{State: state, Cause: cause, Attempt: i + j, AcceptedMs: at + int64(i)*1e6, EndMs: at + 9e8},
				{State: Waiting},
			}
			got, err := unpackSteps(packSteps(want, at), at)
			if err != nil || !slices.Equal(got, want) {
				t.Fatalf("packed %+v, unpacked %+v: %v", want, got, err)
			}
		}
	}
}
