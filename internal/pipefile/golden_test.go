package pipefile

import (
	"bytes"
	"fmt"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

const goldenFiles = "testdata/golden/"

// TestGoldenPipeline checks the request and the plan of a pipeline file that sets every field.
func TestGoldenPipeline(t *testing.T) {
	f, faults := Load(goldenFiles + "full.yaml")
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	goldentest.Bytes(t, "full-request.json", f.Submission("run-1"))
	var out bytes.Buffer
	fmt.Fprintf(&out, "name %s, owner %s\n", f.Plan.Name, f.Plan.Owner)
	for _, g := range f.Plan.Groups {
		fmt.Fprintf(&out, "group %s needs %v, has steps %v, ancestors %v\n", g.Name, g.Needs, g.Steps, g.Ancestors)
	}
	for _, s := range f.Plan.Steps {
		condition := "none"
		if s.When != nil {
			condition = s.When.Text
		}
		fmt.Fprintf(
			&out,
			"step %s of group %d: matrix %s, when %s, allow_failure %v, repeats %d, timeout_s %g, doubt_s %g\n  %s\n",
			s.Name,
			s.Group,
			jobs.Encode(s.Matrix),
			condition,
			s.AllowFailure,
			s.MaxRetries,
			s.TimeoutS,
			s.DoubtS,
			jobs.Encode(s.Spec),
		)
	}
	goldentest.Bytes(t, "full-plan.txt", out.Bytes())
}

// TestGoldenJob checks the spec and the request of job files.
func TestGoldenJob(t *testing.T) {
	deadline := 900.25
	full := &jobs.Spec{
		ID:                  "wk-000412",
		Class:               "nightly-reco",
		Team:                "storefront",
		Kind:                jobs.Gang,
		Priority:            "urgent",
		TaskCount:           4,
		Cores:               2.5,
		Accelerators:        1.5,
		MemoryGB:            24,
		Image:               "img-7",
		ImageGB:             3.25,
		MachineTypes:        []string{"g4", "g8"},
		Zone:                "north",
		SameZone:            true,
		SpreadZones:         true,
		Spot:                true,
		ExpectedDurationS:   120,
		CheckpointIntervalS: 30,
		CheckpointTimeS:     4,
		DeadlineS:           &deadline,
	}
	goldentest.RequireNonZeroFields(t, full)
	lean := &jobs.Spec{
		ID:        "wk-7",
		Class:     "c",
		Team:      "t",
		Kind:      jobs.JobArray,
		Priority:  "standard",
		TaskCount: 2,
		Cores:     1,
		MemoryGB:  1,
		Image:     "b",
	}
	for name, want := range map[string]*jobs.Spec{"job": full, "job-lean": lean} {
		got, faults := LoadJob(goldenFiles+name+".yaml", func() string { return "wk-7" })
		if len(faults) > 0 || !reflect.DeepEqual(got, want) {
			t.Fatalf("%s: decoded as %+v: %v", name, got, faults)
		}
		goldentest.Bytes(t, name+"-request.json", got.Submission())
	}
}

// TestGoldenFaults checks the texts and JSON of all faults.
func TestGoldenFaults(t *testing.T) {
	var out bytes.Buffer
	add := func(file string, faults []Fault) {
		fmt.Fprintf(&out, "## %s\n", filepath.ToSlash(file))
		for _, f := range faults {
			fmt.Fprintf(&out, "%s\n%s\n", f.Error(), jobs.Encode(f))
		}
	}
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no files", err)
	}
	for _, file := range files {
		_, faults := Load(file)
		add(file, faults)
	}
	for _, name := range []string{"job-faults.yaml", "job-values.yaml", "none.yaml"} {
		_, faults := LoadJob(goldenFiles+name, func() string { return "wk-7" })
		add(name, faults)
	}
	goldentest.Bytes(t, "faults.txt", out.Bytes())
	goldentest.JSON(t, "fault.json", Fault{File: "a.yaml", Line: 3, Column: 4, Path: "steps[0]", Want: "expected a name"})
	goldentest.JSON(t, "fault-whole.json", Fault{File: "a.yaml", Want: "can't be opened"})
}
