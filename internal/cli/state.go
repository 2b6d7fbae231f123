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

// stateCommand returns the command group for snapshots of the state service.
func (a *app) stateCommand() *cobra.Command {
	return commandGroup(
		"state",
		"Save and check what the state service holds",
		a.stateDumpCommand(),
		a.stateVerifyCommand(),
	)
}

func (a *app) stateDumpCommand() *cobra.Command {
	flags := &stateFlags{}
	rps := tuning.SnapshotRPS
	c := a.withOutputFlag(&cobra.Command{
		Use:   "dump FILE",
		Short: "Save all keys as of one epoch, while controllers work; goes on where it was cut off",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return a.dumpState(flags, rps, args[0]) },
	})
	flags.add(c, "the platform's settings file (TOML)")
	c.Flags().Float64Var(&rps, "rps", rps, "requests a second to the state service, which controllers then lack")
	return c
}

// dumpState saves all keys to a new file, with at most rps requests per second.
func (a *app) dumpState(flags *stateFlags, rps float64, file string) error {
	if err := flags.check(); err != nil {
		return err
	}
	if rps <= 0 {
		return usageError("--rps: must be above 0")
	}
	if _, err := os.Stat(file); err == nil {
		return usageError("%s: is there already", file)
	}
	address, err := flags.resolve()
	if err != nil {
		return err
	}
	epoch, err := snapshot.Take(newStateSource(address, rps, a.progress), file, time.Now(), a.progress)
	if err != nil {
		return err
	}
	if a.jsonOutput() {
		a.printJSON(map[string]any{"event": "saved", "file": file, "epoch": epoch})
	} else {
		a.printf("saved %s as of epoch %d\n", file, epoch)
	}
	return nil
}

func (a *app) stateVerifyCommand() *cobra.Command {
	var config string
	c := a.withOutputFlag(&cobra.Command{
		Use:   "verify FILE",
		Short: "Check a saved state: that it is whole, and that its records agree",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return a.verifyState(args[0], config) },
	})
	c.Flags().StringVar(&config, "config", "", "the platform's settings file (TOML), to check limits of teams as well")
	return c
}

// verifyState checks a snapshot file. If config names a settings file, it also checks the limits of
// the teams. If there are findings, it returns an error with ExitFailed.
func (a *app) verifyState(file, config string) error {
	var teams map[string]quota.Team
	if config != "" {
		cfg, err := loadSettings(config)
		if err != nil {
			return err
		}
		teams = cfg.TeamMap()
	}
	saved, err := readSnapshot(file)
	if err != nil {
		return err
	}
	report := snapshot.Check(saved, teams)
	if a.jsonOutput() {
		a.printJSON(report)
	} else {
		a.showReport(saved, report)
	}
	if len(report.Findings) > 0 {
		return &ExitError{Code: ExitFailed}
	}
	return nil
}

// readSnapshot reads a snapshot file. Its errors have the exit code ExitUsage.
func readSnapshot(file string) (*snapshot.State, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, usageError("%v", err)
	}
	defer func() { _ = f.Close() }() // the file was only read, so an error has no effect
	saved, err := snapshot.Read(f)
	switch {
	case errors.Is(err, snapshot.ErrTruncated):
		return nil, usageError("%s: %v; the same dump command goes on with it if it ends in .part", file, err)
	case err != nil:
		return nil, usageError("%s: %v", file, err)
	}
	return saved, nil
}

// showReport prints the report of a check as text.
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
	_ = t.flush() // ignored, as in printf
	for _, finding := range report.Findings {
		a.printf("%s\n", strings.TrimPrefix(fmt.Sprintf("%s: %s", finding.Key, finding.Problem), ": "))
	}
	if len(report.Findings) == 0 {
		a.printf("all records agree\n")
	}
}
