package calendar

import (
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// clock is a time of the clock.
type clock struct {
	hour, minute int
	set          bool
}

// Span is when a window is planned to be.
type Span struct {
	Window     *Window
	Begin, End time.Time
}

// cache is the last answer of a window's rule: the next question is mostly the same.
type cache struct {
	from, to time.Time
	spans    []Span
}

// at is the moment of a local time in a zone. A local time that a change of the clock leaves out
// is as much later as the clock is put forward, and of two alike the first counts, as RFC
// 5545 has it.
func at(local time.Time, zone *time.Location) time.Time {
	// Offsets of a day before and a day after: more than any change of the clock, so one of
	// them holds at the local time if it exists.
	early := withOffsetOf(local, -26*time.Hour, zone)
	late := withOffsetOf(local, 26*time.Hour, zone)
	switch {
	case showsLocal(late, local) && late.Before(early):
		return late
	case showsLocal(early, local):
		return early
	case showsLocal(late, local):
		return late
	}
	return early // left out: counted with the offset from before
}

// withOffsetOf is the moment of a local time by the offset that a zone has some time from it.
func withOffsetOf(local time.Time, distance time.Duration, zone *time.Location) time.Time {
	_, offset := local.Add(distance).In(zone).Zone()
	return time.Unix(local.Unix()-int64(offset), 0).In(zone)
}

// showsLocal tells whether clocks show a local time at a moment.
func showsLocal(moment, local time.Time) bool {
	_, offset := moment.Zone()
	return moment.Unix()+int64(offset) == local.Unix()
}

// between lists when a window is planned to begin in a stretch of time.
func (w *Window) between(from, to time.Time) []Span {
	known := &w.planned
	if known.from.IsZero() || from.Before(known.from) || to.After(known.to) {
		*known = w.compute(from, to.Add(24*time.Hour)) // a day more, for the next questions
	}
	var spans []Span
	for _, span := range known.spans {
		if !span.Begin.Before(from) && span.Begin.Before(to) {
			spans = append(spans, span)
		}
	}
	return spans
}

// maxOffset is more than any zone's offset: the rule counts in local time.
const maxOffset = 25 * time.Hour

// compute lists when a window begins in a stretch of time.
func (w *Window) compute(from, to time.Time) cache {
	computed := cache{from: from, to: to}
	next := w.rule.Iterator()
	var last time.Time
	for len(computed.spans) < tuning.MaxOccurrences {
		local, ok := next()
		if !ok || !local.Before(to.UTC().Add(maxOffset)) {
			break
		}
		if local.Before(from.UTC().Add(-maxOffset)) {
			continue
		}
		begin := at(local, w.zone)
		if begin.Before(from) || !begin.Before(to) || len(computed.spans) > 0 && !begin.After(last) {
			continue
		}
		last = begin
		computed.spans = append(computed.spans, Span{Window: w, Begin: begin, End: w.end(local, begin)})
	}
	return computed
}

// end is when a window ends that begins at a local time.
func (w *Window) end(local, begin time.Time) time.Time {
	if !w.until.set {
		return begin.Add(w.Length)
	}
	end := time.Date(local.Year(), local.Month(), local.Day(), w.until.hour, w.until.minute, 0, 0, time.UTC)
	if !end.After(local) {
		end = end.AddDate(0, 0, 1)
	}
	return at(end, w.zone)
}

// lastOpening is the time after which an occurrence does not open any more.
func (s Span) lastOpening() time.Time { return s.Begin.Add(s.Window.Slip + s.Window.Late) }

// Between lists when a track's windows are planned to begin, in order.
func (t *Track) Between(from, to time.Time) []Span {
	var spans []Span
	for _, window := range t.Windows {
		spans = append(spans, window.between(from, to)...)
	}
	slices.SortStableFunc(spans, func(a, b Span) int {
		if order := a.Begin.Compare(b.Begin); order != 0 {
			return order
		}
		return strings.Compare(a.Window.Name, b.Window.Name)
	})
	return spans
}

// Collision is two windows of a track that are planned for the same time.
type Collision struct {
	First, Second string
	At            time.Time
}

// collisions lists the pairs of windows that overlap by plan, each once.
func (t *Track) collisions(from, to time.Time) []Collision {
	var collisions []Collision
	type pair struct{ first, second string }
	listed := map[pair]bool{}
	var last Span // that ends last so far
	for _, span := range t.Between(from.Add(-tuning.MaxWindow), to) {
		if last.Window != nil && span.Begin.Before(last.End) {
			both := pair{first: last.Window.Name, second: span.Window.Name}
			if !listed[both] {
				listed[both] = true
				collisions = append(collisions, Collision{First: both.first, Second: both.second, At: span.Begin})
			}
		}
		if last.Window == nil || span.End.After(last.End) {
			last = span
		}
	}
	return collisions
}

// Collisions lists the windows that overlap by plan, each pair once.
func (p *Plan) Collisions(from, to time.Time) []Collision {
	var collisions []Collision
	for _, track := range p.Tracks {
		collisions = append(collisions, track.collisions(from, to)...)
	}
	return collisions
}
