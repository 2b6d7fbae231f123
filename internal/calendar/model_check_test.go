package calendar

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/harrierreel/harrierreel/internal/quota"
)

// checkWrite checks a change of a track's record.
func (m *model) checkWrite(key, oldValue, newValue string) {
	track, isTrack := strings.CutPrefix(key, TrackPrefix)
	if !isTrack || newValue == "" {
		return
	}
	record, err := DecodeRecord([]byte(newValue))
	if err != nil {
		m.violation = err.Error()
		return
	}
	before := map[string]State{}
	if oldRecord, err := DecodeRecord([]byte(oldValue)); err == nil {
		for _, occurrence := range oldRecord.Occurrences {
			before[modelID(&occurrence)] = occurrence.State
		}
	}
	for i := range record.Occurrences {
		occurrence := &record.Occurrences[i]
		id := modelID(occurrence)
		if occurrence.State == Open && before[id] != Open {
			m.checkOpening(track, occurrence)
		}
		if end := m.Ended[id]; end != "" && end != occurrence.State {
			m.violation = fmt.Sprintf("%s changed from the final state %s to %s", id, end, occurrence.State)
		}
		if occurrence.State.Final() {
			m.Ended[id] = occurrence.State
		}
	}
}

func modelID(occurrence *Occurrence) string {
	return occurrence.Window + strconv.FormatInt(occurrence.BeginMs, 10)
}

// checkOpening checks that an occurrence opens only once, not before its time, and while no task of
// its track is running whose class the occurrence does not include.
func (m *model) checkOpening(track string, occurrence *Occurrence) {
	id := modelID(occurrence)
	m.Opened[id]++
	if m.Opened[id] > 1 {
		m.violation = id + " opened twice"
	}
	for class, count := range m.Store.Running {
		if count > 0 && !occurrence.Has(classKey(class)) && m.trackOf(class) == track {
			m.violation = id + " opened while tasks are running of class " + class
		}
	}
	if m.Now < occurrence.BeginMs {
		m.violation = id + " opened before its time"
	}
}

// trackOf returns the name of a class's track in the document in force, or "".
func (m *model) trackOf(class string) string {
	if track := m.plans[m.Store.Items[StoreKey].Value].TrackOf(classKey(class)); track != nil {
		return track.Name
	}
	return ""
}

// checkBegin checks, after an attempt of a class has started, that tasks of two windows of its
// track are not on machines at once. Occurrences that opened under an earlier revision are exempt:
// they end under the revision that they opened with.
func (m *model) checkBegin(class string) {
	plan := m.plans[m.Store.Items[StoreKey].Value]
	onMachines := map[quota.Key]bool{}
	for other, count := range m.Store.Running {
		if count > 0 && m.trackOf(other) == m.trackOf(class) {
			onMachines[classKey(other)] = true
		}
	}
	for key, item := range m.Store.Items {
		record, err := DecodeRecord([]byte(item.Value))
		if err != nil || !strings.HasPrefix(key, TrackPrefix) {
			continue
		}
		holder := record.holder()
		if holder != nil && holder.Revision < plan.Revision && holder.Has(classKey(class)) {
			return
		}
	}
	if plan != nil && len(plan.OverlappingTracks(onMachines)) > 0 {
		m.violation = fmt.Sprintf("classes %v of one track on machines at once", onMachines)
	}
}

// checkAllEnded checks that every occurrence that began more than 8 hours ago has ended.
func (m *model) checkAllEnded() {
	const eightHoursMs = 8 * 3600_000
	for key, item := range m.Store.Items {
		record, err := DecodeRecord([]byte(item.Value))
		if err != nil || !strings.HasPrefix(key, TrackPrefix) {
			continue
		}
		for _, occurrence := range record.Occurrences {
			if !occurrence.State.Final() && occurrence.BeginMs < m.Now-eightHoursMs && m.violation == "" {
				m.violation = fmt.Sprintf("%s of %s never ended: %s",
					occurrence.Window, logTime(occurrence.BeginMs), occurrence.State)
			}
		}
	}
}
