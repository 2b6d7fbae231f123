package scenario

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/hcl/v2/hclsimple"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
)

// windows is what a scenario has seen of the calendar.
type windows struct {
	upon   map[string][]string       // what to do upon a window's state
	state  map[string]calendar.State // the last that a window came to, but for planned
	opened map[string][]time.Time
}

// calendar reads a file of testdata/calendars.
func (s *script) calendar(name string) *calendar.Document {
	var f struct {
		Calendar calendar.Document `hcl:"calendar,block"`
	}
	if err := hclsimple.DecodeFile(filepath.Join("testdata", "calendars", name+".hcl"), nil, &f); err != nil {
		s.fatal("%v", err)
	}
	if _, faults := calendar.Build(&f.Calendar, calendar.Known{}, s.w.Start); len(faults) > 0 {
		s.fatal("%v", faults)
	}
	return &f.Calendar
}

// watchCalendar has every scenario with a calendar checked for its rules.
func (s *script) watchCalendar() {
	if s.set.Operator.Calendar == nil {
		return
	}
	s.windows = &windows{
		upon:   map[string][]string{},
		state:  map[string]calendar.State{},
		opened: map[string][]time.Time{},
	}
	s.set.Cluster.ClockOffMs = 500
	s.scarce = true // what waits for a window begins when that opens
	s.w.WatchCalendar(func(window string, to calendar.State) {
		if to != calendar.Planned {
			s.windows.state[window] = to
		}
		if to == calendar.Open {
			s.windows.opened[window] = append(s.windows.opened[window], s.w.Now)
		}
		if words := s.windows.upon[window+" "+string(to)]; words != nil {
			delete(s.windows.upon, window+" "+string(to))
			s.do(words[0], words[1:])
		}
	})
}

// uponDone fails a scenario in which something was to happen upon a change that never came.
func (s *script) uponDone() {
	if s.windows != nil && len(s.windows.upon) > 0 {
		s.t.Errorf("%s: never came: %v", s.line, s.windows.upon)
	}
}

// expect window WINDOW STATE: the last that it came to; expect opened WINDOW COUNT;
// expect began JOB WINDOW SECONDS: its first task within so long of the window's last
// opening.
func (s *script) expectWindow(args []string) {
	switch args[0] {
	case "window":
		if got := s.windows.state[args[1]]; string(got) != args[2] {
			s.fatal("window %s is %q, not %q", args[1], got, args[2])
		}
	case "opened":
		if got := len(s.windows.opened[args[1]]); got != int(s.number(args[2])) {
			s.fatal("window %s opened %d times, not %s", args[1], got, args[2])
		}
	case "began":
		opened := s.windows.opened[args[2]]
		if len(opened) == 0 || s.job(args[1]).FirstStart.IsZero() ||
			s.job(args[1]).FirstStart.Sub(opened[len(opened)-1]).Seconds() > s.number(args[3]) {
			s.fatal("%s began at %v, its window opened at %v", args[1], s.job(args[1]).FirstStart, opened)
		}
	}
}

// night is a change from one window to the next with five controllers and 200 machines:
// what goes wrong right upon which change, and what comes after it.
const night = `
nodes 5
calendar markets
team shop 60
team prices 60
machines %d g8 a
machines %[1]d g4 b
capacity 200
report 6
4 upon %[2]s %s %s
5 submit wk-000001 sweep owner=shop class=export pieces=40 run=200 snapshot=10
5 submit wk-000002 ensemble owner=shop class=export pieces=8 run=300 snapshot=10
6 submit wk-000003 sweep owner=prices class=weekend pieces=30 run=30
6 submit wk-000004 sweep owner=prices class=other pieces=10 run=30
%s
`

