package calendar

import (
	"cmp"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// trackDraft is a track's next record in the making.
type trackDraft struct {
	keeper    *Keeper
	now       Now
	cluster   Cluster
	track     *Track  // nil: the plan in force does not have it
	committed *Record // as stored
	record    Record
	moves     []Move
	changed   bool
}

func (k *Keeper) newTrackDraft(name string, now Now, cluster Cluster) *trackDraft {
	committed := k.tracks[name]
	if committed == nil {
		committed = &Record{}
	}
	draft := &trackDraft{
		keeper:    k,
		now:       now,
		cluster:   cluster,
		committed: committed,
		record: Record{
			DoneMs:      committed.DoneMs,
			Occurrences: slices.Clone(committed.Occurrences),
		},
	}
	for _, track := range k.plan.Tracks {
		if track.Name == name {
			draft.track = track
		}
	}
	return draft
}

// apply applies an event to an occurrence of the draft.
func (d *trackDraft) apply(occurrence *Occurrence, event Event) {
	event.NowMs = d.now.Ms
	next, ok := Next(*occurrence, event)
	if !ok {
		return
	}
	d.moves = append(d.moves, Move{
		Window: occurrence.Window,
		Begin:  occurrence.Begin,
		From:   occurrence.State,
		To:     next.State,
	})
	if !next.State.Waits() {
		d.record.DoneMs = max(d.record.DoneMs, occurrence.Begin)
	}
	*occurrence = next
	d.changed = true
}

// expired tells whether the record of a track that is planned no more may be deleted: nothing of
// it could be run late any more should it come back.
func (d *trackDraft) expired() bool {
	if d.track != nil || len(d.record.Occurrences) == 0 {
		return false
	}
	for _, occurrence := range d.record.Occurrences {
		if !occurrence.State.Final() {
			return false
		}
	}
	return d.now.Ms-d.record.DoneMs > 3*tuning.MaxWindow.Milliseconds()
}

// applyRevision adapts what only waits to the revision in force. What is planned is planned anew;
// what has come further is dropped unless the revision has the same.
func (d *trackDraft) applyRevision() {
	revision := d.keeper.plan.Revision
	d.record.Occurrences = slices.DeleteFunc(d.record.Occurrences, func(occurrence Occurrence) bool {
		outdated := occurrence.State == Planned && occurrence.Revision != revision
		d.changed = d.changed || outdated
		return outdated
	})
	for i := range d.record.Occurrences {
		occurrence := &d.record.Occurrences[i]
		if !occurrence.State.Waits() || occurrence.Revision == revision {
			continue
		}
		span, ok := d.plannedSpan(occurrence)
		if !ok {
			d.apply(occurrence, Event{Kind: Drop})
			continue
		}
		occurrence.Revision = revision
		occurrence.End = span.End.UnixMilli()
		d.changed = true
	}
}

// plannedSpan is when the plan in force has an occurrence.
func (d *trackDraft) plannedSpan(occurrence *Occurrence) (Span, bool) {
	if d.track == nil {
		return Span{}, false
	}
	window := d.track.window(occurrence.Window)
	if window == nil {
		return Span{}, false
	}
	begin := time.UnixMilli(occurrence.Begin)
	spans := window.between(begin, begin.Add(time.Second))
	if len(spans) == 0 {
		return Span{}, false
	}
	return spans[0], true
}

// closeEnded closes what is open once its time may be over, and notes as closed what is proven to
// be on no machine. The proof counts only for what was closing in the committed record: up to
// that commit tasks may have begun, and none after it.
func (d *trackDraft) closeEnded() {
	for i := range d.record.Occurrences {
		occurrence := &d.record.Occurrences[i]
		endMs := occurrence.End - d.now.OffMs
		switch {
		case occurrence.State == Open && d.now.Ms >= endMs:
			d.apply(occurrence, Event{Kind: Finish})
		case occurrence.State == Open:
			d.keeper.wakeAt(d.now, endMs)
		case occurrence.State != Closing:
		case d.cluster.Settled() && d.cluster.Attempts(occurrence.Has) == 0:
			d.apply(occurrence, Event{Kind: Emptied})
		default:
			d.keeper.wakeAt(d.now, d.now.Ms+1)
		}
	}
}

// advanceWaiting prepares what is about to open and gives up what did not open in time.
func (d *trackDraft) advanceWaiting() {
	if d.track == nil {
		return
	}
	for i := range d.record.Occurrences {
		occurrence := &d.record.Occurrences[i]
		if window := d.track.window(occurrence.Window); window != nil && occurrence.State.Waits() {
			d.advanceOne(occurrence, window)
		}
	}
}

func (d *trackDraft) advanceOne(occurrence *Occurrence, window *Window) {
	prepareMs := occurrence.Begin - d.now.PrepareMs
	beginMs := occurrence.Begin + d.now.OffMs
	onTimeMs := beginMs + window.Slip.Milliseconds() // the last moment at which it is not missed
	lateMs := onTimeMs + window.Late.Milliseconds()  // the last at which a missed one may open
	for _, atMs := range []int64{prepareMs, beginMs, onTimeMs + 1, lateMs + 1} {
		d.keeper.wakeAt(d.now, atMs)
	}
	missed := d.now.Ms > onTimeMs
	tooLate := d.now.Ms > lateMs
	switch {
	case occurrence.State == Slipped && tooLate:
		d.apply(occurrence, Event{Kind: Drop})
	case occurrence.State != Slipped && missed && (!window.RunLate || tooLate):
		d.apply(occurrence, Event{Kind: Drop})
	case missed:
		d.apply(occurrence, Event{Kind: Miss})
	case d.now.Ms >= prepareMs:
		d.apply(occurrence, Event{Kind: Prepare})
	}
}

// openDue opens the next occurrence whose time has come, if nothing else may be on the track.
func (d *trackDraft) openDue() {
	if d.track == nil || d.record.holder() != nil {
		return
	}
	// What was missed before must not go in between once one is due on time.
	if !d.openFirst(false) {
		d.openFirst(true)
	}
}

// openFirst opens the first occurrence that is due, among those that were missed or among the
// others. It tells whether none may be opened after it.
func (d *trackDraft) openFirst(late bool) bool {
	for i := range d.record.Occurrences {
		occurrence := &d.record.Occurrences[i]
		if !occurrence.State.Waits() || (occurrence.State == Slipped) != late {
			continue
		}
		endMs, due := d.due(occurrence, late)
		if !due {
			continue
		}
		window := d.track.window(occurrence.Window)
		if d.trackIsFree(window) {
			d.apply(occurrence, Event{Kind: Begin, EndMs: endMs, As: window})
			d.keeper.wakeAt(d.now, endMs-d.now.OffMs)
			return true
		}
		d.keeper.wakeAt(d.now, d.now.Ms+1)
		d.keeper.blocked[d.track.Name] = Move{
			Window: occurrence.Window,
			Begin:  occurrence.Begin,
			From:   occurrence.State,
			To:     Open,
		}
		if !late {
			return true
		}
	}
	return false
}

// due tells whether an occurrence's time has come, and when it is to end: the clock's error counts
// against it at both ends. A late one has its whole length, where that ends before the next
// one of the track begins.
func (d *trackDraft) due(occurrence *Occurrence, late bool) (endMs int64, due bool) {
	if !late {
		begun := d.now.Ms >= occurrence.Begin+d.now.OffMs
		ended := d.now.Ms >= occurrence.End-d.now.OffMs
		return occurrence.End, begun && !ended
	}
	endMs = d.now.Ms + occurrence.End - occurrence.Begin
	for i := range d.record.Occurrences {
		next := &d.record.Occurrences[i]
		if next.State.Waits() && next.State != Slipped && endMs+2*d.now.OffMs > next.Begin {
			return endMs, false
		}
	}
	return endMs, true
}

// trackIsFree tells whether no attempt of the track's other classes may be on any machine, now or
// later. What the plan has on this track begins only in an open occurrence, and there is none,
// neither here nor, from before the revision, on another track. So once it is free it stays
// so until the occurrence is committed as open.
func (d *trackDraft) trackIsFree(window *Window) bool {
	isOther := func(class quota.Key) bool {
		return !window.Has(class) && d.keeper.plan.TrackOf(class) == d.track
	}
	for name, holder := range d.keeper.holders {
		if name == d.track.Name {
			continue
		}
		for _, class := range holder.Classes {
			if isOther(quota.Key{Team: holder.Team, Class: class}) {
				return false
			}
		}
	}
	return d.cluster.Settled() && d.cluster.Attempts(isOther) == 0
}

// planAhead plans the next occurrences: with every change of the track, and by a change of its own
// once few are left.
func (d *trackDraft) planAhead() {
	if d.track == nil {
		return
	}
	waiting := 0
	known := map[string]bool{}
	for _, occurrence := range d.record.Occurrences {
		if occurrence.State.Waits() {
			waiting++
		}
		known[occurrenceKey(occurrence.Window, occurrence.Begin)] = true
	}
	enough := waiting >= tuning.MinPlannedOccurrences
	if !d.changed && enough || waiting >= tuning.MaxPlannedOccurrences {
		return
	}
	now := time.UnixMilli(d.now.Ms)
	for _, span := range d.track.Between(now.Add(-2*tuning.MaxWindow), now.Add(tuning.PlannedAhead)) {
		if waiting >= tuning.MaxPlannedOccurrences {
			break
		}
		beginMs := span.Begin.UnixMilli()
		if known[occurrenceKey(span.Window.Name, beginMs)] || !d.mayPlan(span) {
			continue
		}
		d.record.Occurrences = append(d.record.Occurrences, Occurrence{
			Window:   span.Window.Name,
			Begin:    beginMs,
			End:      span.End.UnixMilli(),
			State:    Planned,
			Revision: d.keeper.plan.Revision,
		})
		d.changed = true
		d.keeper.wakeAt(d.now, max(beginMs-d.now.PrepareMs, d.now.Ms+1))
		waiting++
	}
	slices.SortStableFunc(d.record.Occurrences, func(a, b Occurrence) int { return cmp.Compare(a.Begin, b.Begin) })
}

// mayPlan tells whether a span is still to come, or may still open late.
func (d *trackDraft) mayPlan(span Span) bool {
	now := time.UnixMilli(d.now.Ms)
	if span.Begin.UnixMilli() <= d.record.DoneMs || now.After(span.lastOpening()) {
		return false
	}
	// On a new track nothing was missed: what was before the calendar does not count.
	newTrack := len(d.committed.Occurrences) == 0 && d.committed.DoneMs == 0
	return !newTrack || !now.After(span.Begin.Add(span.Window.Slip))
}

// occurrenceKey names an occurrence among those of its track.
func occurrenceKey(window string, beginMs int64) string {
	return window + time.UnixMilli(beginMs).UTC().Format(" 20060102150405.000")
}
