package calendar

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Now is the time at which the keeper is asked, all in ms: the time of day, how far it
// may be off, and how long machines take to boot.
type Now struct{ Ms, OffMs, PrepareMs int64 }

// Cluster is what the keeper must know of tasks.
type Cluster interface {
	// Settled tells whether everything is known that was committed before the newest
	// known change of the calendar's keys.
	Settled() bool
	// Attempts counts the attempts of some classes that may be on machines, those
	// given to a part and those under a transaction included. What nobody can tell
	// the class of counts.
	Attempts(of func(quota.Key) bool) int
}

// Change is a track's next record, to be committed whole, conditional on the view, on
// the document in force and on the track's record.
type Change struct {
	Track string
	Value json.RawMessage // nil: the record goes
	Moves []Move
	// Urgent: something opens or ends with it. What is only planned or prepared waits
	// for its turn in the budget.
	Urgent bool
}

// Move is an occurrence that changes state, for the log.
type Move struct {
	Window   string
	Begin    int64
	From, To State
}

// Keeper knows the document in force and the occurrences, and decides what becomes of
// them. Only the leader commits what it decides.
type Keeper struct {
	file   *Plan // of this controller's own file
	plan   *Plan // in force, nil until one was read
	tracks map[string]*Record
	holds  map[string]*Occurrence // those that have their track, by track
	aside  map[string]bool        // tracks whose records can't be read
	// blocked is the windows whose time has come, but whose track is not proven free,
	// by track, as of the last look.
	blocked map[string]Move
	limit   int   // bytes of a record
	last    int64 // when it last looked, ms
	next    int64 // when it looks again, ms
	dirty   bool
}

// NewKeeper makes a keeper that knows a controller's own file, and writes records of at
// most so many bytes.
func NewKeeper(file *Plan, limit int) *Keeper {
	return &Keeper{
		file:    file,
		tracks:  map[string]*Record{},
		holds:   map[string]*Occurrence{},
		aside:   map[string]bool{},
		blocked: map[string]Move{},
		limit:   limit,
		dirty:   true,
	}
}

// Plan is the plan that classes are judged by: the one in force, or that of the file
// until there is one.
func (k *Keeper) Plan() *Plan {
	if k.plan != nil {
		return k.plan
	}
	return k.file
}

// Document takes the document in force in. One that can't be read is an error, and
// the plan is kept.
func (k *Keeper) Document(value json.RawMessage) error {
	k.dirty = true
	if value == nil {
		k.plan = nil
		return nil
	}
	d, err := DecodeDocument(value)
	if err != nil {
		return err
	}
	p, err := Compile(d)
	if err != nil {
		return err
	}
	k.plan = p
	return nil
}

// Changed takes a track's record in, nil for one that is gone. One that can't be read
// is an error: nothing of its track begins, and nothing is decided about it.
func (k *Keeper) Changed(track string, value json.RawMessage) error {
	k.dirty = true
	delete(k.aside, track)
	delete(k.tracks, track)
	delete(k.holds, track)
	if value == nil {
		return nil
	}
	rec, err := DecodeRecord(value)
	if err != nil {
		k.aside[track] = true
		return err
	}
	k.tracks[track] = rec
	if h := rec.holder(); h != nil {
		k.holds[track] = h
	}
	return nil
}

// Touch has all tracks looked at.
func (k *Keeper) Touch() { k.dirty = true }