// TestCalendarEndsAtEachStep: the leader, or every controller, ends right after each
// change of an occurrence of either window, and whatever else may go wrong just then.
func TestCalendarEndsAtEachStep(t *testing.T) {
	for _, window := range []string{"export", "weekend"} {
		for _, state := range []calendar.State{calendar.Preparing, calendar.Open, calendar.Closing, calendar.Closed} {
			ends := map[string]string{
				"leader": "crash leader",
				"frozen": "freeze leader 20",
				"all":    "crash-all",
			}
			for name, then := range ends {
				if name == "frozen" && state != calendar.Open && state != calendar.Closing {
					continue
				}
				t.Run(fmt.Sprint(window, "-", state, "-", name), func(t *testing.T) {
					t.Parallel()
					const done = "420 expect wk-000003 done\n420 expect wk-000004 done"
					after := done
					switch {
					case window == "weekend" && (state == calendar.Closing || state == calendar.Closed):
						after = done + "\n500 boot-all\n510 expect leader"
					case name == "all":
						after = "80 boot-all\n240 boot-all\n" + after
					}
					machines := 20 // of a type; all 200 where most goes wrong
					if state == calendar.Closing {
						machines = 100
					}
					text := fmt.Sprintf(night, machines, window, state, then, after)
					file := filepath.Join(t.TempDir(), "night.txt")
					if err := os.WriteFile(file, []byte(strings.TrimSpace(text)), 0o600); err != nil {
						t.Fatal(err)
					}
					run(t, file, settings.BatchingAlways, nil)
				})
			}
		}
	}
}

// openingsEvery is how far apart a track's openings are in TestOpeningsAreQuick.
const openingsEvery = 4 * time.Minute

// openings is a calendar of five windows in a row on each of two tracks.
func openings(begin time.Time) *calendar.Document {
	d := &calendar.Document{Revision: 1, Zone: "UTC"}
	for n, track := range []string{"one", "two"} {
		doc := calendar.TrackDoc{Name: track}
		for i := range 5 {
			start := begin.Add(openingsEvery * time.Duration(i+1)).Add(time.Duration(n) * time.Minute)
			doc.Windows = append(doc.Windows, calendar.WindowDoc{
				Name:    fmt.Sprint("w", i),
				Team:    "shop",
				Classes: []string{fmt.Sprint(track, i)},
				Start:   start.Format("2006-01-02T15:04"),
				Rule:    "FREQ=DAILY",
				Length:  "4m",
				Slip:    "1m",
				AtEnd:   calendar.AtEndStop,
			})
		}
		d.Tracks = append(d.Tracks, doc)
	}
	return d
}

// TestOpeningsAreQuick: of ten openings on two tracks, without failures, the first tasks
// run within 15 s, on machines that were rented for them.
func TestOpeningsAreQuick(t *testing.T) {
	t.Parallel()
	w := simulation.NewSimulator(13, slog.New(slog.DiscardHandler))
	s := &script{t: t, line: "openings", w: w, vars: map[string]string{}, applied: map[string]int{}}
	s.set = baseSettings(w)
	s.set.Cluster.Size = 5
	s.set.Cluster.Teams = []settings.Team{{Name: "shop", GpusMax: 200}}
	w.TeamLimits["shop"] = 200
	w.Cloud.Limit = 200
	d := openings(w.Start)
	if _, faults := calendar.Build(d, calendar.Known{}, w.Start); len(faults) > 0 {
		t.Fatal(faults)
	}
	s.set.Operator.Calendar = d
	s.watchCalendar()
	w.AddNodes(5, s.set)
	var took []float64
	for n, track := range []string{"one", "two"} {
		for i := range 5 {
			jobID := fmt.Sprintf("wk-%06d", 100*n+i)
			start := openingsEvery*time.Duration(i+1) + time.Duration(n)*time.Minute
			w.After(start-2*time.Minute, func() {
				s.submit(
					[]string{jobID, "sweep", "owner=shop", fmt.Sprint("class=", track, i), "pieces=8", "run=300", "snapshot=10"},
				)
			})
			w.After(
				start+openingsEvery-time.Second,
				func() { took = append(took, w.Jobs[jobID].FirstStart.Sub(w.Start.Add(start)).Seconds()) },
			)
		}
	}
	w.RunUntil(openingsEvery*6 + 2*time.Minute)
	slices.Sort(took)
	t.Logf(
		"first tasks after the planned begin: median %.2f s, most %.2f s; %d machines rented",
		took[5],
		took[9],
		w.Cloud.Rented,
	)
	if len(took) != 10 || took[0] < 0 || took[9] > 15 {
		t.Error(took)
	}
	for _, b := range w.Broken {
		t.Error(b)
	}
}
