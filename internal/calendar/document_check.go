package calendar

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/teambition/rrule-go"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Layouts of the times in a document and in messages.
const (
	startLayout     = "2006-01-02T15:04"
	timeOfDayLayout = "15:04"
	timeLayout      = "2006-01-02 15:04 MST"
)

// maxNeed bounds the resources that a window may declare as needed, to catch typing errors.
const maxNeed = 1e9

var namePattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_.-]{0,39}$`)

// Known lists the teams and classes that a document may refer to. Nil Teams and empty Classes allow
// any name.
type Known struct {
	Teams   map[string]quota.Team
	Classes []string
}

// documentCheck builds the plan of a document and collects the document's errors.
type documentCheck struct {
	plan   *Plan
	known  Known
	faults []string
}

// fail records an error at a path of the document.
func (c *documentCheck) fail(path, format string, args ...any) {
	if len(c.faults) < tuning.MaxFaults {
		c.faults = append(c.faults, path+": "+fmt.Sprintf(format, args...))
	}
}

// Build validates a document and returns its plan. If the document is invalid, the plan is nil and
// up to tuning.MaxFaults errors are returned, each with its path. Windows are checked for overlaps
// from the wall-clock time from.
func Build(document *Document, known Known, from time.Time) (*Plan, []string) {
	check := &documentCheck{known: known, plan: newPlan(document)}
	check.checkDocument()
	if len(check.faults) == 0 {
		check.checkPlannedSpans(from)
		check.checkCollisions(from)
	}
	if len(check.faults) > 0 {
		return nil, check.faults
	}
	return check.plan, nil
}

func newPlan(document *Document) *Plan {
	return &Plan{Doc: *document, Revision: document.Revision, trackOf: map[quota.Key]*Track{}}
}

// checkDocument checks everything that does not depend on dates.
func (c *documentCheck) checkDocument() {
	document := &c.plan.Doc
	if document.Revision < 1 {
		c.fail("revision", "expected a whole number above 0")
	}
	zone := c.checkZone("zone", document.Zone)
	c.plan.Zone = zone
	trackNames := map[string]bool{}
	windows := 0
	for _, trackDoc := range document.Tracks {
		c.checkName("track", trackDoc.Name, trackNames)
		track := &Track{Name: trackDoc.Name}
		windowNames := map[string]bool{}
		for i := range trackDoc.Windows {
			windowDoc := &trackDoc.Windows[i]
			path := trackDoc.Name + "." + windowDoc.Name
			c.checkName(path, windowDoc.Name, windowNames)
			track.Windows = append(track.Windows, c.checkWindow(path, track, windowDoc, zone))
		}
		windows += len(trackDoc.Windows)
		c.plan.Tracks = append(c.plan.Tracks, track)
	}
	if windows > tuning.MaxWindows {
		c.fail("calendar", "%d windows; expected at most %d", windows, tuning.MaxWindows)
	}
}

// checkName checks that a name is valid and not used yet, and adds it to the used ones.
func (c *documentCheck) checkName(path, name string, used map[string]bool) {
	if !namePattern.MatchString(name) {
		c.fail(path, "%q is no name; expected a letter, then letters, digits, . _ and -, 40 at most", name)
	}
	if used[name] {
		c.fail(path, "%q stands here twice", name)
	}
	used[name] = true
}

// checkZone returns the time zone with the given name. An invalid name is reported, and UTC is
// returned.
func (c *documentCheck) checkZone(path, name string) *time.Location {
	if name == "" || name == "Local" {
		c.fail(path, "expected a time zone, as Africa/Nairobi")
		return time.UTC
	}
	zone, err := time.LoadLocation(name)
	if err != nil {
		c.fail(path, "no time zone is called %q; expected one as Africa/Nairobi", name)
		return time.UTC
	}
	return zone
}

func (c *documentCheck) checkWindow(path string, track *Track, doc *WindowDoc, zone *time.Location) *Window {
	window := &Window{
		Name:    doc.Name,
		Track:   track.Name,
		Team:    doc.Team,
		Classes: doc.Classes,
		zone:    zone,
	}
	if doc.Zone != "" {
		window.zone = c.checkZone(path+".zone", doc.Zone)
	}
	c.checkClasses(path, track, doc)
	c.checkTimes(path, window, doc)
	c.checkAtEnd(path, window, doc)
	c.checkMissed(path, window, doc)
	if doc.Need != nil {
		window.Need = *doc.Need
		c.checkNeed(path, doc)
	}
	return window
}

func (c *documentCheck) checkAtEnd(path string, window *Window, doc *WindowDoc) {
	switch doc.AtEnd {
	case AtEndFinish, "":
	case AtEndStop:
		window.Stop = true
	default:
		c.fail(path+".at_end", "is %q; expected %q or %q", doc.AtEnd, AtEndFinish, AtEndStop)
	}
}

func (c *documentCheck) checkMissed(path string, window *Window, doc *WindowDoc) {
	switch doc.Missed {
	case MissedSkip, "":
		if window.Late > 0 {
			c.fail(path+".late", "is of use only with missed = %q", MissedRun)
		}
	case MissedRun:
		window.RunLate = true
		if window.Late <= 0 {
			c.fail(path+".late", "is missing; expected how much later a missed window may still open")
		}
	default:
		c.fail(path+".missed", "is %q; expected %q or %q", doc.Missed, MissedSkip, MissedRun)
	}
}

// checkClasses checks the team and the classes of a window. All windows of a class must be on one
// track: otherwise a window of one track could open while tasks that a window of the other track
// started are still running.
func (c *documentCheck) checkClasses(path string, track *Track, doc *WindowDoc) {
	_, knownTeam := c.known.Teams[doc.Team]
	if c.known.Teams != nil && !knownTeam || doc.Team == "" {
		teams := strings.Join(slices.Sorted(maps.Keys(c.known.Teams)), ", ")
		c.fail(path+".team", "no team is called %q; expected one of %s", doc.Team, teams)
	}
	if len(doc.Classes) == 0 {
		c.fail(path+".classes", "expected a class at least")
	}
	for i, class := range doc.Classes {
		classPath := fmt.Sprintf("%s.classes[%d]", path, i)
		if !c.knowsClass(class) {
			c.fail(classPath, "no class is called %q; expected one of %s", class, strings.Join(c.known.Classes, ", "))
		}
		key := quota.Key{Team: doc.Team, Class: class}
		if other := c.plan.trackOf[key]; other != nil && other != track {
			c.fail(classPath, "%s of %s has windows on track %q already", class, doc.Team, other.Name)
		}
		c.plan.trackOf[key] = track
	}
}

func (c *documentCheck) knowsClass(class string) bool {
	if class == "" || len(class) > tuning.MaxClassName {
		return false
	}
	return len(c.known.Classes) == 0 || slices.Contains(c.known.Classes, class)
}

// checkTimes checks the start, the end and the tolerances of a window.
func (c *documentCheck) checkTimes(path string, window *Window, doc *WindowDoc) {
	start, err := time.Parse(startLayout, doc.Start)
	if err != nil {
		c.fail(path+".start", "%q is no local time; expected one as 2026-01-31T22:30", doc.Start)
	}
	window.firstStart = start
	c.checkRule(path+".rule", window, doc.Rule)
	window.Length = c.checkDuration(path+".length", doc.Length)
	window.Slip = max(c.checkDuration(path+".slip", doc.Slip), tuning.MinSlip)
	window.Late = c.checkDuration(path+".late", doc.Late)
	switch {
	case (doc.Length == "") == (doc.Until == ""):
		c.fail(path, "expected either length or until")
	case doc.Until != "":
		until, err := time.Parse(timeOfDayLayout, doc.Until)
		if err != nil {
			c.fail(path+".until", "%q is no time of the clock; expected one as 05:30", doc.Until)
		}
		window.until = timeOfDay{hour: until.Hour(), minute: until.Minute(), set: true}
	case window.Length < tuning.MinWindow || window.Length > tuning.MaxWindow:
		c.fail(path+".length", "%q is outside %s to %s", doc.Length, tuning.MinWindow, tuning.MaxWindow)
	case window.Slip > tuning.MinSlip && window.Slip+tuning.MinWindow > window.Length:
		c.fail(path+".slip", "%s leaves less than %s of its %s", window.Slip, tuning.MinWindow, window.Length)
	}
}

// checkRule checks the recurrence rule (RFC 5545) of a window.
func (c *documentCheck) checkRule(path string, window *Window, rule string) {
	option, err := rrule.StrToROption(strings.TrimPrefix(rule, "RRULE:"))
	switch {
	case err != nil:
		c.fail(path, "%q is no rule of RFC 5545: %v", rule, err)
	case option.Freq > rrule.DAILY:
		c.fail(path, "expected FREQ=DAILY, WEEKLY, MONTHLY or YEARLY")
	case strings.Contains(strings.ToUpper(rule), "DTSTART"):
		c.fail(path, "the first time is given as start, not as DTSTART")
	default:
		option.Dtstart = window.firstStart
		if window.rule, err = rrule.NewRRule(*option); err != nil {
			c.fail(path, "%q is no rule of RFC 5545: %v", rule, err)
		}
	}
}

func (c *documentCheck) checkDuration(path, text string) time.Duration {
	if text == "" {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 || duration > tuning.MaxWindow {
		c.fail(path, "%q is no duration; expected one as 1h30m, at most %s", text, tuning.MaxWindow)
		return 0
	}
	return duration
}

// checkNeed checks the declared need of a window against its team's limit.
func (c *documentCheck) checkNeed(path string, doc *WindowDoc) {
	team := c.known.Teams[doc.Team]
	cores, accelerators, memory := team.Limit.Float()
	for _, resource := range []struct {
		name      string
		need, max float64
	}{
		{name: "cores", need: doc.Need.Cores, max: cores},
		{name: "accelerators", need: doc.Need.Accelerators, max: accelerators},
		{name: "memory_gb", need: doc.Need.MemoryGB, max: memory},
	} {
		resourcePath := path + ".need." + resource.name
		switch {
		case !(resource.need >= 0 && resource.need < maxNeed): // also rejects NaN
			c.fail(resourcePath, "expected a number that is not negative")
		case resource.max > 0 && resource.need > resource.max:
			c.fail(resourcePath, "%g is above %s's limit of %g", resource.need, doc.Team, resource.max)
		}
	}
}

// checkPlannedSpans checks the planned occurrences of all windows: that there are not too many, and
// that no daylight-saving change makes a window that ends at a time of day too short.
func (c *documentCheck) checkPlannedSpans(from time.Time) {
	for _, track := range c.plan.Tracks {
		for _, window := range track.Windows {
			spans := window.between(from, from.Add(tuning.CalendarAhead))
			if len(spans) >= tuning.MaxOccurrences {
				path := track.Name + "." + window.Name + ".rule"
				c.fail(path, "comes %d times or more in 400 days", tuning.MaxOccurrences)
			}
			if window.until.set {
				c.checkSpanLengths(track.Name+"."+window.Name, window, spans)
			}
		}
	}
}

// checkSpanLengths reports the first planned occurrence of a window that is too short.
func (c *documentCheck) checkSpanLengths(path string, window *Window, spans []Span) {
	for _, span := range spans {
		left := span.End.Sub(span.Begin)
		if left >= tuning.MinWindow+window.Slip {
			continue
		}
		c.fail(path, "the change of the clock on %s leaves it %s, less than %s and its slip",
			span.Begin.Format(timeLayout), left, tuning.MinWindow)
		return
	}
}

// checkCollisions reports the windows of a track whose planned times overlap.
func (c *documentCheck) checkCollisions(from time.Time) {
	for _, track := range c.plan.Tracks {
		for _, collision := range track.collisions(from, from.Add(tuning.CalendarAhead)) {
			c.fail(track.Name, "%s meets %s on %s", collision.First, collision.Second, collision.At.Format(timeLayout))
		}
	}
}
