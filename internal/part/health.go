package part

import (
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
	"github.com/harrierreel/harrierreel/internal/workers"
)

// watchHealth keeps a machine's record in step with what its owner hears, and notes in
// unheard a machine that it does not hear, or (true) that answers commands only.
func (pt *Part) watchHealth(s *workers.Session, unheard map[string]bool) []decide.Decision {
	m := pt.Machines[s.Host]
	if m == nil {
		if s.State == workers.Known && s.Met { // an old report of a machine that is gone may carry our baton
			rec := fleet.Host{State: fleet.Up, Endpoint: s.Endpoint, Build: s.Build, Site: s.Site, Loaner: s.Loaner, SinceMs: pt.Ms()}
			return []decide.Decision{{Writes: []store.Write{decide.Put(fleet.HostPrefix+s.Host, rec)}}}
		}
		if pt.Now.Sub(s.LastReport) > tuning.ForgetSession {
			delete(pt.sessions, s.Host)
		}
		return nil
	}
	quiet := pt.Now.Sub(s.LastReport)
	times := pt.Cluster.Workers
	if pt.Now.Sub(s.LastBeat) > times.Mute() {
		// What it answers to commands is true, but renews no lease: all that it holds ends
		// with that, again and again. Without this a task was begun on such a machine
		// five times (meet-mute-one, docs/incidents/mute-machines.md).
		unheard[s.Host] = true
	}
	switch {
	case !s.Ahead.IsZero() && pt.Now.Sub(s.Ahead) > times.GoneBy():
		// Nobody of this view can speak to it: its lease is over, and what it holds with it.
		return pt.Moving(s.Host, fleet.Sick, "has seen a later baton than this view's")
	case !pt.Reconciling.Steady() && s.Tick == 0 && s.CallFails > 0, // never heard
		quiet > times.Quiet() || s.CallFails >= tuning.SilentCalls && quiet > times.Late():
		unheard[s.Host] = false
	case s.State != workers.Known:
	case s.Warning != nil && m.State != fleet.Warned:
		return pt.Moving(s.Host, fleet.Notice, "the cloud will take it")
	case m.State == fleet.Silent: // written by an earlier version
		return pt.Moving(s.Host, fleet.Heard, "reports again")
	}
	return nil
}

// tellQuiet is the decisions that write which of this part's machines are not
// heard, where that has changed.
func (pt *Part) tellQuiet(unheard map[string]bool) []decide.Decision {
	told := pt.quietLists[pt.Me]
	want := told.Divide(unheard, pt.Epoch(), pt.SliceLimit)
	// The first list is written last: it has the others count.
	numbers := map[int]bool{1: true}
	for number := range want {
		numbers[number] = true
	}
	for number := range told {
		numbers[number] = true
	}
	var ds []decide.Decision
	for _, number := range slices.Backward(slices.Sorted(maps.Keys(numbers))) {
		list, needed := want[number]
		had, has := told[number]
		key := fleet.QuietKey(pt.Me, number)
		w := decide.Put(key, list.Entries())
		if !needed {
			// Not before its machines stand elsewhere.
			if !want[1].Same(told[1]) {
				continue
			}
			w = decide.Remove(key)
		} else if list.Same(had) && (has || number == 1) {
			continue
		}
		if pt.Busy(key) {
			continue
		}
		ds = append(ds, decide.Decision{Writes: []store.Write{w}, Done: func(ok bool) {
			if ok {
				pt.Log.Info("machines not heard", "machines", len(unheard))
			}
		}})
	}
	return ds
}

// QuietKeys are the keys of the lists in which this owner says what it does not hear.
func (pt *Part) QuietKeys() []string {
	keys := []string{fleet.QuietKey(pt.Me, 1)}
	for number := range pt.quietLists[pt.Me] {
		if number > 1 {
			keys = append(keys, fleet.QuietKey(pt.Me, number))
		}
	}
	return keys
}

// SilenceOf is what a machine's owner says of it while it sends no reports.
func (pt *Part) SilenceOf(m *book.Machine) (fleet.Silence, bool) {
	if m.State == fleet.Silent {
		return fleet.Silence{Since: m.Since}, true
	}
	u, is := pt.Quiet[m.Owner][m.Name]
	return u, is
}

// QuietSince tells since when nobody has heard a machine in any way, if so.
func (pt *Part) QuietSince(m *book.Machine) (time.Time, bool) {
	u, is := pt.SilenceOf(m)
	return u.Since, is && !u.Mute
}

// InUse tells whether a machine is up and sends reports.
func (pt *Part) InUse(m *book.Machine) bool {
	if m.State != fleet.Up {
		return false
	}
	_, quiet := pt.Quiet[m.Owner][m.Name]
	return !quiet && !pt.Rental.GivenUp(m.Name)
}

// overdue tells whether a machine should have reported by now. It is then
// asked directly: where reports are seldom, waiting for the next would leave
// its tasks dead for long.
func (pt *Part) overdue(s *workers.Session) bool {
	return pt.Now.Sub(s.LastReport) > pt.Cluster.Workers.Late()
}
