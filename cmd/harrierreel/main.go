// Command harrierreel is a cluster scheduler. `serve` runs one controller; the other subcommands
// are the command-line client for users and operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/examples"
	"github.com/harrierreel/harrierreel/internal/cli"
	"github.com/harrierreel/harrierreel/internal/controller"
	_ "github.com/harrierreel/harrierreel/internal/libc" // links the program against the system's C library
	"github.com/harrierreel/harrierreel/internal/settings"
)

const version = "0.1.0"

func main() {
	code, text := cli.ExitCode(rootCommand().Execute())
	if text != "" {
		printError(text)
	}
	os.Exit(code)
}

// printError prints an error message to standard error. A failure to do so is ignored.
func printError(text string) { _, _ = fmt.Fprintln(os.Stderr, "harrierreel:", text) }

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "harrierreel",
		Short:         "A cluster scheduler",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(serveCommand(), cli.TryCommand(newLogger(slog.LevelError), examples.KisiiPayouts))
	cmd.AddCommand(cli.Commands()...)
	cmd.AddCommand(versionCommand())
	return cmd
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			_, _ = fmt.Fprintln(c.OutOrStdout(), "harrierreel", version)
		},
	}
}

func serveCommand() *cobra.Command {
	var file, operatorFiles string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one controller",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return serve(file, operatorFiles) },
	}
	flags := cmd.Flags()
	flags.StringVar(&file, "config", "", "the platform's settings file (TOML)")
	flags.StringVar(
		&operatorFiles,
		"operator",
		os.Getenv("HARRIERREEL_OPERATOR"),
		"the operators' own settings (HCL), optional, several files with commas between; also HARRIERREEL_OPERATOR",
	)
	return cmd
}

// serve runs a controller until a signal asks it to end.
func serve(file, operatorFiles string) error {
	log := newLogger(slog.LevelInfo)
	set, err := loadSettings(file, operatorFiles)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// After the first signal the controller hands over its leadership and ends. A second signal
	// ends the program at once.
	context.AfterFunc(ctx, stop)
	log.Info("starting", "node", controller.Describe(set), "version", version)
	log.Info("fits", set.Cluster.StartupAttributes()...)
	for _, warning := range set.Cluster.TimingWarnings() {
		log.Warn("times are tight", "what", warning)
	}
	if err := controller.Serve(ctx, set, log); !errors.Is(err, context.Canceled) {
		return &cli.ExitError{Code: cli.ExitFailed, Text: err.Error()}
	}
	return nil
}

// loadSettings reads the settings. It prints all faults, one per line.
func loadSettings(file, operatorFiles string) (*settings.Settings, error) {
	if file == "" {
		printError("settings: --config: is missing; expected the platform's settings file")
		return nil, &cli.ExitError{Code: cli.ExitUsage}
	}
	set, err := settings.Load(file, operatorFiles)
	if err != nil {
		for _, line := range strings.Split(err.Error(), "\n") {
			printError("settings: " + line)
		}
		return nil, &cli.ExitError{Code: cli.ExitUsage}
	}
	return set, nil
}

// newLogger returns a logger to standard error with the level named by the environment variable
// LOG_LEVEL, or else defaultLevel.
func newLogger(defaultLevel slog.Level) *slog.Logger {
	level := defaultLevel
	switch os.Getenv("LOG_LEVEL") {
	case "error":
		level = slog.LevelError
	case "info":
		level = slog.LevelInfo
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}
