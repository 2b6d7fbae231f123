package calendar

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Now is the current time and its tolerances, all in ms.
type Now struct {
	Ms           int64 // wall-clock time since the Unix epoch
	ClockErrorMs int64 // maximum error of the wall clock
	PrepareMs    int64 // how long before an opening machines must be requested, so that they are up
}

// Cluster tells the keeper which tasks may be on machines.
type Cluster interface {
	// Settled reports whether everything is known that was committed before the newest known
	// change of the calendar's keys.
	Settled() bool
	// Attempts counts the attempts that may be on machines and whose class satisfies ofClass.
	// Attempts released to a controller or part of a pending transaction are included, and so is
	// every attempt whose class is unknown.
	Attempts(ofClass func(quota.Key) bool) int
}

// Change is the next record of a track. It is committed atomically, on condition that the view, the
// document in force and the track's record are unchanged.
type Change struct {
	Track       string
	Value       json.RawMessage // nil: the record is deleted
	Transitions []Transition
	// Urgent says that an occurrence opens or ends with the change. Changes that only plan or
	// prepare are subject to the transaction budget.
	Urgent bool
}

// Transition is a state change of an occurrence, for the log.
type Transition struct {
	Window   string
	Begin    int64 // planned begin, wall-clock time in Unix ms
	From, To State
}

// Keeper holds the document in force and the tracks' occurrences, and decides the occurrences'
// state changes. Only the leader commits these decisions. It is not safe for concurrent use.
type Keeper struct {
	filePlan *Plan // plan of this controller's own file
	plan     *Plan // plan in force, nil until one has been read
	tracks   map[string]*Record
	holders  map[string]*Occurrence // the open or closing occurrence of each track
	// quarantined is the set of tracks whose records can't be read.
	quarantined map[string]bool
	// blocked contains, by track, the occurrences that are due to open but whose track is not
	// proven free of other tasks, as of the last reconciliation.
	blocked    map[string]Transition
	limitBytes int   // size limit of a record
	lastMs     int64 // wall-clock time of the last reconciliation
	nextMs     int64 // wall-clock time at which the next one is needed
	changed    bool  // a record was read since the last reconciliation
}

// NewKeeper returns a keeper for the plan of a controller's own file. limitBytes is the size limit
// of the records that it writes.
func NewKeeper(filePlan *Plan, limitBytes int) *Keeper {
	return &Keeper{
		filePlan:    filePlan,
		tracks:      map[string]*Record{},
		holders:     map[string]*Occurrence{},
		quarantined: map[string]bool{},
		blocked:     map[string]Transition{},
		limitBytes:  limitBytes,
		changed:     true,
	}
}

// Plan returns the plan that applies to classes: the one in force or, before there is one, that of
// this controller's file.
func (k *Keeper) Plan() *Plan {
	if k.plan != nil {
		return k.plan
	}
	return k.filePlan
}

// ApplyDocument applies the stored document in force; nil means that it was deleted. If it can't be
// read, an error is returned and the previous plan is kept.
func (k *Keeper) ApplyDocument(value json.RawMessage) error {
	k.changed = true
	if value == nil {
		k.plan = nil
		return nil
	}
	document, err := DecodeDocument(value)
	if err != nil {
		return err
	}
	plan, err := Compile(document)
	if err != nil {
		return err
	}
	k.plan = plan
	return nil
}

// ApplyTrack applies the stored record of a track; nil means that it was deleted. If it can't be
// read, an error is returned and the track is quarantined: no task of the track's classes starts,
// and no decision about the track is made.
func (k *Keeper) ApplyTrack(track string, value json.RawMessage) error {
	k.changed = true
	delete(k.quarantined, track)
	delete(k.tracks, track)
	delete(k.holders, track)
	if value == nil {
		return nil
	}
	record, err := DecodeRecord(value)
	if err != nil {
		k.quarantined[track] = true
		return err
	}
	k.tracks[track] = record
	if holder := record.holder(); holder != nil {
		k.holders[track] = holder
	}
	return nil
}

// Touch makes the next reconciliation examine all tracks.
func (k *Keeper) Touch() { k.changed = true }

// trackNames returns the sorted names of the tracks that are in the plan or have a record.
func (k *Keeper) trackNames() []string {
	names := map[string]bool{}
	for name := range k.tracks {
		names[name] = true
	}
	for _, track := range k.plan.Tracks {
		names[track.Name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// Reconcile returns the changes that are due now. It does nothing while no record has changed and
// no occurrence is due.
func (k *Keeper) Reconcile(now Now, cluster Cluster) []Change {
	if k.plan == nil || !k.changed && now.Ms >= k.lastMs && now.Ms < k.nextMs {
		return nil
	}
	clear(k.blocked)
	k.changed = false
	k.lastMs = now.Ms
	k.nextMs = now.Ms + tuning.CalendarIdle.Milliseconds()
	var changes []Change
	for _, name := range k.trackNames() {
		if k.quarantined[name] {
			continue
		}
		if len(changes) == tuning.CalendarChanges {
			k.wakeAt(now, now.Ms+1) // the remaining tracks follow in the next reconciliation
			break
		}
		if change := k.decideTrack(name, now, cluster); change != nil {
			changes = append(changes, *change)
			k.wakeAt(now, now.Ms+1) // if the commit fails, the change is decided again
		}
	}
	return changes
}

// wakeAt schedules a reconciliation at a time, if that is in the future.
func (k *Keeper) wakeAt(now Now, atMs int64) {
	if atMs > now.Ms {
		k.nextMs = min(k.nextMs, max(atMs, now.Ms+tuning.CalendarPollEvery.Milliseconds()))
	}
}

// decideTrack returns the change of one track, or nil.
func (k *Keeper) decideTrack(name string, now Now, cluster Cluster) *Change {
	draft := k.newTrackDraft(name, now, cluster)
	draft.applyRevision()
	draft.closeEnded()
	draft.advanceWaiting()
	draft.planAhead() // before opening, so that a late occurrence is checked against the ones after it
	draft.openDue()
	if draft.expired() {
		return &Change{Track: name, Transitions: draft.transitions}
	}
	if !draft.changed {
		return nil
	}
	opensOrEnds := func(transition Transition) bool { return transition.To.Holds() || transition.To == Closed }
	return &Change{
		Track:       name,
		Value:       draft.record.encode(k.limitBytes),
		Transitions: draft.transitions,
		Urgent:      slices.ContainsFunc(draft.transitions, opensOrEnds),
	}
}
