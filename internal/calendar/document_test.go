package calendar

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/hcl/v2/hclsimple"

	"github.com/harrierreel/harrierreel/internal/quota"
)

// parseDocument parses a file with a calendar block.
func parseDocument(t *testing.T, text string) *Document {
	t.Helper()
	var file struct {
		Calendar Document `hcl:"calendar,block"`
	}
	if err := hclsimple.Decode("calendar.hcl", []byte(text), nil, &file); err != nil {
		t.Fatal(err)
	}
	return &file.Calendar
}

var knownTeams = Known{
	Teams: map[string]quota.Team{
		"shop":   {Name: "shop", Limit: quota.NewAmount(0, 40, 0)},
		"prices": {Name: "prices"},
	},
	Classes: []string{"export", "weekend", "match"},
}

var day = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func buildPlan(t *testing.T, text string) *Plan {
	t.Helper()
	plan, faults := Build(parseDocument(t, text), knownTeams, day)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return plan
}

const goodDocument = `
calendar {
  revision = 3
  zone = "Africa/Nairobi"
  track "markets" {
    window "export" {
      team = "shop"
      classes = ["export"]
      start = "2026-01-01T01:00"
      rule = "FREQ=DAILY"
      length = "2h"
      slip = "20m"
      at_end = "stop"
      need { accelerators = 24 }
    }
    window "weekend" {
      team = "prices"
      classes = ["weekend"]
      start = "2026-01-03T03:00"
      rule = "FREQ=WEEKLY;BYDAY=SA,SU"
      until = "05:30"
      missed = "run"
      late = "6h"
    }
  }
}`

func TestDocumentPlansItsSpans(t *testing.T) {
	plan := buildPlan(t, goodDocument)
	spans := plan.Tracks[0].Between(day, day.Add(7*24*time.Hour)) // 1 March 2026 is a Sunday
	var got []string
	for _, span := range spans[:3] {
		begin, end := span.Begin.UTC().Format(" 02T15:04"), span.End.UTC().Format("-15:04")
		got = append(got, span.Window.Name+begin+end)
	}
	want := "weekend 01T00:00-02:30,export 01T22:00-00:00,export 02T22:00-00:00"
	if strings.Join(got, ",") != want || len(spans) != 9 {
		t.Errorf("got %v as the first of %d spans", got, len(spans))
	}
	decoded, err := DecodeDocument(EncodeDocument(&plan.Doc))
	if err != nil || fmt.Sprint(decoded.Tracks[0].Windows[1]) != fmt.Sprint(plan.Doc.Tracks[0].Windows[1]) {
		t.Error(decoded, err)
	}
}

// TestCheckListsEveryFault checks that all errors of a document are reported at once, each with its
// path.
func TestCheckListsEveryFault(t *testing.T) {
	bad := strings.NewReplacer(
		`team = "shop"`, `team = "shoe"`,
		`"weekend"]`, `"weak"]`,
		`revision = 3`, `revision = 0`,
		`"FREQ=DAILY"`, `"FREQ=HOURLY"`,
		`late = "6h"`, ``,
		`at_end = "stop"`, `at_end = "halt"`,
		`slip = "20m"`, `slip = "3h"`,
		`"Africa/Nairobi"`, `"Africa/Nowhere"`,
	).Replace(goodDocument)
	_, faults := Build(parseDocument(t, bad), knownTeams, day)
	text := strings.Join(faults, "\n")
	for _, path := range []string{
		"revision:",
		"zone:",
		"markets.export.team:",
		"markets.export.rule:",
		"markets.export.slip:",
		"markets.export.at_end:",
		"markets.weekend.classes[0]:",
		"markets.weekend.late:",
	} {
		if !strings.Contains(text, path) {
			t.Errorf("%s is not reported in\n%s", path, text)
		}
	}
	if len(faults) != 8 {
		t.Error(text)
	}
}

// TestCheckReportsFault checks the messages for documents with a single error.
func TestCheckReportsFault(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{
			name: "windows overlap at the end",
			old:  `until = "05:30"`,
			new:  `until = "02:00"`,
			want: "weekend meets export on",
		},
		{
			name: "need above the team's limit",
			old:  `accelerators = 24`,
			new:  `accelerators = 41`,
			want: "markets.export.need.accelerators: 41 is above shop's limit of 40",
		},
		{
			name: "windows overlap at the start",
			old:  `"2026-01-03T03:00"`,
			new:  `"2026-01-03T02:30"`,
			want: "export meets weekend on",
		},
		{
			name: "unknown zone of a window",
			old:  `["weekend"]`,
			new:  `["weekend"]` + "\n zone = \"Rome\"",
			want: "markets.weekend.zone: no time zone is called",
		},
		{
			name: "both length and until",
			old:  `until = "05:30"`,
			new:  "until = \"05:30\"\nlength=\"1h\"",
			want: "markets.weekend: expected either length or until",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			changed := strings.Replace(goodDocument, c.old, c.new, 1)
			_, faults := Build(parseDocument(t, changed), knownTeams, day)
			if len(faults) == 0 || !strings.Contains(faults[0], c.want) {
				t.Errorf("faults %v, want %q", faults, c.want)
			}
		})
	}
}

const romeDocument = `
calendar {
  revision = 1
  zone = "Europe/Rome"
  track "t" {
    window "w" {
      team = "shop"
      classes = ["match"]
      start = "2026-01-01T02:30"
      rule = "FREQ=DAILY"
      %s
    }
  }
}`

