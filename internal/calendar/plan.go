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

// cache is the last answer of a window's rule: the next look mostly asks for the same.
type cache struct {
	from, to time.Time
	spans    []Span
}

// at is the moment of a local time in a zone. One that a change of the clock leaves
// out is as much later as the clock is put forward, and of two alike the first
// counts, as RFC 5545 has it.
func at(local time.Time, zone *time.Location) time.Time {
	naive := local.Unix()
	var early, late time.Time
	for i, hours := range []int64{-26, 26} {
		_, offset := time.Unix(naive+hours*3600, 0).In(zone).Zone()
		t := time.Unix(naive-int64(offset), 0).In(zone)
		if i == 0 {
			early = t
		} else {
			late = t
		}
	}
	if _, offset := late.Zone(); late.Unix()+int64(offset) == naive && late.Before(early) {
		return late
	}
	if _, offset := early.Zone(); early.Unix()+int64(offset) == naive {
		return early
	}
	if _, offset := late.Zone(); late.Unix()+int64(offset) == naive {
		return late
	}
	return early // left out: counted with the offset from before
}

// between lists when a window is planned to begin in a stretch of time.
func (w *Window) between(from, to time.Time) []Span {
	if c := &w.planned; c.from.IsZero() || from.Before(c.from) || to.After(c.to) {
		*c = w.compute(from, to.Add(24*time.Hour)) // so that the next looks find it here
	}
	var out []Span
	for _, s := range w.planned.spans {
		if !s.Begin.Before(from) && s.Begin.Before(to) {
			out = append(out, s)
		}
	}
	return out
}

// compute lists when a window begins in a stretch of time. The rule counts in local
// time: a day on either side is more than any offset.
func (w *Window) compute(from, to time.Time) cache {
	c := cache{from: from, to: to}
	next := w.rule.Iterator()
	for l, ok := next(); ok && l.Before(to.UTC().Add(25*time.Hour)) && len(c.spans) < tuning.MaxOccurrences; l, ok = next() {
		if l.Before(from.UTC().Add(-25 * time.Hour)) {
			continue
		}
		b := at(l, w.zone)
		if b.Before(from) || !b.Before(to) || len(c.spans) > 0 && !b.After(c.spans[len(c.spans)-1].Begin) {
			continue
		}
		c.spans = append(c.spans, Span{w, b, w.end(l, b)})
	}
	return c
}

// end is when a window ends that begins at a local time.
func (w *Window) end(local, begin time.Time) time.Time {
	if !w.until.set {
		return begin.Add(w.Length)
	}
	l := time.Date(local.Year(), local.Month(), local.Day(), w.until.hour, w.until.minute, 0, 0, time.UTC)
	if !l.After(local) {
		l = l.AddDate(0, 0, 1)
	}
	return at(l, w.zone)
}

// lastOpening is the time after which an occurrence does not open any more.
func (s Span) lastOpening() time.Time { return s.Begin.Add(s.Window.Slip + s.Window.Late) }

// Between lists when a track's windows are planned to begin, in order.
func (t *Track) Between(from, to time.Time) []Span {
	var out []Span
	for _, w := range t.Windows {
		out = append(out, w.between(from, to)...)
	}
	slices.SortStableFunc(out, func(a, b Span) int {
		if c := a.Begin.Compare(b.Begin); c != 0 {
			return c
		}
		return strings.Compare(a.Window.Name, b.Window.Name)
	})
	return out
}

// Collision is two windows of a track that are planned for the same time.
type Collision struct {
	First, Second string
	At            time.Time
}

// collisions lists the pairs of windows that meet by plan, each once.
func (t *Track) collisions(from, to time.Time) []Collision {
	var out []Collision
	told := map[[2]string]bool{}
	var last Span // that ends last so far
	for _, s := range t.Between(from.Add(-tuning.MaxWindow), to) {
		if last.Window != nil && s.Begin.Before(last.End) {
			if pair := [2]string{last.Window.Name, s.Window.Name}; !told[pair] {
				told[pair] = true
				out = append(out, Collision{last.Window.Name, s.Window.Name, s.Begin})
			}
		}
		if last.Window == nil || s.End.After(last.End) {
			last = s
		}
	}
	return out
}

// Collisions lists the windows that meet by plan, each pair once.
func (p *Plan) Collisions(from, to time.Time) []Collision {
	var out []Collision
	for _, t := range p.Tracks {
		out = append(out, t.collisions(from, to)...)
	}
	return out
}
