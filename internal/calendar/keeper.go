package calendar

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Now is the time at which the keeper is asked, all in ms: the time of day, how far it may be off,
// and how long machines take to boot.
type Now struct {
	Ms        int64
	OffMs     int64
	PrepareMs int64
}

// Cluster is what the keeper must know of tasks.
type Cluster interface {
	// Settled tells whether everything is known that was committed before the newest known
	// change of the calendar's keys.
	Settled() bool
	// Attempts counts the attempts of some classes that may be on machines, those released to
	// a controller and those under a transaction included. An attempt whose class is unknown
	// counts.
	Attempts(ofClass func(quota.Key) bool) int
}

// Change is a track's next record, to be committed as a whole, conditional on the view, on the
// document in force and on the track's record.
type Change struct {
	Track string
	Value json.RawMessage // nil: the record is deleted
	Moves []Move
	// Urgent: something opens or ends with it. What is only planned or prepared waits for its
	// turn in the budget of transactions.
	Urgent bool
}

// Move is an occurrence that changes state, for the log.
type Move struct {
	Window   string
	Begin    int64
	From, To State
}

// Keeper knows the document in force and the occurrences, and decides what becomes of them. Only
// the leader commits what it decides. It is not safe for concurrent use.
type Keeper struct {
	filePlan *Plan // of this controller's own file
	plan     *Plan // in force, nil until one was read
	tracks   map[string]*Record
	holders  map[string]*Occurrence // occurrences that have their track, by track
	// quarantined is the tracks whose records can't be read.
	quarantined map[string]bool
	// blocked is the windows whose time has come, but whose track is not proven free, by
	// track, as of the last reconciliation.
	blocked    map[string]Move
	limitBytes int   // of a record
	lastMs     int64 // time of day of the last reconciliation
	nextMs     int64 // time of day at which the next one is needed
	changed    bool  // something was read since the last one
}

// NewKeeper makes a keeper that knows a controller's own file, and writes records of at most so
// many bytes.
func NewKeeper(file *Plan, limitBytes int) *Keeper {
	return &Keeper{
		filePlan:    file,
		tracks:      map[string]*Record{},
		holders:     map[string]*Occurrence{},
		quarantined: map[string]bool{},
		blocked:     map[string]Move{},
		limitBytes:  limitBytes,
		changed:     true,
	}
}

// Plan is the plan that classes are judged by: the one in force, or that of the file until there
// is one.
func (k *Keeper) Plan() *Plan {
	if k.plan != nil {
		return k.plan
	}
	return k.filePlan
}

// ApplyDocument takes the document in force in, nil for one that is deleted. One that can't be
// read is an error, and the plan is kept.
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

// ApplyTrack takes a track's record in, nil for one that is deleted. One that can't be read is an
// error: nothing of its track begins, and nothing is decided about it.
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

// Touch makes the next reconciliation look at all tracks.
func (k *Keeper) Touch() { k.changed = true }

// trackNames lists the tracks that are planned or stored.
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

// Reconcile decides what becomes of the occurrences now. It does nothing while nothing has
// changed and no occurrence is due.
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
			k.wakeAt(now, now.Ms+1) // the others have their turn next
			break
		}
		if change := k.decideTrack(name, now, cluster); change != nil {
			changes = append(changes, *change)
			k.wakeAt(now, now.Ms+1) // should it not be committed, it is decided again
		}
	}
	return changes
}

// wakeAt has the keeper reconcile again at a time, if it is still to come.
func (k *Keeper) wakeAt(now Now, atMs int64) {
	if atMs > now.Ms {
		k.nextMs = min(k.nextMs, max(atMs, now.Ms+tuning.CalendarPollEvery.Milliseconds()))
	}
}

// decideTrack is the change of one track, nil for none.
func (k *Keeper) decideTrack(name string, now Now, cluster Cluster) *Change {
	draft := k.newTrackDraft(name, now, cluster)
	draft.applyRevision()
	draft.closeEnded()
	draft.advanceWaiting()
	draft.planAhead() // before one opens, so that a late one sees what comes after it
	draft.openDue()
	if draft.expired() {
		return &Change{Track: name, Moves: draft.moves}
	}
	if !draft.changed {
		return nil
	}
	opensOrEnds := func(move Move) bool { return move.To.Holds() || move.To == Closed }
	return &Change{
		Track:  name,
		Value:  draft.record.encode(k.limitBytes),
		Moves:  draft.moves,
		Urgent: slices.ContainsFunc(draft.moves, opensOrEnds),
	}
}
