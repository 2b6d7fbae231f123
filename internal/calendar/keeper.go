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
	filePlan    *Plan // of this controller's own file
	plan        *Plan // in force, nil until one was read
	tracks      map[string]*Record
	holders     map[string]*Occurrence // those that have their track, by track
	quarantined map[string]bool        // tracks whose records can't be read
	// blocked is the windows whose time has come, but whose track is not proven free,
	// by track, as of the last look.
	blocked    map[string]Move
	limitBytes int   // bytes of a record
	lastMs     int64 // when it last looked, ms
	nextMs     int64 // when it looks again, ms
	changed    bool
}

// NewKeeper makes a keeper that knows a controller's own file, and writes records of at
// most so many bytes.
func NewKeeper(file *Plan, limit int) *Keeper {
	return &Keeper{
		filePlan:    file,
		tracks:      map[string]*Record{},
		holders:     map[string]*Occurrence{},
		quarantined: map[string]bool{},
		blocked:     map[string]Move{},
		limitBytes:  limit,
		changed:     true,
	}
}

// Plan is the plan that classes are judged by: the one in force, or that of the file
// until there is one.
func (k *Keeper) Plan() *Plan {
	if k.plan != nil {
		return k.plan
	}
	return k.filePlan
}

// ApplyDocument takes the document in force in. One that can't be read is an error, and
// the plan is kept.
func (k *Keeper) ApplyDocument(value json.RawMessage) error {
	k.changed = true
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

// ApplyTrack takes a track's record in, nil for one that is gone. One that can't be read
// is an error: nothing of its track begins, and nothing is decided about it.
func (k *Keeper) ApplyTrack(track string, value json.RawMessage) error {
	k.changed = true
	delete(k.quarantined, track)
	delete(k.tracks, track)
	delete(k.holders, track)
	if value == nil {
		return nil
	}
	rec, err := DecodeRecord(value)
	if err != nil {
		k.quarantined[track] = true
		return err
	}
	k.tracks[track] = rec
	if h := rec.holder(); h != nil {
		k.holders[track] = h
	}
	return nil
}

// Touch has all tracks looked at.
func (k *Keeper) Touch() { k.changed = true }

// trackNames lists the tracks that are planned or kept.
func (k *Keeper) trackNames() []string {
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
	if k.plan == nil || !k.changed && n.Ms >= k.lastMs && n.Ms < k.nextMs {
		return nil
	}
	clear(k.blocked)
	k.changed, k.lastMs, k.nextMs = false, n.Ms, n.Ms+tuning.CalendarIdle.Milliseconds()
	var out []Change
	for _, name := range k.trackNames() {
		if k.quarantined[name] {
			continue
		}
		if len(out) == tuning.CalendarChanges {
			k.wake(n, n.Ms+1) // the others have their turn next
			break
		}
		if c := k.decideTrack(name, n, w); c != nil {
			out = append(out, *c)
			k.wake(n, n.Ms+1) // should it not be committed, it is decided again
		}
	}
	return out
}

// wake has the keeper look again at a time, if it is still to come.
func (k *Keeper) wake(n Now, at int64) {
	if at > n.Ms {
		k.nextMs = min(k.nextMs, max(at, n.Ms+tuning.CalendarPollEvery.Milliseconds()))
	}
}

// trackDraft is a track's next record in the making.
type trackDraft struct {
	keeper    *Keeper
	now       Now
	cluster   Cluster
	track     *Track  // nil: the plan in force has none such
	committed *Record // as committed
	record    Record
	moves     []Move
	changed   bool
}

// apply applies an event to an occurrence of the draft.
func (d *trackDraft) apply(o *Occurrence, e Event) bool {
	e.NowMs = d.now.Ms
	next, ok := Next(*o, e)
	if !ok {
		return false
	}
	d.moves = append(d.moves, Move{o.Window, o.Begin, o.State, next.State})
	if !next.State.Waits() {
		d.record.DoneMs = max(d.record.DoneMs, o.Begin)
	}
	*o, d.changed = next, true
	return true
}

// decideTrack decides about one track.
func (k *Keeper) decideTrack(name string, n Now, w Cluster) *Change {
	d := &trackDraft{keeper: k, now: n, cluster: w, committed: k.tracks[name]}
	if d.committed == nil {
		d.committed = &Record{}
	}
	d.record = Record{DoneMs: d.committed.DoneMs, Occurrences: slices.Clone(d.committed.Occurrences)}
	for _, t := range k.plan.Tracks {
		if t.Name == name {
			d.track = t
		}
	}
	d.applyRevision()
	d.closeEnded()
	for i := range d.record.Occurrences {
		if o := &d.record.Occurrences[i]; o.State.Waits() {
			d.advanceWaiting(o)
		}
	}
	d.planAhead() // first, so that a late one sees what comes after it
	d.openDue()
	if d.track == nil && len(d.record.Occurrences) > 0 && d.expired() {
		return &Change{Track: name, Moves: d.moves}
	}
	if !d.changed {
		return nil
	}
	urgent := slices.ContainsFunc(d.moves, func(m Move) bool { return m.To.Holds() || m.To == Closed })
	return &Change{Track: name, Value: d.record.encode(k.limitBytes), Moves: d.moves, Urgent: urgent}
}

// expired tells whether a track that is planned no more may be forgotten: nothing of it
// could be run late any more should it come back.
func (d *trackDraft) expired() bool {
	for _, o := range d.record.Occurrences {
		if !o.State.Final() {
			return false
		}
	}
	return d.now.Ms-d.record.DoneMs > 3*tuning.MaxWindow.Milliseconds()
}

// applyRevision has what only waits go by the revision in force. What is planned is planned
// anew; what has come further is dropped unless the revision has the same.
func (d *trackDraft) applyRevision() {
	d.record.Occurrences = slices.DeleteFunc(d.record.Occurrences, func(o Occurrence) bool {
		gone := o.State == Planned && o.Revision != d.keeper.plan.Revision
		d.changed = d.changed || gone
		return gone
	})
	for i := range d.record.Occurrences {
		o := &d.record.Occurrences[i]
		if !o.State.Waits() || o.Revision == d.keeper.plan.Revision {
			continue
		}
		if s, ok := d.plannedSpan(o); ok {
			o.Revision, o.End, d.changed = d.keeper.plan.Revision, ms(s.End), true
		} else {
			d.apply(o, Event{Kind: Drop})
		}
	}
}

// plannedSpan is when the plan in force has an occurrence.
func (d *trackDraft) plannedSpan(o *Occurrence) (Span, bool) {
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

// closeEnded closes what is open once its time may be over, and notes as closed what is
// proven to be on no machine. The proof counts only for what was closing in the
// committed record: up to that commit something may have begun, and nothing after it.
func (d *trackDraft) closeEnded() {
	for i := range d.record.Occurrences {
		o := &d.record.Occurrences[i]
		switch {
		case o.State == Open && d.now.Ms >= o.End-d.now.OffMs:
			d.apply(o, Event{Kind: Finish})
		case o.State == Open:
			d.keeper.wake(d.now, o.End-d.now.OffMs)
		case o.State == Closing:
			if d.cluster.Settled() && d.cluster.Attempts(o.Has) == 0 {
				d.apply(o, Event{Kind: Emptied})
			} else {
				d.keeper.wake(d.now, d.now.Ms+1)
			}
		}
	}
}

// advanceWaiting prepares what is about to open and gives up what did not.
func (d *trackDraft) advanceWaiting(o *Occurrence) {
	if d.track == nil {
		return
	}
	w := d.track.window(o.Window)
	if w == nil {
		return
	}
	prepare := o.Begin - d.now.PrepareMs
	onTime := o.Begin + d.now.OffMs + w.Slip.Milliseconds()
	late := onTime + w.Late.Milliseconds()
	for _, at := range []int64{prepare, o.Begin + d.now.OffMs, onTime + 1, late + 1} {
		d.keeper.wake(d.now, at)
	}
	switch {
	case o.State == Slipped && d.now.Ms > late, o.State != Slipped && d.now.Ms > onTime && (!w.RunLate || d.now.Ms > late):
		d.apply(o, Event{Kind: Drop})
	case d.now.Ms > onTime:
		d.apply(o, Event{Kind: Miss})
	case d.now.Ms >= prepare:
		d.apply(o, Event{Kind: Prepare})
	}
}

// openDue opens the next one whose time has come, if nothing else may be on the track.
func (d *trackDraft) openDue() {
	if d.track == nil || d.record.holder() != nil {
		return
	}
	for _, late := range []bool{false, true} {
		for i := range d.record.Occurrences {
			o := &d.record.Occurrences[i]
			if !o.State.Waits() || (o.State == Slipped) != late {
				continue
			}
			end, due := d.due(o, late)
			if !due {
				continue
			}
			if w := d.track.window(o.Window); d.trackIsFree(w) {
				d.apply(o, Event{Kind: Begin, EndMs: end, As: w})
				d.keeper.wake(d.now, end-d.now.OffMs)
				return
			}
			d.keeper.wake(d.now, d.now.Ms+1)
			d.keeper.blocked[d.track.Name] = Move{o.Window, o.Begin, o.State, Open}
			if !late {
				return // what was missed before must not go in between
			}
		}
	}
}

// due tells whether an occurrence's time has come, and when it is to end: with the
// clock's fault counted against it at both ends. A late one has its whole length,
// where that ends before the next one of the track begins.
func (d *trackDraft) due(o *Occurrence, late bool) (end int64, due bool) {
	if !late {
		return o.End, d.now.Ms >= o.Begin+d.now.OffMs && d.now.Ms < o.End-d.now.OffMs
	}
	end = d.now.Ms + o.End - o.Begin
	for i := range d.record.Occurrences {
		next := &d.record.Occurrences[i]
		if next.State.Waits() && next.State != Slipped && end+2*d.now.OffMs > next.Begin {
			return end, false
		}
	}
	return end, true
}

// trackIsFree tells whether no attempt of the track's other work may be on any machine, now
// or later: what the plan has on this track begins only in an open occurrence, and
// there is none, neither here nor, from before the revision, on another track. So
// once it is free it stays so until the occurrence is committed as open.
func (d *trackDraft) trackIsFree(w *Window) bool {
	other := func(k quota.Key) bool {
		return !w.Has(k) && d.keeper.plan.TrackOf(k) == d.track
	}
	for name, h := range d.keeper.holders {
		for _, c := range h.Classes {
			if name != d.track.Name && other(quota.Key{Team: h.Team, Class: c}) {
				return false
			}
		}
	}
	return d.cluster.Settled() && d.cluster.Attempts(other) == 0
}

// planAhead plans the next occurrences: with every change of the track, and by a change of
// its own once few are left.
func (d *trackDraft) planAhead() {
	if d.track == nil {
		return
	}
	waiting := 0
	have := map[string]bool{}
	for _, o := range d.record.Occurrences {
		if o.State.Waits() {
			waiting++
		}
		have[occurrenceKey(o.Window, o.Begin)] = true
	}
	if !d.changed && waiting >= tuning.MinPlannedOccurrences || waiting >= tuning.MaxPlannedOccurrences {
		return
	}
	now := time.UnixMilli(d.now.Ms)
	fresh := len(d.committed.Occurrences) == 0 && d.committed.DoneMs == 0 // what was before the calendar was not missed
	for _, s := range d.track.Between(now.Add(-2*tuning.MaxWindow), now.Add(tuning.PlannedAhead)) {
		begin := ms(s.Begin)
		if waiting >= tuning.MaxPlannedOccurrences {
			break
		}
		if begin <= d.record.DoneMs || have[occurrenceKey(s.Window.Name, begin)] || now.After(s.lastOpening()) ||
			fresh && now.After(s.Begin.Add(s.Window.Slip)) {
			continue
		}
		d.record.Occurrences = append(
			d.record.Occurrences,
			Occurrence{Window: s.Window.Name, Begin: begin, End: ms(s.End), State: Planned, Revision: d.keeper.plan.Revision},
		)
		d.changed = true
		d.keeper.wake(d.now, max(begin-d.now.PrepareMs, d.now.Ms+1))
		waiting++
	}
	slices.SortStableFunc(d.record.Occurrences, func(a, b Occurrence) int { return int(min(max(a.Begin-b.Begin, -1), 1)) })
}

// occurrenceKey names an occurrence among those of its track.
func occurrenceKey(window string, begin int64) string {
	return window + time.UnixMilli(begin).UTC().Format(" 20060102150405.000")
}
