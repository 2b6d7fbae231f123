package cli

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func (a *app) calendar() *cobra.Command {
	c := &cobra.Command{
		Use: "calendar", Short: "Check, plan and show the release calendar", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(a.calendarCheck(), a.calendarPlan(), a.calendarShow())
	return c
}

// calendarFile reads the calendar block of an operators' file.
func (a *app) calendarFile(name string) (*calendar.Document, error) {
	v, err := a.blocks(name)
	if err == nil && v.Calendar == nil {
		err = usage("%s: has no calendar block", name)
	}
	return v.Calendar, err
}

// wrong prints the faults of a calendar and ends with the code for it.
func (a *app) wrong(file string, faults []string) error {
	for _, f := range faults {
		if a.json() {
			path, want, _ := strings.Cut(f, ": ")
			a.line(map[string]any{"event": "fault", "file": file, "path": path, "want": want})
		} else {
			fmt.Fprintf(a.note, "%s: %s\n", file, f)
		}
	}
	return &Exit{Code: ExitUsage}
}

func (a *app) calendarCheck() *cobra.Command {
	var config string
	c := a.printed(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a calendar, with every window of 400 days from its start and from now",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			d, err := a.calendarFile(args[0])
			if err != nil {
				return err
			}
			var known calendar.Known
			most := 0.0
			if config != "" {
				set, err := settings.Load(config, "")
				if err != nil {
					return usage("%v", err)
				}
				known = calendar.Known{Teams: set.TeamMap(), Classes: set.Classes()}
				most = set.Cluster.State.ValueKB * 1024
			}
			plan, faults := calendar.Build(d, known, d.Latest())
			if len(faults) == 0 {
				_, faults = calendar.Build(d, known, time.Now())
			}
			if size := len(calendar.EncodeDocument(d)); most > 0 && float64(size) > most {
				faults = append(faults, fmt.Sprintf("calendar: takes %d bytes, more than a value of the state service holds", size))
			}
			if len(faults) > 0 {
				return a.wrong(args[0], faults)
			}
			windows := 0
			for _, t := range plan.Tracks {
				windows += len(t.Windows)
			}
			if a.json() {
				a.line(map[string]any{"event": "checked", "revision": d.Revision, "tracks": len(plan.Tracks), "windows": windows})
			} else {
				fmt.Fprintf(
					a.out,
					"revision %d: %d tracks, %d windows, none of a track meet\n",
					d.Revision,
					len(plan.Tracks),
					windows,
				)
			}
			return nil
		},
	})
	c.Flags().
		StringVar(&config, "config", "", "the platform's settings file (TOML), to check teams, classes and limits as well")
	return c
}

func (a *app) calendarPlan() *cobra.Command {
	from, days := "", 7
	c := a.printed(&cobra.Command{
		Use: "plan FILE", Short: "Say what a calendar would open when, and what would meet", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			d, err := a.calendarFile(args[0])
			if err != nil {
				return err
			}
			if days < 1 || days > tuning.PlanDays {
				return usage("--days: must be from 1 to %d", tuning.PlanDays)
			}
			plan, err := calendar.Compile(d)
			if err != nil {
				return a.wrong(args[0], strings.Split(err.Error(), "; "))
			}
			begin := time.Now()
			if from != "" {
				if begin, err = time.ParseInLocation(time.DateOnly, from, plan.Zone); err != nil {
					return usage("--from: %q is no day; expected one as 2026-01-31", from)
				}
			}
			end := begin.AddDate(0, 0, days)
			if err := a.occurrences(plan.Dry(begin, end)); err != nil {
				return err
			}
			if met := plan.Collisions(begin, end); len(met) > 0 {
				return &Exit{ExitFailed, fmt.Sprintf("%d pairs of windows meet", len(met))}
			}
			return nil
		},
	})
	c.Flags().StringVar(&from, "from", "", "the first day, as 2026-01-31; today if none is given")
	c.Flags().IntVar(&days, "days", days, "how many days")
	return c
}

func (a *app) calendarShow() *cobra.Command {
	var config, address string
	late := false
	c := a.printed(&cobra.Command{
		Use: "show", Short: "Show the occurrences as they stand in the state service", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if (config == "") == (address == "") {
				return usage("give either --config, the platform's settings file, or --state, the state service's HOST:PORT")
			}
			if config != "" {
				set, err := settings.Load(config, "")
				if err != nil {
					return usage("%v", err)
				}
				address = set.Outside.State
			}
			src := newStateSource(address, tuning.SnapshotRPS, func(what string) { fmt.Fprintln(a.note, "harrierreel:", what) })
			rows, err := src.all(calendar.StoreKey)
			if err != nil {
				return err
			}
			k, shown, err := calendar.Read(rows)
			if err != nil {
				return &Exit{ExitFailed, err.Error()}
			}
			if err := a.occurrences(shown); err != nil || !late {
				return err
			}
			if rows, err = src.all(jobs.JobPrefix); err != nil {
				return err
			}
			for _, l := range k.Lates(rows, time.Now().UnixMilli()) {
				if a.json() {
					a.line(l)
				} else {
					fmt.Fprintf(
						a.out,
						"%s of %s (%s) waits for its window and can't end by %s\n",
						l.JobID,
						l.Team,
						l.Class,
						l.Due.Format(time.RFC3339),
					)
				}
			}
			return nil
		},
	})
	c.Flags().StringVar(&config, "config", "", "the platform's settings file (TOML) of any controller")
	c.Flags().StringVar(&address, "state", "", "the state service's address, HOST:PORT, instead of a settings file")
	c.Flags().
		BoolVar(&late, "late", false, "also list the jobs that cannot end by their time because of their windows; reads all jobs")
	return c
}

// all lists the keys with a prefix.
func (s *stateSource) all(prefix string) (rows []store.Item, err error) {
	for after, more := "", true; more; {
		var p store.Page
		if err := s.get(store.ListTarget(prefix, after), &p); err != nil {
			return nil, err
		}
		rows = append(rows, p.Rows...)
		if more = p.HasNext && len(p.Rows) > 0; more {
			after = p.Rows[len(p.Rows)-1].Key
		}
	}
	return rows, nil
}

// occurrences prints a table, or a line of JSON for each.
func (a *app) occurrences(all []calendar.Shown) error {
	if a.json() {
		for _, o := range all {
			a.line(o)
		}
		return nil
	}
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "BEGIN\tEND\tTRACK\tWINDOW\tTEAM\tCLASSES\tSTATE\tREVISION\tNOTE")
	const form = "Mon 2006-01-02 15:04 MST"
	for _, o := range all {
		fmt.Fprintf(
			w,
			"%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n",
			o.Begin.Format(form),
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
	return w.Flush()
}
