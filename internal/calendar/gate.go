package calendar

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/quota"
)

// Verdict says whether tasks of a class may begin.
type Verdict int

// Verdicts on a class.
const (
	Free    Verdict = iota // the class has no windows
	Allowed                // its occurrence is open
	Soon                   // it is about to open: its waiting jobs count as queued room
	Shut                   // its tasks may not begin
)

// Gate judges a class, and lists the keys of the records that the verdict depends on. A release
// or a placement that is conditional on their revisions fails once an occurrence has been
// closed meanwhile, however late it comes. On the document's own revision every decision is
// conditional.
func (k *Keeper) Gate(now Now, class quota.Key) (Verdict, []string) {
	ownTrack := k.Plan().TrackOf(class)
	open, keys := k.holdersOf(class)
	if open != nil && open.State == Closing {
		return Shut, nil
	}
	if ownTrack == nil && open == nil {
		return Free, nil
	}
	if ownTrack != nil {
		if key := TrackKey(ownTrack.Name); !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
		record := k.tracks[ownTrack.Name]
		if record == nil {
			record = &Record{}
		}
		holder := record.holder()
		switch {
		case k.quarantined[ownTrack.Name]:
			return Shut, nil
		case open == nil:
			return record.soonVerdict(ownTrack, class), nil
		case holder != nil && !holder.Has(class):
			return Shut, nil
		}
	}
	// Not past its end either, though nobody has closed it yet: all controllers may have been
	// away.
	if now.Ms < open.Opened-2*now.OffMs || now.Ms >= open.End-now.OffMs {
		return Shut, nil
	}
	slices.Sort(keys)
	return Allowed, keys
}

// holdersOf is an occurrence that lets a class begin, nil for none, and the keys of all such. One
// that is closing is returned first. From before the revision in force it may be on another
// track than the class's own.
func (k *Keeper) holdersOf(class quota.Key) (*Occurrence, []string) {
	var holder *Occurrence
	var keys []string
	for name, occurrence := range k.holders {
		if !occurrence.Has(class) {
			continue
		}
		keys = append(keys, TrackKey(name))
		holder = occurrence
		if occurrence.State == Closing {
			break
		}
	}
	return holder, keys
}

// soonVerdict tells whether a class without an open window has one that is about to open.
func (r *Record) soonVerdict(track *Track, class quota.Key) Verdict {
	for _, occurrence := range r.Occurrences {
		soon := occurrence.State == Preparing || occurrence.State == Slipped
		if window := track.window(occurrence.Window); soon && window != nil && window.Has(class) {
			return Soon
		}
	}
	return Shut
}

// NextOpening is when a class's next occurrence is planned to begin, a time of day in ms; 0 if
// none is.
func (k *Keeper) NextOpening(class quota.Key) int64 {
	track := k.Plan().TrackOf(class)
	if track == nil || k.tracks[track.Name] == nil {
		return 0
	}
	for _, occurrence := range k.tracks[track.Name].Occurrences {
		window := track.window(occurrence.Window)
		if window != nil && window.Has(class) && occurrence.State.Waits() {
			return occurrence.Begin
		}
	}
	return 0
}
