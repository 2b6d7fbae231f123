// Package calendar implements the release calendar: recurring time windows in which classes of jobs
// may run, grouped into tracks. Tasks of two different windows of one track are never on machines
// at the same time.
//
// The package contains the operators' document (document.go) and its validation
// (document_check.go), the computation of planned times (plan.go), the state machine of an
// occurrence (occurrence.go), the records in the state service (record.go), the keeper that decides
// the next state changes (keeper.go, track_draft.go), the check of which classes may start
// (gate.go), the output for operators (show.go), and the integration with a controller (service.go,
// guard.go, stops.go, cluster_view.go). It does no I/O and reads no clock.
package calendar

import (
	"slices"
	"time"
	_ "time/tzdata" // embedded, so that zones do not depend on the machine's installation

	"github.com/teambition/rrule-go"

	"github.com/harrierreel/harrierreel/internal/quota"
)

// Document is the calendar as operators write it (HCL) and as it is stored in the state service
// (JSON). The document with the highest revision is in force.
type Document struct {
	Revision int        `hcl:"revision" json:"n"`
	Zone     string     `hcl:"zone" json:"z"`
	Tracks   []TrackDoc `hcl:"track,block" json:"t"`
}

// TrackDoc is a group of windows that must never overlap.
type TrackDoc struct {
	Name    string      `hcl:"name,label" json:"n"`
	Windows []WindowDoc `hcl:"window,block" json:"w"`
}

// WindowDoc is a window as written in the document. Times are local to the window's zone; durations
// are written like "2h30m". Exactly one of Length and Until defines the end.
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

// Values of at_end (what happens to tasks at the end of a window) and of missed (what happens to an
// occurrence that did not open in time).
const (
	AtEndFinish = "finish" // no task starts any more, running tasks finish by themselves
	AtEndStop   = "stop"   // running tasks are checkpointed and stopped, and wait again
	MissedSkip  = "skip"   // the occurrence is skipped
	MissedRun   = "run"    // the occurrence opens late, for its full length
)

// Window is a window of a validated document.
type Window struct {
	Name    string
	Track   string
	Team    string
	Classes []string
	Stop    bool          // stop running tasks at the end
	RunLate bool          // open late if the opening was missed
	Length  time.Duration // 0: the window ends at a time of day (until)
	Slip    time.Duration // how long after its start it may open
	Late    time.Duration // how long after Slip a missed occurrence may still open
	Need    quota.Bounds

	until      timeOfDay
	zone       *time.Location
	rule       *rrule.RRule // evaluated on local times, represented as UTC
	firstStart time.Time    // earliest first occurrence, a local time represented as UTC
	planned    spanCache
}

// Has reports whether the window is for a class of a team.
func (w *Window) Has(class quota.Key) bool {
	return w.Team == class.Team && slices.Contains(w.Classes, class.Class)
}

// Track is a group of windows of a validated document that never overlap.
type Track struct {
	Name    string
	Windows []*Window
}

// Plan is a validated document in the form that the keeper works with.
type Plan struct {
	Doc      Document
	Revision int
	Zone     *time.Location
	Tracks   []*Track
	trackOf  map[quota.Key]*Track
}

// TrackOf returns the track of a class's windows, or nil if the class has no windows.
func (p *Plan) TrackOf(class quota.Key) *Track {
	if p == nil {
		return nil
	}
	return p.trackOf[class]
}

// window returns the track's window with the given name, or nil.
func (t *Track) window(name string) *Window {
	for _, w := range t.Windows {
		if w.Name == name {
			return w
		}
	}
	return nil
}

// LatestStart returns the latest start among the windows: from then on all of them recur. A
// controller validates a document from this time on, not from the current time, so that a file
// accepted at one start is not rejected at a later one.
func (d *Document) LatestStart() time.Time {
	var latest time.Time
	for _, track := range d.Tracks {
		for i := range track.Windows {
			start, err := time.Parse(startLayout, track.Windows[i].Start)
			if err == nil && start.After(latest) {
				latest = start
			}
		}
	}
	return latest
}
