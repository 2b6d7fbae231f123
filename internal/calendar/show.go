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

// Shown is an occurrence for people and scripts. Fields are only ever added. Times are
// in the window's zone.
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

// Dry lists what a plan would do in a stretch of time, with what meets by plan.
func (p *Plan) Dry(from, to time.Time) []Shown {
	var out []Shown
	for _, t := range p.Tracks {
		var last Span
		for _, s := range t.Between(from, to) {
			x := Shown{t.Name, s.Window.Name, s.Window.Team, s.Window.Classes, s.Begin, s.End, Planned, p.Revision, ""}
			if last.Window != nil && s.Begin.Before(last.End) {
				x.Note = "meets " + last.Window.Name
			} else if _, a := s.Begin.Zone(); a != offset(s.Begin.Add(-24*time.Hour)) {
				x.Note = "after a change of the clock"
			}
			if last.Window == nil || s.End.After(last.End) {
				last = s
			}
			out = append(out, x)
		}
	}
	sortShown(out)
	return out
}

func offset(t time.Time) int {
	_, seconds := t.Zone()
	return seconds
}

func sortShown(out []Shown) {
	slices.SortStableFunc(out, func(a, b Shown) int {
		if c := a.Begin.Compare(b.Begin); c != 0 {
			return c
		}
		return strings.Compare(a.Track+" "+a.Window, b.Track+" "+b.Window)
	})
}

// Read takes in the calendar's keys as listed from the state service, and lists the
// occurrences that stand there. Without a document in force it is an error.
func Read(rows []store.Item) (*Keeper, []Shown, error) {
	k := NewKeeper(nil, 0)
	for _, r := range rows {
		var err error
		switch {
		case r.Key == StoreKey:
			err = k.ApplyDocument(r.Value)
		case strings.HasPrefix(r.Key, TrackPrefix):
			err = k.ApplyTrack(strings.TrimPrefix(r.Key, TrackPrefix), r.Value)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%s can't be read: %w", r.Key, err)
		}
	}
	if k.plan == nil {
		return nil, nil, errors.New("no calendar is in force")
	}
	var out []Shown
	for _, name := range k.trackNames() {
		rec := k.tracks[name]
		if rec == nil {
			continue
		}
		for _, o := range rec.Occurrences {
			x := Shown{
				Track:    name,
				Window:   o.Window,
				Team:     o.Team,
				Classes:  o.Classes,
				Begin:    time.UnixMilli(o.Begin).UTC(),
				End:      time.UnixMilli(o.End).UTC(),
				State:    o.State,
				Revision: o.Revision,
			}
			for _, t := range k.plan.Tracks {
				if w := t.window(o.Window); w != nil && t.Name == name {
					x.Begin, x.End = x.Begin.In(w.zone), x.End.In(w.zone)
					if x.Team == "" {
						x.Team, x.Classes = w.Team, w.Classes
					}
				}
			}
			if o.Opened > o.Begin+1000 {
				x.Note = "opened " + (time.Duration(o.Opened-o.Begin) * time.Millisecond).Round(100*time.Millisecond).
					String() +
					" late"
			}
			out = append(out, x)
		}
	}
	sortShown(out)
	return k, out, nil
}

// Late is a job that waits for its window and cannot end by its time.
type Late struct {
	JobID string    `json:"uid"`
	Team  string    `json:"team"`
	Class string    `json:"class"`
	Due   time.Time `json:"due"`
	Opens time.Time `json:"opens"` // zero if nothing is planned
}

// Lates lists the jobs among some records that cannot end by their time because of
// their windows, as planned now, at a time of day in ms.
func (k *Keeper) Lates(rows []store.Item, nowMs int64) []Late {
	var out []Late
	for _, r := range rows {
		jobID := strings.TrimPrefix(r.Key, jobs.JobPrefix)
		rec, err := jobs.DecodeRecord(jobID, r.Value)
		if err != nil || rec.State != jobs.Live {
			continue
		}
		if opens, due, late := k.late(Now{Ms: nowMs}, rec); late {
			x := Late{JobID: jobID, Team: rec.Spec.Team, Class: rec.Spec.Class, Due: time.UnixMilli(due).UTC()}
			if opens > 0 {
				x.Opens = time.UnixMilli(opens).UTC()
			}
			out = append(out, x)
		}
	}
	return out
}

// late tells whether a job that waits for its window can end by its time: when its
// window opens next, 0 for never, and when it is due, times of day in ms.
func (k *Keeper) late(n Now, r *jobs.Record) (opens, due int64, late bool) {
	if r.Spec.DeadlineS == nil {
		return 0, 0, false
	}
	if v, _ := k.Gate(n, r.Spec.QuotaKey()); v != Shut && v != Soon {
		return 0, 0, false
	}
	due = r.AcceptedMs + int64(*r.Spec.DeadlineS*1000)
	opens = k.NextOpening(r.Spec.QuotaKey())
	return opens, due, opens == 0 || max(opens, n.Ms)+int64(r.Spec.ExpectedDurationS*1000) > due
}

// Meet lists the tracks on which classes that no one window has together are on machines.
func (p *Plan) Meet(on map[quota.Key]bool) (out []string) {
	for _, t := range p.Tracks {
		var here []quota.Key
		for k := range on {
			if p.TrackOf(k) == t {
				here = append(here, k)
			}
		}
		whole := len(here) == 0
		for _, w := range t.Windows {
			whole = whole || !slices.ContainsFunc(here, func(k quota.Key) bool { return !w.Has(k) })
		}
		if !whole {
			out = append(out, t.Name)
		}
	}
	return out
}
