package cli

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const nights = `
calendar {
  revision = 4
  zone = "Africa/Nairobi"
  track "markets" {
    window "export" {
      team = "shop"
      classes = ["export"]
      start = "2026-01-05T22:00"
      rule = "FREQ=DAILY"
      length = "3h"
    }
    window "weekend" {
      team = "prices"
      classes = ["weekend"]
      zone = "Europe/Rome"
      start = "2026-01-10T%s"
      rule = "FREQ=WEEKLY;BYDAY=SA,SU"
      until = "06:00"
    }
  }
}`

// calendarVerb runs a verb on a calendar and gives what it printed and its code.
func calendarVerb(t *testing.T, text string, args ...string) (out, note string, code int) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "calendar.hcl")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var o, n bytes.Buffer
	a := &app{out: &o, note: &n}
	c := a.calendar()
	c.SilenceErrors, c.SilenceUsage = true, true
	c.SetArgs(append([]string{args[0], file}, args[1:]...))
	err := c.Execute()
	code, said := Code(err)
	return o.String(), n.String() + said, code
}

func TestCalendarVerbs(t *testing.T) {
	good, bad := strings.Replace(nights, "%s", "01:00", 1), strings.Replace(nights, "%s", "20:00", 1)
	if out, _, code := calendarVerb(
		t,
		good,
		"check",
	); code != 0 ||
		!strings.Contains(out, "revision 4: 1 tracks, 2 windows") {
		t.Error(out, code)
	}
	if _, note, code := calendarVerb(
		t,
		bad,
		"check",
	); code != ExitUsage ||
		!strings.Contains(note, "calendar.hcl: markets: export meets weekend on 2026-") {
		t.Error(note, code)
	}
	if _, note, code := calendarVerb(
		t,
		strings.Replace(good, "revision = 4", "revision = 4\n pace = 3", 1),
		"check",
	); code != ExitUsage ||
		!strings.Contains(note, "calendar.hcl:4") {
		t.Error(note, code)
	}
	out, _, code := calendarVerb(t, good, "plan", "--from", "2026-03-28", "--days", "2", "-o", "json")
	if lines := strings.Split(
		strings.TrimSpace(out),
		"\n",
	); code != 0 || len(lines) != 4 ||
		!strings.Contains(lines[3], `"begin":"2026-03-29T22:00:00+03:00"`) {
		t.Error(out, code)
	}
	if out, note, code := calendarVerb(
		t,
		bad,
		"plan",
		"--from",
		"2026-03-28",
		"--days",
		"2",
	); code != ExitFailed || !strings.Contains(out, "meets export") ||
		!strings.Contains(note, "2 pairs of windows meet") {
		t.Error(out, note, code)
	}
}

func TestNoCalendarIsShown(t *testing.T) {
	a := &app{out: &bytes.Buffer{}, note: &bytes.Buffer{}}
	c := a.calendar()
	c.SilenceErrors, c.SilenceUsage = true, true
	c.SetArgs([]string{"show"})
	var e *Exit
	if err := c.Execute(); !errors.As(err, &e) || e.Code != ExitUsage {
		t.Error(err)
	}
}
