package calendar

import "github.com/harrierreel/harrierreel/internal/quota"

// State is the state of an occurrence of a window.
type State string

// States of an occurrence. Closed and skipped ones never change again.
const (
	Planned   State = "planned"
	Preparing State = "preparing" // its waiting jobs count as queued room
	Open      State = "open"      // its tasks may begin
	Closing   State = "closing"   // none of its tasks begins, some may still be on machines
	Closed    State = "closed"    // none of its tasks is on any machine
	Slipped   State = "slipped"   // missed, and may still open
	Skipped   State = "skipped"   // never opened
)

// Final tells whether a state never changes again.
func (s State) Final() bool { return s == Closed || s == Skipped }

// Holds tells whether an occurrence in this state has its track.
func (s State) Holds() bool { return s == Open || s == Closing }

// Waits tells whether an occurrence in this state has not begun.
func (s State) Waits() bool { return s == Planned || s == Preparing || s == Slipped }

// known tells whether a state is one of those that exist.
func (s State) known() bool { return s.Final() || s.Holds() || s.Waits() }

// Occurrence is one time of a window, as stored: its tags must not change. Times are times of day
// in ms.
type Occurrence struct {
	Window   string `json:"w"`
	Begin    int64  `json:"b"`
	End      int64  `json:"e"` // as planned; of one that opened late when it is to end
	State    State  `json:"s"`
	Revision int    `json:"r"`
	AtMs     int64  `json:"at,omitempty"` // of its last change
	Opened   int64  `json:"o,omitempty"`
	// Team, Classes and Stop are what it lets begin and how it ends, kept from when it opens:
	// it ends under the revision that it began with.
	Team    string   `json:"t,omitempty"`
	Classes []string `json:"c,omitempty"`
	Stop    bool     `json:"x,omitempty"`
}

// Has tells whether an occurrence lets a class of a team begin.
func (o *Occurrence) Has(class quota.Key) bool {
	window := Window{Team: o.Team, Classes: o.Classes}
	return window.Has(class)
}

// EventKind names an event of an occurrence.
type EventKind string

// Events of an occurrence.
const (
	Prepare EventKind = "prepare" // it begins as soon as machines take to boot
	Begin   EventKind = "begin"   // its time has come and its track is proven free
	Miss    EventKind = "miss"    // it did not open in time, and may still
	Drop    EventKind = "drop"    // it did not open in time, or another revision does not have it
	Finish  EventKind = "finish"  // its time is over
	Emptied EventKind = "emptied" // none of its tasks is on any machine, by proof
)

// Event is what can happen to an occurrence.
type Event struct {
	Kind  EventKind
	NowMs int64
	EndMs int64   // of Begin: when it is to end
	As    *Window // of Begin: what it is
}

// Next is the state machine of an occurrence: nothing else changes its state. It only ever goes
// forward, so that a clock that is set back opens or closes nothing twice. It tells whether the
// occurrence changed.
func Next(occurrence Occurrence, event Event) (Occurrence, bool) {
	state := occurrence.State
	switch {
	case event.Kind == Prepare && state == Planned:
		occurrence.State = Preparing
	case event.Kind == Begin && state.Waits() && event.As != nil:
		occurrence.State = Open
		occurrence.Opened = event.NowMs
		occurrence.End = event.EndMs
		occurrence.Team = event.As.Team
		occurrence.Classes = event.As.Classes
		occurrence.Stop = event.As.Stop
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
