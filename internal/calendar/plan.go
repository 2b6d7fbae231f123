package calendar

import (
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// timeOfDay is a time of day. If set is false, no time is given.
type timeOfDay struct {
	hour, minute int
	set          bool
}

// Span is a planned occurrence of a window.
type Span struct {
	Window     *Window
	Begin, End time.Time
}

// spanCache is the last computed list of spans of a window. Successive queries are mostly for about
// the same range.
type spanCache struct {
	from, to time.Time
	spans    []Span
}

// resolveLocal returns the instant of a local time in a zone, following RFC 5545: a local time
// skipped by a daylight-saving change is shifted by the size of the gap, and of two instants with
// the same local time the first one is taken.
func resolveLocal(local time.Time, zone *time.Location) time.Time {
	// The offsets in effect a day before and a day after. 26 hours exceed any offset change, so one
	// of the two applies at the local time if that exists.
	early := withOffsetNear(local, -26*time.Hour, zone)
	late := withOffsetNear(local, 26*time.Hour, zone)
	switch {
	case showsLocalTime(late, local) && late.Before(early):
		return late
	case showsLocalTime(early, local):
		return early
	case showsLocalTime(late, local):
		return late
	}
	return early // skipped local time: the offset before the change applies
}

// withOffsetNear returns the instant of a local time under the offset that the zone has at the
// given distance from it.
func withOffsetNear(local time.Time, distance time.Duration, zone *time.Location) time.Time {
	_, offset := local.Add(distance).In(zone).Zone()
	return time.Unix(local.Unix()-int64(offset), 0).In(zone)
}

// showsLocalTime reports whether the local time at an instant equals local.
func showsLocalTime(instant, local time.Time) bool {
	_, offset := instant.Zone()
	return instant.Unix()+int64(offset) == local.Unix()
}

// between returns the window's planned occurrences that begin in [from, to).
func (w *Window) between(from, to time.Time) []Span {
	cached := &w.planned
	if cached.from.IsZero() || from.Before(cached.from) || to.After(cached.to) {
		*cached = w.compute(from, to.Add(24*time.Hour)) // one more day, for the next queries
	}
	var spans []Span
	for _, span := range cached.spans {
		if !span.Begin.Before(from) && span.Begin.Before(to) {
			spans = append(spans, span)
		}
	}
	return spans
}

// maxOffset exceeds the UTC offset of any zone. Rules are evaluated in local time, so ranges in UTC
// are widened by it.
const maxOffset = 25 * time.Hour

// compute evaluates the window's rule for occurrences that begin in [from, to).
func (w *Window) compute(from, to time.Time) spanCache {
	computed := spanCache{from: from, to: to}
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
		begin := resolveLocal(local, w.zone)
		if begin.Before(from) || !begin.Before(to) || len(computed.spans) > 0 && !begin.After(last) {
			continue
		}
		last = begin
		computed.spans = append(computed.spans, Span{Window: w, Begin: begin, End: w.end(local, begin)})
	}
	return computed
}

// end returns the end of an occurrence that begins at the given local time and instant.
func (w *Window) end(local, begin time.Time) time.Time {
	if !w.until.set {
		return begin.Add(w.Length)
	}
	end := time.Date(local.Year(), local.Month(), local.Day(), w.until.hour, w.until.minute, 0, 0, time.UTC)
	if !end.After(local) {
		end = end.AddDate(0, 0, 1)
	}
	return resolveLocal(end, w.zone)
}

// lastOpening returns the time after which the occurrence does not open any more.
func (s Span) lastOpening() time.Time { return s.Begin.Add(s.Window.Slip + s.Window.Late) }

// Between returns the planned occurrences of the track's windows that begin in [from, to), ordered
// by begin.
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

// Collision is a pair of windows of a track whose planned times overlap.
type Collision struct {
	First, Second string
	At            time.Time
}

// collisions returns the pairs of windows whose planned times overlap, each pair once.
func (t *Track) collisions(from, to time.Time) []Collision {
	var collisions []Collision
	type pair struct{ first, second string }
	reported := map[pair]bool{}
	var last Span // the span with the latest end so far
	for _, span := range t.Between(from.Add(-tuning.MaxWindow), to) {
		if last.Window != nil && span.Begin.Before(last.End) {
			both := pair{first: last.Window.Name, second: span.Window.Name}
			if !reported[both] {
				reported[both] = true
				collisions = append(collisions, Collision{First: both.first, Second: both.second, At: span.Begin})
			}
		}
		if last.Window == nil || span.End.After(last.End) {
			last = span
		}
	}
	return collisions
}

// Collisions returns the pairs of windows whose planned times overlap, each pair once.
func (p *Plan) Collisions(from, to time.Time) []Collision {
	var collisions []Collision
	for _, track := range p.Tracks {
		collisions = append(collisions, track.collisions(from, to)...)
	}
	return collisions
}
