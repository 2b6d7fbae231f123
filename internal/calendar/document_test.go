package calendar

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/hcl/v2/hclsimple"

	"github.com/harrierreel/harrierreel/internal/quota"
)

// parseDocument reads a calendar block.
func parseDocument(t *testing.T, text string) *Document {
	t.Helper()
	var f struct {
		Calendar Document `hcl:"calendar,block"`
	}
	if err := hclsimple.Decode("calendar.hcl", []byte(text), nil, &f); err != nil {
		t.Fatal(err)
	}
	return &f.Calendar
}

var knownTeams = Known{
	Teams:   map[string]quota.Team{"shop": {Name: "shop", Max: quota.Of(0, 40, 0)}, "prices": {Name: "prices"}},
	Classes: []string{"export", "weekend", "match"},
}

var day = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func buildPlan(t *testing.T, text string) *Plan {
	t.Helper()
	p, faults := Build(parseDocument(t, text), knownTeams, day)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return p
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

func TestPlanOfADocument(t *testing.T) {
	p := buildPlan(t, goodDocument)
	spans := p.Tracks[0].Between(day, day.Add(7*24*time.Hour)) // 1 March 2026 is a Sunday
	var got []string
	for _, s := range spans[:3] {
		got = append(got, s.Window.Name+s.Begin.UTC().Format(" 02T15:04")+s.End.UTC().Format("-15:04"))
	}
	if want := "weekend 01T00:00-02:30,export 01T22:00-00:00,export 02T22:00-00:00"; strings.Join(got, ",") != want ||
		len(spans) != 9 {
		t.Errorf("%v, %d in all", got, len(spans))
	}
	d, err := DecodeDocument(EncodeDocument(&p.Doc))
	if err != nil || fmt.Sprint(d.Tracks[0].Windows[1]) != fmt.Sprint(p.Doc.Tracks[0].Windows[1]) {
		t.Error(d, err)
	}
}

// TestEveryFaultIsTold: all faults of a file at once, each by its place.
func TestEveryFaultIsTold(t *testing.T) {
	bad := strings.NewReplacer(`team = "shop"`, `team = "shoe"`, `"weekend"]`, `"weak"]`, `revision = 3`, `revision = 0`, `"FREQ=DAILY"`, `"FREQ=HOURLY"`,
		`late = "6h"`, ``, `at_end = "stop"`, `at_end = "halt"`, `slip = "20m"`, `slip = "3h"`, `"Africa/Nairobi"`, `"Africa/Nowhere"`).
		Replace(goodDocument)
	_, faults := Build(parseDocument(t, bad), knownTeams, day)
	text := strings.Join(faults, "\n")
	for _, at := range []string{"revision:", "zone:", "markets.export.team:", "markets.export.rule:", "markets.export.slip:", "markets.export.at_end:", "markets.weekend.classes[0]:", "markets.weekend.late:"} {
		if !strings.Contains(text, at) {
			t.Errorf("%s is not told in\n%s", at, text)
		}
	}
	if len(faults) != 8 {
		t.Error(text)
	}
	for change, want := range map[[2]string]string{
		{`until = "05:30"`, `until = "02:00"`}:                  "weekend meets export on",
		{`accelerators = 24`, `accelerators = 41`}:              "markets.export.need.accelerators: 41 is above shop's limit of 40",
		{`"2026-01-03T03:00"`, `"2026-01-03T02:30"`}:            "export meets weekend on",
		{`["weekend"]`, `["weekend"]` + "\n zone = \"Rome\""}:   "markets.weekend.zone: no time zone is called",
		{`until = "05:30"`, "until = \"05:30\"\nlength=\"1h\""}: "markets.weekend: expected either length or until",
	} {
		_, faults := Build(parseDocument(t, strings.Replace(goodDocument, change[0], change[1], 1)), knownTeams, day)
		if len(faults) == 0 || !strings.Contains(faults[0], want) {
			t.Errorf("%v gives %v, not %q", change, faults, want)
		}
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

// TestNightsOf23And25Hours: on 29 March 2026 Rome's clocks leave out 02:00 to 03:00, on
// 25 October they have it twice.
func TestNightsOf23And25Hours(t *testing.T) {
	for _, c := range []struct{ end, month, want string }{
		{`length = "2h"`, "2026-03-28T12:00", "03-29T01:30-03:30,03-30T00:30-02:30"},
		{`length = "2h"`, "2026-10-24T12:00", "10-25T00:30-02:30,10-26T01:30-03:30"},
		{`until = "05:00"`, "2026-03-28T12:00", "03-29T01:30-03:00,03-30T00:30-03:00"},
		{`until = "05:00"`, "2026-10-24T12:00", "10-25T00:30-04:00,10-26T01:30-04:00"},
	} {
		p := buildPlan(t, fmt.Sprintf(romeDocument, c.end))
		from, _ := time.Parse(startForm, c.month)
		var got []string
		for _, s := range p.Tracks[0].Between(from, from.Add(48*time.Hour)) {
			got = append(got, s.Begin.UTC().Format("01-02T15:04-")+s.End.UTC().Format("15:04"))
		}
		if strings.Join(got, ",") != c.want {
			t.Errorf("%s: %v, not %s", c.end, got, c.want)
		}
	}
	_, faults := Build(parseDocument(t, fmt.Sprintf(romeDocument, `until = "03:10"`)), knownTeams, day)
	if len(faults) != 1 || !strings.Contains(faults[0], "t.w: the change of the clock on 2026-03-29") {
		t.Error(faults)
	}
}

// TestTenThousandOccurrences: a calendar of 200 windows is checked with all its nights.
func TestTenThousandOccurrences(t *testing.T) {
	var b strings.Builder
	b.WriteString("calendar {\n revision = 1\n zone = \"Africa/Nairobi\"\n")
	for i := range 200 {
		fmt.Fprintf(
			&b,
			"track \"t%d\" {\nwindow \"w\" {\nteam = \"shop\"\nclasses = [\"c%d\"]\nstart = \"2026-01-01T%02d:00\"\nrule = \"FREQ=DAILY\"\nlength = \"1h\"\n}\n}\n",
			i,
			i,
			i%24,
		)
	}
	b.WriteString("}\n")
	d := parseDocument(t, b.String())
	p, faults := Build(d, Known{}, day)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	n := 0
	for _, tr := range p.Tracks {
		n += len(tr.Between(day, day.Add(50*24*time.Hour)))
	}
	if n != 10000 {
		t.Error(n)
	}
	if size := len(EncodeDocument(d)); size > 8<<10 {
		t.Errorf("200 windows take %d bytes, more than a value of 8 KiB", size)
	}
}

// TestNothingBeginsPastItsEnd: where nobody has closed a window, because all were away,
// its time alone shuts it; and of one that is on a track that nobody can read nothing
// begins at all.
func TestNothingBeginsPastItsEnd(t *testing.T) {
	k := NewKeeper(buildPlan(t, goodDocument), 8<<10)
	class := quota.Key{Team: "shop", Class: "export"}
	rec := Record{
		Occurrences: []Occurrence{
			{Window: "export", Begin: 1000, End: 9000, Opened: 1500, State: Open, Team: "shop", Classes: []string{"export"}},
		},
	}
	if err := k.ApplyTrack("markets", rec.encode(8<<10)); err != nil {
		t.Fatal(err)
	}
	for at, want := range map[int64]Verdict{2000: Allowed, 8499: Allowed, 8500: Shut, 20000: Shut} {
		if v, _ := k.Gate(Now{Ms: at, OffMs: 500}, class); v != want {
			t.Errorf("at %d: %d, not %d", at, v, want)
		}
	}
	if v, keys := k.Gate(Now{Ms: 2000}, quota.Key{Team: "shop", Class: "match"}); v != Free || keys != nil {
		t.Error("a class without windows is judged", v, keys)
	}
	if err := k.ApplyTrack("markets", []byte(`{"v":7}`)); err == nil {
		t.Error("an unknown version was read")
	}
	if v, _ := k.Gate(Now{Ms: 2000}, class); v != Shut {
		t.Error("work begins on a track that nobody can read", v)
	}
}
