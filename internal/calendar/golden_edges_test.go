package calendar

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/quota"
)

const goldenFile = `calendar {
  revision = 3
  zone     = "Africa/Nairobi"
  track "markets" {
    window "export-orders" {
      team    = "shop"
      classes = ["export"]
      zone    = "Europe/Rome"
      start   = "2026-01-05T22:00"
      rule    = "FREQ=DAILY"
      length  = "3h"
      slip    = "20m"
      at_end  = "stop"
      missed  = "run"
      late    = "4h"
      need {
        cores        = 10
        accelerators = 2
        memory_gb    = 50
      }
    }
    window "weekend-pricing" {
      team    = "prices"
      classes = ["weekend", "match"]
      start   = "2026-01-10T10:00"
      rule    = "FREQ=WEEKLY;BYDAY=SA,SU"
      until   = "15:00"
      at_end  = "finish"
      missed  = "skip"
    }
  }
}
`

// TestGoldenFile checks that a calendar file is decoded, and its preview printed, as in the golden
// files.
func TestGoldenFile(t *testing.T) {
	goldentest.Bytes(t, "full.hcl", []byte(goldenFile))
	want := &Document{Revision: 3, Zone: "Africa/Nairobi", Tracks: []TrackDoc{{Name: "markets", Windows: []WindowDoc{
		{
			Name:    "export-orders",
			Team:    "shop",
			Classes: []string{"export"},
			Zone:    "Europe/Rome",
			Start:   "2026-01-05T22:00",
			Rule:    "FREQ=DAILY",
			Length:  "3h",
			Slip:    "20m",
			AtEnd:   "stop",
			Missed:  "run",
			Late:    "4h",
			Need:    &quota.Bounds{Cores: 10, Accelerators: 2, MemoryGB: 50},
		},
		{
			Name:    "weekend-pricing",
			Team:    "prices",
			Classes: []string{"weekend", "match"},
			Start:   "2026-01-10T10:00",
			Rule:    "FREQ=WEEKLY;BYDAY=SA,SU",
			Until:   "15:00",
			AtEnd:   "finish",
			Missed:  "skip",
		},
	}}}}
	// A window has either length or until; the other window has until.
	goldentest.RequireNonZeroFields(t, want, "t.0.w.0.u")
	if got := parseDocument(t, string(goldentest.Read(t, "full.hcl"))); !reflect.DeepEqual(got, want) {
		t.Errorf("decoded as %+v", got)
	}
	plan := buildPlan(t, goldenFile)
	var out bytes.Buffer
	from := time.Date(2026, 3, 27, 0, 0, 0, 0, plan.Zone)
	to := time.Date(2026, 4, 1, 0, 0, 0, 0, plan.Zone)
	for _, shown := range plan.Preview(from, to) {
		line, err := json.Marshal(shown)
		if err != nil {
			t.Fatal(err)
		}
		out.Write(line)
		out.WriteByte('\n')
	}
	goldentest.Bytes(t, "planned.jsonl", out.Bytes())
}

// TestGoldenShown checks that the output for operators is unchanged, byte for byte.
func TestGoldenShown(t *testing.T) {
	at := time.Date(2026, 3, 28, 22, 0, 0, 0, time.UTC)
	full := Shown{
		Track:    "markets",
		Window:   "export",
		Team:     "shop",
		Classes:  []string{"export"},
		Begin:    at,
		End:      at.Add(3 * time.Hour),
		State:    Slipped,
		Revision: 4,
		Note:     "opened 2s late",
	}
	late := LateJob{JobID: "wk-000001", Team: "shop", Class: "export", Due: at, Opens: at.Add(time.Hour)}
	goldentest.RequireNonZeroFields(t, full)
	goldentest.RequireNonZeroFields(t, late)
	goldentest.JSON(t, "shown-full.json", full)
	goldentest.JSON(t, "shown-lean.json", Shown{})
	goldentest.JSON(t, "late-full.json", late)
	goldentest.JSON(t, "late-lean.json", LateJob{})
	goldentest.JSON(t, "states.json", []State{Planned, Preparing, Open, Closing, Closed, Slipped, Skipped})
}

// faultyDocument returns a document with an error in each field.
func faultyDocument() *Document {
	return &Document{Zone: "Nowhere", Tracks: []TrackDoc{
		{Name: "1st", Windows: []WindowDoc{
			{
				Name:   "a b",
				Team:   "nobody",
				Zone:   "Local",
				Start:  "today",
				Rule:   "often",
				Length: "1s",
				Slip:   "x",
				AtEnd:  "never",
				Missed: "never",
				Need:   &quota.Bounds{Cores: -1},
			},
			{
				Name:    "w",
				Team:    "shop",
				Classes: []string{"none", "export"},
				Start:   "2026-01-05T22:00",
				Rule:    "FREQ=HOURLY",
				Length:  "3h",
				Until:   "05:00",
				Late:    "1h",
			},
			{
				Name:    "w",
				Team:    "shop",
				Classes: []string{"export"},
				Start:   "2026-01-05T22:00",
				Rule:    "DTSTART:20260101T000000Z\nRRULE:FREQ=DAILY",
				Until:   "25:00",
				Missed:  "run",
				Need:    &quota.Bounds{Accelerators: 50},
			},
		}},
		{
			Name: "1st",
			Windows: []WindowDoc{
				{
					Name:    "x",
					Team:    "shop",
					Classes: []string{"export"},
					Start:   "2026-01-05T22:00",
					Rule:    "FREQ=DAILY",
					Length:  "1h",
					Slip:    "50m",
				},
			},
		},
	}}
}

// overlappingDocument returns a document that is valid except for two windows that overlap.
func overlappingDocument() *Document {
	return &Document{Revision: 1, Zone: "Africa/Nairobi", Tracks: []TrackDoc{{Name: "k", Windows: []WindowDoc{
		{Name: "a", Team: "shop", Classes: []string{"export"}, Start: "2026-01-05T22:00", Rule: "FREQ=MONTHLY", Length: "3h"},
		{
			Name:    "b",
			Team:    "prices",
			Classes: []string{"weekend"},
			Start:   "2026-01-05T23:00",
			Rule:    "FREQ=MONTHLY",
			Length:  "3h",
		},
	}}}}
}

// TestGoldenFaults checks that the error messages of invalid documents are unchanged.
func TestGoldenFaults(t *testing.T) {
	_, faults := Build(faultyDocument(), knownTeams, day)
	_, overlaps := Build(overlappingDocument(), knownTeams, day)
	goldentest.Bytes(t, "faults.txt", []byte(strings.Join(append(faults, overlaps...), "\n")+"\n"))
}
