package calendar

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/quota"
)

// Verdict says whether work of a class may begin.
type Verdict int

// Verdicts.
const (
	Free    Verdict = iota // the class has no windows
	Allowed                // its occurrence is open
	Soon                   // it is about to open: its waiting jobs count as queued room
	Shut
)

// Gate judges a class. What is allowed hangs on the records under the keys: a release
// or a placement that carries their stamps fails once an occurrence has been closed
// meanwhile, however late it comes. The document's own stamp is carried by every
// decision.
func (k *Keeper) Gate(n Now, class quota.Key) (v Verdict, keys []string) {
	plan := k.Plan()
	own := plan.TrackOf(class)
	var open *Occurrence
	for name, h := range k.holders {
		if !h.Has(class) {
			continue
		}
		// From before the revision it may be another track's.
		keys = append(keys, TrackKey(name))
		if open = h; h.State == Closing {
			return Shut, nil
		}
	}
	if own == nil && open == nil {
		return Free, nil
	}
	if own != nil {
		if key := TrackKey(own.Name); !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
		rec := k.tracks[own.Name]
		if rec == nil {
			rec = &Record{}
		}
		switch h := rec.holder(); {
		case k.quarantined[own.Name]:
			return Shut, nil
		case open == nil:
			return rec.opensSoon(own, class), nil
		case h != nil && !h.Has(class):
			return Shut, nil
		}
	}
	// Not past its end either, though nobody has closed it yet: all controllers may
	// have been away.
	if n.Ms < open.Opened-2*n.OffMs || n.Ms >= open.End-n.OffMs {
		return Shut, nil
	}
	slices.Sort(keys)
	return Allowed, keys
}

// opensSoon tells whether a class's window is about to open.
func (r *Record) opensSoon(t *Track, class quota.Key) Verdict {
	for _, o := range r.Occurrences {
		if w := t.window(o.Window); w != nil && w.Has(class) && (o.State == Preparing || o.State == Slipped) {
			return Soon
		}
	}
	return Shut
}

// NextOpening is when a class's next occurrence is planned to begin, a time of day in
// ms, 0 if none is.
func (k *Keeper) NextOpening(class quota.Key) int64 {
	t := k.Plan().TrackOf(class)
	if t == nil || k.tracks[t.Name] == nil {
		return 0
	}
	for _, o := range k.tracks[t.Name].Occurrences {
		if w := t.window(o.Window); w != nil && w.Has(class) && o.State.Waits() {
			return o.Begin
		}
	}
	return 0
}