// TestWindowsAcrossDaylightSavingChanges checks windows on days of 23 and 25 hours: in Rome, the
// local times from 02:00 to 03:00 do not exist on 29 March 2026 and occur twice on 25 October.
func TestWindowsAcrossDaylightSavingChanges(t *testing.T) {
	for _, c := range []struct{ name, end, from, want string }{
		{"length, 23 hours", `length = "2h"`, "2026-03-28T12:00", "03-29T01:30-03:30,03-30T00:30-02:30"},
		{"length, 25 hours", `length = "2h"`, "2026-10-24T12:00", "10-25T00:30-02:30,10-26T01:30-03:30"},
		{"until, 23 hours", `until = "05:00"`, "2026-03-28T12:00", "03-29T01:30-03:00,03-30T00:30-03:00"},
		{"until, 25 hours", `until = "05:00"`, "2026-10-24T12:00", "10-25T00:30-04:00,10-26T01:30-04:00"},
	} {
		t.Run(c.name, func(t *testing.T) {
			plan := buildPlan(t, fmt.Sprintf(romeDocument, c.end))
			from, err := time.Parse(startLayout, c.from)
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, span := range plan.Tracks[0].Between(from, from.Add(48*time.Hour)) {
				got = append(got, span.Begin.UTC().Format("01-02T15:04-")+span.End.UTC().Format("15:04"))
			}
			if strings.Join(got, ",") != c.want {
				t.Errorf("got %v, want %s", got, c.want)
			}
		})
	}
	_, faults := Build(parseDocument(t, fmt.Sprintf(romeDocument, `until = "03:10"`)), knownTeams, day)
	if len(faults) != 1 || !strings.Contains(faults[0], "t.w: the change of the clock on 2026-03-29") {
		t.Error(faults)
	}
}

// oneWindowTrack is a format for a track with one window: number of the track, number of the class,
// hour of the start.
const oneWindowTrack = `
  track "t%d" {
    window "w" {
      team = "shop"
      classes = ["c%d"]
      start = "2026-01-01T%02d:00"
      rule = "FREQ=DAILY"
      length = "1h"
    }
  }
`

// TestCalendarOf200WindowsFitsIntoOneValue checks that a calendar of 200 windows fits into one
// value of the state service, and that its 10,000 occurrences of 50 days are planned.
func TestCalendarOf200WindowsFitsIntoOneValue(t *testing.T) {
	var text strings.Builder
	text.WriteString("calendar {\n revision = 1\n zone = \"Africa/Nairobi\"\n")
	for i := range 200 {
		fmt.Fprintf(&text, oneWindowTrack, i, i, i%24)
	}
	text.WriteString("}\n")
	document := parseDocument(t, text.String())
	plan, faults := Build(document, Known{}, day)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	count := 0
	for _, track := range plan.Tracks {
		count += len(track.Between(day, day.Add(50*24*time.Hour)))
	}
	if count != 10000 {
		t.Error(count)
	}
	if size := len(EncodeDocument(document)); size > testValueBytes {
		t.Errorf("200 windows take %d bytes, more than a value of 8 KiB", size)
	}
}

// TestGateIsShutPastTheEndAndOnUnreadableTracks checks that no task starts after the end of an
// occurrence that is still stored as open because no controller was running to close it, and that
// no task starts on a track whose record can't be read.
func TestGateIsShutPastTheEndAndOnUnreadableTracks(t *testing.T) {
	keeper := NewKeeper(buildPlan(t, goodDocument), testValueBytes)
	class := quota.Key{Team: "shop", Class: "export"}
	if err := keeper.ApplyTrack("markets", exportOpen().encode(testValueBytes)); err != nil {
		t.Fatal(err)
	}
	for at, want := range map[int64]Verdict{2000: Allowed, 8499: Allowed, 8500: Shut, 20000: Shut} {
		if verdict, _ := keeper.Gate(Now{Ms: at, ClockErrorMs: 500}, class); verdict != want {
			t.Errorf("at %d ms: got verdict %d, want %d", at, verdict, want)
		}
	}
	verdict, keys := keeper.Gate(Now{Ms: 2000}, quota.Key{Team: "shop", Class: "match"})
	if verdict != Free || keys != nil {
		t.Error("a class without windows is not free:", verdict, keys)
	}
	if err := keeper.ApplyTrack("markets", []byte(`{"v":7}`)); err == nil {
		t.Error("a record of an unknown version was accepted")
	}
	if verdict, _ := keeper.Gate(Now{Ms: 2000}, class); verdict != Shut {
		t.Error("tasks may start on a track whose record can't be read:", verdict)
	}
}

// If occurrences on two tracks are open for a class, which happens when one opened under an earlier
// revision, the verdict must not depend on the order of a map.
func TestGateOfTwoOpenOccurrencesIsDefinite(t *testing.T) {
	keeper := NewKeeper(buildPlan(t, goodDocument), testValueBytes)
	class := quota.Key{Team: "shop", Class: "export"}
	if err := keeper.ApplyTrack("markets", exportOpen().encode(testValueBytes)); err != nil {
		t.Fatal(err)
	}
	later := *keeper.holders["markets"]
	later.EndMs += 10_000
	keeper.holders["nights"] = &later
	for range 100 {
		occurrence, keys := keeper.holdersOf(class)
		if occurrence != &later || !slices.Equal(keys, []string{TrackKey("markets"), TrackKey("nights")}) {
			t.Fatalf("got the occurrence that ends at %d and %v", occurrence.EndMs, keys)
		}
	}
}
