package calendar

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Verdict says whether tasks of a class may start.
type Verdict int

// Verdicts on a class.
const (
	Free    Verdict = iota // the class has no windows
	Allowed                // its occurrence is open
	Soon                   // its occurrence is about to open: waiting jobs count as demand
	Shut                   // its tasks may not start
)

// Gate returns the verdict on a class and, if it is Allowed, the keys of the records that the
// verdict depends on. A release or placement is committed on condition that the revisions of these
// keys are unchanged, so it fails if an occurrence was closed in the meantime, however late it
// arrives. The key of the document is not listed: every decision is conditional on it anyway.
func (k *Keeper) Gate(now Now, class quota.Key) (Verdict, []string) {
	ownTrack := k.Plan().TrackOf(class)
	occurrence, keys := k.holdersOf(class)
	if occurrence != nil && occurrence.State == Closing {
		return Shut, nil
	}
	if ownTrack == nil && occurrence == nil {
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
		case occurrence == nil:
			return record.soonVerdict(ownTrack, class), nil
		case holder != nil && !holder.Has(class):
			return Shut, nil
		}
	}
	// An occurrence past its end may still be stored as open if no controller was running to close
	// it.
	if now.Ms < occurrence.OpenedMs-2*now.ClockErrorMs || now.Ms >= occurrence.EndMs-now.ClockErrorMs {
		return Shut, nil
	}
	slices.Sort(keys)
	return Allowed, keys
}

// holdersOf returns an open or closing occurrence that includes a class, or nil, and the keys of
// the tracks of all such occurrences found. A closing one takes precedence. An occurrence that
// opened under an earlier revision may be on another track than the class is on now.
func (k *Keeper) holdersOf(class quota.Key) (*Occurrence, []string) {
	var holder *Occurrence
	var keys []string
	for _, name := range clusterstate.SortedKeys(k.holders) {
		occurrence := k.holders[name]
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

// soonVerdict returns Soon if a class without an open window has one that is about to open, else
// Shut.
func (r *Record) soonVerdict(track *Track, class quota.Key) Verdict {
	for _, occurrence := range r.Occurrences {
		soon := occurrence.State == Preparing || occurrence.State == Slipped
		if window := track.window(occurrence.Window); soon && window != nil && window.Has(class) {
			return Soon
		}
	}
	return Shut
}

// NextOpening returns the planned begin of a class's next occurrence, a wall-clock time in Unix ms,
// or 0 if none is planned.
func (k *Keeper) NextOpening(class quota.Key) int64 {
	track := k.Plan().TrackOf(class)
	if track == nil || k.tracks[track.Name] == nil {
		return 0
	}
	for _, occurrence := range k.tracks[track.Name].Occurrences {
		window := track.window(occurrence.Window)
		if window != nil && window.Has(class) && occurrence.State.Waits() {
			return occurrence.BeginMs
		}
	}
	return 0
}
