// Package calendar is the release calendar: windows of time in which classes of jobs may run, and
// tracks, on which the tasks of no two windows are ever on machines at once. It holds the
// operators' document (document.go) and its checks (document_check.go), when windows are
// planned (plan.go), the state machine of an occurrence (occurrence.go), what is kept in the
// state service (record.go), the keeper that decides the next changes (keeper.go,
// track_draft.go), which classes may begin (gate.go), what is shown to operators (show.go),
// and what joins it to a controller (service.go, guard.go, stops.go, cluster_view.go). It has
// no IO and reads no clock.
package calendar

import (
	"slices"
	"time"
	_ "time/tzdata" // zones must not depend on what the machine has installed

	"github.com/teambition/rrule-go"

	"github.com/harrierreel/harrierreel/internal/quota"
)

// Document is the calendar as operators write it (HCL) and as it is kept in the state
// service (JSON). Of two documents the one with the higher revision is in force.
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

// What happens to tasks at a window's end (at_end), and to a window that did not open in time
// (missed).
const (
	AtEndFinish = "finish" // nothing begins any more, what runs ends by itself
	AtEndStop   = "stop"   // what runs is stopped with a save and waits again
	MissedSkip  = "skip"   // it is left out
	MissedRun   = "run"    // it opens later, for its whole length
)

// Window is a window of a checked document.
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
func (w *Window) Has(class quota.Key) bool {
	return w.Team == class.Team && slices.Contains(w.Classes, class.Class)
}

// Track is windows of a checked document that never overlap.
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
func (p *Plan) TrackOf(class quota.Key) *Track {
	if p == nil {
		return nil
	}
	return p.trackOf[class]
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

// Latest is the latest of the windows' first times: from then on all of them recur. A controller
// checks a document from this time on, so that a file that it took at one start is not refused
// at another.
func (d *Document) Latest() time.Time {
	var latest time.Time
	for _, track := range d.Tracks {
		for i := range track.Windows {
			start, err := time.Parse(startForm, track.Windows[i].Start)
			if err == nil && start.After(latest) {
				latest = start
			}
		}
	}
	return latest
}
