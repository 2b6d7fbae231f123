package calendar

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/harrierreel/harrierreel/internal/quota"
)

// checkWrite checks how a track's record changed.
func (m *model) checkWrite(key, oldValue, newValue string) {
	track, isTrack := strings.CutPrefix(key, TrackPrefix)
	if !isTrack || newValue == "" {
		return
	}
	record, err := DecodeRecord([]byte(newValue))
	if err != nil {
		m.broken = err.Error()
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
			m.broken = fmt.Sprintf("%s was %s and is %s", id, end, occurrence.State)
		}
		if occurrence.State.Final() {
			m.Ended[id] = occurrence.State
		}
	}
}

func modelID(occurrence *Occurrence) string {
	return occurrence.Window + strconv.FormatInt(occurrence.Begin, 10)
}

// checkOpening checks that an occurrence opens once, alone on its track and not before its time.
func (m *model) checkOpening(track string, occurrence *Occurrence) {
	id := modelID(occurrence)
	m.Opened[id]++
	if m.Opened[id] > 1 {
		m.broken = id + " opened twice"
	}
	for class, count := range m.Store.Running {
		if count > 0 && !occurrence.Has(classKey(class)) && m.trackOf(class) == track {
			m.broken = id + " opened beside " + class
		}
	}
	if m.Now < occurrence.Begin {
		m.broken = id + " opened before its time"
	}
}

// trackOf is the track that a class belongs to by the document in force.
func (m *model) trackOf(class string) string {
	if track := m.plans[m.Store.Items[StoreKey].Value].TrackOf(classKey(class)); track != nil {
		return track.Name
	}
	return ""
}

// checkBegin looks for two windows of a track on machines after an attempt began. What is open from
// before a revision ends under the one that it began with.
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
		m.broken = fmt.Sprintf("%v of a track on machines at once", onMachines)
	}
}

// checkAllEnded checks that no occurrence of hours ago is still to end.
func (m *model) checkAllEnded() {
	const hours8Ms = 8 * 3600_000
	for key, item := range m.Store.Items {
		record, err := DecodeRecord([]byte(item.Value))
		if err != nil || !strings.HasPrefix(key, TrackPrefix) {
			continue
		}
		for _, occurrence := range record.Occurrences {
			if !occurrence.State.Final() && occurrence.Begin < m.Now-hours8Ms && m.broken == "" {
				m.broken = fmt.Sprintf("%s of %s never ended: %s",
					occurrence.Window, logTime(occurrence.Begin), occurrence.State)
			}
		}
	}
}
