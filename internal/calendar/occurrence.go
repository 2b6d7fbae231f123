package calendar

import "github.com/harrierreel/harrierreel/internal/quota"

// State is the state of an occurrence.
type State string

// States of an occurrence. Closed and Skipped are final.
const (
	Planned   State = "planned"
	Preparing State = "preparing" // machines are being prepared: waiting jobs count as demand
	Open      State = "open"      // its tasks may start
	Closing   State = "closing"   // no task starts any more, some may still be on machines
	Closed    State = "closed"    // no task is on any machine
	Slipped   State = "slipped"   // missed, but may still open late
	Skipped   State = "skipped"   // never opened
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Closed || s == Skipped }

// Holds reports whether an occurrence in this state occupies its track.
func (s State) Holds() bool { return s == Open || s == Closing }

// Waits reports whether an occurrence in this state may still open.
func (s State) Waits() bool { return s == Planned || s == Preparing || s == Slipped }

// valid reports whether s is a defined state.
func (s State) valid() bool { return s.Final() || s.Holds() || s.Waits() }

// Occurrence is one occurrence of a window, as stored: the JSON tags must not change. Times are
// wall-clock times in Unix ms.
type Occurrence struct {
	Window   string `json:"w"`
	BeginMs  int64  `json:"b"`
	EndMs    int64  `json:"e"` // the planned end, or the actual end if it opened late
	State    State  `json:"s"`
	Revision int    `json:"r"`
	AtMs     int64  `json:"at,omitempty"` // time of the last state change
	OpenedMs int64  `json:"o,omitempty"`
	// Team, Classes and Stop say which classes may start and what happens at the end. They are
	// copied from the window at opening: an occurrence ends under the revision that it opened with.
	Team    string   `json:"t,omitempty"`
	Classes []string `json:"c,omitempty"`
	Stop    bool     `json:"x,omitempty"`
}

// Has reports whether the occurrence lets a class of a team start tasks.
func (o *Occurrence) Has(class quota.Key) bool {
	window := Window{Team: o.Team, Classes: o.Classes}
	return window.Has(class)
}

// EventKind is the kind of an Event.
type EventKind string

// Events of an occurrence.
const (
	Prepare EventKind = "prepare" // it begins within the time that machines take to boot
	Begin   EventKind = "begin"   // its time has come and its track is proven free of tasks
	Miss    EventKind = "miss"    // it did not open in time, but may still open late
	Drop    EventKind = "drop"    // it did not open in time, or the new revision does not contain it
	Finish  EventKind = "finish"  // its end is reached
	Emptied EventKind = "emptied" // it is proven that no task of it is on any machine
)

// Event is an event of an occurrence.
type Event struct {
	Kind   EventKind
	NowMs  int64
	EndMs  int64   // Begin only: the end of the occurrence
	Window *Window // Begin only: the window that opens
}

// Next applies an event to an occurrence and reports whether the occurrence changed. It is the only
// place where an occurrence changes state. States only move forward, so that a clock that is set
// back can't open or close an occurrence twice.
func Next(occurrence Occurrence, event Event) (Occurrence, bool) {
	state := occurrence.State
	switch {
	case event.Kind == Prepare && state == Planned:
		occurrence.State = Preparing
	case event.Kind == Begin && state.Waits() && event.Window != nil:
		occurrence.State = Open
		occurrence.OpenedMs = event.NowMs
		occurrence.EndMs = event.EndMs
		occurrence.Team = event.Window.Team
		occurrence.Classes = event.Window.Classes
		occurrence.Stop = event.Window.Stop
	case event.Kind == Miss && (state == Planned || state == Preparing):
		occurrence.State = Slipped
	case event.Kind == Drop && state.Waits():
		occurrence.State = Skipped
	case event.Kind == Finish && state == Open:
		occurrence.State = Closing
	case event.Kind == Emptied && state == Closing:
		occurrence.State = Closed
		occurrence.Team, occurrence.Classes, occurrence.Stop = "", nil, false
	default:
		return occurrence, false
	}
	occurrence.AtMs = event.NowMs
	return occurrence, true
}
