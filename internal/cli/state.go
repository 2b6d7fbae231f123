package cli

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/snapshot"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func (a *app) state() *cobra.Command {
	return group("state", "Save and check what the state service holds", a.stateDump(), a.stateVerify())
}

func (a *app) stateDump() *cobra.Command {
	flags := &stateFlags{}
	rps := tuning.SnapshotRPS
	c := a.printed(&cobra.Command{
		Use:   "dump FILE",
		Short: "Save all keys as of one epoch, while controllers work; goes on where it was cut off",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return a.dumpState(flags, rps, args[0]) },
	})
	flags.add(c, "the platform's settings file (TOML)")
	c.Flags().Float64Var(&rps, "rps", rps, "requests a second to the state service, which controllers then lack")
	return c
}

// dumpState saves all keys into a new file at rps requests a second.
func (a *app) dumpState(flags *stateFlags, rps float64, file string) error {
	if err := flags.check(); err != nil {
		return err
	}
	if rps <= 0 {
		return usage("--rps: must be above 0")
	}
	if _, err := os.Stat(file); err == nil {
		return usage("%s: is there already", file)
	}
	address, err := flags.resolve()
	if err != nil {
		return err
	}
	epoch, err := snapshot.Take(newStateSource(address, rps, a.progress), file, time.Now(), a.progress)
	if err != nil {
		return err
	}
	if a.json() {
		a.line(map[string]any{"event": "saved", "file": file, "epoch": epoch})
	} else {
		a.printf("saved %s as of epoch %d\n", file, epoch)
	}
	return nil
}

func (a *app) stateVerify() *cobra.Command {
	var config string
	c := a.printed(&cobra.Command{
		Use:   "verify FILE",
		Short: "Check a saved state: that it is whole, and that its records agree",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return a.verifyState(args[0], config) },
	})
	c.Flags().StringVar(&config, "config", "", "the platform's settings file (TOML), to check limits of teams as well")
	return c
}

// verifyState checks a saved state and, where config names a settings file, the limits of
// its teams. Findings end it as failed.
func (a *app) verifyState(file, config string) error {
	var teams map[string]quota.Team
	if config != "" {
		set, err := loadSettings(config)
		if err != nil {
			return err
		}
		teams = set.TeamMap()
	}
	saved, err := readSnapshot(file)
	if err != nil {
		return err
	}
	report := snapshot.Check(saved, teams)
	if a.json() {
		a.line(report)
	} else {
		a.showReport(saved, report)
	}
	if len(report.Findings) > 0 {
		return &Exit{Code: ExitFailed}
	}
	return nil
}

// readSnapshot reads a saved state. An error ends the verb as bad usage.
func readSnapshot(file string) (*snapshot.State, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, usage("%v", err)
	}
	defer func() { _ = f.Close() }() // nothing was written that a failed close could lose
	saved, err := snapshot.Read(f)
	switch {
	case errors.Is(err, snapshot.ErrTruncated):
		return nil, usage("%s: %v; the same dump command goes on with it if it ends in .part", file, err)
	case err != nil:
		return nil, usage("%s: %v", file, err)
	}
	return saved, nil
}

// showReport prints what a check found, for people.
func (a *app) showReport(saved *snapshot.State, report snapshot.Report) {
	a.printf(
		"epoch %d, begun %s: %d live jobs, %d tasks, %d of them on machines\n",
		report.Epoch,
		time.UnixMilli(saved.BegunMs).UTC().Format(time.RFC3339),
		report.LiveJobs,
		report.Tasks,
		report.TasksOnMachines,
	)
	t := table{tabwriter.NewWriter(a.out, 0, 4, 2, ' ', tabwriter.AlignRight)}
	for _, kind := range clusterstate.SortedKeys(report.Keys) {
		t.row("%d\t %s\t", report.Keys[kind], kind)
	}
	_ = t.flush() // dropped as in printf
	for _, finding := range report.Findings {
		a.printf("%s\n", strings.TrimPrefix(fmt.Sprintf("%s: %s", finding.Key, finding.Problem), ": "))
	}
	if len(report.Findings) == 0 {
		a.printf("all records agree\n")
	}
}
