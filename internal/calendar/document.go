// Package calendar is the slice for the release calendar: windows of time in which
// classes of jobs may run, and tracks, on which no two windows ever overlap in fact.
// It holds the operators' document and its checks (document.go), when windows are to
// be (plan.go), the state machine of an occurrence (occurrence.go), what is kept in
// the state service (record.go), the keeper that decides the next changes
// (keeper.go), who may begin (gate.go), and what joins it to a controller
// (service.go). It has no IO and reads no clock.
package calendar

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // zones must not hang on what the machine has installed

	"github.com/teambition/rrule-go"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Document is the calendar as operators write it (HCL) and as it is kept in the state
// service (JSON). Of two documents the one with the higher revision holds.
type Document struct {
	Revision int        `hcl:"revision" json:"n"`
	Zone     string     `hcl:"zone" json:"z"`
	Tracks   []TrackDoc `hcl:"track,block" json:"t"`
}

// TrackDoc is windows that must never overlap.
type TrackDoc struct {
	Name    string      `hcl:"name,label" json:"n"`
	Windows []WindowDoc `hcl:"window,block" json:"w"`
}

// WindowDoc is a window as written: times are local ones of its zone, durations as in
// "2h30m". One of Length and Until says when it ends.
type WindowDoc struct {
	Name    string        `hcl:"name,label" json:"n"`
	Team    string        `hcl:"team" json:"t"`
	Classes []string      `hcl:"classes" json:"c"`
	Zone    string        `hcl:"zone,optional" json:"z,omitempty"`
	Start   string        `hcl:"start" json:"s"`
	Rule    string        `hcl:"rule" json:"r"`
	Length  string        `hcl:"length,optional" json:"l,omitempty"`
	Until   string        `hcl:"until,optional" json:"u,omitempty"`
	Slip    string        `hcl:"slip,optional" json:"p,omitempty"`
	AtEnd   string        `hcl:"at_end,optional" json:"e,omitempty"`
	Missed  string        `hcl:"missed,optional" json:"m,omitempty"`
	Late    string        `hcl:"late,optional" json:"a,omitempty"`
	Need    *quota.Bounds `hcl:"need,block" json:"d,omitempty"`
}

// What happens at a window's end, and to one that did not open in time.
const (
	AtEndFinish = "finish" // nothing begins any more, what runs ends by itself
	AtEndStop   = "stop"   // what runs is stopped with a save and waits again
	MissedSkip  = "skip"   // it is left out
	MissedRun   = "run"    // it opens later, for its whole length
)

// Window is a checked window.
type Window struct {
	Name    string
	Track   string
	Team    string
	Classes []string
	Stop    bool          // at its end
	RunLate bool          // when it was missed
	Length  time.Duration // 0: until a time of the clock
	Slip    time.Duration // how late it may open
	Late    time.Duration // how much later than that a missed one may
	Need    quota.Bounds

	until      clock
	zone       *time.Location
	rule       *rrule.RRule // in local time without a zone
	firstStart time.Time    // first occurrence at the earliest, local time without a zone
	planned    cache
}

// Has tells whether a class of a team belongs to a window.
func (w *Window) Has(k quota.Key) bool {
	return w.Team == k.Team && slices.Contains(w.Classes, k.Class)
}

// Track is windows that never overlap.
type Track struct {
	Name    string
	Windows []*Window
}

// Plan is a checked document.
type Plan struct {
	Doc      Document
	Revision int
	Zone     *time.Location
	Tracks   []*Track
	trackOf  map[quota.Key]*Track
}

// TrackOf is the track that a class's windows are on, nil for a class without any.
func (p *Plan) TrackOf(k quota.Key) *Track {
	if p == nil {
		return nil
	}
	return p.trackOf[k]
}

// window is a track's window by name, nil if it has none such.
func (t *Track) window(name string) *Window {
	for _, w := range t.Windows {
		if w.Name == name {
			return w
		}
	}
	return nil
}

// Known is what a document is checked against; nil teams and no classes: any.
type Known struct {
	Teams   map[string]quota.Team
	Classes []string
}

