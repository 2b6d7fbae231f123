package cli

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const marketsCalendar = `
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

// runCalendarCommand writes a calendar file with the given text and runs a calendar subcommand on
// it. It returns what was printed to standard output and standard error, and the exit code.
func runCalendarCommand(t *testing.T, text string, args ...string) (out, errOut string, code int) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "calendar.hcl")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var outBuffer, errBuffer bytes.Buffer
	a := &app{out: &outBuffer, errOut: &errBuffer}
	c := a.calendarCommand()
	c.SilenceErrors, c.SilenceUsage = true, true
	c.SetArgs(append([]string{args[0], file}, args[1:]...))
	err := c.Execute()
	code, text = ExitCode(err)
	return outBuffer.String(), errBuffer.String() + text, code
}

func TestCalendarCommandsReportFaultsAndCollisions(t *testing.T) {
	valid := strings.Replace(marketsCalendar, "%s", "01:00", 1)
	overlapping := strings.Replace(marketsCalendar, "%s", "20:00", 1)
	unknownField := strings.Replace(valid, "revision = 4", "revision = 4\n pace = 3", 1)
	for name, c := range map[string]struct {
		text   string
		args   []string
		code   int
		out    string
		errOut string
	}{
		"check of a valid calendar": {
			text: valid,
			args: []string{"check"},
			out:  "revision 4: 1 tracks, 2 windows",
		},
		"check of overlapping windows": {
			text:   overlapping,
			args:   []string{"check"},
			code:   ExitUsage,
			errOut: "calendar.hcl: markets: export meets weekend on 2026-",
		},
		"check of an unknown field": {
			text:   unknownField,
			args:   []string{"check"},
			code:   ExitUsage,
			errOut: "calendar.hcl:4",
		},
		"plan of overlapping windows": {
			text:   overlapping,
			args:   []string{"plan", "--from", "2026-03-28", "--days", "2"},
			code:   ExitFailed,
			out:    "meets export",
			errOut: "2 pairs of windows meet",
		},
	} {
		t.Run(name, func(t *testing.T) {
			out, errOut, code := runCalendarCommand(t, c.text, c.args...)
			if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(errOut, c.errOut) {
				t.Errorf("exit code %d, want %d; stdout %q, stderr %q", code, c.code, out, errOut)
			}
		})
	}
}

func TestCalendarPlanPrintsOneOccurrencePerLine(t *testing.T) {
	valid := strings.Replace(marketsCalendar, "%s", "01:00", 1)
	out, _, code := runCalendarCommand(t, valid, "plan", "--from", "2026-03-28", "--days", "2", "-o", "json")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if code != 0 || len(lines) != 4 || !strings.Contains(lines[3], `"begin":"2026-03-29T22:00:00+03:00"`) {
		t.Error(out, code)
	}
}

func TestCalendarShowWithoutSourceIsUsageError(t *testing.T) {
	a := &app{out: &bytes.Buffer{}, errOut: &bytes.Buffer{}}
	c := a.calendarCommand()
	c.SilenceErrors, c.SilenceUsage = true, true
	c.SetArgs([]string{"show"})
	var exit *ExitError
	if err := c.Execute(); !errors.As(err, &exit) || exit.Code != ExitUsage {
		t.Error(err)
	}
}
