package calendar

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
)

// lateOpening is the delay of an opening above which it is shown to operators, and lateRounding the
// unit that the delay is rounded to.
const (
	lateOpening  = time.Second
	lateRounding = 100 * time.Millisecond
)

var errNoCalendar = errors.New("no calendar is in force")

// Shown is an occurrence as printed for operators and read by scripts: fields are only ever added.
// Times are in the window's zone.
type Shown struct {
	Track    string    `json:"track"`
	Window   string    `json:"window"`
	Team     string    `json:"team,omitempty"`
	Classes  []string  `json:"classes,omitempty"`
	Begin    time.Time `json:"begin"`
	End      time.Time `json:"end"`
	State    State     `json:"state"`
	Revision int       `json:"revision"`
	Note     string    `json:"note,omitempty"`
}

// Preview returns the planned occurrences that begin in [from, to), with a note on those that
// overlap or follow a change of the UTC offset.
func (p *Plan) Preview(from, to time.Time) []Shown {
	var all []Shown
	for _, track := range p.Tracks {
		var last Span // the span with the latest end so far
		for _, span := range track.Between(from, to) {
			all = append(all, Shown{
				Track:    track.Name,
				Window:   span.Window.Name,
				Team:     span.Window.Team,
				Classes:  span.Window.Classes,
				Begin:    span.Begin,
				End:      span.End,
				State:    Planned,
				Revision: p.Revision,
				Note:     planNote(span, last),
			})
			if last.Window == nil || span.End.After(last.End) {
				last = span
			}
		}
	}
	sortShown(all)
	return all
}

// planNote returns the note on a planned span for Preview, or "". last is the earlier span with the
// latest end.
func planNote(span, last Span) string {
	if last.Window != nil && span.Begin.Before(last.End) {
		return "meets " + last.Window.Name
	}
	if zoneOffset(span.Begin) != zoneOffset(span.Begin.Add(-24*time.Hour)) {
		return "after a change of the clock"
	}
	return ""
}

func zoneOffset(t time.Time) int {
	_, seconds := t.Zone()
	return seconds
}

func sortShown(shown []Shown) {
	slices.SortStableFunc(shown, func(a, b Shown) int {
		if order := a.Begin.Compare(b.Begin); order != 0 {
			return order
		}
		return strings.Compare(a.Track+" "+a.Window, b.Track+" "+b.Window)
	})
}

// Read applies the calendar's keys as listed from the state service, and returns the keeper and the
// stored occurrences. It fails if no document is in force.
func Read(items []store.Item) (*Keeper, []Shown, error) {
	keeper := NewKeeper(nil, 0)
	for _, item := range items {
		var err error
		if track, isTrack := strings.CutPrefix(item.Key, TrackPrefix); isTrack {
			err = keeper.ApplyTrack(track, item.Value)
		} else if item.Key == StoreKey {
			err = keeper.ApplyDocument(item.Value)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%s can't be read: %w", item.Key, err)
		}
	}
	if keeper.plan == nil {
		return nil, nil, errNoCalendar
	}
	var all []Shown
	for _, name := range keeper.trackNames() {
		record := keeper.tracks[name]
		if record == nil {
			continue
		}
		for i := range record.Occurrences {
			all = append(all, keeper.plan.show(name, &record.Occurrences[i]))
		}
	}
	sortShown(all)
	return keeper, all, nil
}

// show returns an occurrence of a track in the form shown to operators.
func (p *Plan) show(trackName string, occurrence *Occurrence) Shown {
	shown := Shown{
		Track:    trackName,
		Window:   occurrence.Window,
		Team:     occurrence.Team,
		Classes:  occurrence.Classes,
		Begin:    time.UnixMilli(occurrence.BeginMs).UTC(),
		End:      time.UnixMilli(occurrence.EndMs).UTC(),
		State:    occurrence.State,
		Revision: occurrence.Revision,
	}
	if window := p.window(trackName, occurrence.Window); window != nil {
		shown.Begin = shown.Begin.In(window.zone)
		shown.End = shown.End.In(window.zone)
		if shown.Team == "" {
			shown.Team, shown.Classes = window.Team, window.Classes
		}
	}
	delay := time.Duration(occurrence.OpenedMs-occurrence.BeginMs) * time.Millisecond
	if occurrence.OpenedMs > 0 && delay > lateOpening {
		shown.Note = "opened " + delay.Round(lateRounding).String() + " late"
	}
	return shown
}

// window returns the window with the given track and name, or nil.
func (p *Plan) window(trackName, name string) *Window {
	for _, track := range p.Tracks {
		if track.Name == trackName {
			return track.window(name)
		}
	}
	return nil
}

// LateJob is a job that waits for its window and can't meet its deadline.
type LateJob struct {
	JobID string    `json:"uid"`
	Team  string    `json:"team"`
	Class string    `json:"class"`
	Due   time.Time `json:"due"`
	Opens time.Time `json:"opens"` // zero if nothing is planned
}

// LateJobs returns the jobs among the given records that can't meet their deadline because of their
// windows, as currently planned. nowMs is the wall-clock time in Unix ms. Unreadable records are
// ignored.
func (k *Keeper) LateJobs(items []store.Item, nowMs int64) []LateJob {
	var all []LateJob
	for _, item := range items {
		jobID := strings.TrimPrefix(item.Key, jobs.JobPrefix)
		record, err := jobs.DecodeRecord(jobID, item.Value)
		if err != nil || record.State != jobs.Live {
			continue
		}
		opensMs, dueMs, late := k.late(Now{Ms: nowMs}, record)
		if !late {
			continue
		}
		job := LateJob{
			JobID: jobID,
			Team:  record.Spec.Team,
			Class: record.Spec.Class,
			Due:   time.UnixMilli(dueMs).UTC(),
		}
		if opensMs > 0 {
			job.Opens = time.UnixMilli(opensMs).UTC()
		}
		all = append(all, job)
	}
	return all
}

// late reports whether a job that waits for its window can't meet its deadline. It also returns the
// window's next opening (0 if none is planned) and the deadline, wall-clock times in Unix ms.
func (k *Keeper) late(now Now, record *jobs.Record) (opensMs, dueMs int64, late bool) {
	if record.Spec.DeadlineS == nil {
		return 0, 0, false
	}
	class := record.Spec.QuotaKey()
	if verdict, _ := k.Gate(now, class); verdict != Shut && verdict != Soon {
		return 0, 0, false
	}
	dueMs = record.AcceptedMs + int64(*record.Spec.DeadlineS*1000)
	opensMs = k.NextOpening(class)
	endsMs := max(opensMs, now.Ms) + int64(record.Spec.ExpectedDurationS*1000)
	return opensMs, dueMs, opensMs == 0 || endsMs > dueMs
}

// OverlappingTracks returns the names of the tracks whose classes that are on machines are not all
// in one window: tasks of two windows are on machines at the same time.
func (p *Plan) OverlappingTracks(onMachines map[quota.Key]bool) []string {
	var names []string
	for _, track := range p.Tracks {
		var classes []quota.Key
		for class := range onMachines {
			if p.TrackOf(class) == track {
				classes = append(classes, class)
			}
		}
		if len(classes) > 0 && !track.hasWindowOf(classes) {
			names = append(names, track.Name)
		}
	}
	return names
}

// hasWindowOf reports whether a single window of the track includes all of the classes.
func (t *Track) hasWindowOf(classes []quota.Key) bool {
	return slices.ContainsFunc(t.Windows, func(window *Window) bool {
		return !slices.ContainsFunc(classes, func(class quota.Key) bool { return !window.Has(class) })
	})
}