// names lists the tracks that are planned or kept.
func (k *Keeper) names() []string {
	all := map[string]bool{}
	for name := range k.tracks {
		all[name] = true
	}
	for _, t := range k.plan.Tracks {
		all[t.Name] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// Reconcile decides what becomes of the occurrences now.
func (k *Keeper) Reconcile(n Now, w Cluster) []Change {
	if k.plan == nil || !k.dirty && n.Ms >= k.last && n.Ms < k.next {
		return nil
	}
	clear(k.blocked)
	k.dirty, k.last, k.next = false, n.Ms, n.Ms+tuning.CalendarIdle.Milliseconds()
	var out []Change
	for _, name := range k.names() {
		if k.aside[name] {
			continue
		}
		if len(out) == tuning.CalendarChanges {
			k.wake(n, n.Ms+1) // the others have their turn next
			break
		}
		if c := k.look(name, n, w); c != nil {
			out = append(out, *c)
			k.wake(n, n.Ms+1) // should it not be committed, it is decided again
		}
	}
	return out
}

// wake has the keeper look again at a time, if it is still to come.
func (k *Keeper) wake(n Now, at int64) {
	if at > n.Ms {
		k.next = min(k.next, max(at, n.Ms+tuning.CalendarPollEvery.Milliseconds()))
	}
}

// draft is a track's next record in the making.
type draft struct {
	k       *Keeper
	n       Now
	w       Cluster
	track   *Track  // nil: the plan in force has none such
	was     *Record // as committed
	rec     Record
	moves   []Move
	touched bool
}

// step applies an event to an occurrence of the draft.
func (d *draft) step(o *Occurrence, e Event) bool {
	e.NowMs = d.n.Ms
	next, ok := Next(*o, e)
	if !ok {
		return false
	}
	d.moves = append(d.moves, Move{o.Window, o.Begin, o.State, next.State})
	if !next.State.Waits() {
		d.rec.DoneMs = max(d.rec.DoneMs, o.Begin)
	}
	*o, d.touched = next, true
	return true
}

// look decides about one track.
func (k *Keeper) look(name string, n Now, w Cluster) *Change {
	d := &draft{k: k, n: n, w: w, was: k.tracks[name]}
	if d.was == nil {
		d.was = &Record{}
	}
	d.rec = Record{DoneMs: d.was.DoneMs, Occurrences: slices.Clone(d.was.Occurrences)}
	for _, t := range k.plan.Tracks {
		if t.Name == name {
			d.track = t
		}
	}
	d.revise()
	d.end()
	for i := range d.rec.Occurrences {
		if o := &d.rec.Occurrences[i]; o.State.Waits() {
			d.await(o)
		}
	}
	d.fill() // first, so that a late one sees what comes after it
	d.open()
	if d.track == nil && len(d.rec.Occurrences) > 0 && d.old() {
		return &Change{Track: name, Moves: d.moves}
	}
	if !d.touched {
		return nil
	}
	urgent := slices.ContainsFunc(d.moves, func(m Move) bool { return m.To.Holds() || m.To == Closed })
	return &Change{Track: name, Value: d.rec.encode(k.limit), Moves: d.moves, Urgent: urgent}
}

// old tells whether a track that is planned no more may be forgotten: nothing of it
// could be run late any more should it come back.
func (d *draft) old() bool {
	for _, o := range d.rec.Occurrences {
		if !o.State.Final() {
			return false
		}
	}
	return d.n.Ms-d.rec.DoneMs > 3*tuning.MaxWindow.Milliseconds()
}

// revise has what only waits go by the revision in force. What is planned is planned
// anew; what has come further is dropped unless the revision has the same.
func (d *draft) revise() {
	d.rec.Occurrences = slices.DeleteFunc(d.rec.Occurrences, func(o Occurrence) bool {
		gone := o.State == Planned && o.Revision != d.k.plan.Revision
		d.touched = d.touched || gone
		return gone
	})
	for i := range d.rec.Occurrences {
		o := &d.rec.Occurrences[i]
		if !o.State.Waits() || o.Revision == d.k.plan.Revision {
			continue
		}
		if s, ok := d.span(o); ok {
			o.Revision, o.End, d.touched = d.k.plan.Revision, ms(s.End), true
		} else {
			d.step(o, Event{Kind: Drop})
		}
	}
}

// span is when the plan in force has an occurrence.
func (d *draft) span(o *Occurrence) (Span, bool) {
	if d.track == nil {
		return Span{}, false
	}
	begin := time.UnixMilli(o.Begin)
	if w := d.track.window(o.Window); w != nil {
		for _, s := range w.between(begin, begin.Add(time.Second)) {
			return s, true
		}
	}
	return Span{}, false
}

// end closes what is open once its time may be over, and notes as closed what is
// proven to be on no machine. The proof counts only for what was closing in the
// committed record: up to that commit something may have begun, and nothing after it.
func (d *draft) end() {
	for i := range d.rec.Occurrences {
		o := &d.rec.Occurrences[i]
		switch {
		case o.State == Open && d.n.Ms >= o.End-d.n.OffMs:
			d.step(o, Event{Kind: Finish})
		case o.State == Open:
			d.k.wake(d.n, o.End-d.n.OffMs)
		case o.State == Closing:
			if d.w.Settled() && d.w.Attempts(o.Has) == 0 {
				d.step(o, Event{Kind: Emptied})
			} else {
				d.k.wake(d.n, d.n.Ms+1)
			}
		}
	}
}

// await prepares what is about to open and gives up what did not.
func (d *draft) await(o *Occurrence) {
	if d.track == nil {
		return
	}
	w := d.track.window(o.Window)
	if w == nil {
		return
	}
	prepare := o.Begin - d.n.PrepareMs
	onTime := o.Begin + d.n.OffMs + w.Slip.Milliseconds()
	late := onTime + w.Late.Milliseconds()
	for _, at := range []int64{prepare, o.Begin + d.n.OffMs, onTime + 1, late + 1} {
		d.k.wake(d.n, at)
	}
	switch {
	case o.State == Slipped && d.n.Ms > late, o.State != Slipped && d.n.Ms > onTime && (!w.RunLate || d.n.Ms > late):
		d.step(o, Event{Kind: Drop})
	case d.n.Ms > onTime:
		d.step(o, Event{Kind: Miss})
	case d.n.Ms >= prepare:
		d.step(o, Event{Kind: Prepare})
	}
}

// open opens the next one whose time has come, if nothing else may be on the track.
func (d *draft) open() {
	if d.track == nil || d.rec.holder() != nil {
		return
	}
	for _, late := range []bool{false, true} {
		for i := range d.rec.Occurrences {
			o := &d.rec.Occurrences[i]
			if !o.State.Waits() || (o.State == Slipped) != late {
				continue
			}
			end, due := d.due(o, late)
			if !due {
				continue
			}
			if w := d.track.window(o.Window); d.free(w) {
				d.step(o, Event{Kind: Begin, EndMs: end, As: w})
				d.k.wake(d.n, end-d.n.OffMs)
				return
			}
			d.k.wake(d.n, d.n.Ms+1)
			d.k.blocked[d.track.Name] = Move{o.Window, o.Begin, o.State, Open}
			if !late {
				return // what was missed before must not go in between
			}
		}
	}
}

// due tells whether an occurrence's time has come, and when it is to end: with the
// clock's fault counted against it at both ends. A late one has its whole length,
// where that ends before the next one of the track begins.
func (d *draft) due(o *Occurrence, late bool) (end int64, due bool) {
	if !late {
		return o.End, d.n.Ms >= o.Begin+d.n.OffMs && d.n.Ms < o.End-d.n.OffMs
	}
	end = d.n.Ms + o.End - o.Begin
	for i := range d.rec.Occurrences {
		next := &d.rec.Occurrences[i]
		if next.State.Waits() && next.State != Slipped && end+2*d.n.OffMs > next.Begin {
			return end, false
		}
	}
	return end, true
}

// free tells whether no attempt of the track's other work may be on any machine, now
// or later: what the plan has on this track begins only in an open occurrence, and
// there is none, neither here nor, from before the revision, on another track. So
// once it is free it stays so until the occurrence is committed as open.
func (d *draft) free(w *Window) bool {
	other := func(k quota.Key) bool {
		return !w.Has(k) && d.k.plan.TrackOf(k) == d.track
	}
	for name, h := range d.k.holds {
		for _, c := range h.Classes {
			if name != d.track.Name && other(quota.Key{Team: h.Team, Class: c}) {
				return false
			}
		}
	}
	return d.w.Settled() && d.w.Attempts(other) == 0
}

// fill plans the next occurrences: with every change of the track, and by a change of
// its own once few are left.
func (d *draft) fill() {
	if d.track == nil {
		return
	}
	waiting := 0
	have := map[string]bool{}
	for _, o := range d.rec.Occurrences {
		if o.State.Waits() {
			waiting++
		}
		have[key(o.Window, o.Begin)] = true
	}
	if !d.touched && waiting >= tuning.MinPlannedOccurrences || waiting >= tuning.MaxPlannedOccurrences {
		return
	}
	now := time.UnixMilli(d.n.Ms)
	fresh := len(d.was.Occurrences) == 0 && d.was.DoneMs == 0 // what was before the calendar was not missed
	for _, s := range d.track.Between(now.Add(-2*tuning.MaxWindow), now.Add(tuning.PlannedAhead)) {
		begin := ms(s.Begin)
		if waiting >= tuning.MaxPlannedOccurrences {
			break
		}
		if begin <= d.rec.DoneMs || have[key(s.Window.Name, begin)] || now.After(s.lastOpening()) ||
			fresh && now.After(s.Begin.Add(s.Window.Slip)) {
			continue
		}
		d.rec.Occurrences = append(
			d.rec.Occurrences,
			Occurrence{Window: s.Window.Name, Begin: begin, End: ms(s.End), State: Planned, Revision: d.k.plan.Revision},
		)
		d.touched = true
		d.k.wake(d.n, max(begin-d.n.PrepareMs, d.n.Ms+1))
		waiting++
	}
	slices.SortStableFunc(d.rec.Occurrences, func(a, b Occurrence) int { return int(min(max(a.Begin-b.Begin, -1), 1)) })
}

// key names an occurrence among those of its track.
func key(window string, begin int64) string {
	return window + time.UnixMilli(begin).UTC().Format(" 20060102150405.000")
}
