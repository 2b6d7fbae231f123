package calendar

import "github.com/harrierreel/harrierreel/internal/quota"

// State is the state of an occurrence of a window.
type State string

// States of an occurrence. Closed and skipped ones never change again.
const (
	Planned   State = "planned"
	Preparing State = "preparing" // its waiting jobs count as queued room
	Open      State = "open"      // its work may begin
	Closing   State = "closing"   // nothing of it begins, some may still be on machines
	Closed    State = "closed"    // nothing of it is on any machine
	Slipped   State = "slipped"   // missed, and may still open
	Skipped   State = "skipped"   // never opened
)

// Final tells whether a state never changes again.
func (s State) Final() bool { return s == Closed || s == Skipped }

// Holds tells whether an occurrence in this state has its track.
func (s State) Holds() bool { return s == Open || s == Closing }

// Waits tells whether an occurrence in this state has not begun.
func (s State) Waits() bool { return s == Planned || s == Preparing || s == Slipped }

// Occurrence is one time of a window, as stored. Times are times of day in ms.
type Occurrence struct {
	Window   string `json:"w"`
	Begin    int64  `json:"b"`
	End      int64  `json:"e"` // as planned; of one that opened late when it is to end
	State    State  `json:"s"`
	Revision int    `json:"r"`
	AtMs     int64  `json:"at,omitempty"` // of its last change
	Opened   int64  `json:"o,omitempty"`
	// What it lets begin, kept from when it opens: it ends under the revision that it
	// began with.
	Team    string   `json:"t,omitempty"`
	Classes []string `json:"c,omitempty"`
	Stop    bool     `json:"x,omitempty"`
}

// Has tells whether a class of a team is what it lets begin.
func (o *Occurrence) Has(k quota.Key) bool {
	w := Window{Team: o.Team, Classes: o.Classes}
	return w.Has(k)
}

// EventKind names an event of an occurrence.
type EventKind string

// Events of an occurrence.
const (
	Prepare EventKind = "prepare" // machines take so long to boot
	Begin   EventKind = "begin"   // its time has come and its track is proven free
	Miss    EventKind = "miss"    // it did not open in time, and may still
	Drop    EventKind = "drop"    // it did not open in time, or another revision has none such
	Finish  EventKind = "finish"  // its time is over
	Emptied EventKind = "emptied" // proven that nothing of it is on any machine
)

// Event is what can happen to an occurrence.
type Event struct {
	Kind  EventKind
	NowMs int64
	EndMs int64   // of Begin: when it is to end
	As    *Window // of Begin: what it is
}

// Next is the one place where an occurrence changes state. It only ever goes forward,
// so that no step of a clock opens or closes anything twice.
func Next(o Occurrence, e Event) (Occurrence, bool) {
	to := State("")
	switch {
	case e.Kind == Prepare && o.State == Planned:
		to = Preparing
	case e.Kind == Begin && o.State.Waits() && e.As != nil:
		to = Open
		o.Opened, o.End = e.NowMs, e.EndMs
		o.Team, o.Classes, o.Stop = e.As.Team, e.As.Classes, e.As.Stop
	case e.Kind == Miss && (o.State == Planned || o.State == Preparing):
		to = Slipped
	case e.Kind == Drop && o.State.Waits():
		to = Skipped
	case e.Kind == Finish && o.State == Open:
		to = Closing
	case e.Kind == Emptied && o.State == Closing:
		to = Closed
		o.Team, o.Classes, o.Stop = "", nil, false
	default:
		return o, false
	}
	o.State, o.AtMs = to, e.NowMs
	return o, true
}
