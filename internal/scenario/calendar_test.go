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

// windowTracker records the window states of a scenario with a calendar.
type windowTracker struct {
	onState map[string][]string       // timed line to execute, by "WINDOW STATE"
	state   map[string]calendar.State // last state of each window, except planned
	opened  map[string][]time.Time
}

// calendar reads a calendar from testdata/calendars.
func (s *script) calendar(name string) *calendar.Document {
	var f struct {
		Calendar calendar.Document `hcl:"calendar,block"`
	}
	if err := hclsimple.DecodeFile(filepath.Join("testdata", "calendars", name+".hcl"), nil, &f); err != nil {
		s.fatal("%v", err)
	}
	if _, faults := calendar.Build(&f.Calendar, calendar.Known{}, s.sim.Start); len(faults) > 0 {
		s.fatal("%v", faults)
	}
	return &f.Calendar
}

// watchCalendar checks the calendar invariants of scenarios that have a calendar.
func (s *script) watchCalendar() {
	if s.set.Operator.Calendar == nil {
		return
	}
	s.windows = &windowTracker{
		onState: map[string][]string{},
		state:   map[string]calendar.State{},
		opened:  map[string][]time.Time{},
	}
	s.set.Cluster.ClockOffMs = 500
	s.skipServedCheck = true // jobs that wait for a window start only when it opens
	s.sim.WatchCalendar(func(window string, to calendar.State) {
		if to != calendar.Planned {
			s.windows.state[window] = to
		}
		if to == calendar.Open {
			s.windows.opened[window] = append(s.windows.opened[window], s.sim.Now)
		}
		if words := s.windows.onState[window+" "+string(to)]; words != nil {
			delete(s.windows.onState, window+" "+string(to))
			s.do(words[0], words[1:])
		}
	})
}

// checkTriggersFired fails a scenario with an "upon" line whose window state was never reached.
func (s *script) checkTriggersFired() {
	if s.windows != nil && len(s.windows.onState) > 0 {
		s.t.Errorf("%s: upon lines that never fired: %v", s.line, s.windows.onState)
	}
}

// expectWindow checks "expect window WINDOW STATE": its last state; "expect opened WINDOW COUNT":
// how often it opened; "expect began JOB WINDOW SECONDS": the job's first task started within that
// time of the window's last opening.
func (s *script) expectWindow(args []string) {
	switch args[0] {
	case "window":
		if got := s.windows.state[args[1]]; string(got) != args[2] {
			s.fatal("window %s is %q, want %q", args[1], got, args[2])
		}
	case "opened":
		if got := len(s.windows.opened[args[1]]); got != int(s.number(args[2])) {
			s.fatal("window %s opened %d times, want %s", args[1], got, args[2])
		}
	case "began":
		opened := s.windows.opened[args[2]]
		if len(opened) == 0 || s.job(args[1]).FirstStart.IsZero() ||
			s.job(args[1]).FirstStart.Sub(opened[len(opened)-1]).Seconds() > s.number(args[3]) {
			s.fatal("%s started at %v, its window opened at %v", args[1], s.job(args[1]).FirstStart, opened)
		}
	}
}

// windowChange is a scenario template: one window follows another, with five controllers and up to
// 200 machines. The parameters are the machines per type, the state change that triggers the fault,
// the fault, and the lines that follow.
const windowChange = `
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

// TestCalendarSurvivesCrashAtEachWindowState crashes or freezes the leader, or crashes all
// controllers, right after each state change of either window.
func TestCalendarSurvivesCrashAtEachWindowState(t *testing.T) {
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
					machines := 20 // per type; 200 in all for closing, which does the most work
					if state == calendar.Closing {
						machines = 100
					}
					text := fmt.Sprintf(windowChange, machines, window, state, then, after)
					file := filepath.Join(t.TempDir(), "night.txt")
					if err := os.WriteFile(file, []byte(strings.TrimSpace(text)), 0o600); err != nil {
						t.Fatal(err)
					}
					play(t, file, playOptions{batching: settings.BatchingAlways})
				})
			}
		}
	}
}

// openingsEvery is the time between the openings of a track in TestWindowTasksStartWithin15s.
const openingsEvery = 4 * time.Minute

// openingsCalendar returns a calendar of two tracks with five consecutive windows each.
func openingsCalendar(begin time.Time) *calendar.Document {
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

// TestWindowTasksStartWithin15s checks that, without faults, the first tasks of ten windows on two
// tracks start within 15 s of the planned opening, on machines rented for them.
func TestWindowTasksStartWithin15s(t *testing.T) {
	t.Parallel()
	sim := simulation.NewSimulator(13, slog.New(slog.DiscardHandler))
	s := &script{t: t, line: "openings", sim: sim, vars: map[string]string{}, applied: map[string]int{}}
	s.set = baseSettings(sim)
	s.set.Cluster.Size = 5
	s.set.Cluster.Teams = []settings.Team{{Name: "shop", GpusMax: 200}}
	sim.TeamLimits["shop"] = 200
	sim.Cloud.Limit = 200
	d := openingsCalendar(sim.Start)
	if _, faults := calendar.Build(d, calendar.Known{}, sim.Start); len(faults) > 0 {
		t.Fatal(faults)
	}
	s.set.Operator.Calendar = d
	s.watchCalendar()
	sim.AddNodes(5, s.set)
	var took []float64
	for n, track := range []string{"one", "two"} {
		for i := range 5 {
			jobID := fmt.Sprintf("wk-%06d", 100*n+i)
			start := openingsEvery*time.Duration(i+1) + time.Duration(n)*time.Minute
			sim.After(start-2*time.Minute, func() {
				s.submit(
					[]string{jobID, "sweep", "owner=shop", fmt.Sprint("class=", track, i), "pieces=8", "run=300", "snapshot=10"},
				)
			})
			sim.After(
				start+openingsEvery-time.Second,
				func() { took = append(took, sim.Jobs[jobID].FirstStart.Sub(sim.Start.Add(start)).Seconds()) },
			)
		}
	}
	sim.RunUntil(openingsEvery*6 + 2*time.Minute)
	slices.Sort(took)
	t.Logf(
		"first task after the planned opening: median %.2f s, max %.2f s; %d machines rented",
		took[5],
		took[9],
		sim.Cloud.Rented,
	)
	if len(took) != 10 || took[0] < 0 || took[9] > 15 {
		t.Error(took)
	}
	for _, b := range sim.Violations {
		t.Error(b)
	}
}
