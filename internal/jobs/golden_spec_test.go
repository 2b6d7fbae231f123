package jobs

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

// goldenSpec returns a specification with every field set.
func goldenSpec() Spec {
	due := 900.25
	return Spec{
		ID:                  "wk-000412",
		Class:               "nightly-reco",
		Team:                "storefront",
		Kind:                Gang,
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
		DeadlineS:           &due,
	}
}

// minimalSpec returns a specification without any field that a record may omit.
func minimalSpec() Spec {
	return Spec{ID: "wk-000413", Class: "c", Team: "t", Kind: JobArray, Priority: "idle", TaskCount: 1, Image: "b"}
}

// The encoding of submissions does not change, and decoding one returns the same specification.
func TestGoldenSubmissions(t *testing.T) {
	full, minimal := goldenSpec(), minimalSpec()
	goldentest.RequireNonZeroFields(t, full)
	for name, want := range map[string]*Spec{"spec-full.json": &full, "spec-lean.json": &minimal} {
		goldentest.JSON(t, name, *want)
	}
	for name, want := range map[string]*Spec{"submission-full.json": &full, "submission-lean.json": &minimal} {
		goldentest.Bytes(t, name, want.Submission())
		got, err := ParseSpec(goldentest.Read(t, name))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: read as %+v, not as %+v: %v", name, got, want, err)
		}
	}
}

func TestGoldenSubmissionErrors(t *testing.T) {
	var out strings.Builder
	record := func(body []byte) {
		_, fieldErrors := CheckSpec(body)
		fmt.Fprintf(&out, "%s\n", body)
		for _, f := range fieldErrors {
			fmt.Fprintf(&out, "  %s\n", f.Error())
		}
		if _, err := ParseSpec(body); err != nil {
			fmt.Fprintf(&out, "  first: %v\n", err)
		}
	}
	for _, body := range []string{
		`{}`, ``, `[]`, `{"uid":`,
		`{"uid":"x","jobclass":"","owner":"","shape":"star","rank":"high","pieces":1.5,` +
			`"cores":-1,"accelerators":-1,"memory_gb":2e9,"bundle":"","pull_gb":-1,"builds":[],"site":"",` +
			`"same_place":null,"scatter":null,"loaner":null,` +
			`"expect_s":-1,"snapshot_s":-1,"stash_s":-1,"due_s":-1}`,
		`{"builds":[` + strings.Repeat(`"b",`, maxMachineTypes) + `""]}`,
	} {
		record([]byte(body))
	}
	// Each field with a value of the wrong type: the error names the field.
	for _, name := range []string{
		"uid",
		"jobclass",
		"owner",
		"shape",
		"rank",
		"pieces",
		"cores",
		"accelerators",
		"memory_gb",
		"bundle",
		"pull_gb",
		"builds",
		"site",
		"same_place",
		"scatter",
		"loaner",
		"expect_s",
		"snapshot_s",
		"stash_s",
		"due_s",
	} {
		record(Encode(map[string]any{name: map[string]any{}}))
	}
	goldentest.Bytes(t, "submission-faults.txt", []byte(out.String()))
}

// The encoding of the cloud's machine types does not change.
func TestGoldenMachineTypesRoundTrip(t *testing.T) {
	full := MachineType{
		Name:         "g4",
		Cores:        32,
		Accelerators: 4,
		MemoryGB:     256,
		CacheGB:      100,
		ImageGBPerS:  1.5,
		Hourly:       10,
		SpotHourly:   3.25,
		BootS:        20,
		Zones:        []string{"north", "south"},
	}
	goldentest.RequireNonZeroFields(t, full)
	for name, want := range map[string]MachineType{"build-full.json": full, "build-lean.json": {Name: "g4"}} {
		goldentest.JSON(t, name, want)
		var got MachineType
		if err := json.Unmarshal(goldentest.Read(t, name), &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: read as %+v, not as %+v: %v", name, got, want, err)
		}
	}
}
