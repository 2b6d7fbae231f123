package cli

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// calendarCommand returns the command group for the release calendar.
func (a *app) calendarCommand() *cobra.Command {
	return commandGroup(
		"calendar",
		"Check, plan and show the release calendar",
		a.calendarCheckCommand(),
		a.calendarPlanCommand(),
		a.calendarShowCommand(),
	)
}

// reportCalendarFaults prints the faults of a calendar and returns an error with ExitUsage.
func (a *app) reportCalendarFaults(file string, faults []string) error {
	for _, fault := range faults {
		if a.jsonOutput() {
			path, want, _ := strings.Cut(fault, ": ")
			a.printJSON(map[string]any{"event": "fault", "file": file, "path": path, "want": want})
		} else {
			a.printErrf("%s: %s\n", file, fault)
		}
	}
	return &ExitError{Code: ExitUsage}
}

func (a *app) calendarCheckCommand() *cobra.Command {
	var config string
	c := a.withOutputFlag(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a calendar, with every window of 400 days from its start and from now",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return a.checkCalendar(args[0], config) },
	})
	c.Flags().StringVar(&config, "config", "",
		"the platform's settings file (TOML), to check teams, classes and limits as well")
	return c
}

// checkCalendar checks a calendar. If config names a settings file, it also checks the calendar
// against the platform's teams and classes and the state service's maximum value size.
func (a *app) checkCalendar(file, config string) error {
	document, err := a.loadCalendar(file)
	if err != nil {
		return err
	}
	var known calendar.Known
	maxBytes := 0.0 // 0 if unknown
	if config != "" {
		cfg, err := loadSettings(config)
		if err != nil {
			return err
		}
		known = calendar.Known{Teams: cfg.TeamMap(), Classes: cfg.Classes()}
		maxBytes = cfg.Cluster.State.ValueKB * 1024
	}
	plan, faults := calendar.Build(document, known, document.LatestStart())
	if len(faults) == 0 {
		_, faults = calendar.Build(document, known, time.Now())
	}
	if size := len(calendar.EncodeDocument(document)); maxBytes > 0 && float64(size) > maxBytes {
		faults = append(faults,
			fmt.Sprintf("calendar: takes %d bytes, more than a value of the state service holds", size))
	}
	if len(faults) > 0 {
		return a.reportCalendarFaults(file, faults)
	}
	a.printCalendarSummary(document, plan)
	return nil
}

// printCalendarSummary prints the revision of a valid calendar and its number of tracks and
// windows.
func (a *app) printCalendarSummary(document *calendar.Document, plan *calendar.Plan) {
	windows := 0
	for _, track := range plan.Tracks {
		windows += len(track.Windows)
	}
	if a.jsonOutput() {
		a.printJSON(map[string]any{
			"event":    "checked",
			"revision": document.Revision,
			"tracks":   len(plan.Tracks),
			"windows":  windows,
		})
		return
	}
	a.printf(
		"revision %d: %d tracks, %d windows, none of a track meet\n",
		document.Revision,
		len(plan.Tracks),
		windows,
	)
}

func (a *app) calendarPlanCommand() *cobra.Command {
	from, days := "", 7
	c := a.withOutputFlag(&cobra.Command{
		Use:   "plan FILE",
		Short: "Say what a calendar would open when, and what would meet",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return a.planCalendar(args[0], from, days) },
	})
	c.Flags().StringVar(&from, "from", "", "the first day, as 2026-01-31; today if none is given")
	c.Flags().IntVar(&days, "days", days, "how many days")
	return c
}

// planCalendar prints the window occurrences of a number of days. from is a date in the calendar's
// time zone; if it is empty, the plan begins now. If windows of a track overlap, planCalendar
// returns an error with ExitFailed.
func (a *app) planCalendar(file, from string, days int) error {
	document, err := a.loadCalendar(file)
	if err != nil {
		return err
	}
	if days < 1 || days > tuning.PlanDays {
		return usageError("--days: must be from 1 to %d", tuning.PlanDays)
	}
	plan, err := calendar.Compile(document)
	if err != nil {
		return a.reportCalendarFaults(file, strings.Split(err.Error(), "; "))
	}
	begin := time.Now()
	if from != "" {
		if begin, err = time.ParseInLocation(time.DateOnly, from, plan.Zone); err != nil {
			return usageError("--from: %q is no day; expected one as 2026-01-31", from)
		}
	}
	end := begin.AddDate(0, 0, days)
	if err := a.showOccurrences(plan.Preview(begin, end)); err != nil {
		return err
	}
	if collisions := plan.Collisions(begin, end); len(collisions) > 0 {
		return &ExitError{Code: ExitFailed, Text: fmt.Sprintf("%d pairs of windows meet", len(collisions))}
	}
	return nil
}

func (a *app) calendarShowCommand() *cobra.Command {
	flags := &stateFlags{}
	late := false
	c := a.withOutputFlag(&cobra.Command{
		Use:   "show",
		Short: "Show the occurrences as they stand in the state service",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return a.showCalendar(flags, late) },
	})
	flags.add(c, "the platform's settings file (TOML) of any controller")
	c.Flags().BoolVar(&late, "late", false,
		"also list the jobs that cannot end by their time because of their windows; reads all jobs")
	return c
}

// showCalendar prints the occurrences in the state service. If late is set, it also prints the jobs
// that can't meet their deadline because of their windows.
func (a *app) showCalendar(flags *stateFlags, late bool) error {
	if err := flags.check(); err != nil {
		return err
	}
	address, err := flags.resolve()
	if err != nil {
		return err
	}
	source := newStateSource(address, tuning.SnapshotRPS, a.progress)
	rows, err := source.listAll(calendar.StoreKey)
	if err != nil {
		return err
	}
	keeper, occurrences, err := calendar.Read(rows)
	if err != nil {
		return &ExitError{Code: ExitFailed, Text: err.Error()}
	}
	if err := a.showOccurrences(occurrences); err != nil || !late {
		return err
	}
	if rows, err = source.listAll(jobs.JobPrefix); err != nil {
		return err
	}
	for _, job := range keeper.LateJobs(rows, time.Now().UnixMilli()) {
		if a.jsonOutput() {
			a.printJSON(job)
			continue
		}
		a.printf(
			"%s of %s (%s) waits for its window and can't end by %s\n",
			job.JobID,
			job.Team,
			job.Class,
			job.Due.Format(time.RFC3339),
		)
	}
	return nil
}

// showOccurrences prints occurrences as a table, or as JSON lines.
func (a *app) showOccurrences(occurrences []calendar.Shown) error {
	if a.jsonOutput() {
		for _, occurrence := range occurrences {
			a.printJSON(occurrence)
		}
		return nil
	}
	t := newTable(a.out)
	t.row("BEGIN\tEND\tTRACK\tWINDOW\tTEAM\tCLASSES\tSTATE\tREVISION\tNOTE")
	for _, o := range occurrences {
		t.row(
			"%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s",
			o.Begin.Format("Mon 2006-01-02 15:04 MST"),
			o.End.Format("15:04"),
			o.Track,
			o.Window,
			o.Team,
			strings.Join(o.Classes, ","),
			o.State,
			o.Revision,
			o.Note,
		)
	}
	return t.flush()
}