var nameForm = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_.-]{0,39}$`)

// documentCheck makes a plan of a document and gathers its faults.
type documentCheck struct {
	plan   *Plan
	known  Known
	faults []string
}

func (b *documentCheck) fail(path, format string, args ...any) {
	if len(b.faults) < tuning.MaxFaults {
		b.faults = append(b.faults, path+": "+fmt.Sprintf(format, args...))
	}
}

// Build checks a document and makes its plan: the plan is nil if there is any fault,
// and every one is told by its place. from is the time, by the wall clock, from which
// windows are looked at for overlaps.
func Build(d *Document, known Known, from time.Time) (*Plan, []string) {
	b := &documentCheck{known: known, plan: newPlan(d)}
	b.checkDocument()
	if len(b.faults) == 0 {
		b.checkClockChanges(from)
		for _, t := range b.plan.Tracks {
			for _, c := range t.collisions(from, from.Add(tuning.CalendarAhead)) {
				b.fail(t.Name, "%s meets %s on %s", c.First, c.Second, c.At.Format(timeForm))
			}
		}
	}
	if len(b.faults) > 0 {
		return nil, b.faults
	}
	return b.plan, nil
}

// Latest is the latest of the windows' first times: from then on all of them are there.
// A controller checks a document from this time on, so that the same file never is
// faulty at one start that was none at another.
func (d *Document) Latest() time.Time {
	var latest time.Time
	for _, t := range d.Tracks {
		for i := range t.Windows {
			if at, err := time.Parse(startForm, t.Windows[i].Start); err == nil && at.After(latest) {
				latest = at
			}
		}
	}
	return latest
}

func newPlan(d *Document) *Plan {
	return &Plan{Doc: *d, Revision: d.Revision, trackOf: map[quota.Key]*Track{}}
}

// checkDocument checks all but what hangs on the dates.
func (b *documentCheck) checkDocument() {
	d := &b.plan.Doc
	if d.Revision < 1 {
		b.fail("revision", "expected a whole number above 0")
	}
	zone := b.zone("zone", d.Zone)
	b.plan.Zone = zone
	tracks, windows := map[string]bool{}, 0
	for _, t := range d.Tracks {
		b.checkName("track", t.Name, tracks)
		track := &Track{Name: t.Name}
		names := map[string]bool{}
		for i := range t.Windows {
			path := t.Name + "." + t.Windows[i].Name
			b.checkName(path, t.Windows[i].Name, names)
			track.Windows = append(track.Windows, b.window(path, track, &t.Windows[i], zone))
		}
		windows += len(t.Windows)
		b.plan.Tracks = append(b.plan.Tracks, track)
	}
	if windows > tuning.MaxWindows {
		b.fail("calendar", "%d windows; expected at most %d", windows, tuning.MaxWindows)
	}
}

func (b *documentCheck) checkName(path, name string, seen map[string]bool) {
	if !nameForm.MatchString(name) {
		b.fail(path, "%q is no name; expected a letter, then letters, digits, . _ and -, 40 at most", name)
	}
	if seen[name] {
		b.fail(path, "%q stands here twice", name)
	}
	seen[name] = true
}

func (b *documentCheck) zone(path, name string) *time.Location {
	if name == "" || name == "Local" {
		b.fail(path, "expected a time zone, as Africa/Nairobi")
		return time.UTC
	}
	z, err := time.LoadLocation(name)
	if err != nil {
		b.fail(path, "no time zone is called %q; expected one as Africa/Nairobi", name)
		return time.UTC
	}
	return z
}

func (b *documentCheck) window(path string, track *Track, d *WindowDoc, zone *time.Location) *Window {
	w := &Window{Name: d.Name, Track: track.Name, Team: d.Team, Classes: d.Classes, zone: zone}
	if d.Zone != "" {
		w.zone = b.zone(path+".zone", d.Zone)
	}
	b.checkClasses(path, track, d)
	b.checkTimes(path, w, d)
	switch d.AtEnd {
	case AtEndFinish, "":
	case AtEndStop:
		w.Stop = true
	default:
		b.fail(path+".at_end", "is %q; expected %q or %q", d.AtEnd, AtEndFinish, AtEndStop)
	}
	switch d.Missed {
	case MissedSkip, "":
		if w.Late > 0 {
			b.fail(path+".late", "is of use only with missed = %q", MissedRun)
		}
	case MissedRun:
		w.RunLate = true
		if w.Late <= 0 {
			b.fail(path+".late", "is missing; expected how much later a missed window may still open")
		}
	default:
		b.fail(path+".missed", "is %q; expected %q or %q", d.Missed, MissedSkip, MissedRun)
	}
	if d.Need != nil {
		w.Need = *d.Need
		b.checkNeed(path, d)
	}
	return w
}

// checkClasses checks whose work a window is for. A class belongs to one track: on two, one
// of them could open beside what the other let begin.
func (b *documentCheck) checkClasses(path string, track *Track, d *WindowDoc) {
	if _, known := b.known.Teams[d.Team]; b.known.Teams != nil && !known || d.Team == "" {
		b.fail(
			path+".team",
			"no team is called %q; expected one of %s",
			d.Team,
			strings.Join(slices.Sorted(maps.Keys(b.known.Teams)), ", "),
		)
	}
	if len(d.Classes) == 0 {
		b.fail(path+".classes", "expected a class at least")
	}
	for i, c := range d.Classes {
		at := fmt.Sprintf("%s.classes[%d]", path, i)
		if len(b.known.Classes) > 0 && !slices.Contains(b.known.Classes, c) || c == "" || len(c) > tuning.MaxClassName {
			b.fail(at, "no class is called %q; expected one of %s", c, strings.Join(b.known.Classes, ", "))
		}
		key := quota.Key{Team: d.Team, Class: c}
		if other := b.plan.trackOf[key]; other != nil && other != track {
			b.fail(at, "%s of %s has windows on track %q already", c, d.Team, other.Name)
		}
		b.plan.trackOf[key] = track
	}
}

const (
	startForm = "2006-01-02T15:04"
	clockForm = "15:04"
	timeForm  = "2006-01-02 15:04 MST"
)

// checkTimes checks a window's times.
func (b *documentCheck) checkTimes(path string, w *Window, d *WindowDoc) {
	start, err := time.Parse(startForm, d.Start)
	if err != nil {
		b.fail(path+".start", "%q is no local time; expected one as 2026-01-31T22:30", d.Start)
	}
	w.firstStart = start
	opt, err := rrule.StrToROption(strings.TrimPrefix(d.Rule, "RRULE:"))
	switch {
	case err != nil:
		b.fail(path+".rule", "%q is no rule of RFC 5545: %v", d.Rule, err)
	case opt.Freq > rrule.DAILY:
		b.fail(path+".rule", "expected FREQ=DAILY, WEEKLY, MONTHLY or YEARLY")
	case strings.Contains(strings.ToUpper(d.Rule), "DTSTART"):
		b.fail(path+".rule", "the first time is given as start, not as DTSTART")
	default:
		opt.Dtstart = start
		if w.rule, err = rrule.NewRRule(*opt); err != nil {
			b.fail(path+".rule", "%q is no rule of RFC 5545: %v", d.Rule, err)
		}
	}
	w.Length = b.duration(path+".length", d.Length)
	w.Slip = max(b.duration(path+".slip", d.Slip), tuning.MinSlip)
	w.Late = b.duration(path+".late", d.Late)
	if (d.Length == "") == (d.Until == "") {
		b.fail(path, "expected either length or until")
		return
	}
	if d.Until != "" {
		t, err := time.Parse(clockForm, d.Until)
		if err != nil {
			b.fail(path+".until", "%q is no time of the clock; expected one as 05:30", d.Until)
		}
		w.until = clock{t.Hour(), t.Minute(), true}
		return
	}
	if w.Length < tuning.MinWindow || w.Length > tuning.MaxWindow {
		b.fail(path+".length", "%q is outside %s to %s", d.Length, tuning.MinWindow, tuning.MaxWindow)
	} else if w.Slip > tuning.MinSlip && w.Slip+tuning.MinWindow > w.Length {
		b.fail(path+".slip", "%s leaves less than %s of its %s", w.Slip, tuning.MinWindow, w.Length)
	}
}

func (b *documentCheck) duration(path, text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > tuning.MaxWindow {
		b.fail(path, "%q is no duration; expected one as 1h30m, at most %s", text, tuning.MaxWindow)
		return 0
	}
	return d
}

// checkNeed checks what a window expects to need against its team's limit.
func (b *documentCheck) checkNeed(path string, d *WindowDoc) {
	team := b.known.Teams[d.Team]
	cores, accelerators, memory := team.Max.Float()
	for _, x := range []struct {
		name      string
		need, max float64
	}{{"cores", d.Need.Cores, cores}, {"accelerators", d.Need.Accelerators, accelerators}, {"memory_gb", d.Need.MemoryGB, memory}} {
		switch {
		case !(x.need >= 0 && x.need < 1e9):
			b.fail(path+".need."+x.name, "expected a number that is not negative")
		case x.max > 0 && x.need > x.max:
			b.fail(path+".need."+x.name, "%g is above %s's limit of %g", x.need, d.Team, x.max)
		}
	}
}

// checkClockChanges checks that no change of the clock swallows a window that ends by the clock.
func (b *documentCheck) checkClockChanges(from time.Time) {
	for _, t := range b.plan.Tracks {
		for _, w := range t.Windows {
			all := w.between(from, from.Add(tuning.CalendarAhead))
			if len(all) >= tuning.MaxOccurrences {
				b.fail(t.Name+"."+w.Name+".rule", "comes %d times or more in 400 days", tuning.MaxOccurrences)
			}
			for _, o := range all {
				if !w.until.set {
					break
				}
				if left := o.End.Sub(o.Begin); left < tuning.MinWindow+w.Slip {
					b.fail(
						t.Name+"."+w.Name,
						"the change of the clock on %s leaves it %s, less than %s and its slip",
						o.Begin.Format(timeForm),
						left,
						tuning.MinWindow,
					)
					break
				}
			}
		}
	}
}
