package calendar

import (
	"cmp"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// trackDraft builds the next record of a track.
type trackDraft struct {
	keeper      *Keeper
	now         Now
	cluster     Cluster
	track       *Track  // nil if the plan in force does not contain the track
	committed   *Record // the stored record
	record      Record
	transitions []Transition
	changed     bool
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

// apply applies an event to an occurrence of the draft, and records the state change.
func (d *trackDraft) apply(occurrence *Occurrence, event Event) {
	event.NowMs = d.now.Ms
	next, ok := Next(*occurrence, event)
	if !ok {
		return
	}
	d.transitions = append(d.transitions, Transition{
		Window: occurrence.Window,
		Begin:  occurrence.BeginMs,
		From:   occurrence.State,
		To:     next.State,
	})
	if !next.State.Waits() {
		d.record.DoneMs = max(d.record.DoneMs, occurrence.BeginMs)
	}
	*occurrence = next
	d.changed = true
}

// expired reports whether the record of a track that the plan no longer contains may be deleted. It
// is kept until no occurrence could still open late if a later revision added the track again.
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

// applyRevision adapts the waiting occurrences to the revision in force. Planned ones are removed,
// to be planned again; Preparing and Slipped ones are dropped unless the revision contains the same
// occurrence.
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
		occurrence.EndMs = span.End.UnixMilli()
		d.changed = true
	}
}

// plannedSpan returns the span of an occurrence in the plan in force, if the plan contains it.
func (d *trackDraft) plannedSpan(occurrence *Occurrence) (Span, bool) {
	if d.track == nil {
		return Span{}, false
	}
	window := d.track.window(occurrence.Window)
	if window == nil {
		return Span{}, false
	}
	begin := time.UnixMilli(occurrence.BeginMs)
	spans := window.between(begin, begin.Add(time.Second))
	if len(spans) == 0 {
		return Span{}, false
	}
	return spans[0], true
}

// closeEnded moves open occurrences to Closing once their end may have been reached, and closing
// ones to Closed once it is proven that none of their tasks is on a machine. The proof is valid
// only for occurrences that are Closing in the committed record: tasks may start until that commit,
// and none after it.
func (d *trackDraft) closeEnded() {
	for i := range d.record.Occurrences {
		occurrence := &d.record.Occurrences[i]
		endMs := occurrence.EndMs - d.now.ClockErrorMs
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

// advanceWaiting prepares occurrences that are about to open, and marks as missed or drops those
// that did not open in time.
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
	prepareMs := occurrence.BeginMs - d.now.PrepareMs
	beginMs := occurrence.BeginMs + d.now.ClockErrorMs
	onTimeMs := beginMs + window.Slip.Milliseconds() // the last time at which it is not missed
	lateMs := onTimeMs + window.Late.Milliseconds()  // the last time at which a missed one may open
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

// openDue opens the next due occurrence, unless tasks of the track's other classes may be on
// machines.
func (d *trackDraft) openDue() {
	if d.track == nil || d.record.holder() != nil {
		return
	}
	// An occurrence that is due on time takes precedence over missed ones.
	if !d.openFirst(false) {
		d.openFirst(true)
	}
}

// openFirst opens the first due occurrence, among the missed ones if late is set, else among the
// others. It reports whether no further occurrence may be opened: one was opened, or one that is
// due on time is blocked.
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
			d.apply(occurrence, Event{Kind: Begin, EndMs: endMs, Window: window})
			d.keeper.wakeAt(d.now, endMs-d.now.ClockErrorMs)
			return true
		}
		d.keeper.wakeAt(d.now, d.now.Ms+1)
		d.keeper.blocked[d.track.Name] = Transition{
			Window: occurrence.Window,
			Begin:  occurrence.BeginMs,
			From:   occurrence.State,
			To:     Open,
		}
		if !late {
			return true
		}
	}
	return false
}

// due reports whether an occurrence is due, and returns its end. The maximum clock error is
// deducted at both ends. A late occurrence gets its full length, and is due only if that ends
// before the next occurrence of the track begins.
func (d *trackDraft) due(occurrence *Occurrence, late bool) (endMs int64, due bool) {
	if !late {
		begun := d.now.Ms >= occurrence.BeginMs+d.now.ClockErrorMs
		ended := d.now.Ms >= occurrence.EndMs-d.now.ClockErrorMs
		return occurrence.EndMs, begun && !ended
	}
	endMs = d.now.Ms + occurrence.EndMs - occurrence.BeginMs
	for i := range d.record.Occurrences {
		next := &d.record.Occurrences[i]
		if next.State.Waits() && next.State != Slipped && endMs+2*d.now.ClockErrorMs > next.BeginMs {
			return endMs, false
		}
	}
	return endMs, true
}

// trackIsFree reports whether no attempt of the track's other classes is or can get on any machine.
// Classes of this track start tasks only in an open occurrence. There is none on this track, nor
// one that includes these classes on another track, opened under an earlier revision. So a track
// that is free stays free until the occurrence is committed as open.
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

// planAhead adds the next planned occurrences, whenever the track's record changes anyway or too
// few waiting occurrences are left.
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
		known[occurrenceKey(occurrence.Window, occurrence.BeginMs)] = true
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
			BeginMs:  beginMs,
			EndMs:    span.End.UnixMilli(),
			State:    Planned,
			Revision: d.keeper.plan.Revision,
		})
		d.changed = true
		d.keeper.wakeAt(d.now, max(beginMs-d.now.PrepareMs, d.now.Ms+1))
		waiting++
	}
	slices.SortStableFunc(d.record.Occurrences, func(a, b Occurrence) int { return cmp.Compare(a.BeginMs, b.BeginMs) })
}

// mayPlan reports whether a span is in the future or may still open late.
func (d *trackDraft) mayPlan(span Span) bool {
	now := time.UnixMilli(d.now.Ms)
	if span.Begin.UnixMilli() <= d.record.DoneMs || now.After(span.lastOpening()) {
		return false
	}
	// On a new track nothing was missed: times before the track existed do not count.
	newTrack := len(d.committed.Occurrences) == 0 && d.committed.DoneMs == 0
	return !newTrack || !now.After(span.Begin.Add(span.Window.Slip))
}

// occurrenceKey returns a key that is unique among the occurrences of a track.
func occurrenceKey(window string, beginMs int64) string {
	return window + time.UnixMilli(beginMs).UTC().Format(" 20060102150405.000")
}
